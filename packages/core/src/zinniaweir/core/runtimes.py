"""Run-time estimates from declared times and from the error of earlier declarations."""

from __future__ import annotations

import math
from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from zinniaweir.core.job import Job

MAX_HISTORY_RUNS: Final = 32
"""Runs kept for each customer and job name; older runs say little about the next."""
PRIOR_RATIO: Final = 1.0
"""Ratio of actual to declared time that is assumed before enough runs are known."""
PRIOR_UPPER_RATIO: Final = 2.0
"""Upper bound of that ratio before enough runs are known."""
UPPER_QUANTILE: Final = 0.9
"""Quantile of the known ratios that serves as upper bound."""
MIN_RUNS: Final = 4
"""Runs needed before their ratios replace the assumed ones."""


@dataclass(slots=True)
class _History:
    ratios: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY_RUNS))
    ordered: list[float] = field(default_factory=list)

    def add(self, ratio: float) -> None:
        if len(self.ratios) == MAX_HISTORY_RUNS:
            self.ordered.remove(self.ratios[0])
        self.ratios.append(ratio)
        insort(self.ordered, ratio)


class RunTimes:
    """Keep the ratio of actual to declared run time by customer and job name."""

    def __init__(self) -> None:
        self._histories: dict[tuple[str, str], _History] = {}

    def record(self, job: Job, *, seconds: float, share_of_work: float) -> None:
        """Record a finished attempt.

        Args:
            job: The job.
            seconds: How long the attempt ran.
            share_of_work: The share of the job that the attempt did; a share below 0.05 is
                ignored, because it says little about the whole.
        """
        if share_of_work < 0.05 or job.declared_seconds <= 0 or seconds <= 0:
            return
        history = self._histories.setdefault((job.customer, job.name), _History())
        history.add(seconds / share_of_work / job.declared_seconds)

    def expected(self, job: Job) -> float:
        """Return the median estimate of the whole run time in seconds."""
        return job.declared_seconds * self._quantile(job, 0.5, PRIOR_RATIO)

    def upper_bound(self, job: Job) -> float:
        """Return a run time in seconds that nine of ten runs do not exceed."""
        return job.declared_seconds * self._quantile(job, UPPER_QUANTILE, PRIOR_UPPER_RATIO)

    def to_data(self) -> list:
        """Return the histories as plain data."""
        return [[*key, list(history.ratios)] for key, history in self._histories.items()]

    def load(self, data: list) -> None:
        """Replace the histories with those that `to_data` returned."""
        self._histories.clear()
        for customer, name, ratios in data:
            history = self._histories.setdefault((customer, name), _History())
            for ratio in ratios:
                history.add(ratio)

    def _quantile(self, job: Job, share: float, prior: float) -> float:
        history = self._histories.get((job.customer, job.name))
        if history is None or len(history.ordered) < MIN_RUNS:
            return prior
        rank = math.ceil(share * len(history.ordered)) - 1
        return history.ordered[max(rank, 0)]
