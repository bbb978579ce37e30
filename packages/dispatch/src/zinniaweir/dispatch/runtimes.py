"""How long tasks of a queue take, learnt from their ends."""

from __future__ import annotations

from typing import Final

WEIGHT: Final = 0.15
"""Weight of a new duration in the moving mean of its queue."""
FIRST_ESTIMATES: Final = 3
"""Durations that are needed before the mean counts."""


class RunTimes:
    """Moving means of durations and of the estimates' error, by queue."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def add(self, queue: str, seconds: float) -> None:
        """Take the duration of a run that was done.

        Args:
            queue: Name of the queue.
            seconds: The duration of the whole task.
        """
        mean = self._means.get(queue)
        self._means[queue] = seconds if mean is None else mean + WEIGHT * (seconds - mean)
        self._counts[queue] = self._counts.get(queue, 0) + 1

    def expect(self, queue: str, estimate_ms: int) -> float:
        """Return the expected duration of a task in seconds.

        Callers' estimates may be off by their size, so they count half beside the queue's mean.
        """
        estimate = estimate_ms / 1e3
        if self._counts.get(queue, 0) < FIRST_ESTIMATES:
            return estimate
        return 0.5 * (estimate + self._means[queue])
