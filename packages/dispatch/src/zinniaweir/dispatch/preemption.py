"""Choice of the running work that is preempted for an urgent unit."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import Worker, fit_count
from zinniaweir.dispatch.placement import allowed_on, count_step_tasks, group_by_rack
from zinniaweir.dispatch.preemption_history import BATCH_PRIORITY
from zinniaweir.dispatch.units import Demand, Unit

ACCELERATOR_CORES: Final = 8
"""Cores that one accelerator counts as where lost work is computed in core-seconds."""
RESTART_COST_SECONDS: Final = 1.0
"""Time that each task of a stopped unit loses until it runs again, in addition to its work.

It makes large gangs expensive to preempt.
"""
RESTORE_COST_SECONDS: Final = 0.6
"""Time that a checkpointing task takes to restore the checkpoint that its stop writes."""
UNIT_STOP_COST: Final = 8.0
"""Cost of each stopped unit in core-seconds, so that one stop is preferred to ten small ones."""
REPEAT_COST_SECONDS: Final = 1.0
"""Cost of each earlier preemption of a unit, in seconds of its tasks."""
SIBLING_COST_SECONDS: Final = 0.5
"""Cost of a recent preemption in the same job, in seconds of the unit's tasks.

Otherwise a burst of urgent gangs hits one batch job only, as its tasks began together.
"""
PREEMPTION_INTERVAL_SECONDS: Final = 1.2
"""Minimum interval between preemptions for one unit; a stop takes up to 0.9 s."""
PREEMPTION_SEARCH_INTERVAL_SECONDS: Final = 0.15
"""Minimum interval between searches for work to preempt for one unit.

A search examines all running work.
"""
MAX_PREEMPTION_LOSS_RATIO: Final = 2.0
"""Maximum work lost by a preemption, as a multiple of the preempting unit's own core-seconds.

Applies to urgent work beyond a guarantee. Other work has seconds to spare, urgent work has none.
"""
LATE_COST_SECONDS: Final = 8.0
"""Cost of making a unit late, in seconds of its tasks."""
GANG_COST_FACTOR: Final = 2.0
"""Factor on the cost of stopping work of a priority before batch work."""


@dataclass(frozen=True, kw_only=True)
class Eviction:
    """Units to preempt, and the workers that this frees."""

    units: tuple[Unit, ...]
    workers: tuple[str, ...]
    lost_core_seconds: float
    """Lost work in core-seconds."""
    cost: float
    """Cost by which it was chosen: the lost work, with repeated preemptions counted as more."""


def unit_cores(unit: Unit) -> float:
    """Return the cores that all tasks of a unit use, with accelerators counted as cores."""
    step = unit.step
    return len(unit.indexes) * (step.cpu_millis / 1e3 + ACCELERATOR_CORES * step.accelerators)


def search_due(unit: Unit, *, now: float) -> bool:
    """Return whether work to preempt for a unit may be searched for again, and note it.

    Args:
        unit: The waiting unit.
        now: Current time in seconds.
    """
    if (
        unit.preempted_for_at is not None
        and now - unit.preempted_for_at < PREEMPTION_INTERVAL_SECONDS
    ):
        return False
    if (
        unit.preemption_searched_at is not None
        and now - unit.preemption_searched_at < PREEMPTION_SEARCH_INTERVAL_SECONDS
    ):
        return False
    unit.preemption_searched_at = now
    return True


def worth_losing(unit: Unit, lost_core_seconds: float, expected_seconds: float) -> bool:
    """Return whether urgent work beyond a guarantee may cost as much work of others.

    Args:
        unit: The unit that needs capacity.
        lost_core_seconds: Work that is lost.
        expected_seconds: Expected duration of the unit's tasks.
    """
    return lost_core_seconds <= MAX_PREEMPTION_LOSS_RATIO * unit_cores(unit) * expected_seconds


def unsaved_core_seconds_of(unit: Unit, *, now: float) -> float:
    """Return the core-seconds that are really lost when a unit is stopped.

    A checkpointing task writes a checkpoint when it is stopped, so it loses the time to restore it
    and none of its work.
    """
    step = unit.step
    each = unit_cores(unit) / len(unit.indexes)
    total = 0.0
    for assignment in unit.assignments.values():
        if assignment.stop_reason:
            continue
        lost = RESTART_COST_SECONDS
        if assignment.started_at is not None:
            lost += RESTORE_COST_SECONDS if step.checkpointing else now - assignment.started_at
        total += each * lost
    return total


def lost_core_seconds_of(unit: Unit, *, now: float) -> float:
    """Return the core-seconds that stopping a unit costs, by which victims are chosen.

    It is the lost work, and more for a unit that was preempted before, for one of a job of which
    another unit was just preempted, and for work that goes before batch work.
    """
    running = sum(not assignment.stop_reason for assignment in unit.assignments.values())
    if not running:
        return 0.0
    repeats = REPEAT_COST_SECONDS * unit.preemptions.count
    if unit.job.preemptions.is_recent(now):
        repeats += SIBLING_COST_SECONDS
    cores = unit_cores(unit) * running / len(unit.indexes)
    cost = unsaved_core_seconds_of(unit, now=now) + repeats * cores
    if unit.job.terms.priority < BATCH_PRIORITY:
        cost *= GANG_COST_FACTOR
    return cost + UNIT_STOP_COST


@dataclass(frozen=True, kw_only=True, slots=True)
class _Option:
    """Units to stop on one worker so that some tasks fit there."""

    count: int
    units: tuple[Unit, ...]
    cost: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Purpose:
    """What work is preempted for; options of a worker are the same for equal ones."""

    demand: Demand
    priority: int
    """Only work of higher priority numbers is stopped."""
    guaranteed: bool
    """Whether protected units may be stopped, for a guarantee."""


class EvictionSearch:
    """Search for units to preempt during one planning pass.

    Costs of units and options of workers are computed once for all units of the pass that need the
    same, as the search examines all running work.

    Args:
        now: Current time in seconds.
        late_if_stopped: Returns whether a unit in time is late if it is stopped.
    """

    def __init__(self, *, now: float, late_if_stopped: Callable[[Unit], bool]) -> None:
        self._now = now
        self._late_if_stopped = late_if_stopped
        self._costs: dict[Unit, float] = {}
        self._options: dict[_Purpose, dict[str, tuple[int, tuple[_Option, ...]]]] = {}
        """Options by worker, with the number of its assignments when they were computed."""

    def forget(self, units: Iterable[Unit]) -> None:
        """Discard what is known of units that are stopped, and of their workers."""
        for unit in units:
            self._costs.pop(unit, None)
            for assignment in unit.assignments.values():
                for by_worker in self._options.values():
                    by_worker.pop(assignment.worker, None)

    def choose(
        self, unit: Unit, workers: Sequence[Worker], *, spread_allowed: bool, guaranteed: bool
    ) -> Eviction | None:
        """Choose the units to preempt so that a unit can be placed at the least cost.

        A single task stops a gang of another priority only if stopping batch work does not help.

        Args:
            unit: The unit to place.
            workers: Workers that may be used.
            spread_allowed: Whether a rack-local gang may use several racks.
            guaranteed: Whether the unit is covered by a guarantee.

        Returns:
            The units to preempt, or None if preempting less urgent work frees too little capacity.
        """
        usable = [w for w in workers if allowed_on(unit, w)]
        one_rack = unit.step.rack_local and len(unit.indexes) > 1 and not spread_allowed
        groups = group_by_rack(usable, one_rack=one_rack)
        priorities = [unit.job.terms.priority]
        if len(unit.indexes) == 1 and priorities[0] < BATCH_PRIORITY - 1:
            priorities.insert(0, BATCH_PRIORITY - 1)
        for priority in priorities:
            purpose = _Purpose(demand=unit.demand, priority=priority, guaranteed=guaranteed)
            found = [e for group in groups if (e := self._evict_within(unit, group, purpose))]
            if found:
                return min(found, key=lambda e: e.cost)
        return None

    def _evict_within(
        self, unit: Unit, workers: Sequence[Worker], purpose: _Purpose
    ) -> Eviction | None:
        """Choose workers greedily, each time the one with the least cost per task.

        A gang that is preempted on one worker frees its other workers at no further cost.
        """
        needed = len(unit.indexes)
        options = {w.name: (w, self._options_on(unit, w, purpose)) for w in workers}
        if sum(found[-1].count for _, found in options.values() if found) < needed:
            return None
        evicted: dict[Unit, None] = {}
        chosen: list[str] = []
        cost = 0.0
        heap = [entry for name in options for entry in _entries(name, options[name][1], needed)]
        heapq.heapify(heap)
        while needed > 0 and heap:
            ratio, _, name, index = heapq.heappop(heap)
            if name not in options:
                continue
            found = options[name][1]
            if index >= len(found):
                continue
            option = found[index]
            count = min(option.count, needed)
            if option.cost / count != ratio:
                # Fewer tasks are left, or the options changed, since the entry was made.
                heapq.heappush(heap, (option.cost / count, -count, name, index))
                continue
            del options[name]
            chosen.append(name)
            needed -= count
            cost += option.cost
            new = [u for u in option.units if u not in evicted]
            evicted |= dict.fromkeys(new)
            for other in {a.worker for u in new for a in u.assignments.values()} & options.keys():
                worker = options[other][0]
                found = self._find_options(worker, purpose, evicted)
                options[other] = (worker, _limited(unit, worker, found))
                for entry in _entries(other, options[other][1], max(needed, 1)):
                    heapq.heappush(heap, entry)
        if needed > 0:
            return None
        return Eviction(
            units=tuple(evicted),
            workers=tuple(chosen),
            lost_core_seconds=sum(unsaved_core_seconds_of(u, now=self._now) for u in evicted),
            cost=cost,
        )

    def _options_on(self, unit: Unit, worker: Worker, purpose: _Purpose) -> tuple[_Option, ...]:
        by_worker = self._options.setdefault(purpose, {})
        known = by_worker.get(worker.name)
        if known is None or known[0] != len(worker.assignments):
            found = self._find_options(worker, purpose, ())
            known = by_worker[worker.name] = (len(worker.assignments), found)
        return _limited(unit, worker, known[1])

    def _cost_of(self, unit: Unit) -> float:
        cost = self._costs.get(unit)
        if cost is None:
            cost = lost_core_seconds_of(unit, now=self._now)
            if self._late_if_stopped(unit):
                cost += LATE_COST_SECONDS * unit_cores(unit)
            self._costs[unit] = cost
        return cost

    def _find_options(
        self, worker: Worker, purpose: _Purpose, evicted: Collection[Unit]
    ) -> tuple[_Option, ...]:
        """Return what can be stopped on a worker, in the order of the tasks that then fit."""
        free = _Free(worker)
        victims: dict[Unit, int] = {}
        """Number of tasks on the worker, by unit."""
        for assignment in worker.assignments.values():
            victim = assignment.unit
            if assignment.stop_reason or victim in evicted:
                free.add(victim.demand)
            elif victim.job.terms.priority > purpose.priority and (
                purpose.guaranteed or not victim.preemptions.protected
            ):
                victims[victim] = victims.get(victim, 0) + 1
        count = free.fits(purpose.demand)
        found = [_Option(count=count, units=(), cost=0.0)] if count else []
        order = sorted(victims, key=lambda v: self._cost_of(v) / (victims[v] * _weight(v.demand)))
        alike = len({(victim.demand, tasks) for victim, tasks in victims.items()}) == 1
        chosen: list[Unit] = []
        cost = 0.0
        for victim in order:
            chosen.append(victim)
            cost += self._cost_of(victim)
            free.add(victim.demand, victims[victim])
            fits = free.fits(purpose.demand)
            if fits <= count:
                continue
            count = fits
            if alike:
                # Each one frees the same, so all of them are needed.
                found.append(_Option(count=count, units=tuple(chosen), cost=cost))
                continue
            needed = _without_surplus(chosen, victims, free, purpose.demand, count, self._cost_of)
            needed_cost = sum(self._cost_of(u) for u in needed)
            found.append(_Option(count=count, units=tuple(needed), cost=needed_cost))
        return tuple(found)


class _Free:
    """Resources of a worker that are free once some units are stopped."""

    def __init__(self, worker: Worker) -> None:
        entry = worker.entry
        self._cpu = entry.cpu_millis - worker.used_cpu
        self._memory = entry.memory_mb - worker.used_memory
        self._accelerators = entry.accelerators - worker.used_accelerators

    def add(self, demand: Demand, tasks: int = 1) -> None:
        self._cpu += tasks * demand.cpu_millis
        self._memory += tasks * demand.memory_mb
        self._accelerators += tasks * demand.accelerators

    def fits(self, demand: Demand) -> int:
        return fit_count(
            demand, cpu=self._cpu, memory=self._memory, accelerators=self._accelerators
        )


def _weight(demand: Demand) -> float:
    return max(demand.cpu_millis / 1e3 + ACCELERATOR_CORES * demand.accelerators, 1e-3)


def _without_surplus(
    chosen: Sequence[Unit],
    victims: dict[Unit, int],
    free: _Free,
    demand: Demand,
    count: int,
    cost_of: Callable[[Unit], float],
) -> list[Unit]:
    """Leave out the units that need not be stopped for a number of tasks, the costliest first."""
    left_out: set[Unit] = set()
    for victim in sorted(chosen, key=cost_of, reverse=True):
        free.add(victim.demand, -victims[victim])
        if free.fits(demand) >= count:
            left_out.add(victim)
        else:
            free.add(victim.demand, victims[victim])
    for victim in left_out:
        free.add(victim.demand, victims[victim])
    return [victim for victim in chosen if victim not in left_out]


def _limited(unit: Unit, worker: Worker, options: tuple[_Option, ...]) -> tuple[_Option, ...]:
    """Apply the step's limit of tasks per worker to the options of a worker."""
    if not unit.step.max_per_worker:
        return options
    limit = unit.step.max_per_worker - count_step_tasks(unit, worker)
    found: list[_Option] = []
    for option in options:
        if limit <= 0:
            break
        found.append(_Option(count=min(option.count, limit), units=option.units, cost=option.cost))
        if option.count >= limit:
            break
    return tuple(found)


def _entries(
    name: str, options: Sequence[_Option], needed: int
) -> Iterator[tuple[float, int, str, int]]:
    """Return heap entries of a worker's options: cost per task, tasks, worker and position."""
    for index, option in enumerate(options):
        count = min(option.count, needed)
        yield option.cost / count, -count, name, index
        if option.count >= needed:
            return
