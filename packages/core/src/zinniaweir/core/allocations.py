"""Guarantee allocations: the slots set aside for each guaranteed gang.

The capacity of an allocation runs only gangs of its owner and gangs that can be checkpointed or
stopped, so that evicting the latter always gives the owner its shape.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from zinniaweir.core.nodes import Free, Slot
from zinniaweir.core.pool import Pool
from zinniaweir.core.settings import Settings
from zinniaweir.core.shape import Guarantee


@dataclass(slots=True, eq=False)
class Allocation:
    """The capacity set aside for one gang of one guarantee."""

    rank: int
    """Position in the order in which guarantees are covered; a lower one is covered first."""
    guarantee: Guarantee
    ordinal: int
    """Number among the gangs of equal guarantees, from 0."""
    slots: list[Slot] | None = None
    """None while no capacity is available for it."""
    used: dict[str, list[tuple[int, Slot]]] = field(default_factory=dict)
    """Slots of the owner's gangs by job id, each with the index of the slot that contains it."""

    @property
    def key(self) -> tuple[Guarantee, int]:
        """What identifies the allocation across changes of settings."""
        return (self.guarantee, self.ordinal)

    def remaining(self, *, without: frozenset[str] = frozenset()) -> list[Free]:
        """Return the resources of each slot that the owner's gangs do not use.

        Args:
            without: Job ids whose use is not subtracted.
        """
        rest = [[slot.mask, slot.cores, slot.memory_bytes] for slot in self.slots or ()]
        for job_id, used in self.used.items():
            if job_id in without:
                continue
            for index, slot in used:
                rest[index][0] &= ~slot.mask
                rest[index][1] -= slot.cores
                rest[index][2] -= slot.memory_bytes
        return [Free(*entry) for entry in rest]


def list_allocations(settings: Settings) -> list[Allocation]:
    """Return an allocation without slots for each guaranteed gang, in the order of coverage.

    The order is by the highest priority that the customer may use, then by settings order.
    """
    ranks = {"urgent": 0, "normal": 1, "batch": 2}
    best = {
        customer.name: min((ranks[p] for p in customer.priorities), default=2)
        for customer in settings.customers
    }
    ordered = sorted(settings.guarantees, key=lambda g: best.get(g.customer, 0))
    allocations: list[Allocation] = []
    next_ordinals: dict[Guarantee, int] = {}
    for guarantee in ordered:
        for _ in range(guarantee.count):
            ordinal = next_ordinals.get(guarantee, 0)
            next_ordinals[guarantee] = ordinal + 1
            allocations.append(
                Allocation(rank=len(allocations), guarantee=guarantee, ordinal=ordinal)
            )
    return allocations


def place_allocation(pool: Pool, allocation: Allocation, *, avoid: Collection[int] = ()) -> bool:
    """Find capacity for an allocation that no other allocation and no non-reclaimable gang uses.

    Args:
        pool: The pool.
        allocation: An allocation without slots.
        avoid: Nodes that must not be used.

    Returns:
        Whether capacity was found.
    """
    domains = None
    if allocation.guarantee.failure_domain is not None:
        domain = pool.topology.domain_by_name.get(allocation.guarantee.failure_domain)
        if domain is None:
            return False
        domains = [domain]
    allowed = (lambda node: node not in avoid) if avoid else None
    slots = pool.allocation_placer.find(
        allocation.guarantee.shape, domains=domains, allowed=allowed
    )
    if slots is None:
        return False
    allocation.slots = slots
    pool.cover(slots)
    return True


def remove_allocation(pool: Pool, allocation: Allocation) -> None:
    """Give back the capacity of an allocation."""
    if allocation.slots is not None:
        pool.uncover(allocation.slots)
        allocation.slots = None


def place_allocations(pool: Pool, allocations: Iterable[Allocation]) -> list[Allocation]:
    """Place allocations, the hardest to place first, and return those that do not fit."""
    return [
        allocation
        for allocation in sorted(allocations, key=placement_difficulty)
        if not place_allocation(pool, allocation)
    ]


def placement_difficulty(allocation: Allocation) -> tuple:
    """Return a sort key that puts the allocations that are hardest to place first."""
    shape = allocation.guarantee.shape
    spreads = ("worker", "rack", "failure_domain", "region")
    return (
        allocation.guarantee.failure_domain is None,
        -shape.accelerators,
        -shape.total_accelerators,
        spreads.index(shape.spread),
        -shape.cores * shape.members,
        allocation.rank,
    )
