"""Expected durations of tasks, from callers' estimates and past durations."""

from __future__ import annotations

from typing import Final

SMOOTHING_FACTOR: Final = 0.15
"""Weight of a new duration in the exponential moving average of its queue."""
MIN_SAMPLES: Final = 3
"""Number of durations that a queue needs before its average is used."""


class RunTimes:
    """Exponential moving averages of task durations, by queue."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def add(self, queue: str, seconds: float) -> None:
        """Add the duration of a successful run.

        Args:
            queue: Name of the queue.
            seconds: Duration of the whole task in seconds.
        """
        mean = self._means.get(queue)
        self._means[queue] = seconds if mean is None else mean + SMOOTHING_FACTOR * (seconds - mean)
        self._counts[queue] = self._counts.get(queue, 0) + 1

    def expect(self, queue: str, estimate_ms: int) -> float:
        """Return the expected duration of a task in seconds.

        Callers' estimates may be off by as much as their size, so the estimate and the queue's
        average count half each.
        """
        estimate = estimate_ms / 1e3
        if self._counts.get(queue, 0) < MIN_SAMPLES:
            return estimate
        return 0.5 * (estimate + self._means[queue])
