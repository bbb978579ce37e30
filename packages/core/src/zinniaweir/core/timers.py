"""Timers: times at which the core acts without another event."""

from __future__ import annotations

import heapq
from typing import Literal, NamedTuple, TypeAlias

TimerKind: TypeAlias = Literal["limit", "start", "parked", "probe", "ramp"]
"""What is due.

- `limit`: a gang must end or its stop is sent again.
- `start`: the start of a gang is still unanswered.
- `parked`: a job that cannot run is refused for good.
- `probe`: the quarantine of a worker ends.
- `ramp`: a returned failure domain accepts the next start.
"""


class Timer(NamedTuple):
    """A time at which something is due.

    Obsolete timers are not removed; they are recognized by the attempt when they fire.
    """

    due: float
    """Time in seconds of `now`."""
    kind: TimerKind
    subject: str
    """Job id, worker name for `probe`, or empty for `ramp`."""
    attempt: int


class Timers:
    """A heap of timers."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []

    @property
    def next_due(self) -> float | None:
        """When the next timer fires, or None if there is none."""
        return self._heap[0].due if self._heap else None

    def arm(self, due: float, kind: TimerKind, subject: str, attempt: int = 0) -> None:
        """Add a timer."""
        heapq.heappush(self._heap, Timer(due, kind, subject, attempt))

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the earliest timer that is due, or None if none is."""
        if self._heap and self._heap[0].due <= now:
            return heapq.heappop(self._heap)
        return None
