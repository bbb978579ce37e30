"""Compares the gangs and accelerators of each customer with its quota."""

from __future__ import annotations

from dataclasses import dataclass

from zinniaweir.core.decisions import Reason
from zinniaweir.core.job import Job
from zinniaweir.core.settings import Settings


@dataclass(slots=True)
class _Usage:
    accelerators: int = 0
    jobs: int = 0


class Quotas:
    """Count the gangs and accelerators that each customer holds."""

    def __init__(self, settings: Settings) -> None:
        self._customers = {customer.name: customer for customer in settings.customers}
        self._usage: dict[str, _Usage] = {}

    def with_settings(self, settings: Settings) -> Quotas:
        """Return quotas of new settings that share the current usage."""
        quotas = Quotas(settings)
        quotas._usage = self._usage
        return quotas

    def add(self, job: Job) -> None:
        """Count a gang that holds capacity."""
        usage = self._usage.setdefault(job.customer, _Usage())
        usage.accelerators += job.shape.total_accelerators
        usage.jobs += 1

    def remove(self, job: Job) -> None:
        """Stop counting a gang that released its capacity."""
        usage = self._usage[job.customer]
        usage.accelerators -= job.shape.total_accelerators
        usage.jobs -= 1

    def accelerators(self, customer: str) -> int:
        """Return the accelerators that a customer's gangs hold."""
        usage = self._usage.get(customer)
        return usage.accelerators if usage else 0

    def allows(self, job: Job) -> bool:
        """Return whether one more gang stays within the quota."""
        customer = self._customers.get(job.customer)
        if customer is None:
            return True
        usage = self._usage.get(job.customer) or _Usage()
        if customer.quota_running_jobs is not None and usage.jobs >= customer.quota_running_jobs:
            return False
        quota = customer.quota_accelerators
        return quota is None or usage.accelerators + job.shape.total_accelerators <= quota

    def refusal(self, job: Job) -> tuple[Reason, str] | None:
        """Return why the customer's settings never let the job run, or None if they do."""
        customer = self._customers.get(job.customer)
        if customer is None:
            return None
        if job.priority not in customer.priorities:
            return Reason.PRIORITY_NOT_PERMITTED, f"{job.priority} is not permitted"
        quota = customer.quota_accelerators
        if quota is not None and job.shape.total_accelerators > quota:
            need = job.shape.total_accelerators
            return Reason.EXCEEDS_QUOTA, f"{need} accelerators exceed the quota of {quota}"
        if customer.quota_running_jobs == 0:
            return Reason.EXCEEDS_QUOTA, "the quota of running jobs is 0"
        return None
