"""Covers guarantees with allocations, and reports the coverage when not all of them fit."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from zinniaweir.core.allocations import (
    Allocation,
    list_allocations,
    place_allocation,
    place_allocations,
    remove_allocation,
)
from zinniaweir.core.gangs import Gang
from zinniaweir.core.nodes import Slot, Use
from zinniaweir.core.pool import Pool
from zinniaweir.core.settings import Settings
from zinniaweir.core.shape import Guarantee

AllocationSlots = list[tuple[str, int, int, int]]
"""Worker name, accelerator mask, cores and bytes of memory of each slot."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CoveredGuarantee:
    """How much of a guarantee has capacity set aside."""

    guarantee: Guarantee
    covered: int
    """Gangs with an allocation, of the `guarantee.count` guaranteed ones."""


class GuaranteeCoverage:
    """The allocations of all guarantees."""

    def __init__(self, *, pool: Pool, gangs: dict[str, Gang], settings: Settings) -> None:
        self._pool = pool
        self._gangs = gangs
        self._allocations = list_allocations(settings)
        self._guarantees = settings.guarantees
        self.by_customer: dict[str, list[Allocation]] = {}
        """Allocations by customer."""
        for allocation in self._allocations:
            self.by_customer.setdefault(allocation.guarantee.customer, []).append(allocation)
        place_allocations(pool, self._allocations)

    @property
    def allocations(self) -> list[Allocation]:
        """All allocations in the order of coverage."""
        return self._allocations

    def state(self) -> list[CoveredGuarantee]:
        """Return the coverage of each guarantee, in settings order."""
        covered = Counter(a.guarantee for a in self._allocations if a.slots is not None)
        return [
            CoveredGuarantee(guarantee=guarantee, covered=min(covered[guarantee], guarantee.count))
            for guarantee in self._guarantees
        ]

    def slots_by_allocation(self) -> dict[tuple[Guarantee, int], AllocationSlots]:
        """Return the slots of each allocation by worker name, because node indexes can change."""
        return {
            allocation.key: [
                (self._pool.nodes[s.node].worker.name, s.mask, s.cores, s.memory_bytes)
                for s in allocation.slots
            ]
            for allocation in self._allocations
            if allocation.slots is not None
        }

    def place_all(self, previous: dict[tuple[Guarantee, int], AllocationSlots]) -> None:
        """Place all allocations again, in their previous slots where these are still available."""
        for allocation in self._allocations:
            remove_allocation(self._pool, allocation)
        for allocation in self._allocations:
            slots = self._available_slots(previous.get(allocation.key))
            if slots is not None:
                allocation.slots = slots
                self._pool.cover(slots)
        self.place_missing()

    def remove_from_nodes(self, nodes: set[int]) -> None:
        """Remove the allocations on nodes that left; their owners' gangs lose the guarantee."""
        for allocation in self._allocations:
            if allocation.slots is not None and any(
                slot.node in nodes for slot in allocation.slots
            ):
                self._remove(allocation)

    def move_unused_from_nodes(self, nodes: set[int], *, customer: str | None = None) -> None:
        """Move unused allocations away from nodes that fail starts, if other capacity is available.

        Args:
            nodes: The nodes to leave.
            customer: Move only the allocations of this customer, or of all if None.
        """
        for allocation in self._allocations:
            if allocation.slots is None or allocation.used:
                continue
            if customer is not None and allocation.guarantee.customer != customer:
                continue
            if not any(slot.node in nodes for slot in allocation.slots):
                continue
            previous = allocation.slots
            remove_allocation(self._pool, allocation)
            if not place_allocation(self._pool, allocation, avoid=nodes):
                allocation.slots = previous
                self._pool.cover(previous)

    def resolve_conflicts(self, nodes: set[int]) -> None:
        """Move allocations off nodes where adopted non-reclaimable gangs hold their capacity."""
        conflicting = set()
        for index in nodes:
            node = self._pool.nodes[index]
            allocatable = node.allocatable()
            if (
                node.guaranteed_mask & node.non_reclaimable_mask
                or allocatable.cores < 0
                or allocatable.memory_bytes < 0
            ):
                conflicting.add(index)
        if conflicting:
            self.remove_from_nodes(conflicting)
            self.place_missing()

    def borrowers(self) -> set[str]:
        """Return the reclaimable gangs that hold accelerators set aside for guarantees."""
        found = set()
        for node in self._pool.nodes:
            if not node.guaranteed_mask:
                continue
            for job_id, held in node.held.items():
                reclaimable = [slot for slot, use in held if use is Use.RECLAIMABLE]
                if any(slot.mask & node.guaranteed_mask for slot in reclaimable):
                    found.add(job_id)
        return found

    def place_missing(self) -> None:
        """Place the allocations without slots, if need be by displacing later ones."""
        missing = [allocation for allocation in self._allocations if allocation.slots is None]
        for allocation in place_allocations(self._pool, missing):
            self._place_displacing_later(allocation)

    def assign_allocation(self, gang: Gang) -> Allocation | None:
        """Return the allocation that contains the gang's slots, and record the gang as its user."""
        for allocation in self.by_customer.get(gang.job.customer, ()):
            numbered = _match_slots(gang.slots, allocation)
            if numbered is not None:
                allocation.used[gang.job.job_id] = numbered
                return allocation
        return None

    def _place_displacing_later(self, allocation: Allocation) -> None:
        """Place an allocation on the capacity of later ones, which are displaced last one first."""
        displaced: list[tuple[Allocation, list[Slot]]] = []
        for other in reversed(self._allocations[allocation.rank + 1 :]):
            if other.slots is None or not self._can_remove(other):
                continue
            if not self._frees_wanted_domain(allocation, other):
                continue
            displaced.append((other, other.slots))
            remove_allocation(self._pool, other)
            if place_allocation(self._pool, allocation):
                break
        if allocation.slots is None:
            for other, slots in displaced:
                other.slots = slots
                self._pool.cover(slots)
            return
        for other, _ in displaced:
            self._release_users(other)
        place_allocations(self._pool, [other for other, _ in displaced])

    def _frees_wanted_domain(self, allocation: Allocation, other: Allocation) -> bool:
        wanted = allocation.guarantee.failure_domain
        return wanted is None or any(
            self._pool.nodes[slot.node].worker.failure_domain == wanted
            for slot in other.slots or ()
        )

    def _can_remove(self, allocation: Allocation) -> bool:
        return all(self._gangs[job_id].job.reclaimable for job_id in allocation.used)

    def _remove(self, allocation: Allocation) -> None:
        remove_allocation(self._pool, allocation)
        self._release_users(allocation)

    def _release_users(self, allocation: Allocation) -> None:
        for job_id in allocation.used:
            gang = self._gangs[job_id]
            gang.allocation = None
            gang.use = Use.RECLAIMABLE if gang.job.reclaimable else Use.NON_RECLAIMABLE
            self._pool.change_use(job_id, gang.slots, gang.use)
        allocation.used.clear()

    def _available_slots(self, previous: AllocationSlots | None) -> list[Slot] | None:
        """Return the previous slots of an allocation if all of them are still available."""
        if previous is None:
            return None
        slots = []
        wanted: Counter[int] = Counter()
        for worker, mask, cores, memory in previous:
            index = self._pool.topology.node_by_name.get(worker)
            if index is None or not self._pool.nodes[index].live:
                return None
            allocatable = self._pool.allocatable.free(index)
            wanted[index] += cores
            if (
                mask & ~allocatable.mask
                or wanted[index] > allocatable.cores
                or memory > allocatable.memory_bytes
            ):
                return None
            slots.append(Slot(node=index, mask=mask, cores=cores, memory_bytes=memory))
        return slots


def _match_slots(slots: list[Slot], allocation: Allocation) -> list[tuple[int, Slot]] | None:
    if allocation.slots is None:
        return None
    rest = allocation.remaining()
    numbered = []
    left = [[free.mask, free.cores, free.memory_bytes] for free in rest]
    for slot in slots:
        for number, container in enumerate(allocation.slots):
            mask, cores, memory = left[number]
            if container.node != slot.node or slot.mask & ~mask:
                continue
            if slot.cores > cores or slot.memory_bytes > memory:
                continue
            left[number] = [mask & ~slot.mask, cores - slot.cores, memory - slot.memory_bytes]
            numbered.append((number, slot))
            break
        else:
            return None
    return numbered
