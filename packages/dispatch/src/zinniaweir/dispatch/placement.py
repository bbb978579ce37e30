"""Where the tasks of a unit go: a search for workers with room."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.units import Unit


@dataclass(kw_only=True, slots=True)
class Candidate:
    """A worker that may take tasks of a unit."""

    worker: Worker
    count: int
    """Tasks that fit."""
    cost: tuple[float, ...]
    """Lower is better."""


def allowed_on(unit: Unit, worker: Worker) -> bool:
    """Return whether a unit may run on a worker at all, whatever its room."""
    entry, step = worker.entry, unit.step
    return (
        entry.service == unit.job.terms.service
        and (not step.required_label or step.required_label in entry.labels)
        and worker.fits_empty(unit.demand) > 0
    )


def room_when_empty(unit: Unit, worker: Worker) -> int:
    """Return how many tasks of a unit's step a worker takes when nothing else is there."""
    return _capped(unit, worker.fits_empty(unit.demand))


def by_rack(workers: Iterable[Worker], *, together: bool) -> list[list[Worker]]:
    """Return workers in groups that a gang may use together.

    Args:
        workers: Any workers.
        together: Whether the gang must stay in one rack; otherwise all are one group.
    """
    groups: dict[str, list[Worker]] = defaultdict(list)
    for worker in workers:
        groups[worker.entry.rack if together else ""].append(worker)
    return list(groups.values())


def tasks_of_step_on(unit: Unit, worker: Worker) -> int:
    """Return how many tasks of the unit's step a worker has."""
    job_id, number = unit.job.job_id, unit.step_number
    return sum(task.job_id == job_id and task.step == number for task, _ in worker.assignments)


def room_for(unit: Unit, worker: Worker) -> int:
    """Return how many tasks of a unit's step a worker can take now."""
    count = worker.fits(unit.demand)
    if count and unit.step.max_per_worker:
        count = _capped(unit, count, present=tasks_of_step_on(unit, worker))
    return count


def _capped(unit: Unit, count: int, *, present: int = 0) -> int:
    """Apply the step's limit of tasks on one worker to a number of tasks that fit."""
    most = unit.step.max_per_worker
    return min(count, most - present) if most else count


def choose(
    unit: Unit,
    workers: Iterable[Worker],
    *,
    rack_use: Mapping[str, int],
    suspicion: Callable[[str], int] = lambda _: 0,
    spread_allowed: bool = False,
) -> list[Worker] | None:
    """Choose a worker for each task of a unit.

    Tasks are packed tightly, so that whole workers and racks stay free for large gangs.

    Args:
        unit: What is to be placed.
        workers: Workers that may be used.
        rack_use: Accelerators in use, by rack.
        suspicion: How doubtful a worker is; doubtful ones go last.
        spread_allowed: Whether a rack-local gang may use several racks.

    Returns:
        One worker for each index of the unit, None if there is no room.
    """
    candidates = [
        Candidate(
            worker=worker,
            count=count,
            cost=_cost(unit, worker, suspicion(worker.name), rack_use.get(worker.entry.rack, 0)),
        )
        for worker in workers
        if (count := room_for(unit, worker)) > 0
    ]
    needed = len(unit.indexes)
    if sum(candidate.count for candidate in candidates) < needed:
        return None
    candidates.sort(key=lambda c: c.cost)
    if needed > 1 and unit.step.rack_local:
        found = _within_a_rack(candidates, needed)
        if found is not None or not spread_allowed:
            return found
    return _take(candidates, needed)


def largest_rack_room(workers: Iterable[Worker], unit: Unit) -> int:
    """Return how many tasks of a unit the roomiest rack holds when it is empty."""
    racks = by_rack(workers, together=True)
    return max((sum(room_when_empty(unit, w) for w in rack) for rack in racks), default=0)


def _cost(unit: Unit, worker: Worker, suspicion: int, rack_used: int) -> tuple[float, ...]:
    step = unit.step
    away = bool(step.home_rack) and worker.entry.rack != step.home_rack
    left = worker.free_accelerators - step.accelerators
    memory_left = worker.entry.memory_mb - worker.used_memory - step.memory_mb
    return (float(suspicion), float(away), float(left), -float(rack_used), float(memory_left))


def _within_a_rack(candidates: Sequence[Candidate], needed: int) -> list[Worker] | None:
    racks: dict[str, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        racks[candidate.worker.entry.rack].append(candidate)
    fitting = [rack for rack in racks.values() if sum(c.count for c in rack) >= needed]
    if not fitting:
        return None
    return _take(min(fitting, key=lambda rack: sum(c.count for c in rack)), needed)


def _take(candidates: Sequence[Candidate], needed: int) -> list[Worker] | None:
    chosen: list[Worker] = []
    for candidate in candidates:
        chosen += [candidate.worker] * min(candidate.count, needed - len(chosen))
        if len(chosen) == needed:
            return chosen
    return None
