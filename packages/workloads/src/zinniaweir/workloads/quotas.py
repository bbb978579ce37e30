"""Check of a job against its customer's quota."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zinniaweir.workloads.queues import ResourceLimit
    from zinniaweir.workloads.spec import StepSpec


def fits_quota(step: StepSpec, quota: ResourceLimit) -> bool:
    """Return whether what has to run together of a step fits into a customer's quota.

    Args:
        step: The step; its tasks run together if it is a gang, else each may run alone.
        quota: The customer's quota.
    """
    tasks = step.count if step.gang else 1
    return quota.admits(
        cpu_millis=tasks * step.cpu_millis,
        memory_mb=tasks * step.memory_mb,
        accelerators=tasks * step.accelerators,
    )
