"""Adaptive timeout of calls to the log."""

from __future__ import annotations

from typing import Final

SHORT_TIMEOUT_SECONDS: Final = 0.5
"""About ten times the usual answer time; limits the cost of a lost answer or a dead connection."""
LONG_TIMEOUT_SECONDS: Final = 1.4
"""Timeout of every third attempt in a row, so that a log that has become slow can answer."""
ATTEMPTS_PER_LONG_TIMEOUT: Final = 3
AVERAGE_FACTOR: Final = 3.0
"""The timeout is at least this multiple of the average answer time.

The multiple is limited to `MAX_TIMEOUT_SECONDS`.
"""
MAX_TIMEOUT_SECONDS: Final = 3.0
"""Limit of the timeout that is derived from the average answer time."""
SMOOTHING_FACTOR: Final = 0.4
"""Weight of a new answer in the moving average of the answer time."""


class AdaptiveTimeout:
    """Alternate short and long timeouts.

    Short ones recover soon from a lost answer, long ones get an answer from a slow log. Retrying
    calls to a log that is merely slow makes it slower, so the timeouts grow with its answer time.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._average_seconds = 0.0

    @property
    def seconds(self) -> float:
        """Timeout of the next call, in seconds."""
        base = (
            LONG_TIMEOUT_SECONDS
            if self._failures % ATTEMPTS_PER_LONG_TIMEOUT == ATTEMPTS_PER_LONG_TIMEOUT - 1
            else SHORT_TIMEOUT_SECONDS
        )
        return max(base, min(AVERAGE_FACTOR * self._average_seconds, MAX_TIMEOUT_SECONDS))

    @property
    def last_answered(self) -> bool:
        """Whether the last call was answered."""
        return not self._failures

    def record_answer(self, seconds: float) -> None:
        """Record an answer.

        Args:
            seconds: How long it took, without the time that the log was asked to wait.
        """
        self._failures = 0
        self._average_seconds += SMOOTHING_FACTOR * (seconds - self._average_seconds)

    def record_timeout(self) -> None:
        """Record a call without an answer."""
        self._failures += 1
