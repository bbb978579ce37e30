"""How fast each worker is, learnt from the ends of its runs."""

from __future__ import annotations

from typing import Final

SINGLE_WEIGHT: Final = 0.25
"""Weight of a new duration of a single task in its worker's pace."""
GANG_WEIGHT: Final = 0.12
"""The same for a gang: its slowest member sets the duration of all."""
QUEUE_WEIGHT: Final = 0.15
"""Weight of a new duration in the ratio of durations to estimates of a queue."""
LEAST_RATIO: Final = 0.4
MOST_RATIO: Final = 2.5
"""Durations further from what is expected say more of the job than of its worker."""
FAST: Final = 0.93
SLOW: Final = 1.1
"""Workers of a deployment differ by about a quarter; half of that tells them apart."""


class Paces:
    """Seconds that each worker needs, as a multiple of what is usual."""

    def __init__(self) -> None:
        self._paces: dict[str, float] = {}
        self._bias: dict[str, float] = {}
        self._steps: dict[tuple[str, int], tuple[float, int]] = {}

    def pace(self, worker: str) -> float:
        """Return a worker's pace; 1 is usual, more is slower."""
        return self._paces.get(worker, 1.0)

    def grade(self, worker: str) -> int:
        """Return 0 for a fast worker, 1 for a usual one and 2 for a slow one."""
        pace = self.pace(worker)
        return 0 if pace < FAST else 2 if pace > SLOW else 1

    def single_ended(self, worker: str, step: tuple[str, int], seconds: float) -> None:
        """Take the duration of a single task; tasks of one step are alike.

        Args:
            worker: Where it ran.
            step: Job and step.
            seconds: How long it took.
        """
        total, count = self._steps.get(step, (0.0, 0))
        if count:
            self._learn(worker, seconds * count / total, SINGLE_WEIGHT)
        self._steps[step] = (total + seconds, count + 1)

    def gang_ended(self, worker: str, queue: str, seconds: float, estimate: float) -> None:
        """Take the duration of a gang on one of its workers.

        Args:
            worker: The worker.
            queue: Name of the queue.
            seconds: How long the gang took.
            estimate: The caller's estimate in seconds.
        """
        if estimate <= 0:
            return
        ratio = seconds / estimate
        bias = self._bias.get(queue, ratio)
        self._learn(worker, ratio / bias, GANG_WEIGHT)
        self._bias[queue] = bias + QUEUE_WEIGHT * (ratio - bias)

    def step_closed(self, step: tuple[str, int]) -> None:
        """Drop what was kept to compare the tasks of a step."""
        self._steps.pop(step, None)

    def forget(self, worker: str) -> None:
        """Drop what was learnt of a worker whose life ended."""
        self._paces.pop(worker, None)

    def _learn(self, worker: str, ratio: float, weight: float) -> None:
        ratio = min(max(ratio, LEAST_RATIO), MOST_RATIO)
        pace = self.pace(worker)
        self._paces[worker] = pace + weight * (ratio - pace)
