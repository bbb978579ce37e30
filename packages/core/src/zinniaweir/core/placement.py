"""Placement of whole gangs by best fit, so that long runs of free accelerators remain."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import chain
from typing import Final

from zinniaweir.core._masks import best_fit_run, longest_run
from zinniaweir.core.capacity import CapacityIndex
from zinniaweir.core.nodes import Free, Slot
from zinniaweir.core.shape import Shape
from zinniaweir.core.topology_index import TopologyIndex

SAMPLED_CANDIDATES: Final = 16
"""Nodes compared in each failure domain, those with the least to spare first."""

FreeOf = Callable[[int], Free]
"""Returns the free resources of a node by its index."""


def fill_nodes(shape: Shape, nodes: Iterable[int], free_of: FreeOf) -> list[Slot] | None:
    """Return slots for all members on nodes in the given order, or None if they do not fit."""
    slots: list[Slot] = []
    for node in nodes:
        free = free_of(node)
        count = min(free.members(shape), shape.members - len(slots))
        if count <= 0:
            continue
        slots.extend(cut_slots(shape, node, free, count))
        if len(slots) == shape.members:
            return slots
    return None


def cut_slots(shape: Shape, node: int, free: Free, count: int) -> list[Slot]:
    """Return slots for a number of members, which must fit on the node."""
    slots = []
    mask = free.mask
    for _ in range(count):
        taken = best_fit_run(mask, shape.accelerators) if shape.accelerators else 0
        mask &= ~taken
        slots.append(
            Slot(node=node, mask=taken, cores=shape.cores, memory_bytes=shape.memory_bytes)
        )
    return slots


class Placer:
    """Search one view of the free capacity for slots for a whole gang."""

    def __init__(self, *, topology: TopologyIndex, index: CapacityIndex) -> None:
        self._topology = topology
        self._index = index

    def find(
        self,
        shape: Shape,
        *,
        domains: Iterable[int] | None = None,
        allowed: Callable[[int], bool] | None = None,
    ) -> list[Slot] | None:
        """Return slots for all members, or None if they do not fit.

        Args:
            shape: The shape to place.
            domains: Indexes of the failure domains to use, or None for all.
            allowed: Returns whether a node may be used, or None if all may.
        """
        allowed_domains = range(len(self._topology.domain_names)) if domains is None else domains
        open_domains = [
            domain
            for domain in allowed_domains
            if allowed is not None or not self._index.known_failure(domain, shape)
        ]
        if shape.members == 1 or shape.spread == "worker":
            slots = self._on_one_worker(shape, open_domains, allowed)
        elif shape.spread == "rack":
            slots = self._in_one_rack(shape, open_domains, allowed)
        else:
            slots = self._in_one_domain(shape, open_domains, allowed)
        if slots is not None:
            return slots
        if allowed is None:
            for domain in open_domains:
                self._index.record_failure(domain, shape)
        if shape.spread == "region" and shape.members > 1:
            return self._in_one_region(shape, list(allowed_domains), allowed)
        return None

    def _on_one_worker(
        self, shape: Shape, domains: list[int], allowed: Callable[[int], bool] | None
    ) -> list[Slot] | None:
        best: tuple[tuple[int, int, int], int] | None = None
        for domain in domains:
            seen = 0
            for node in self._candidates(shape, domain, allowed):
                free = self._index.free(node)
                if free.members(shape) < shape.members:
                    continue
                rack_free = self._index.rack_free(self._topology.node_racks[node])
                key = (rack_free, longest_run(free.mask), free.cores)
                if best is None or key < best[0]:
                    best = (key, node)
                seen += 1
                if seen == SAMPLED_CANDIDATES:
                    break
        if best is None:
            return None
        return cut_slots(shape, best[1], self._index.free(best[1]), shape.members)

    def _in_one_rack(
        self, shape: Shape, domains: list[int], allowed: Callable[[int], bool] | None
    ) -> list[Slot] | None:
        racks = [
            (self._index.rack_free(rack), rack)
            for domain in domains
            for rack in self._topology.domain_racks[domain]
            if self._index.rack_free(rack) >= shape.total_accelerators
        ]
        for _, rack in sorted(racks):
            nodes = self._topology.rack_nodes[rack]
            if allowed is not None:
                nodes = [node for node in nodes if allowed(node)]
            slots = fill_nodes(shape, sorted(nodes, key=self._tightness), self._index.free)
            if slots is not None:
                return slots
        return None

    def _in_one_domain(
        self, shape: Shape, domains: list[int], allowed: Callable[[int], bool] | None
    ) -> list[Slot] | None:
        need = shape.total_accelerators
        sized = sorted((self._index.domain_free(domain), domain) for domain in domains)
        for free, domain in sized:
            if free < need:
                continue
            candidates = self._candidates(shape, domain, allowed)
            slots = fill_nodes(shape, candidates, self._index.free)
            if slots is not None:
                return slots
        return None

    def _in_one_region(
        self, shape: Shape, allowed_domains: list[int], allowed: Callable[[int], bool] | None
    ) -> list[Slot] | None:
        for region in self._topology.region_domains:
            domains = [domain for domain in region if domain in allowed_domains]
            if sum(map(self._index.domain_free, domains)) < shape.total_accelerators:
                continue
            candidates = chain.from_iterable(
                self._candidates(shape, domain, allowed) for domain in domains
            )
            slots = fill_nodes(shape, candidates, self._index.free)
            if slots is not None:
                return slots
        return None

    def _candidates(
        self, shape: Shape, domain: int, allowed: Callable[[int], bool] | None
    ) -> Iterable[int]:
        nodes = self._index.candidates(domain, accelerators=shape.accelerators, cores=shape.cores)
        return nodes if allowed is None else filter(allowed, nodes)

    def _tightness(self, node: int) -> tuple[int, int]:
        free = self._index.free(node)
        return (longest_run(free.mask), free.cores)
