"""Preempts gangs for a waiting gang, where that is worth the work lost.

There are two cases: gangs of a lower priority are preempted, and smaller checkpointable gangs of
the same priority are moved elsewhere to close holes (defragmentation). The second is worthwhile if
the free accelerators that it puts to use outweigh the work lost by the moves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from zinniaweir.core.decisions import Reason
from zinniaweir.core.gangs import Gang, Phase
from zinniaweir.core.job import PRIORITIES
from zinniaweir.core.nodes import Node, Slot, Use
from zinniaweir.core.plans import StartPlan, eviction_cost
from zinniaweir.core.pool import Pool
from zinniaweir.core.shape import Shape

PAYBACK_SECONDS: Final = 60.0
"""Seconds of use credited for each accelerator gained, to be compared with the work lost."""
PAYBACK_GROWTH_SECONDS: Final = 300.0
"""The credit doubles after this wait and keeps growing, so that no large job starves."""
DISPLACE_AFTER_SECONDS: Final = 600.0
"""A gang that waited longer may evict smaller gangs even if these have to wait in turn."""
MIN_RUN_SECONDS: Final = 20.0
"""Gangs that started more recently are not moved, which limits repeated moves."""
MAX_GROUPS_SEARCHED: Final = 8
"""Racks or failure domains searched, those with the most free accelerators first."""
MAX_NODES_SEARCHED: Final = 32
"""Nodes searched in a group, those with the most free accelerators first."""


class PreemptionPlanner:
    """Finds the gangs whose preemption for a waiting gang loses the least work."""

    def __init__(self, *, pool: Pool, gangs: dict[str, Gang]) -> None:
        self._pool = pool
        self._gangs = gangs

    def plan(
        self,
        gang: Gang,
        *,
        now: float,
        closed_domains: frozenset[int],
        reserved: frozenset[int] | None = None,
        allowed: Callable[[int], bool] | None = None,
    ) -> StartPlan | None:
        """Return a plan with victims, or None if no preemption is worthwhile.

        Args:
            gang: The waiting gang.
            now: Current time in seconds.
            closed_domains: Indexes of the failure domains in which no gang may start now.
            reserved: Nodes that drain for the gang; victims there need not fit elsewhere.
            allowed: Returns whether a node may be used, or None if all may.
        """
        shape = gang.job.shape
        if not shape.accelerators:
            return None
        best: tuple[float, list[Slot], set[str]] | None = None
        groups = self._groups(shape, closed_domains)
        if reserved:
            groups.insert(0, [self._pool.nodes[node] for node in sorted(reserved)])
        for group in groups:
            if allowed is not None:
                group = [node for node in group if allowed(node.index)]
            found = self._in_group(gang, group, now, reserved)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is None:
            return None
        _, slots, victims = best
        lower = all(self._has_lower_priority(self._gangs[v], gang) for v in victims)
        return StartPlan(
            slots=slots,
            use=Use.RECLAIMABLE if gang.job.reclaimable else Use.NON_RECLAIMABLE,
            reason=Reason.FREE_CAPACITY,
            victims=frozenset(victims),
            victim_reason=Reason.PRIORITY_PREEMPTED if lower else Reason.DEFRAGMENTED,
        )

    def _groups(self, shape: Shape, closed_domains: frozenset[int]) -> list[list[Node]]:
        topology, unheld = self._pool.topology, self._pool.unheld
        if shape.members == 1 or shape.spread == "worker":
            nodes = [n for n in self._pool.nodes if n.worker.accelerators >= shape.accelerators]
            nodes.sort(key=lambda n: -unheld.free(n.index).mask.bit_count())
            groups = [[node] for node in nodes[:MAX_NODES_SEARCHED]]
        elif shape.spread == "rack":
            racks = sorted(range(len(topology.rack_nodes)), key=lambda r: -unheld.rack_free(r))
            groups = [self._nodes(topology.rack_nodes[r]) for r in racks[:MAX_GROUPS_SEARCHED]]
        else:
            domains = sorted(
                range(len(topology.domain_nodes)), key=lambda d: -unheld.domain_free(d)
            )
            groups = [self._nodes(topology.domain_nodes[d]) for d in domains[:MAX_GROUPS_SEARCHED]]
        return [group for group in groups if group and group[0].domain not in closed_domains]

    def _nodes(self, indexes: Iterable[int]) -> list[Node]:
        nodes = [self._pool.nodes[i] for i in indexes if self._pool.nodes[i].worker.accelerators]
        nodes.sort(key=lambda n: -self._pool.unheld.free(n.index).mask.bit_count())
        return nodes[:MAX_NODES_SEARCHED]

    def _in_group(
        self, gang: Gang, group: list[Node], now: float, reserved: frozenset[int] | None
    ) -> tuple[float, list[Slot], set[str]] | None:
        shape = gang.job.shape
        avoided = gang.avoided_workers(now)
        candidates = []
        for node in group:
            if node.usable and node.worker.name not in avoided:
                candidates.extend(self._candidates(gang, node, now))
        candidates.sort(key=lambda candidate: candidate[0])
        if len(candidates) < shape.members:
            return None
        chosen = candidates[: shape.members]
        slots = [slot for _, slot, _ in chosen]
        victims = set().union(*(job_ids for _, _, job_ids in chosen))
        cost = sum(eviction_cost(self._gangs[victim], now) for victim in victims)
        on_reserved = bool(reserved) and all(slot.node in reserved for slot in slots)
        worthwhile = self._is_worthwhile(gang, slots, victims, cost, now, on_reserved)
        return (cost, slots, victims) if worthwhile else None

    def _candidates(self, gang: Gang, node: Node, now: float) -> list[tuple[float, Slot, set[str]]]:
        """Return disjoint slots on a node, each with its cost and victims, the cheapest first."""
        shape = gang.job.shape
        base = node.allocatable() if not gang.job.reclaimable else node.empty()
        blocked = ~base.mask
        cores, memory = node.worker.cores - node.used_cores, node.worker.memory_bytes
        memory -= node.used_memory
        movable: dict[str, tuple[int, float]] = {}
        for job_id, held in node.held.items():
            mask = 0
            for slot, _ in held:
                mask |= slot.mask
            holder = self._gangs[job_id]
            if self._is_preemptible(holder, gang, now):
                movable[job_id] = (mask, eviction_cost(holder, now))
            else:
                blocked |= mask
        windows = self._candidate_windows(node, shape, blocked, movable)
        candidates: list[tuple[float, Slot, set[str]]] = []
        taken = 0
        evicted: set[str] = set()
        for cost, window, job_ids in windows:
            if window & taken:
                continue
            new = job_ids - evicted
            freed = [slot for job_id in new for slot, _ in node.held[job_id]]
            cores += sum(slot.cores for slot in freed) - shape.cores
            memory += sum(slot.memory_bytes for slot in freed) - shape.memory_bytes
            if cores < 0 or memory < 0:
                break
            slot = Slot(
                node=node.index, mask=window, cores=shape.cores, memory_bytes=shape.memory_bytes
            )
            candidates.append((cost, slot, job_ids))
            taken |= window
            evicted |= job_ids
        return candidates

    def _candidate_windows(
        self, node: Node, shape: Shape, blocked: int, movable: dict[str, tuple[int, float]]
    ) -> list[tuple[float, int, set[str]]]:
        width = shape.accelerators
        found = []
        for start in range(node.worker.accelerators - width + 1):
            window = ((1 << width) - 1) << start
            if window & blocked:
                continue
            job_ids = {job_id for job_id, (mask, _) in movable.items() if mask & window}
            cost = sum(movable[job_id][1] for job_id in job_ids)
            found.append((cost, start % width, window, job_ids))
        found.sort(key=lambda entry: entry[:3])
        return [(cost, window, job_ids) for cost, _, window, job_ids in found]

    def _is_preemptible(self, holder: Gang, claimant: Gang, now: float) -> bool:
        if holder.use is not Use.RECLAIMABLE or holder.phase is not Phase.RUNNING:
            return False
        if self._has_lower_priority(holder, claimant):
            return True
        return (
            holder.job.checkpointable
            and holder.job.priority == claimant.job.priority
            and now - holder.started_at >= MIN_RUN_SECONDS
            and holder.job.shape.total_accelerators < claimant.job.shape.total_accelerators
        )

    def _has_lower_priority(self, holder: Gang, claimant: Gang) -> bool:
        return PRIORITIES.index(holder.job.priority) > PRIORITIES.index(claimant.job.priority)

    def _is_worthwhile(
        self,
        gang: Gang,
        slots: list[Slot],
        victims: set[str],
        cost: float,
        now: float,
        on_reserved: bool,
    ) -> bool:
        """Return whether a start on the slots is worth the work that its victims lose."""
        if not victims:
            return True
        shape = gang.job.shape
        holders = [self._gangs[victim] for victim in victims]
        ended = sum(holder.job.shape.total_accelerators for holder in holders)
        waited = now - gang.ready_at
        credit = PAYBACK_SECONDS * (1.0 + waited / PAYBACK_GROWTH_SECONDS)
        if on_reserved or all(self._has_lower_priority(holder, gang) for holder in holders):
            return cost <= shape.total_accelerators * credit / 3
        if waited > DISPLACE_AFTER_SECONDS:
            return ended <= shape.total_accelerators
        filled = shape.total_accelerators - ended
        return filled * credit >= cost and self._can_move(holders, slots)

    def _can_move(self, holders: list[Gang], slots: list[Slot]) -> bool:
        """Return whether each victim fits elsewhere, so that the moves only close holes."""
        taken = {slot.node for slot in slots}
        free = sum(map(self._pool.unheld.domain_free, range(len(self._pool.topology.domain_nodes))))
        free_on_slots = sum(self._pool.unheld.free(node).mask.bit_count() for node in taken)
        ended = sum(holder.job.shape.total_accelerators for holder in holders)
        if free - free_on_slots < ended:
            return False
        placer = self._pool.unheld_placer
        return all(
            placer.find(holder.job.shape, allowed=lambda node: node not in taken) is not None
            for holder in holders
        )
