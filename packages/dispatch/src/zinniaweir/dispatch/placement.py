"""Placement: the choice of workers with free capacity for the tasks of a unit."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.ordering import URGENT_PRIORITY
from zinniaweir.dispatch.units import Unit

CRITERIA_BEFORE_SPEED: Final = 3
"""Number of criteria of a candidate's cost that count before its speed for a gang."""
CRITERIA_BEFORE_PACKED_SPEED: Final = 4
"""Number of those that count before its speed for a single task: tight packing is the fourth."""


@dataclass(kw_only=True, slots=True)
class Candidate:
    """A worker with free capacity for tasks of a unit."""

    worker: Worker
    count: int
    """Number of tasks that fit."""
    cost: tuple[float, ...]
    """Sort key; lower is better."""
    level: int = 0
    """Speed level; 0 is usual, higher is faster."""


def allowed_on(unit: Unit, worker: Worker) -> bool:
    """Return whether a unit could run on a worker if nothing else ran there."""
    entry, step = worker.entry, unit.step
    return (
        entry.service == unit.job.terms.service
        and (not step.required_label or step.required_label in entry.labels)
        and worker.fits_empty(unit.demand) > 0
    )


def empty_capacity_for(unit: Unit, worker: Worker) -> int:
    """Return how many tasks of a unit's step an empty worker can hold."""
    return _apply_worker_limit(unit, worker.fits_empty(unit.demand))


def group_by_rack(workers: Iterable[Worker], *, one_rack: bool) -> list[list[Worker]]:
    """Return workers in groups, within each of which a gang may be placed.

    Args:
        workers: The workers to group.
        one_rack: Whether a gang must stay in one rack; otherwise all workers are one group.
    """
    groups: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        groups[worker.entry.rack if one_rack else ""].append(worker)
    return list(groups.values())


def count_step_tasks(unit: Unit, worker: Worker) -> int:
    """Return how many tasks of the unit's step are assigned to a worker."""
    return worker.step_tasks.get((unit.job.job_id, unit.step_number), 0)


def capacity_for(unit: Unit, worker: Worker, *, empty_only: bool = False) -> int:
    """Return how many tasks of a unit's step fit on a worker now.

    Args:
        unit: The unit.
        worker: The worker.
        empty_only: Whether only a worker without any task counts.
    """
    if empty_only and worker.assignments:
        return 0
    count = worker.fits(unit.demand)
    if count and unit.step.max_per_worker:
        count = _apply_worker_limit(unit, count, present=count_step_tasks(unit, worker))
    return count


def _apply_worker_limit(unit: Unit, count: int, *, present: int = 0) -> int:
    """Apply the step's limit of tasks per worker to a number of tasks that fit."""
    max_tasks = unit.step.max_per_worker
    return min(count, max_tasks - present) if max_tasks else count


def choose_workers(
    unit: Unit,
    workers: Iterable[Worker],
    *,
    rack_use: Mapping[str, int],
    penalty: Callable[[str], float] = lambda _: 0.0,
    speed_level: Callable[[Worker], int] | None = None,
    conflicts: Callable[[Worker], int] | None = None,
    spread_allowed: bool = False,
    empty_only: bool = False,
) -> list[Worker] | None:
    """Choose a worker for each task of a unit.

    Tasks are packed tightly, so that whole workers and racks stay free for large gangs.

    Args:
        unit: The unit to place.
        workers: Workers that may be used.
        rack_use: Accelerators in use, by rack.
        penalty: Returns how little a worker is trusted; those with higher values are used last.
        speed_level: Returns the speed level of a worker; None if all are of the usual speed. Urgent
            units get fast workers, other units those that are left, and gangs get workers of like
            speed. It decides only between workers with equal failures and distance from the
            data, so no unit waits or spreads for it.
        conflicts: Returns 1 for a worker with work that slows the unit down, or is slowed down by
            it, else 0; None if nothing is known to. It decides only between workers with equal
            failures and distance from the data.
        spread_allowed: Whether a rack-local gang may use several racks.
        empty_only: Whether only workers without any task may be used.

    Returns:
        One worker for each index of the unit, or None if the tasks don't fit.
    """
    candidates = []
    for worker in workers:
        count = capacity_for(unit, worker, empty_only=empty_only)
        if count > 0:
            level = speed_level(worker) if speed_level is not None else 0
            rack_used = rack_use.get(worker.entry.rack, 0)
            conflict = conflicts(worker) if conflicts is not None else 0
            cost = _cost(unit, worker, penalty(worker.name), rack_used, conflict)
            candidates.append(Candidate(worker=worker, count=count, cost=cost, level=level))
    needed = len(unit.indexes)
    if sum(candidate.count for candidate in candidates) < needed:
        return None
    urgent = unit.job.terms.priority == URGENT_PRIORITY
    if needed == 1:
        return [min(candidates, key=lambda c: _single_task_cost(c, urgent=urgent)).worker]
    candidates.sort(key=lambda c: c.cost)
    if unit.step.rack_local:
        found = _fill_one_rack(candidates, needed, urgent=urgent)
        if found is not None or not spread_allowed:
            return found
        # On several racks it is slow anyway; workers of like speed might be on more of them.
        return _fill(candidates, needed)
    return _fill_alike(candidates, needed, urgent=urgent)


def max_rack_capacity(workers: Iterable[Worker], unit: Unit) -> int:
    """Return how many tasks of a unit's step the largest rack could hold if it were empty."""
    racks = group_by_rack(workers, one_rack=True)
    return max((sum(empty_capacity_for(unit, w) for w in rack) for rack in racks), default=0)


def _single_task_cost(candidate: Candidate, *, urgent: bool) -> tuple[float, ...]:
    """Return the sort key of a worker for a single task, with its speed after tight packing.

    Patient tasks leave fast workers to urgent ones, but use slow ones no sooner than usual ones.
    """
    level = candidate.level
    speed_cost = float(-level if urgent else max(level, 0))
    cost = candidate.cost
    return (*cost[:CRITERIA_BEFORE_PACKED_SPEED], speed_cost, *cost[CRITERIA_BEFORE_PACKED_SPEED:])


def _cost(
    unit: Unit, worker: Worker, penalty: float, rack_used: int, conflict: int
) -> tuple[float, ...]:
    step = unit.step
    off_home_rack = bool(step.home_rack) and worker.entry.rack != step.home_rack
    left = worker.free_accelerators - step.accelerators
    memory_left = worker.entry.memory_mb - worker.used_memory - step.memory_mb
    return (
        penalty,
        float(off_home_rack),
        float(conflict),
        float(left),
        -float(rack_used),
        float(memory_left),
    )


def _fill_one_rack(
    candidates: Sequence[Candidate], needed: int, *, urgent: bool
) -> list[Worker] | None:
    racks: dict[str, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        racks[candidate.worker.entry.rack].append(candidate)
    fitting = [rack for rack in racks.values() if sum(c.count for c in rack) >= needed]
    if not fitting:
        return None
    if urgent and any(c.level for c in candidates):
        fitting = _fastest(fitting, needed)
    rack = min(fitting, key=lambda rack: sum(c.count for c in rack))
    return _fill_alike(rack, needed, urgent=urgent)


def _fastest(racks: Sequence[list[Candidate]], needed: int) -> list[list[Candidate]]:
    """Return the racks in which the slowest member of a gang is fastest."""
    levels = [_gang_level(rack, needed) for rack in racks]
    best = max(levels)
    return [rack for rack, level in zip(racks, levels, strict=True) if level == best]


def _gang_level(candidates: Sequence[Candidate], needed: int) -> int:
    """Return the highest level of which, or above, there is capacity for a whole gang."""
    for candidate in sorted(candidates, key=lambda c: -c.level):
        needed -= candidate.count
        if needed <= 0:
            return candidate.level
    raise ValueError("too little capacity")


def _fill_alike(
    candidates: Sequence[Candidate], needed: int, *, urgent: bool
) -> list[Worker] | None:
    """Fill candidates in their order, but with members of like speed if they differ."""
    levels = sorted({candidate.level for candidate in candidates})
    if len(levels) < 2:
        return _fill(candidates, needed)
    best: tuple[tuple[float, ...], list[Worker]] | None = None
    for level in levels:
        eligible = [candidate for candidate in candidates if candidate.level >= level]
        eligible.sort(key=lambda c: (*c.cost[:CRITERIA_BEFORE_SPEED], c.level, c.cost))
        chosen = _fill(eligible, needed)
        if chosen is None:
            break
        score = _gang_score(eligible, needed, urgent=urgent)
        if best is None or score < best[0]:
            best = score, chosen
    return None if best is None else best[1]


def _gang_score(candidates: Sequence[Candidate], needed: int, *, urgent: bool) -> tuple[float, ...]:
    """Return the sort key of a choice for a gang; lower is better.

    Failures and the distance from the data come first, summed over the members. Of the speeds, an
    urgent gang minds its slowest member; other gangs mind the fast workers that they take and the
    speed that is wasted, since all members run as slowly as the slowest one.
    """
    costs = [0.0] * CRITERIA_BEFORE_SPEED
    levels: list[int] = []
    for candidate in candidates:
        count = min(candidate.count, needed - len(levels))
        if not count:
            break
        costs = [
            cost + count * own
            for cost, own in zip(costs, candidate.cost[:CRITERIA_BEFORE_SPEED], strict=True)
        ]
        levels += [candidate.level] * count
    slowest = min(levels)
    wasted = float(sum(levels) - needed * slowest)
    if urgent:
        return (*costs, float(-slowest), wasted)
    return (*costs, wasted + sum(level for level in levels if level > 0), float(slowest))


def _fill(candidates: Sequence[Candidate], needed: int) -> list[Worker] | None:
    chosen: list[Worker] = []
    for candidate in candidates:
        chosen += [candidate.worker] * min(candidate.count, needed - len(chosen))
        if len(chosen) == needed:
            return chosen
    return None
