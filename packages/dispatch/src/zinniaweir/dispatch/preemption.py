"""Choice of the running work that is preempted for an urgent unit."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import Worker, fit_count
from zinniaweir.dispatch.placement import allowed_on, count_step_tasks, group_by_rack
from zinniaweir.dispatch.units import Assignment, Unit

ACCELERATOR_CORES: Final = 8
"""Cores that one accelerator counts as where lost work is computed in core-seconds."""
RESTART_COST_SECONDS: Final = 1.0
"""Time that each task of a stopped unit loses until it runs again, in addition to its work.

It makes large gangs expensive to preempt.
"""


@dataclass(frozen=True, kw_only=True)
class Eviction:
    """Units to preempt, and the workers that this frees."""

    units: tuple[Unit, ...]
    workers: tuple[str, ...]
    lost_core_seconds: float
    """Lost work in core-seconds."""


def unit_cores(unit: Unit) -> float:
    """Return the cores that all tasks of a unit use, with accelerators counted as cores."""
    step = unit.step
    return len(unit.indexes) * (step.cpu_millis / 1e3 + ACCELERATOR_CORES * step.accelerators)


def lost_core_seconds_of(unit: Unit, *, now: float) -> float:
    """Return the core-seconds that are lost when a unit is stopped.

    A checkpointing task writes a checkpoint when it is stopped, so its work is not lost.
    """
    assignments = [
        assignment for assignment in unit.assignments.values() if not assignment.stop_reason
    ]
    each = unit_cores(unit) / len(unit.indexes)
    total = 0.0
    for assignment in assignments:
        unsaved = assignment.started_at is not None and not unit.step.checkpointing
        worked = now - assignment.started_at if unsaved else 0.0
        total += each * (worked + RESTART_COST_SECONDS)
    return total


def choose_eviction(
    unit: Unit, workers: Sequence[Worker], *, now: float, spread_allowed: bool
) -> Eviction | None:
    """Choose the units to preempt so that a unit can be placed with the least lost work.

    Args:
        unit: The unit to place.
        workers: Workers that may be used.
        now: Current time in seconds.
        spread_allowed: Whether a rack-local gang may use several racks.

    Returns:
        The units to preempt, or None if preempting less urgent work frees too little capacity.
    """
    usable = [w for w in workers if allowed_on(unit, w)]
    one_rack = unit.step.rack_local and len(unit.indexes) > 1 and not spread_allowed
    groups = group_by_rack(usable, one_rack=one_rack)
    found = [e for group in groups if (e := _evict_within(unit, group, now)) is not None]
    return min(found, key=lambda e: e.lost_core_seconds, default=None)


def _evict_within(unit: Unit, workers: Sequence[Worker], now: float) -> Eviction | None:
    """Choose workers greedily, each time the one with the least lost work per task.

    A gang that is preempted on one worker frees its other workers at no further cost.
    """
    needed = len(unit.indexes)
    evicted: dict[Unit, None] = {}
    chosen: list[str] = []
    left = list(workers)
    lost_core_seconds = 0.0
    while needed > 0:
        options = [o for w in left if (o := _option(unit, w, needed, evicted, now)) is not None]
        if not options:
            return None
        best = min(options, key=lambda o: (o.lost_core_seconds / o.count, -o.count, o.worker.name))
        evicted |= dict.fromkeys(best.units)
        lost_core_seconds += best.lost_core_seconds
        needed -= best.count
        chosen.append(best.worker.name)
        left.remove(best.worker)
    return Eviction(
        units=tuple(evicted), workers=tuple(chosen), lost_core_seconds=lost_core_seconds
    )


@dataclass(frozen=True, kw_only=True)
class _Option:
    worker: Worker
    count: int
    units: tuple[Unit, ...]
    lost_core_seconds: float


def _option(
    unit: Unit, worker: Worker, needed: int, evicted: Collection[Unit], now: float
) -> _Option | None:
    """Return the option with the least lost work per task to fit some tasks on a worker."""
    step, entry = unit.step, worker.entry
    max_count = needed
    if step.max_per_worker:
        max_count = min(max_count, step.max_per_worker - count_step_tasks(unit, worker))
    cpu = entry.cpu_millis - worker.used_cpu
    memory = entry.memory_mb - worker.used_memory
    accelerators = entry.accelerators - worker.used_accelerators
    preemptible = [a for a in worker.assignments.values() if _may_stop(a, unit, evicted)]
    preemptible.sort(key=lambda a: _stop_cost(a, evicted, now))
    new_units: dict[Unit, None] = {}
    best: _Option | None = None
    for assignment in [None, *preemptible]:
        if assignment is not None:
            if assignment.unit not in evicted:
                new_units[assignment.unit] = None
            cpu += assignment.unit.step.cpu_millis
            memory += assignment.unit.step.memory_mb
            accelerators += assignment.unit.step.accelerators
        fits = fit_count(unit.demand, cpu=cpu, memory=memory, accelerators=accelerators)
        count = min(max_count, fits)
        if count <= 0:
            continue
        lost_core_seconds = sum(lost_core_seconds_of(u, now=now) for u in new_units)
        option = _Option(
            worker=worker,
            count=count,
            units=tuple(new_units),
            lost_core_seconds=lost_core_seconds,
        )
        if best is None or lost_core_seconds / count < best.lost_core_seconds / best.count:
            best = option
        if count == max_count:
            break
    return best


def _may_stop(assignment: Assignment, unit: Unit, evicted: Collection[Unit]) -> bool:
    if assignment.stop_reason or assignment.unit in evicted:
        return True
    return assignment.unit.job.terms.priority > unit.job.terms.priority


def _stop_cost(assignment: Assignment, evicted: Collection[Unit], now: float) -> float:
    if assignment.stop_reason or assignment.unit in evicted:
        return 0.0
    return lost_core_seconds_of(assignment.unit, now=now)
