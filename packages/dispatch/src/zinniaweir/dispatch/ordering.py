"""Rank of waiting jobs, by priority and by whether they can still meet their objective."""

from __future__ import annotations

from typing import Final, NamedTuple

from zinniaweir.dispatch.run_times import RunTimes
from zinniaweir.dispatch.units import OwnedJob

MAX_LATENESS_FACTOR: Final = 3.0
"""A job that ends within this multiple of its objective is late but still of use."""
OVERHEAD_SECONDS: Final = 0.05
"""Overhead of starting, recording and ending work, in addition to its duration."""


URGENT_PRIORITY: Final = 0
"""Priority of jobs whose callers wait for the answer."""
NEAR_DEADLINE_SECONDS: Final = 4.0
"""Work that must start within this time to be in time ranks before late urgent work."""


RANK_DIGITS: Final = 3
"""Decimal places of the latest start; rounding errors do not order jobs that came together."""


class Rank(NamedTuple):
    """Sort key of waiting jobs; lower ranks are placed first."""

    band: int
    """Order of placement.

    0 urgent and in time, 1 must start soon, 2 urgent but late, 3 in time, 4 late, 5 of no use.
    """
    latest_start: float
    """Latest start with which the job still ends in time or, if late, of use, in seconds.

    The time of acceptance if the job is of no use.
    """
    lateness: int
    """0 in time, 1 late but still of use, 2 of no use."""


def critical_path_seconds(job: OwnedJob, run_times: RunTimes, *, remaining: bool) -> float:
    """Return the expected duration of the job's critical path in seconds.

    Args:
        job: The job.
        run_times: Expected durations.
        remaining: Whether to leave out the steps that are done.
    """
    lengths: list[float] = []
    for number, step in enumerate(job.steps):
        before = max((lengths[earlier] for earlier in step.depends_on), default=0.0)
        done = remaining and not job.open_units[number]
        seconds = 0.0 if done else run_times.expect(job, step)
        lengths.append(before + seconds)
    return max(lengths)


def objective_seconds(job: OwnedJob, run_times: RunTimes) -> float:
    """Return the seconds from acceptance within which the job should end."""
    critical_path = critical_path_seconds(job, run_times, remaining=False)
    return job.terms.slack_factor * critical_path + job.terms.target_seconds


def rank(job: OwnedJob, run_times: RunTimes, *, now: float) -> Rank:
    """Return a job's rank.

    Args:
        job: The job.
        run_times: Expected durations.
        now: Current time in seconds.
    """
    needed = critical_path_seconds(job, run_times, remaining=True) + OVERHEAD_SECONDS
    allowed_seconds = objective_seconds(job, run_times)
    for lateness, factor in enumerate((1.0, MAX_LATENESS_FACTOR)):
        latest_start = round(job.accepted_at + factor * allowed_seconds - needed, RANK_DIGITS)
        if now <= latest_start:
            return Rank(_band(job, lateness, latest_start - now), latest_start, lateness)
    return Rank(5, job.accepted_at, 2)


def _band(job: OwnedJob, lateness: int, spare: float) -> int:
    if job.terms.priority == URGENT_PRIORITY:
        return 0 if lateness == 0 else 2
    if lateness > 0:
        return 4
    return 1 if spare < NEAR_DEADLINE_SECONDS else 3
