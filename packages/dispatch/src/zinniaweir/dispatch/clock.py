"""Bounds on a worker's own clock, from what its answers said."""

from __future__ import annotations

from typing import Final

SLOWEST: Final = 0.98
"""A worker's clock may be 2% slow."""
FASTEST: Final = 1.01
"""Margin for the rate of the VM's own clock."""


class WorkerClock:
    """Bound a worker's clock from below and from above.

    A clock is read between the sending of a call and the arrival of its answer, so each answer
    gives a lower and an upper bound; between answers they spread with the drift.
    """

    def __init__(self) -> None:
        self._known = False
        self._low_ms = 0.0
        self._low_at = 0.0
        self._high_ms = 0.0
        self._high_at = 0.0

    @property
    def known(self) -> bool:
        """Whether any answer told the clock."""
        return self._known

    def observe(self, clock_ms: int, *, sent_at: float, received_at: float) -> None:
        """Take the clock of an answer.

        Args:
            clock_ms: The worker's clock in milliseconds.
            sent_at: When the call was sent, in seconds.
            received_at: When its answer arrived, in seconds.
        """
        if not self._known or clock_ms >= self.earliest(received_at):
            self._low_ms, self._low_at = clock_ms, received_at
        if not self._known or clock_ms + (received_at - sent_at) * 1e3 <= self.latest(received_at):
            self._high_ms, self._high_at = clock_ms, sent_at
        self._known = True

    def earliest(self, now: float) -> float:
        """Return the least that the clock can show at a time, in milliseconds."""
        return self._low_ms + (now - self._low_at) * 1e3 * SLOWEST

    def latest(self, now: float) -> float:
        """Return the most that the clock can show at a time, in milliseconds."""
        return self._high_ms + (now - self._high_at) * 1e3 * FASTEST
