"""Guarantee coverage: which jobs fit within their customer's guaranteed accelerators."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from zinniaweir.dispatch.units import OwnedJob

GUARANTEED_PRIORITY = 0
"""Priority of the jobs that guarantees apply to."""


def peak_accelerators(job: OwnedJob) -> int:
    """Return the accelerators of the job's largest unfinished step."""
    return max(
        (step.count * step.accelerators for n, step in enumerate(job.steps) if job.open_units[n]),
        default=0,
    )


def covered_jobs(jobs: Iterable[OwnedJob], guaranteed: Mapping[str, int]) -> set[str]:
    """Return the ids of the jobs that are covered by their customer's guarantee.

    A customer's jobs are considered from the oldest on; one is covered if it fits into what
    the covered jobs before it leave of the guarantee.

    Args:
        jobs: Jobs of all customers; closed ones are ignored.
        guaranteed: Guaranteed accelerators by customer.
    """
    by_customer: dict[str, list[OwnedJob]] = defaultdict(list)
    for job in jobs:
        if job.terms.priority == GUARANTEED_PRIORITY and not job.closed:
            by_customer[job.customer].append(job)
    covered: set[str] = set()
    for customer, owned in by_customer.items():
        left = guaranteed.get(customer, 0)
        for job in sorted(owned, key=lambda j: j.accepted_at):
            wanted = peak_accelerators(job)
            if wanted <= left:
                left -= wanted
                covered.add(job.job_id)
    return covered
