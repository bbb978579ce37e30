"""Reservation of workers for a waiting unit, so that smaller work does not starve it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.placement import allowed_on, empty_capacity_for, group_by_rack
from zinniaweir.dispatch.shortlist import Shortlist
from zinniaweir.dispatch.units import Assignment, Unit
from zinniaweir.workloads.spec import StepSpec

MAX_RESERVATIONS: Final = 4
"""Maximum number of units with reserved capacity; more would leave too many workers idle."""
UNCAPPED_RESERVATIONS: Final = 2
"""Number of reservations that are allowed whatever share of the workers they hold."""
MAX_RESERVED_SHARE: Final = 0.3
"""Maximum share of the workers that more than `UNCAPPED_RESERVATIONS` reservations hold."""
LARGE_TASK_SHARE: Final = 0.5
"""A single task that needs more than this share of a worker gets a reservation."""


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Workers that are reserved for a unit."""

    workers: frozenset[str]
    ready_at: float
    """When all of them are expected to be free, in seconds."""


def reserve(
    unit: Unit, workers: Sequence[Worker], *, free_at: Callable[[Worker], float], one_rack: bool
) -> Reservation | None:
    """Reserve the workers that are expected to be free for a unit earliest.

    Args:
        unit: The unit that could not be placed.
        workers: Workers that may be used.
        free_at: Returns when a worker is expected to be free, in seconds.
        one_rack: Whether all workers must be in one rack.

    Returns:
        The reservation, or None if the unit would not fit even on empty workers.
    """
    usable = sorted((w for w in workers if allowed_on(unit, w)), key=free_at)
    groups = group_by_rack(usable, one_rack=one_rack)
    found = [chosen for group in groups if (chosen := _earliest_free(group, unit))]
    if not found:
        return None
    best = min(found, key=lambda chosen: max(free_at(w) for w in chosen))
    return Reservation(
        workers=frozenset(w.name for w in best),
        ready_at=max(free_at(w) for w in best),
    )


def _earliest_free(group: Sequence[Worker], unit: Unit) -> list[Worker]:
    chosen: list[Worker] = []
    capacity = 0
    for worker in group:
        chosen.append(worker)
        capacity += empty_capacity_for(unit, worker)
        if capacity >= len(unit.indexes):
            return chosen
    return []


class PassReservations:
    """Reservations of one planning pass.

    Args:
        workers: Workers that may receive work now.
        expected_end: Returns when an assignment is expected to end, in seconds.
        shortlist: Chooses the workers among which capacity is reserved in a large fleet.
        now: Current time in seconds.
    """

    def __init__(
        self,
        *,
        workers: Sequence[Worker],
        expected_end: Callable[[Assignment], float],
        shortlist: Shortlist,
        now: float,
    ) -> None:
        self._workers = workers
        self._expected_end = expected_end
        self._shortlist = shortlist
        self._now = now
        self._reservations: list[Reservation] = []
        self._ends: dict[str, float] = {}

    @property
    def any(self) -> bool:
        """Whether any capacity is reserved."""
        return bool(self._reservations)

    def ready_before(self, time: float) -> set[str]:
        """Return the workers of the reservations that begin before a time."""
        return set().union(*(r.workers for r in self._reservations if time > r.ready_at))

    def reserve(self, unit: Unit, *, spread_allowed: bool) -> None:
        """Reserve capacity for a unit that found none; single small tasks get no reservation.

        Args:
            unit: The unit.
            spread_allowed: Whether a rack-local gang may use several racks.
        """
        small = len(unit.indexes) == 1 and not _is_large(unit.step, self._workers)
        if not self._may_reserve(unit) or (small and not unit.isolated):
            return
        reserved = {name for r in self._reservations for name in r.workers}
        free = [worker for worker in self._workers if worker.name not in reserved]
        reservation = reserve(
            unit,
            self._shortlist.for_search(unit, free, now=self._now),
            free_at=lambda worker: self._free_at(worker, unit),
            one_rack=unit.step.rack_local and not spread_allowed,
        )
        if reservation is not None and reservation.ready_at > self._now:
            self._reservations.append(reservation)

    def _may_reserve(self, unit: Unit) -> bool:
        count = len(self._reservations)
        if count < UNCAPPED_RESERVATIONS:
            return True
        kept = sum(len(r.workers) for r in self._reservations) + len(unit.indexes)
        return count < MAX_RESERVATIONS and kept <= MAX_RESERVED_SHARE * len(self._workers)

    def _free_at(self, worker: Worker, unit: Unit) -> float:
        """Return when a worker is expected to hold as many tasks of a unit as if it were empty."""
        if not worker.assignments:
            return self._now
        if not unit.isolated and worker.fits(unit.demand) >= worker.fits_empty(unit.demand):
            return self._now
        end = self._ends.get(worker.name)
        if end is None:
            ends = (self._expected_end(assignment) for assignment in worker.assignments.values())
            end = self._ends[worker.name] = max(ends, default=self._now)
        return end


def _is_large(step: StepSpec, workers: Sequence[Worker]) -> bool:
    if not workers:
        return False
    entry = workers[0].entry
    return (
        step.accelerators > LARGE_TASK_SHARE * entry.accelerators
        or step.memory_mb > LARGE_TASK_SHARE * entry.memory_mb
        or step.cpu_millis > LARGE_TASK_SHARE * entry.cpu_millis
    )
