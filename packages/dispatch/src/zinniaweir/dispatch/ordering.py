"""In which order jobs get room: by priority, and by what can still be in time."""

from __future__ import annotations

from typing import Final, NamedTuple

from zinniaweir.dispatch.runtimes import RunTimes
from zinniaweir.dispatch.units import OwnedJob

LATE_FACTOR: Final = 3.0
"""A job is of some use up to three times its objective."""
ROUND_SECONDS: Final = 0.05
"""What an order, its record and its end cost beside the work."""


URGENT_PRIORITY: Final = 0
"""Callers of this priority wait for the answer."""
TIGHT_SECONDS: Final = 4.0
"""Work that must start within this long to be in time goes before late urgent work."""


class Rank(NamedTuple):
    """Sort key; lower goes first."""

    place: int
    """Urgent in time, then what gets tight, late urgent work, all else in time, late, useless."""
    latest_start: float
    tier: int
    """0 in time, 1 late but still of use, 2 of no use."""


def longest_chain(job: OwnedJob, run_times: RunTimes, *, remaining: bool) -> float:
    """Return the seconds of the job's longest chain of steps.

    Args:
        job: The job.
        run_times: Expected durations.
        remaining: Leave out the steps that are done.
    """
    lengths: list[float] = []
    for number, step in enumerate(job.steps):
        before = max((lengths[earlier] for earlier in step.depends_on), default=0.0)
        done = remaining and not job.open_units[number]
        seconds = 0.0 if done else run_times.expect(job.terms.name, step.estimate_ms)
        lengths.append(before + seconds)
    return max(lengths)


def objective(job: OwnedJob, run_times: RunTimes) -> float:
    """Return the seconds from acceptance within which the job should end."""
    chain = longest_chain(job, run_times, remaining=False)
    return job.terms.slack_factor * chain + job.terms.target_seconds


def rank(job: OwnedJob, run_times: RunTimes, *, now: float) -> Rank:
    """Return a job's place in the order.

    Args:
        job: The job.
        run_times: Expected durations.
        now: Present time in seconds.
    """
    needed = longest_chain(job, run_times, remaining=True) + ROUND_SECONDS
    span = objective(job, run_times)
    for tier, factor in enumerate((1.0, LATE_FACTOR)):
        latest_start = job.accepted_at + factor * span - needed
        if now <= latest_start:
            return Rank(_place(job, tier, latest_start - now), latest_start, tier)
    return Rank(5, job.accepted_at, 2)


def _place(job: OwnedJob, tier: int, spare: float) -> int:
    if job.terms.priority == URGENT_PRIORITY:
        return 0 if tier == 0 else 2
    if tier > 0:
        return 4
    return 1 if spare < TIGHT_SECONDS else 3
