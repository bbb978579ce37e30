"""Maximums of customers: what each has in use, and which waiting work must not start yet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import Fleet
from zinniaweir.dispatch.preemption import lost_core_seconds_of
from zinniaweir.dispatch.units import Assignment, Unit
from zinniaweir.workloads.queues import ResourceLimit
from zinniaweir.workloads.quotas import fits_quota
from zinniaweir.workloads.spec import StepSpec

NO_LIMIT: Final = ResourceLimit()


@dataclass(kw_only=True, slots=True)
class Usage:
    """Resources that a customer's tasks take on all workers."""

    cpu_millis: int = 0
    """Thousandths of a core."""
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, step: StepSpec, tasks: int = 1) -> None:
        """Add tasks of a step; a negative number removes them."""
        self.cpu_millis += tasks * step.cpu_millis
        self.memory_mb += tasks * step.memory_mb
        self.accelerators += tasks * step.accelerators

    def with_tasks(self, step: StepSpec, tasks: int) -> Usage:
        """Return the resources together with tasks of a step."""
        total = Usage(
            cpu_millis=self.cpu_millis,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )
        total.add(step, tasks)
        return total

    @property
    def amounts(self) -> tuple[int, int, int]:
        """Thousandths of a core, MB and accelerators."""
        return self.cpu_millis, self.memory_mb, self.accelerators

    def within(self, limit: ResourceLimit) -> bool:
        """Return whether the resources are within a limit."""
        return limit.admits(
            cpu_millis=self.cpu_millis,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )

    def share_of(self, limit: ResourceLimit) -> float:
        """Return the largest share of a limit that is in use, 0 without a limit."""
        pairs = (
            (self.cpu_millis, limit.cpu_millis),
            (self.memory_mb, limit.memory_mb),
            (self.accelerators, limit.accelerators),
        )
        return max((used / most for used, most in pairs if most), default=0.0)


def counted_units(
    fleet: Fleet, inherited: Iterable[Assignment], now: float
) -> Iterator[tuple[Unit, bool]]:
    """Yield the unit of each task that may run, and whether the task has an assignment.

    These are runs that work, that are being started or stopped, runs without an assignment, and
    starts without an answer on a worker that may be restarting.

    Args:
        fleet: The workers with their assignments.
        inherited: Assignments of a previous owner on workers that are not in the fleet yet.
        now: Current time in seconds.
    """
    for worker in fleet:
        for assignment in worker.assignments.values():
            yield assignment.unit, True
        for key, orphan_run in worker.orphan_runs.items():
            if orphan_run.unit is not None and key not in worker.assignments:
                yield orphan_run.unit, False
        if worker.unanswered:
            for key, start in worker.late_starts.items():
                known = key in worker.assignments or key in worker.orphan_runs
                if not known and start.may_arrive(now):
                    yield start.unit, False
    for assignment in inherited:
        yield assignment.unit, True


class Quotas:
    """Maximums of customers and what counts against them during one planning pass.

    Everything that may run counts, see `counted_units`.

    Args:
        quotas: Quota by customer; a customer without one is not limited.
    """

    def __init__(self, quotas: Mapping[str, ResourceLimit] | None = None) -> None:
        self._quotas = {name: limit for name, limit in (quotas or {}).items() if limit.is_set}
        self._usage: dict[str, Usage] = {}
        self._running: dict[str, dict[Unit, None]] = {}

    def count_running(self, fleet: Fleet, inherited: Iterable[Assignment], now: float) -> None:
        """Count what may run.

        Args:
            fleet: The workers with their assignments.
            inherited: Assignments of a previous owner on workers that are not in the fleet yet.
            now: Current time in seconds.
        """
        if not self._quotas:
            return
        self._usage, self._running = {}, {}
        for unit, assigned in counted_units(fleet, inherited, now):
            self._add(unit, 1)
            if assigned and unit.job.customer in self._quotas:
                self._running.setdefault(unit.job.customer, {})[unit] = None

    @property
    def customers(self) -> Iterable[str]:
        """The customers that have a quota."""
        return self._quotas

    def quota(self, customer: str) -> ResourceLimit:
        """Return a customer's quota."""
        return self._quotas.get(customer, NO_LIMIT)

    def usage(self, customer: str) -> Usage:
        """Return what a customer has in use."""
        return self._usage.get(customer) or Usage()

    def admits(self, unit: Unit) -> bool:
        """Return whether a unit may start without exceeding its customer's quota."""
        quota = self._quotas.get(unit.job.customer)
        if quota is None:
            return True
        return self.usage(unit.job.customer).with_tasks(unit.step, len(unit.indexes)).within(quota)

    def ever_admits(self, unit: Unit) -> bool:
        """Return whether a unit fits into its customer's quota with nothing else running."""
        return fits_quota(unit.step, self.quota(unit.job.customer))

    def add(self, unit: Unit) -> None:
        """Count a unit that is placed."""
        if unit.job.customer in self._quotas:
            self._add(unit, len(unit.indexes))

    def share_in_use(self, customer: str) -> float:
        """Return the largest share of a customer's quota that is in use, 0 without one."""
        return self.usage(customer).share_of(self.quota(customer))

    def frees_enough_at(self, unit: Unit, ends: Iterable[tuple[float, Assignment]]) -> float:
        """Return when enough of a customer's work is expected to end for a unit.

        Args:
            unit: A unit that its customer's quota does not admit now.
            ends: Expected end in seconds of each of the customer's assignments.

        Returns:
            The time in seconds; infinity if the unit fits at no time.
        """
        quota = self.quota(unit.job.customer)
        total = self.usage(unit.job.customer).with_tasks(unit.step, len(unit.indexes))
        for end, assignment in sorted(ends, key=lambda pair: pair[0]):
            total.add(assignment.unit.step, -1)
            if total.within(quota):
                return end
        return float("inf")

    def assignments_of(self, customer: str) -> Iterator[Assignment]:
        """Return the assignments that count against a customer's quota."""
        for unit in self._running.get(customer, ()):
            yield from unit.assignments.values()

    def units_to_stop_for(self, unit: Unit, *, now: float) -> list[Unit]:
        """Choose less urgent work of the same customer to stop so that its quota admits a unit.

        Those with the least lost work for what they free come first. Work that is already being
        stopped counts as freed.

        Args:
            unit: A unit that its customer's quota does not admit now.
            now: Current time in seconds.

        Returns:
            The units to stop; empty if enough is being stopped, or if stopping frees too little.
        """
        quota = self.quota(unit.job.customer)
        total = self.usage(unit.job.customer).with_tasks(unit.step, len(unit.indexes))
        options: list[Unit] = []
        for running in self._running.get(unit.job.customer, ()):
            stopping = [a for a in running.assignments.values() if a.stop_reason]
            total.add(running.step, -len(stopping))
            less_urgent = running.job.terms.priority > unit.job.terms.priority
            if less_urgent and len(stopping) < len(running.assignments):
                options.append(running)
        if total.within(quota):
            return []
        options.sort(key=lambda option: _cost_of_freeing(option, now))
        chosen: list[Unit] = []
        for option in options:
            chosen.append(option)
            total.add(option.step, -_count_to_stop(option))
            if total.within(quota):
                return _without_surplus(chosen, total, quota)
        return []

    def _add(self, unit: Unit, tasks: int) -> None:
        self._usage.setdefault(unit.job.customer, Usage()).add(unit.step, tasks)


def _count_to_stop(unit: Unit) -> int:
    return sum(not assignment.stop_reason for assignment in unit.assignments.values())


def _cost_of_freeing(unit: Unit, now: float) -> float:
    """Return the lost core-seconds for each core that stopping a unit frees."""
    cores = _count_to_stop(unit) * (unit.step.cpu_millis / 1e3 + unit.step.accelerators)
    return lost_core_seconds_of(unit, now=now) / max(cores, 1e-3)


def _without_surplus(chosen: list[Unit], total: Usage, quota: ResourceLimit) -> list[Unit]:
    """Leave out the units that turned out not to be needed, the costliest first."""
    needed = list(chosen)
    for unit in reversed(chosen):
        count = _count_to_stop(unit)
        total.add(unit.step, count)
        if total.within(quota):
            needed.remove(unit)
        else:
            total.add(unit.step, -count)
    return needed
