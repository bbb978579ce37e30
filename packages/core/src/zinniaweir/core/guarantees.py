"""Admission control: checks that all guarantees fit the topology at the same time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from zinniaweir.core.allocations import (
    Allocation,
    list_allocations,
    place_allocation,
    place_allocations,
    placement_difficulty,
    remove_allocation,
)
from zinniaweir.core.pool import Pool
from zinniaweir.core.settings import Settings
from zinniaweir.core.shape import Guarantee
from zinniaweir.core.topology import Topology


@dataclass(frozen=True, kw_only=True, slots=True)
class GuaranteeProblem:
    """A guarantee that is invalid or does not fit."""

    index: int
    """Position in the given list."""
    customer: str
    rule: str
    """What is wrong, as a phrase for the caller."""


def check_guarantees(topology: Topology, guarantees: Sequence[Guarantee]) -> list[GuaranteeProblem]:
    """Return the guarantees that are invalid or do not fit; none means that all fit together.

    All fit if every guaranteed gang can be placed on separate capacity of the whole topology. The
    search is a heuristic: it may refuse a set that only an exhaustive search could place, and never
    accepts one that does not fit.

    Args:
        topology: All workers, including those of failure domains that are out.
        guarantees: The guarantees in settings order.
    """
    domains = {worker.failure_domain for worker in topology.workers}
    rules = [_broken_rules(domains, guarantee) for guarantee in guarantees]
    missing = [] if any(rules) else _unplaced_allocations(topology, guarantees)
    if missing:
        # What fits with the others also fits alone, so this is checked only after a failure.
        rules = _unfit_alone(topology, guarantees)
    problems = [
        GuaranteeProblem(index=index, customer=guarantee.customer, rule=rule)
        for index, guarantee in enumerate(guarantees)
        for rule in rules[index]
    ]
    if problems:
        return problems
    counts: dict[int, int] = {}
    for allocation in missing:
        index = list(guarantees).index(allocation.guarantee)
        counts[index] = counts.get(index, 0) + 1
    return [
        GuaranteeProblem(
            index=index,
            customer=guarantees[index].customer,
            rule=f"{count} of {guarantees[index].count} guaranteed gangs do not fit"
            " beside the other guarantees",
        )
        for index, count in sorted(counts.items())
    ]


def _unplaced_allocations(topology: Topology, guarantees: Sequence[Guarantee]) -> list[Allocation]:
    allocations = list_allocations(Settings(guarantees=tuple(guarantees)))
    missing = place_allocations(Pool(topology), allocations)
    if not missing:
        return []
    # The second attempt places the failed allocations first, which undoes a poor greedy choice.
    failed = {allocation.rank for allocation in missing}
    pool = Pool(topology)
    for allocation in allocations:
        allocation.slots = None
    order = sorted(
        allocations,
        key=lambda allocation: (allocation.rank not in failed, placement_difficulty(allocation)),
    )
    still_failed = [allocation for allocation in order if not place_allocation(pool, allocation)]
    for allocation in allocations:
        remove_allocation(pool, allocation)
    return missing if still_failed else []


def _broken_rules(domains: set[str], guarantee: Guarantee) -> list[str]:
    shape = guarantee.shape
    rules = []
    if guarantee.count < 1 or shape.members < 1:
        rules.append("count and members must be at least 1")
    if min(shape.accelerators, shape.cores, shape.memory_bytes) < 0:
        rules.append("accelerators, cores and memory must not be negative")
    if guarantee.failure_domain is not None and guarantee.failure_domain not in domains:
        rules.append(f"failure domain {guarantee.failure_domain} does not exist")
    return rules


def _unfit_alone(topology: Topology, guarantees: Sequence[Guarantee]) -> list[list[str]]:
    pool = Pool(topology)
    rules: list[list[str]] = []
    for guarantee in guarantees:
        (allocation, *_) = list_allocations(Settings(guarantees=(guarantee,)))
        fits = place_allocation(pool, allocation)
        remove_allocation(pool, allocation)
        rules.append([] if fits else ["the shape does not fit the topology even alone"])
    return rules
