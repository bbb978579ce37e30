"""Which running work is stopped, so that an urgent unit gets its room in time."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import Worker, fit_count
from zinniaweir.dispatch.placement import allowed_on, by_rack, tasks_of_step_on
from zinniaweir.dispatch.units import Assignment, Unit

ACCELERATOR_CORES: Final = 8
"""Work thrown away is counted in core-seconds, and an accelerator counts as this many cores."""
RESTART_SECONDS: Final = 1.0
"""What a stopped unit loses beside its work until it runs again; it spares large gangs."""
UNSAVED_SECONDS: Final = 1.0
"""Work of a checkpointing task that is lost on average, half of the time between checkpoints."""


@dataclass(frozen=True, kw_only=True)
class Eviction:
    """Units that make way, and where they do."""

    units: frozenset[Unit]
    workers: tuple[str, ...]
    lost: float
    """Core-seconds that are thrown away."""


def unit_cores(unit: Unit) -> float:
    """Return the cores that all tasks of a unit take, accelerators counted in."""
    step = unit.step
    return len(unit.indexes) * (step.cpu_millis / 1e3 + ACCELERATOR_CORES * step.accelerators)


def lost_work(unit: Unit, *, now: float) -> float:
    """Return the core-seconds that are thrown away when a unit is stopped."""
    assignments = [
        assignment for assignment in unit.assignments.values() if not assignment.stop_reason
    ]
    each = unit_cores(unit) / len(unit.indexes)
    total = 0.0
    for assignment in assignments:
        worked = 0.0 if assignment.started_at is None else now - assignment.started_at
        if unit.step.checkpointing:
            worked = min(worked, UNSAVED_SECONDS)
        total += each * (worked + RESTART_SECONDS)
    return total


def choose_eviction(
    unit: Unit, workers: Sequence[Worker], *, now: float, spread_allowed: bool
) -> Eviction | None:
    """Choose what to stop so that a unit can be placed, with the least work lost.

    Args:
        unit: The unit that needs room.
        workers: Workers that may be used.
        now: Present time in seconds.
        spread_allowed: Whether a rack-local gang may use several racks.

    Returns:
        What to stop, None if stopping less urgent work does not help.
    """
    usable = [w for w in workers if allowed_on(unit, w)]
    one_rack = unit.step.rack_local and len(unit.indexes) > 1 and not spread_allowed
    groups = by_rack(usable, together=one_rack)
    found = [e for group in groups if (e := _evict_in(unit, group, now)) is not None]
    return min(found, key=lambda e: e.lost, default=None)


def _evict_in(unit: Unit, workers: Sequence[Worker], now: float) -> Eviction | None:
    """Take workers one by one, each time the one that costs least for a task.

    A gang that was stopped for one worker frees its others at no further cost.
    """
    needed = len(unit.indexes)
    evicted: set[Unit] = set()
    chosen: list[str] = []
    left = list(workers)
    lost = 0.0
    while needed > 0:
        options = [o for w in left if (o := _option(unit, w, needed, evicted, now)) is not None]
        if not options:
            return None
        best = min(options, key=lambda o: (o.lost / o.count, -o.count, o.worker.name))
        evicted |= best.units
        lost += best.lost
        needed -= best.count
        chosen.append(best.worker.name)
        left.remove(best.worker)
    return Eviction(units=frozenset(evicted), workers=tuple(chosen), lost=lost)


@dataclass(frozen=True, kw_only=True)
class _Option:
    worker: Worker
    count: int
    units: frozenset[Unit]
    lost: float


def _option(
    unit: Unit, worker: Worker, needed: int, evicted: set[Unit], now: float
) -> _Option | None:
    """Return the cheapest way to fit some tasks of a unit on a worker."""
    step, entry = unit.step, worker.entry
    most = needed
    if step.max_per_worker:
        most = min(most, step.max_per_worker - tasks_of_step_on(unit, worker))
    cpu = entry.cpu_millis - worker.used_cpu
    memory = entry.memory_mb - worker.used_memory
    accelerators = entry.accelerators - worker.used_accelerators
    lower = [s for s in worker.assignments.values() if _may_stop(s, unit, evicted)]
    lower.sort(key=lambda s: _price(s, evicted, now))
    units: set[Unit] = set()
    best: _Option | None = None
    for assignment in [None, *lower]:
        if assignment is not None:
            units.add(assignment.unit)
            cpu += assignment.unit.step.cpu_millis
            memory += assignment.unit.step.memory_mb
            accelerators += assignment.unit.step.accelerators
        fits = fit_count(unit.demand, cpu=cpu, memory=memory, accelerators=accelerators)
        count = min(most, fits)
        if count <= 0:
            continue
        fresh = units - evicted
        lost = sum(lost_work(u, now=now) for u in fresh)
        option = _Option(worker=worker, count=count, units=frozenset(fresh), lost=lost)
        if best is None or lost / count < best.lost / best.count:
            best = option
        if count == most:
            break
    return best


def _may_stop(assignment: Assignment, unit: Unit, evicted: Iterable[Unit]) -> bool:
    if assignment.stop_reason or assignment.unit in evicted:
        return True
    return assignment.unit.job.terms.priority > unit.job.terms.priority


def _price(assignment: Assignment, evicted: set[Unit], now: float) -> float:
    if assignment.stop_reason or assignment.unit in evicted:
        return 0.0
    return lost_work(assignment.unit, now=now)
