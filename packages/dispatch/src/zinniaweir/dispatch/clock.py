"""Bounds on a worker's own clock, derived from the clock readings in its answers."""

from __future__ import annotations

from typing import Final

MIN_CLOCK_RATE: Final = 0.98
"""Lowest rate of a worker's clock, which may be 2% slow."""
MAX_CLOCK_RATE: Final = 1.01
"""Highest rate of a worker's clock, with a margin for the rate of the VM's own clock."""
CLOCK_RESOLUTION_MS: Final = 1
"""Workers tell their clocks in whole milliseconds, rounded down."""


class WorkerClock:
    """Lower and upper bound on a worker's clock.

    The worker reads its clock between the sending of a call and the arrival of the answer, so
    each answer gives a lower and an upper bound. Between answers the bounds widen with the drift.
    """

    def __init__(self) -> None:
        self._known = False
        self._low_ms = 0.0
        self._low_at = 0.0
        self._high_ms = 0.0
        self._high_at = 0.0

    @property
    def known(self) -> bool:
        """Whether the clock was read at least once."""
        return self._known

    def observe(self, clock_ms: int, *, sent_at: float, received_at: float) -> None:
        """Tighten the bounds by the clock reading in an answer.

        Args:
            clock_ms: The worker's clock in milliseconds.
            sent_at: When the call was sent, in seconds.
            received_at: When the answer arrived, in seconds.
        """
        if not self._known or clock_ms >= self.earliest(received_at):
            self._low_ms, self._low_at = clock_ms, received_at
        if not self._known or clock_ms + (received_at - sent_at) * 1e3 <= self.latest(received_at):
            self._high_ms, self._high_at = clock_ms, sent_at
        self._known = True

    def earliest(self, now: float) -> float:
        """Return the lower bound on the clock at a time, in milliseconds."""
        return self._low_ms + (now - self._low_at) * 1e3 * MIN_CLOCK_RATE

    def latest(self, now: float) -> float:
        """Return the upper bound on the clock at a time, in milliseconds."""
        return self._high_ms + (now - self._high_at) * 1e3 * MAX_CLOCK_RATE

    def earliest_time(self, clock_ms: int) -> float:
        """Return the lower bound on the time of a reading of the clock, in seconds.

        Args:
            clock_ms: The reading, in milliseconds.
        """
        passed_ms = clock_ms - CLOCK_RESOLUTION_MS - self._high_ms
        return self._high_at + passed_ms / 1e3 / MAX_CLOCK_RATE
