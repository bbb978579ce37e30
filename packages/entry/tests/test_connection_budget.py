"""Tests of the decisions on connections of the entry process, without sockets."""

from __future__ import annotations

import pytest

from zinniaweir.entry.connection_budget import ConnectionBudget
from zinniaweir.entry.json_items import MAX_ITEMS, has_too_many_items


def test_the_connection_that_held_most_for_longest_makes_way() -> None:
    """Guards against a crowd of held-back bodies that shuts out the next ordinary request."""
    budget = ConnectionBudget(max_held_bytes=1_000, max_per_address=9)
    small, large, new = (budget.open("a")[0] for _ in range(3))
    assert budget.hold(small, 10, 0.0) is None
    assert budget.hold(large, 900, 1.0) is None
    assert budget.hold(new, 200, 5.0) is large
    budget.close(large)
    assert budget.hold(new, 200, 5.0) is None
    assert budget.held_bytes == 210


def test_a_request_in_flight_does_not_make_way() -> None:
    """Guards against a request that runs and whose caller is told that it did not."""
    budget = ConnectionBudget(max_held_bytes=1_000, max_per_address=9)
    running, new = (budget.open("a")[0] for _ in range(2))
    budget.hold(running, 900, 0.0)
    running.is_in_flight = True
    assert budget.hold(new, 200, 5.0) is new


def test_an_address_is_crowded_until_its_connections_close() -> None:
    """Guards against one address that uses up all connections, and against its count that stays."""
    budget = ConnectionBudget(max_held_bytes=1_000, max_per_address=2)
    first, _ = budget.open("a")
    assert [budget.open("a")[1], budget.open("a")[1], budget.open("b")[1]] == [False, True, False]
    budget.close(first)
    assert budget.open("a")[1]


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b"[" + b"{}," * MAX_ITEMS + b"0]", True),
        (b'{"body":"' + b"a,[{" * MAX_ITEMS + b'"}', False),
        (b"[" + b"0," * (MAX_ITEMS // 2) + b"0]", False),
    ],
)
def test_items_are_counted_outside_of_texts(body: bytes, expected: bool) -> None:
    """Guards against objects for very many items, and against a refusal for what a text holds."""
    assert has_too_many_items(body) is expected
