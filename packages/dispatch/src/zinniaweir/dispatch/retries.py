"""Retries of failed work while workers fail what they start: when and on which workers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from zinniaweir.dispatch.units import Unit

EPISODE_SECONDS: Final = 4.0
"""Failures within this time of each other count together."""
MIN_WORKERS_OF_EPISODE: Final = 2
"""Number of different workers with such failures from which workers are suspected.

A single bad worker is paused and avoided. A job that fails by its own fault right after its
start is delayed too, by a few seconds in all.
"""
QUICK_FAILURE_SECONDS: Final = 0.3
"""A run that fails sooner costs its worker next to nothing, so all attempts can be used up at once.
"""
INITIAL_DELAY_SECONDS: Final = 0.4
"""Delay before the second attempt; it doubles with each further failure."""
MAX_DELAY_SECONDS: Final = 3.0
"""Maximum delay before an attempt, so that a job can still end within three times its objective."""
MAX_TRUSTED_SUCCESSES: Final = 4
"""Successes of a worker beyond this number tell nothing more."""
TRUST_SECONDS: Final = 8.0
"""How long a success tells that a worker is sound."""


class RetryPolicy:
    """Decide when a failed unit is tried again, and which workers are trusted with it.

    A worker that fails what it starts does so within a fraction of a second. While several do, a
    gang meets one of them in each attempt, and uses up its attempts within a second. So an attempt
    waits while starts fail on different workers, and goes to workers that have shown since that
    they are sound.
    """

    def __init__(self) -> None:
        self._failures: deque[tuple[float, str]] = deque()
        """Time and worker of each quick failure, oldest first."""
        self._successes: dict[str, deque[float]] = {}

    def record_failure(self, unit: Unit, worker: str, *, seconds: float | None, now: float) -> None:
        """Record a failed run.

        Args:
            unit: The unit.
            worker: The worker that reported the failure.
            seconds: How long the run lasted, None if it is not known.
            now: Current time in seconds.
        """
        unit.failed_at = now
        self._successes.pop(worker, None)
        if seconds is None or seconds <= QUICK_FAILURE_SECONDS:
            self._failures.append((now, worker))
        self._forget(now)

    def record_success(self, worker: str, *, now: float) -> None:
        """Record a successful run on a worker."""
        found = self._successes.setdefault(worker, deque(maxlen=MAX_TRUSTED_SUCCESSES))
        found.append(now)

    def workers_fail(self, now: float) -> bool:
        """Return whether starts have failed on different workers lately."""
        self._forget(now)
        return len({worker for _, worker in self._failures}) >= MIN_WORKERS_OF_EPISODE

    def retry_at(self, unit: Unit, now: float) -> float:
        """Return the time from which a unit may be tried again, in seconds."""
        if not unit.failures or unit.failed_at is None or not self.workers_fail(now):
            return 0.0
        delay = INITIAL_DELAY_SECONDS * 2.0 ** (unit.failures - 1)
        if unit.failures + 1 >= unit.job.terms.max_attempts:
            # The last attempt decides on the job.
            delay = MAX_DELAY_SECONDS
        return unit.failed_at + min(delay, MAX_DELAY_SECONDS)

    def penalty_for(
        self, unit: Unit, failed_job_count: Callable[[str], int], *, now: float
    ) -> Callable[[str], float]:
        """Return the function that ranks workers for a unit; those with lower values come first.

        Args:
            unit: The unit.
            failed_job_count: Returns how many jobs failed on a worker since its last success.
            now: Current time in seconds.
        """
        if not unit.failures or not self.workers_fail(now):
            return failed_job_count
        return lambda worker: failed_job_count(worker) - self._trust(worker, now)

    def _trust(self, worker: str, now: float) -> float:
        """Return how far a worker has shown lately that it is sound, from 0 to below 1."""
        found = self._successes.get(worker, ())
        recent = sum(now - at <= TRUST_SECONDS for at in found)
        return recent / (MAX_TRUSTED_SUCCESSES + 1)

    def _forget(self, now: float) -> None:
        while self._failures and now - self._failures[0][0] > EPISODE_SECONDS:
            self._failures.popleft()
