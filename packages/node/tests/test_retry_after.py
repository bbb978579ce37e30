"""Tests of a full outage of the log: refused callers come back until it has ended."""

from __future__ import annotations

import pytest

from zinniaweir.node.retry_after import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    retry_after_seconds,
)
from zinniaweir.node.service import VERIFY_LOG_AGE_SECONDS

RETRIES = 4
"""How often a caller tries again."""


def last_try(first_try: float, outage: float, *, spread: float = 0.0) -> float:
    """Return when a caller tries for the last time or is served, in seconds of the outage."""
    tried_at = first_try
    for _ in range(RETRIES):
        if tried_at >= outage:
            break
        tried_at += retry_after_seconds(tried_at, spread)
    return tried_at


@pytest.mark.parametrize("outage", [1.0, 4.0, 6.8, 9.0])
def test_callers_outlast_an_outage(outage: float) -> None:
    """Guards against callers that used up their retries before the log answers again.

    Callers are refused from that age of the view on, at which the log is read before an append.
    """
    first_try = VERIFY_LOG_AGE_SECONDS
    while first_try < outage:
        assert last_try(first_try, outage) >= outage
        first_try += 0.1


def test_delay_is_short_at_first_and_bounded() -> None:
    """Guards against callers that stay away although the log answers."""
    assert retry_after_seconds(0.0) == MIN_RETRY_AFTER_SECONDS
    assert retry_after_seconds(float("inf")) == MAX_RETRY_AFTER_SECONDS


def test_callers_of_a_long_outage_return_in_different_seconds() -> None:
    """Guards against a crowd that returns in one second, since all were told the same delay."""
    delays = {retry_after_seconds(5.0, spread) for spread in (0.0, 0.25, 0.5, 0.99)}
    assert delays == {MAX_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS + 1}
    for spread in (0.0, 0.99):
        assert last_try(VERIFY_LOG_AGE_SECONDS, 9.0, spread=spread) >= 9.0
