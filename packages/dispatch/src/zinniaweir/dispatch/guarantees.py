"""Which waiting units are covered by their customer's guarantee."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from zinniaweir.dispatch.units import OwnedJob

GUARANTEED_PRIORITY = 0
"""Guarantees are for the jobs of this priority."""


def accelerators_wanted(job: OwnedJob) -> int:
    """Return the accelerators that a job needs at most at one time."""
    return max(
        (step.count * step.accelerators for n, step in enumerate(job.steps) if job.open_units[n]),
        default=0,
    )


def covered_jobs(jobs: Iterable[OwnedJob], guaranteed: Mapping[str, int]) -> set[str]:
    """Return the ids of the jobs whose customer's open work is within its guarantee.

    A customer that asks for more than its guarantee has its oldest jobs covered up to it.

    Args:
        jobs: Jobs that are not closed.
        guaranteed: Accelerators by customer.
    """
    by_customer: dict[str, list[OwnedJob]] = defaultdict(list)
    for job in jobs:
        if job.terms.priority == GUARANTEED_PRIORITY and not job.closed:
            by_customer[job.customer].append(job)
    covered: set[str] = set()
    for customer, owned in by_customer.items():
        left = guaranteed.get(customer, 0)
        for job in sorted(owned, key=lambda j: j.accepted_at):
            wanted = accelerators_wanted(job)
            if wanted <= left:
                left -= wanted
                covered.add(job.job_id)
    return covered
