"""Expected durations of tasks, from callers' estimates and past durations."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from zinniaweir.dispatch.units import OwnedJob
    from zinniaweir.workloads.spec import StepSpec

MEDIAN: Final = 0.5
"""Quantile for the order of jobs and the cost of preemption."""
CAUTIOUS: Final = 0.85
"""Quantile for work that must end before something else begins."""
MIN_SAMPLES: Final = 3
"""Number of durations that a customer's queue needs before they are used."""
MIN_JOBS: Final = 6
"""Number of jobs that are needed before the errors of estimates and of past durations are compared.

The tasks of one job have the same estimate and like durations.
"""
MIN_ERRORS: Final = 20
"""Number of tasks whose expected durations were checked before those errors are used."""
PRIOR_MARGIN: Final = 1.3
"""Factor on an expected duration for `CAUTIOUS` before its errors are known."""
MIN_SPREAD: Final = 0.05
"""Minimum deviation of logarithms, which the resolution of the histograms limits."""
RECENT_JOBS: Final = 8
"""Number of jobs that are remembered to count jobs instead of tasks."""
MAX_UNUSED_SHARE: Final = 0.06
"""Share of the durations of a history that may be newer than what was derived from them."""
GENERATION_SAMPLES: Final = 256
"""Number of samples after which a new histogram begins, so that old durations are forgotten."""
MIN_GENERATION_SAMPLES: Final = 64
"""Number of samples after which a new histogram replaces the one before."""
MAX_HISTORIES: Final = 96
"""Number of histories that are kept; each takes up to 22 KB."""
SCALE: Final = 1_000
"""Histogram units in one second, or in a ratio of 1."""
HIGHEST_VALUE: Final = 3_600 * SCALE
"""Maximum value of a histogram; a larger one is recorded as this."""
SIGNIFICANT_FIGURES: Final = 1
"""Precision in decimal digits; a histogram takes 3.4 KB, with two digits 15 KB."""

_Key = tuple[str, str, bool]


class _Distribution:
    """Distribution of recent positive values."""

    def __init__(self) -> None:
        self._current = _new_histogram()
        self._previous: HdrHistogram | None = None
        self._count = 0

    @property
    def count(self) -> int:
        """Number of recent values."""
        return self._count + (GENERATION_SAMPLES if self._previous else 0)

    def add(self, value: float) -> None:
        if self._count == GENERATION_SAMPLES:
            # Histograms are used again, since they contain reference cycles.
            oldest = self._previous or _new_histogram()
            oldest.reset()
            self._previous, self._current, self._count = self._current, oldest, 0
        self._current.record_value(min(max(round(value * SCALE), 1), HIGHEST_VALUE))
        self._count += 1

    def log_quantile(self, level: float) -> float:
        """Return the logarithm of a quantile."""
        histogram = self._current
        if self._previous is not None and self._count < MIN_GENERATION_SAMPLES:
            histogram = self._previous
        value = histogram.get_value_at_percentile(100 * level)
        # The histogram returns the upper end of the bucket.
        lower = histogram.get_lowest_equivalent_value(value)
        return math.log((lower + value) / 2 / SCALE)

    def log_spread(self) -> float:
        """Return the deviation of the logarithms, from the middle two thirds of the values."""
        return max((self.log_quantile(0.84) - self.log_quantile(0.16)) / 2, MIN_SPREAD)


class _History:
    """Past durations of the tasks of a queue, and of one of its customers or of all."""

    def __init__(self) -> None:
        self._durations = _Distribution()
        self._ratios = _Distribution()
        """Ratios of the duration to the caller's estimate."""
        self._errors = _Distribution()
        """Ratios of the duration to the expected one."""
        self._jobs: deque[str] = deque(maxlen=RECENT_JOBS)
        self._job_count = 0
        self._unused = 0
        """Number of durations since what is derived from them was computed."""
        self._log_duration = 0.0
        self._log_ratio = 0.0
        self._estimate_weight = 0.5
        self._log_margins: dict[float, float] = {}

    @property
    def usable(self) -> bool:
        return self._durations.count >= MIN_SAMPLES

    def add(self, job_id: str, estimate: float, seconds: float) -> None:
        if self.usable:
            self._errors.add(seconds / math.exp(self._log_expected(estimate)))
        self._durations.add(seconds)
        if estimate > 0:
            self._ratios.add(seconds / estimate)
        if job_id not in self._jobs:
            self._jobs.append(job_id)
            self._job_count += 1
        self._unused += 1
        if self._unused > self._durations.count * MAX_UNUSED_SHARE:
            self._update()

    def _update(self) -> None:
        """Compute anew what is derived from the histograms, which takes most of the time."""
        self._unused = 0
        self._log_margins.clear()
        self._log_duration = self._durations.log_quantile(MEDIAN)
        if self._job_count < MIN_JOBS or self._ratios.count < MIN_SAMPLES:
            return
        self._log_ratio = self._ratios.log_quantile(MEDIAN)
        history, estimates = self._durations.log_spread() ** 2, self._ratios.log_spread() ** 2
        self._estimate_weight = history / (history + estimates)

    def expect(self, estimate: float, quantile: float) -> float:
        margin = self._log_margins.get(quantile)
        if margin is None:
            margin = self._log_margins[quantile] = self._log_margin(quantile)
        return math.exp(self._log_expected(estimate) + margin)

    def _log_expected(self, estimate: float) -> float:
        if estimate <= 0:
            return self._log_duration
        log_estimate = math.log(estimate) + self._log_ratio
        weight = self._estimate_weight
        return weight * log_estimate + (1 - weight) * self._log_duration

    def _log_margin(self, quantile: float) -> float:
        if self._errors.count >= MIN_ERRORS and self._job_count >= MIN_JOBS:
            return self._errors.log_quantile(quantile)
        return math.log(PRIOR_MARGIN) if quantile > MEDIAN else 0.0


class RunTimes:
    """Distributions of the durations of tasks, by customer and queue.

    The caller's estimate and the past durations are weighted by their observed errors, and the
    errors of what was expected give the quantiles. Durations are those on a worker of usual speed.
    A gang takes as long as its slowest member, so gangs are kept apart from single tasks.
    """

    def __init__(self) -> None:
        self._histories: dict[_Key, _History] = {}

    def add(self, job: OwnedJob, step: StepSpec, seconds: float) -> None:
        """Add the duration of a successful run.

        Args:
            job: The job.
            step: The step of the task or gang.
            seconds: Duration of the whole task or gang on workers of usual speed, in seconds.
        """
        for key in _keys(job, step):
            # Histories are dropped in the order of their last change.
            history = self._histories.pop(key, None) or _History()
            self._histories[key] = history
            history.add(job.job_id, step.estimate_ms / 1e3, max(seconds, 1 / SCALE))
        while len(self._histories) > MAX_HISTORIES:
            del self._histories[next(iter(self._histories))]

    def expect(self, job: OwnedJob, step: StepSpec, *, quantile: float = MEDIAN) -> float:
        """Return the expected duration of a task or gang on workers of usual speed, in seconds.

        Without a history of its customer, that of all customers of the queue counts.

        Args:
            job: The job.
            step: The step of the task or gang.
            quantile: Share of the tasks that should take at most the returned time.
        """
        estimate = step.estimate_ms / 1e3
        for key in _keys(job, step):
            history = self._histories.get(key)
            if history is not None and history.usable:
                return history.expect(estimate, quantile)
        return estimate * (PRIOR_MARGIN if quantile > MEDIAN else 1.0)


def _keys(job: OwnedJob, step: StepSpec) -> tuple[_Key, _Key]:
    gang = step.gang and step.count > 1
    return (job.customer, job.terms.name, gang), ("", job.terms.name, gang)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_VALUE, SIGNIFICANT_FIGURES)
