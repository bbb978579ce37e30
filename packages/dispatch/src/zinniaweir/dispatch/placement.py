"""Where the tasks of a unit go: a search for workers with room."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.units import Unit


@dataclass(frozen=True, kw_only=True)
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
        and worker.fits_empty(step) > 0
    )


def tasks_of_step_on(unit: Unit, worker: Worker) -> int:
    """Return how many tasks of the unit's step a worker has."""
    job_id, number = unit.job.job_id, unit.step_number
    return sum(task.job_id == job_id and task.step == number for task, _ in worker.seats)


def room_for(unit: Unit, worker: Worker) -> int:
    """Return how many tasks of a unit's step a worker can take now."""
    step = unit.step
    count = worker.fits(step)
    if count and step.max_per_worker:
        count = min(count, step.max_per_worker - tasks_of_step_on(unit, worker))
    return count


def choose(
    unit: Unit,
    workers: Iterable[Worker],
    *,
    room: Callable[[Unit, Worker], int] = room_for,
    suspicion: Callable[[str], int] = lambda _: 0,
    spread_allowed: bool = False,
) -> list[Worker] | None:
    """Choose a worker for each task of a unit.

    Tasks are packed tightly, so that whole workers and racks stay free for large gangs.

    Args:
        unit: What is to be placed.
        workers: Workers that may be used.
        room: How many tasks of the unit a worker can take.
        suspicion: How doubtful a worker is; doubtful ones go last.
        spread_allowed: Whether a rack-local gang may use several racks.

    Returns:
        One worker for each index of the unit, None if there is no room.
    """
    racks: dict[str, int] = defaultdict(int)
    workers = list(workers)
    for worker in workers:
        racks[worker.entry.rack] += worker.used_accelerators
    candidates = [
        Candidate(
            worker=worker,
            count=count,
            cost=_cost(unit, worker, suspicion(worker.name), racks[worker.entry.rack]),
        )
        for worker in workers
        if (count := room(unit, worker)) > 0
    ]
    candidates.sort(key=lambda c: c.cost)
    needed = len(unit.indexes)
    if needed > 1 and unit.step.rack_local:
        found = _within_a_rack(candidates, needed)
        if found is not None or not spread_allowed:
            return found
    return _take(candidates, needed)


def fewest_racks(workers: Sequence[Worker], unit: Unit) -> int:
    """Return how many tasks of a unit the roomiest rack holds when it is empty."""
    totals: dict[str, int] = defaultdict(int)
    for worker in workers:
        totals[worker.entry.rack] += worker.fits_empty(unit.step)
    return max(totals.values(), default=0)


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
