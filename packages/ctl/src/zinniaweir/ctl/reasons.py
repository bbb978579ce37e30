"""Explanations of reason codes in records."""

from __future__ import annotations

from typing import Final

EXPLANATIONS: Final = {
    "log_unavailable": "the log was not reachable, and nothing that needs it may start",
    "scheduler_unavailable": "the scheduler process of the VM that was asked did not answer",
    "no_state": "no settings survived; operators must publish them again",
    "starting": "the VM that was asked had not read the log to its end yet",
    "stale_epoch": "another VM owned the region by then",
    "key_reused": "the key was used for something else before",
}
"""Explanations by code, for reasons that several parts give; others are shown as recorded."""


def with_explanation(reason: str) -> str:
    """Return a reason, followed by its explanation if it has one.

    Args:
        reason: A code, or a code and details separated by a colon.
    """
    explanation = EXPLANATIONS.get(reason.partition(":")[0])
    return f"{reason} ({explanation})" if explanation else reason
