"""Compares what each customer's gangs hold with its quota."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from zinniaweir.core.decisions import Reason
from zinniaweir.core.job import Job
from zinniaweir.core.settings import Customer, Settings
from zinniaweir.core.shape import Amounts
from zinniaweir.workloads.shares import within_limits

NO_QUOTA = Customer(name="")


@dataclass(slots=True)
class _Usage:
    amounts: Amounts = (0, 0, 0)
    jobs: int = 0


class Quotas:
    """Count the gangs that each customer has placed, and what they hold."""

    def __init__(self, settings: Settings) -> None:
        self._customers = {customer.name: customer for customer in settings.customers}
        self._usage: dict[str, _Usage] = {}
        self.weights = {c.name: c.weight for c in settings.customers if c.weight is not None}
        """The stated weights by customer."""

    def with_settings(self, settings: Settings) -> Quotas:
        """Return quotas of new settings that share the current usage."""
        quotas = Quotas(settings)
        quotas._usage = self._usage
        return quotas

    def add(self, job: Job) -> None:
        """Count a gang that holds capacity."""
        usage = self._usage.setdefault(job.customer, _Usage())
        usage.amounts = _sum(usage.amounts, job.shape.amounts)
        usage.jobs += 1

    def remove(self, job: Job) -> None:
        """Stop counting a gang that released its capacity."""
        usage = self._usage[job.customer]
        cores, memory, accelerators = job.shape.amounts
        usage.amounts = _sum(usage.amounts, (-cores, -memory, -accelerators))
        usage.jobs -= 1

    @property
    def used(self) -> Mapping[str, Amounts]:
        """What the gangs of each customer hold."""
        return {customer: usage.amounts for customer, usage in self._usage.items()}

    def accelerators(self, customer: str) -> int:
        """Return the accelerators that a customer's gangs hold."""
        usage = self._usage.get(customer)
        return usage.amounts[2] if usage else 0

    def limits(self, customer: str) -> tuple[int | None, int | None, int | None]:
        """Return the quota of cores, bytes of memory and accelerators, None for no limit."""
        found = self._customers.get(customer, NO_QUOTA)
        return found.quota_cores, found.quota_memory_bytes, found.quota_accelerators

    def allows(self, job: Job) -> bool:
        """Return whether one more gang stays within the quota."""
        customer = self._customers.get(job.customer)
        if customer is None:
            return True
        usage = self._usage.get(job.customer) or _Usage()
        if customer.quota_running_jobs is not None and usage.jobs >= customer.quota_running_jobs:
            return False
        return within_limits(_sum(usage.amounts, job.shape.amounts), self.limits(job.customer))

    def refusal(self, job: Job) -> tuple[Reason, str] | None:
        """Return why the customer's settings never let the job run, or None if they do."""
        customer = self._customers.get(job.customer)
        if customer is None:
            return None
        if job.priority not in customer.priorities:
            return Reason.PRIORITY_NOT_PERMITTED, f"{job.priority} is not permitted"
        names = ("cores", "bytes of memory", "accelerators")
        limits = self.limits(job.customer)
        for need, quota, name in zip(job.shape.amounts, limits, names, strict=True):
            if quota is not None and need > quota:
                return Reason.EXCEEDS_QUOTA, f"{need} {name} exceed the quota of {quota}"
        if customer.quota_running_jobs == 0:
            return Reason.EXCEEDS_QUOTA, "the quota of running jobs is 0"
        return None


def _sum(first: Amounts, second: Amounts) -> Amounts:
    return first[0] + second[0], first[1] + second[1], first[2] + second[2]
