"""Measures how much of the free capacity cannot serve the demanded shapes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from zinniaweir.core.pool import Pool
from zinniaweir.core.shape import Shape


@dataclass(frozen=True, kw_only=True, slots=True)
class Fragmentation:
    """Free accelerators and how many of them cannot serve the demanded shapes."""

    free: int
    unusable: float
    """Mean over the demanded shapes, weighted by the accelerators demanded for each."""

    @property
    def share(self) -> float:
        """Unusable share of the free accelerators; 0 if none is free."""
        return self.unusable / self.free if self.free else 0.0


def measure_fragmentation(pool: Pool, demand: Mapping[Shape, int]) -> Fragmentation:
    """Measure the fragmentation of what no gang holds.

    For each shape, as many gangs as possible are packed into the free accelerators; what is left
    over cannot serve that shape.

    Args:
        pool: The pool.
        demand: Number of demanded gangs by shape; shapes without accelerators do not count.
    """
    free = sum(map(pool.unheld.domain_free, range(len(pool.topology.domain_names))))
    unusable = weight = 0.0
    for shape, count in demand.items():
        if not shape.total_accelerators:
            continue
        served = min(_gangs_that_fit(pool, shape) * shape.total_accelerators, free)
        unusable += (free - served) * count * shape.total_accelerators
        weight += count * shape.total_accelerators
    return Fragmentation(free=free, unusable=unusable / weight if weight else 0.0)


def _gangs_that_fit(pool: Pool, shape: Shape) -> int:
    topology = pool.topology
    match shape.spread:
        case "worker":
            groups = [[node] for node in range(len(topology.workers))]
        case "rack":
            groups = topology.rack_nodes
        case "failure_domain":
            groups = topology.domain_nodes
        case _:
            groups = [
                [node for domain in region for node in topology.domain_nodes[domain]]
                for region in topology.region_domains
            ]
    return sum(
        sum(pool.unheld.free(node).members(shape) for node in group) // shape.members
        for group in groups
    )
