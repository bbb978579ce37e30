"""Reservation of workers for a waiting unit, so that smaller work does not starve it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.placement import allowed_on, empty_capacity_for, group_by_rack
from zinniaweir.dispatch.units import Unit


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
