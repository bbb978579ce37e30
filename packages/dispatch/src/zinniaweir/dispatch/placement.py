"""Placement: the choice of workers with free capacity for the tasks of a unit."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.units import Unit


@dataclass(kw_only=True, slots=True)
class Candidate:
    """A worker with free capacity for tasks of a unit."""

    worker: Worker
    count: int
    """Number of tasks that fit."""
    cost: tuple[float, ...]
    """Sort key; lower is better."""


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
    job_id, number = unit.job.job_id, unit.step_number
    return sum(task.job_id == job_id and task.step == number for task, _ in worker.assignments)


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
        spread_allowed: Whether a rack-local gang may use several racks.
        empty_only: Whether only workers without any task may be used.

    Returns:
        One worker for each index of the unit, or None if the tasks don't fit.
    """
    candidates = [
        Candidate(
            worker=worker,
            count=count,
            cost=_cost(unit, worker, penalty(worker.name), rack_use.get(worker.entry.rack, 0)),
        )
        for worker in workers
        if (count := capacity_for(unit, worker, empty_only=empty_only)) > 0
    ]
    needed = len(unit.indexes)
    if sum(candidate.count for candidate in candidates) < needed:
        return None
    candidates.sort(key=lambda c: c.cost)
    if needed > 1 and unit.step.rack_local:
        found = _fill_one_rack(candidates, needed)
        if found is not None or not spread_allowed:
            return found
    return _fill(candidates, needed)


def max_rack_capacity(workers: Iterable[Worker], unit: Unit) -> int:
    """Return how many tasks of a unit's step the largest rack could hold if it were empty."""
    racks = group_by_rack(workers, one_rack=True)
    return max((sum(empty_capacity_for(unit, w) for w in rack) for rack in racks), default=0)


def _cost(unit: Unit, worker: Worker, penalty: float, rack_used: int) -> tuple[float, ...]:
    step = unit.step
    off_home_rack = bool(step.home_rack) and worker.entry.rack != step.home_rack
    left = worker.free_accelerators - step.accelerators
    memory_left = worker.entry.memory_mb - worker.used_memory - step.memory_mb
    return (
        penalty,
        float(off_home_rack),
        float(left),
        -float(rack_used),
        float(memory_left),
    )


def _fill_one_rack(candidates: Sequence[Candidate], needed: int) -> list[Worker] | None:
    racks: dict[str, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        racks[candidate.worker.entry.rack].append(candidate)
    fitting = [rack for rack in racks.values() if sum(c.count for c in rack) >= needed]
    if not fitting:
        return None
    return _fill(min(fitting, key=lambda rack: sum(c.count for c in rack)), needed)


def _fill(candidates: Sequence[Candidate], needed: int) -> list[Worker] | None:
    chosen: list[Worker] = []
    for candidate in candidates:
        chosen += [candidate.worker] * min(candidate.count, needed - len(chosen))
        if len(chosen) == needed:
            return chosen
    return None
