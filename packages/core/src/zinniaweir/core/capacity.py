"""Incremental index of the free capacity of all nodes in one view."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from zinniaweir.core._masks import longest_run
from zinniaweir.core.nodes import Free
from zinniaweir.core.shape import Amounts

_NONE = Free(0, -1, -1)


@dataclass(slots=True)
class _DomainIndex:
    buckets: dict[int, SortedList] = field(default_factory=dict)
    """Nodes by the length of their longest free run, each list sorted by free cores."""
    version: int = 0
    """Incremented when capacity is freed; a failed search is not repeated at the same version."""
    failed: dict[object, int] = field(default_factory=dict)
    """Version at which a search failed, by its key."""
    free_accelerators: int = 0


class CapacityIndex:
    """Find the nodes of a failure domain by longest free run and free cores."""

    def __init__(
        self, *, domains: int, racks: int, node_domains: list[int], node_racks: list[int]
    ) -> None:
        self._domains = [_DomainIndex() for _ in range(domains)]
        self._node_domains = node_domains
        self._node_racks = node_racks
        self._rack_free = [0] * racks
        self._free: list[Free] = [_NONE] * len(node_domains)
        self._free_cores = self._free_memory = 0

    def free(self, node: int) -> Free:
        """Return what is free on a node; no member fits if no gang may start there."""
        return self._free[node]

    def rack_free(self, rack: int) -> int:
        """Return the free accelerators of a rack."""
        return self._rack_free[rack]

    def domain_free(self, domain: int) -> int:
        """Return the free accelerators of a failure domain."""
        return self._domains[domain].free_accelerators

    @property
    def total_free(self) -> Amounts:
        """Free cores, bytes of memory and accelerators of all nodes."""
        accelerators = sum(domain.free_accelerators for domain in self._domains)
        return self._free_cores, self._free_memory, accelerators

    def update(self, node: int, free: Free | None) -> None:
        """Set what is free on a node, or None if no gang may start there."""
        free = free or _NONE
        old = self._free[node]
        if old == free:
            return
        domain = self._domains[self._node_domains[node]]
        if old is not _NONE:
            domain.buckets[longest_run(old.mask)].remove((old.cores, node))
        if free is not _NONE:
            run = longest_run(free.mask)
            if run not in domain.buckets:
                domain.buckets[run] = SortedList()
            domain.buckets[run].add((free.cores, node))
        if free.mask & ~old.mask or free.cores > old.cores or free.memory_bytes > old.memory_bytes:
            domain.version += 1
        change = free.mask.bit_count() - old.mask.bit_count()
        domain.free_accelerators += change
        self._rack_free[self._node_racks[node]] += change
        self._free_cores += max(free.cores, 0) - max(old.cores, 0)
        self._free_memory += max(free.memory_bytes, 0) - max(old.memory_bytes, 0)
        self._free[node] = free

    def candidates(self, domain: int, *, accelerators: int, cores: int) -> Iterator[int]:
        """Yield nodes with enough adjacent accelerators and cores, the tightest fit first.

        Memory is not checked.
        """
        buckets = self._domains[domain].buckets
        for run in sorted(buckets):
            if run >= accelerators:
                for _, node in buckets[run].irange((cores, -1)):
                    yield node

    def known_failure(self, domain: int, key: object) -> bool:
        """Return whether a search failed and no capacity was freed in the domain since."""
        index = self._domains[domain]
        return index.failed.get(key) == index.version

    def record_failure(self, domain: int, key: object) -> None:
        """Record that a search failed at the current version."""
        index = self._domains[domain]
        if len(index.failed) > 4096:
            index.failed.clear()
        index.failed[key] = index.version
