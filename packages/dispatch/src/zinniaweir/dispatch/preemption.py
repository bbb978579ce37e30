"""Which running work is stopped, so that a guaranteed unit gets its room in time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from zinniaweir.dispatch.fleet import Worker, fit_count
from zinniaweir.dispatch.placement import allowed_on, choose, room_for
from zinniaweir.dispatch.units import Assignment, Unit

ACCELERATOR_CORES: Final = 8
"""Work thrown away is counted in core-seconds, and an accelerator counts as this many cores."""


def lost_work(victims: Iterable[Assignment], *, now: float) -> float:
    """Return the core-seconds that are thrown away when the units of these seats are stopped.

    A gang is lost as a whole; of checkpointing work only the newest stretch is lost.
    """
    total = 0.0
    for unit in {seat.unit for seat in victims}:
        if unit.step.checkpointing:
            continue
        cores = unit.step.cpu_millis / 1e3 + ACCELERATOR_CORES * unit.step.accelerators
        total += sum(
            (now - seat.started_at) * cores
            for seat in unit.seats.values()
            if seat.started_at is not None
        )
    return total


def victims_on(unit: Unit, worker: Worker, needed: int, *, now: float) -> list[Assignment] | None:
    """Choose the seats to stop on a worker for a number of a unit's tasks.

    Args:
        unit: The unit that needs room.
        worker: The worker.
        needed: Tasks to make room for.
        now: Present time in seconds.

    Returns:
        The seats, None if work of its own priority or above is in the way.
    """
    lower = [s for s in worker.seats.values() if _may_stop(s, unit)]
    lower.sort(key=lambda s: (not s.stop_reason, lost_work([s], now=now)))
    entry, step = worker.entry, unit.step
    cpu = entry.cpu_millis - worker.used_cpu
    memory = entry.memory_mb - worker.used_memory
    accelerators = entry.accelerators - worker.used_accelerators
    chosen: list[Assignment] = []
    for seat in [None, *lower]:
        if seat is not None:
            chosen.append(seat)
            cpu += seat.unit.step.cpu_millis
            memory += seat.unit.step.memory_mb
            accelerators += seat.unit.step.accelerators
        if fit_count(step, cpu=cpu, memory=memory, accelerators=accelerators) >= needed:
            return chosen
    return None


def choose_victims(
    unit: Unit,
    workers: Sequence[Worker],
    *,
    now: float,
    spread_allowed: bool,
    claimed: Callable[[Worker], bool],
) -> list[Assignment] | None:
    """Choose what to stop so that a unit can be placed.

    Args:
        unit: The unit.
        workers: Workers that may be used.
        now: Present time in seconds.
        spread_allowed: Whether a rack-local gang may use several racks.
        claimed: Whether room on a worker is being made for another unit.

    Returns:
        The seats to stop, None if stopping lower work does not help.
    """
    usable = [w for w in workers if allowed_on(unit, w) and not claimed(w)]
    most = {w.name: _most_tasks(unit, w, now) for w in usable}

    def price(worker: Worker) -> tuple[float, str]:
        seats = victims_on(unit, worker, max(most[worker.name], 1), now=now) or []
        return lost_work(seats, now=now), worker.name

    usable.sort(key=price)
    chosen = choose(
        unit,
        usable,
        room=lambda _, w: most[w.name],
        suspicion=lambda name: _position(usable, name),
        spread_allowed=spread_allowed,
    )
    if chosen is None:
        return None
    victims: list[Assignment] = []
    for worker in {w.name: w for w in chosen}.values():
        victims += victims_on(unit, worker, chosen.count(worker), now=now) or []
    return victims


def _may_stop(seat: Assignment, unit: Unit) -> bool:
    return bool(seat.stop_reason) or seat.unit.job.terms.priority > unit.job.terms.priority


def _most_tasks(unit: Unit, worker: Worker, now: float) -> int:
    most = room_for(unit, worker)
    while most < len(unit.indexes) and victims_on(unit, worker, most + 1, now=now) is not None:
        most += 1
    return most


def _position(workers: Sequence[Worker], name: str) -> int:
    return next(n for n, worker in enumerate(workers) if worker.name == name)
