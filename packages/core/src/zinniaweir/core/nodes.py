"""Capacity of one worker: what gangs hold, what guarantees set aside and what is free."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from zinniaweir.core._masks import count_fits
from zinniaweir.core.shape import Shape
from zinniaweir.core.topology import Worker

UNLIMITED = 1 << 30
"""Members that fit as far as accelerators are concerned, for a shape without accelerators."""


class Use(Enum):
    """Whether and by whom the capacity that a gang holds can be reclaimed."""

    OWNED = "owned"
    """Within its customer's guarantee; no other customer can reclaim it."""
    NON_RECLAIMABLE = "firm"
    """Outside every guarantee; the gang can be neither checkpointed nor run again."""
    RECLAIMABLE = "lent"
    """Reclaimable: the gang is checkpointed or stopped when the owner of a guarantee needs it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """Accelerators, cores and memory of one gang member or guarantee member on a worker."""

    node: int
    """Index of the node."""
    mask: int
    """Accelerators as a bit mask."""
    cores: int
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class Free:
    """Free resources of a node in one view, see the methods of `Node`."""

    mask: int
    cores: int
    memory_bytes: int

    def members(self, shape: Shape) -> int:
        """Return how many members of a shape fit into the free resources."""
        return members_that_fit(self.mask, self.cores, self.memory_bytes, shape)


def members_that_fit(mask: int, cores: int, memory_bytes: int, shape: Shape) -> int:
    """Return how many members of a shape fit into an accelerator mask, cores and memory."""
    count = count_fits(mask, shape.accelerators) if shape.accelerators else UNLIMITED
    if count and shape.cores:
        count = min(count, cores // shape.cores)
    if count > 0 and shape.memory_bytes:
        count = min(count, memory_bytes // shape.memory_bytes)
    return max(count, 0)


@dataclass(slots=True, eq=False)
class Node:
    """Mutable capacity of one worker."""

    index: int
    worker: Worker
    rack: int
    domain: int
    live: bool = True
    quarantined: bool = False
    probing: bool = False
    """Whether the worker was released from quarantine on probation, with one gang at a time."""
    exclusive: bool = False
    """Whether it is kept for a gang that may crash it."""
    domain_in: bool = True
    busy: int = 0
    """Mask of accelerators held by gangs or claimed by a gang that waits for its victims."""
    used_cores: int = 0
    used_memory: int = 0
    non_reclaimable_mask: int = 0
    non_reclaimable_cores: int = 0
    non_reclaimable_memory: int = 0
    guaranteed_mask: int = 0
    """Mask of accelerators set aside for guarantees."""
    guaranteed_cores: int = 0
    guaranteed_memory: int = 0
    held: dict[str, list[tuple[Slot, Use]]] = field(default_factory=dict)
    """Slots on this worker by job id, with their use."""

    @property
    def usable(self) -> bool:
        """Whether gangs may start on this worker."""
        return (
            self.live
            and self.domain_in
            and not self.quarantined
            and not ((self.probing or self.exclusive) and self.held)
        )

    @property
    def full_mask(self) -> int:
        """Mask of all accelerators of the worker."""
        return (1 << self.worker.accelerators) - 1

    def unheld(self) -> Free:
        """Return what no gang holds or claims, whether or not it is set aside for a guarantee."""
        return Free(
            self.full_mask & ~self.busy,
            self.worker.cores - self.used_cores,
            self.worker.memory_bytes - self.used_memory,
        )

    def unguaranteed(self) -> Free:
        """Return what no gang holds or claims and no guarantee sets aside."""
        allocatable = self.allocatable()
        return Free(
            allocatable.mask & ~self.busy,
            min(allocatable.cores, self.worker.cores - self.used_cores),
            min(allocatable.memory_bytes, self.worker.memory_bytes - self.used_memory),
        )

    def allocatable(self) -> Free:
        """Return what can be set aside for a guarantee.

        That is what no guarantee sets aside yet and no non-reclaimable gang holds; reclaimable
        gangs may hold it.
        """
        return Free(
            self.full_mask & ~self.guaranteed_mask & ~self.non_reclaimable_mask,
            self.worker.cores - self.guaranteed_cores - self.non_reclaimable_cores,
            self.worker.memory_bytes - self.guaranteed_memory - self.non_reclaimable_memory,
        )

    def empty(self) -> Free:
        """Return all resources of the worker."""
        return Free(self.full_mask, self.worker.cores, self.worker.memory_bytes)

    def hold(self, job_id: str, slot: Slot, use: Use) -> None:
        """Assign a slot to a gang."""
        self.held.setdefault(job_id, []).append((slot, use))
        self.busy |= slot.mask
        self.used_cores += slot.cores
        self.used_memory += slot.memory_bytes
        if use is Use.NON_RECLAIMABLE:
            self.non_reclaimable_mask |= slot.mask
            self.non_reclaimable_cores += slot.cores
            self.non_reclaimable_memory += slot.memory_bytes

    def release(self, job_id: str) -> None:
        """Release all slots of a gang.

        The busy mask is computed again from the other gangs, because the slots of a claim and of
        its victims overlap.
        """
        for slot, use in self.held.pop(job_id, ()):
            self.used_cores -= slot.cores
            self.used_memory -= slot.memory_bytes
            if use is Use.NON_RECLAIMABLE:
                self.non_reclaimable_mask &= ~slot.mask
                self.non_reclaimable_cores -= slot.cores
                self.non_reclaimable_memory -= slot.memory_bytes
        self.busy = 0
        for entries in self.held.values():
            for slot, _ in entries:
                self.busy |= slot.mask

    def change_use(self, job_id: str, use: Use) -> None:
        """Change the use for which a gang holds its slots on this worker."""
        slots = [slot for slot, _ in self.held.get(job_id, ())]
        self.release(job_id)
        for slot in slots:
            self.hold(job_id, slot, use)

    def cover(self, slot: Slot) -> None:
        """Set a slot aside for a guarantee."""
        self.guaranteed_mask |= slot.mask
        self.guaranteed_cores += slot.cores
        self.guaranteed_memory += slot.memory_bytes

    def uncover(self, slot: Slot) -> None:
        """Stop setting a slot aside for a guarantee."""
        self.guaranteed_mask &= ~slot.mask
        self.guaranteed_cores -= slot.cores
        self.guaranteed_memory -= slot.memory_bytes
