"""Bounded choice among the workers of a large fleet, so that a planning pass stays short."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Final

from zinniaweir.dispatch.fleet import LARGE_FLEET_WORKERS, Worker
from zinniaweir.dispatch.placement import capacity_for
from zinniaweir.dispatch.units import Unit

SHORTLIST_WORKERS: Final = 100
"""Number of workers among which a unit is placed if whole racks with as many have room for it."""
SEARCH_WORKERS: Final = 200
"""Number of workers among which one search looks for work to preempt, or for a reservation."""
SEARCH_COST: Final = 20
"""Processor time of a search for each worker, as a multiple of that of a placement."""
SEARCH_SECONDS: Final = 0.1
"""Searches at intervals of this length examine different racks."""


class Shortlist:
    """Choose the racks that are examined for a unit during one planning pass.

    Up to `LARGE_FLEET_WORKERS` workers, all are examined.

    Args:
        rack_use: Accelerators in use, by rack; kept up to date by the pass.
    """

    def __init__(self, rack_use: Mapping[str, int]) -> None:
        self._rack_use = rack_use
        self._racks: dict[int, tuple[Sequence[Worker], dict[str, list[Worker]]]] = {}
        """Lists of workers, kept so that their ids stay in use, and their groups by rack."""
        self.examined = 0
        """Number of workers that were examined so far, a measure of the pass's processor time."""

    def for_placement(
        self,
        unit: Unit,
        workers: Sequence[Worker],
        *,
        open_to: Callable[[Sequence[Worker]], Sequence[Worker]],
        one_rack: bool,
        empty_only: bool = False,
    ) -> Sequence[Worker]:
        """Return workers among which a unit is placed; it fits there if it fits at all.

        The racks that are in use most come first, as tasks are packed tightly, and the home rack
        before them.

        Args:
            unit: The unit.
            workers: Workers with free capacity, a list that does not change during the pass.
            open_to: Returns those of some workers that are open to the unit.
            one_rack: Whether the unit must stay in one rack.
            empty_only: Whether only workers without any task may be used.
        """
        if len(workers) <= LARGE_FLEET_WORKERS:
            self.examined += len(workers)
            return open_to(workers)
        needed = len(unit.indexes)
        found: list[Worker] = []
        room = 0
        racks = self._racks_of(workers)
        home, use = unit.step.home_rack, self._rack_use
        for name in sorted(racks, key=lambda name: (name != home, -use.get(name, 0))):
            rack = open_to(racks[name])
            found += rack
            rack_room = sum(capacity_for(unit, w, empty_only=empty_only) for w in rack)
            room = max(room, rack_room) if one_rack else room + rack_room
            if room >= needed and len(found) >= SHORTLIST_WORKERS:
                break
        self.examined += len(found)
        return found

    def for_search(self, unit: Unit, workers: Sequence[Worker], *, now: float) -> Sequence[Worker]:
        """Return workers among which capacity is reserved, or work preempted, for a unit.

        Successive searches examine other racks, so none is left out for ever.

        Args:
            unit: The unit.
            workers: Workers that may be used.
            now: Current time in seconds.
        """
        if len(workers) <= LARGE_FLEET_WORKERS:
            self.examined += SEARCH_COST * len(workers)
            return workers
        racks = _group(workers)
        names = list(racks)
        count = max(1, SEARCH_WORKERS * len(names) // len(workers))
        first = int(now / SEARCH_SECONDS) * count % len(names)
        chosen = [names[(first + n) % len(names)] for n in range(count)]
        home = unit.step.home_rack
        if home in racks and home not in chosen:
            chosen.append(home)
        found = [worker for name in chosen for worker in racks[name]]
        if len(found) < len(unit.indexes):
            found = list(workers)
        self.examined += SEARCH_COST * len(found)
        return found

    def _racks_of(self, workers: Sequence[Worker]) -> dict[str, list[Worker]]:
        """Return workers by rack; the groups of a list are kept during the pass."""
        found = self._racks.get(id(workers))
        if found is None:
            found = self._racks[id(workers)] = (workers, _group(workers))
        return found[1]


def _group(workers: Sequence[Worker]) -> dict[str, list[Worker]]:
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return racks
