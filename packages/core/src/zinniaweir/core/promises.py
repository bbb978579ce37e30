"""Covers guarantees with allocations, and reports the coverage when not all of them fit."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from zinniaweir.core.gangs import Gang
from zinniaweir.core.homes import Home, list_homes, place_home, place_homes, remove_home
from zinniaweir.core.nodes import Slot, Use
from zinniaweir.core.pool import Pool
from zinniaweir.core.settings import Settings
from zinniaweir.core.shape import Guarantee

HomeSlots = list[tuple[str, int, int, int]]
"""Worker name, accelerator mask, cores and bytes of memory of each slot."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Promise:
    """How much of a guarantee has capacity set aside."""

    guarantee: Guarantee
    covered: int
    """Gangs with an allocation, of the `guarantee.count` guaranteed ones."""


class Promises:
    """The allocations of all guarantees."""

    def __init__(self, *, pool: Pool, gangs: dict[str, Gang], settings: Settings) -> None:
        self._pool = pool
        self._gangs = gangs
        self._homes = list_homes(settings)
        self._guarantees = settings.guarantees
        self.by_customer: dict[str, list[Home]] = {}
        """Allocations by customer."""
        for home in self._homes:
            self.by_customer.setdefault(home.guarantee.customer, []).append(home)
        place_homes(pool, self._homes)

    @property
    def homes(self) -> list[Home]:
        """All allocations in the order of coverage."""
        return self._homes

    def state(self) -> list[Promise]:
        """Return the coverage of each guarantee, in settings order."""
        covered = Counter(h.guarantee for h in self._homes if h.slots is not None)
        return [
            Promise(guarantee=guarantee, covered=min(covered[guarantee], guarantee.count))
            for guarantee in self._guarantees
        ]

    def slots_by_worker(self) -> dict[tuple[Guarantee, int], HomeSlots]:
        """Return the slots of all allocations by worker name, which a change of topology keeps."""
        return {
            home.key: [
                (self._pool.nodes[s.node].worker.name, s.mask, s.cores, s.memory_bytes)
                for s in home.slots
            ]
            for home in self._homes
            if home.slots is not None
        }

    def place(self, previous: dict[tuple[Guarantee, int], HomeSlots]) -> None:
        """Place all allocations again, in their previous slots where these are still available."""
        for home in self._homes:
            remove_home(self._pool, home)
        for home in self._homes:
            slots = self._slots(previous.get(home.key))
            if slots is not None:
                home.slots = slots
                self._pool.cover(slots)
        self.restore_missing()

    def vacate(self, nodes: set[int]) -> None:
        """Remove the allocations on nodes that left; their owners' gangs lose the guarantee."""
        for home in self._homes:
            if home.slots is not None and any(slot.node in nodes for slot in home.slots):
                self._vacate(home)

    def move_off(self, nodes: set[int], *, customer: str | None = None) -> None:
        """Move unused allocations away from nodes that fail starts, if other capacity is available.

        Args:
            nodes: The nodes to leave.
            customer: Move only the allocations of this customer, or of all if None.
        """
        for home in self._homes:
            if home.slots is None or home.used:
                continue
            if customer is not None and home.guarantee.customer != customer:
                continue
            if not any(slot.node in nodes for slot in home.slots):
                continue
            previous = home.slots
            remove_home(self._pool, home)
            if not place_home(self._pool, home, avoid=nodes):
                home.slots = previous
                self._pool.cover(previous)

    def make_way(self, nodes: set[int]) -> None:
        """Replace allocations on nodes where adopted non-reclaimable gangs use their capacity."""
        crowded = set()
        for index in nodes:
            node = self._pool.nodes[index]
            plan = node.plannable()
            if node.home_mask & node.firm_mask or plan.cores < 0 or plan.memory_bytes < 0:
                crowded.add(index)
        if crowded:
            self.vacate(crowded)
            self.restore_missing()

    def borrowers(self) -> set[str]:
        """Return the reclaimable gangs that hold accelerators set aside for guarantees."""
        found = set()
        for node in self._pool.nodes:
            if not node.home_mask:
                continue
            for job_id, held in node.held.items():
                lent = [slot for slot, use in held if use is Use.LENT]
                if any(slot.mask & node.home_mask for slot in lent):
                    found.add(job_id)
        return found

    def restore_missing(self) -> None:
        """Place the allocations without slots, if need be by displacing later ones."""
        missing = [home for home in self._homes if home.slots is None]
        for home in place_homes(self._pool, missing):
            self._place_over_later(home)

    def home_around(self, gang: Gang) -> Home | None:
        """Return the allocation that contains the gang's slots, and record the gang as its user."""
        for home in self.by_customer.get(gang.job.customer, ()):
            numbered = _contained(gang.slots, home)
            if numbered is not None:
                home.used[gang.job.job_id] = numbered
                return home
        return None

    def _place_over_later(self, home: Home) -> None:
        """Place an allocation on the capacity of later ones, which are displaced last one first."""
        dropped: list[tuple[Home, list[Slot]]] = []
        for other in reversed(self._homes[home.number + 1 :]):
            if other.slots is None or not self._can_vacate(other):
                continue
            if not self._may_help(home, other):
                continue
            dropped.append((other, other.slots))
            remove_home(self._pool, other)
            if place_home(self._pool, home):
                break
        if home.slots is None:
            for other, slots in dropped:
                other.slots = slots
                self._pool.cover(slots)
            return
        for other, _ in dropped:
            self._release_owners(other)
        place_homes(self._pool, [other for other, _ in dropped])

    def _may_help(self, home: Home, other: Home) -> bool:
        wanted = home.guarantee.failure_domain
        return wanted is None or any(
            self._pool.nodes[slot.node].worker.failure_domain == wanted
            for slot in other.slots or ()
        )

    def _can_vacate(self, home: Home) -> bool:
        return all(self._gangs[job_id].job.reclaimable for job_id in home.used)

    def _vacate(self, home: Home) -> None:
        remove_home(self._pool, home)
        self._release_owners(home)

    def _release_owners(self, home: Home) -> None:
        for job_id in home.used:
            gang = self._gangs[job_id]
            gang.home = None
            gang.use = Use.LENT if gang.job.reclaimable else Use.FIRM
            self._pool.change_use(job_id, gang.slots, gang.use)
        home.used.clear()

    def _slots(self, previous: HomeSlots | None) -> list[Slot] | None:
        """Return the previous slots of an allocation if all of them are still available."""
        if previous is None:
            return None
        slots = []
        wanted: Counter[int] = Counter()
        for worker, mask, cores, memory in previous:
            index = self._pool.grid.node_by_name.get(worker)
            if index is None or not self._pool.nodes[index].live:
                return None
            plan = self._pool.plannable.free(index)
            wanted[index] += cores
            if mask & ~plan.mask or wanted[index] > plan.cores or memory > plan.memory_bytes:
                return None
            slots.append(Slot(node=index, mask=mask, cores=cores, memory_bytes=memory))
        return slots


def _contained(slots: list[Slot], home: Home) -> list[tuple[int, Slot]] | None:
    if home.slots is None:
        return None
    rest = home.remaining()
    numbered = []
    left = [[free.mask, free.cores, free.memory_bytes] for free in rest]
    for slot in slots:
        for number, around in enumerate(home.slots):
            mask, cores, memory = left[number]
            if around.node != slot.node or slot.mask & ~mask:
                continue
            if slot.cores > cores or slot.memory_bytes > memory:
                continue
            left[number] = [mask & ~slot.mask, cores - slot.cores, memory - slot.memory_bytes]
            numbered.append((number, slot))
            break
        else:
            return None
    return numbered
