"""Reservations: workers that drain for a gang that has waited for some time.

Other gangs may start on reserved workers only if they are urgent, can be moved by a checkpoint, or
are expected to end before the workers have drained, so that backfill does not delay the gang that
holds the reservation.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from zinniaweir.core.gangs import Gang
from zinniaweir.core.nodes import Node, Use
from zinniaweir.core.pool import Pool
from zinniaweir.core.runtimes import RunTimes

MAX_RESERVATIONS: Final = 2
"""More reservations would leave too little capacity for backfill."""
RESERVE_AFTER_SECONDS: Final = 20.0
"""Wait before workers are reserved for a gang."""
REPLAN_SECONDS: Final = 60.0
"""Time after which a reservation is planned again, because estimates are often wrong."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Workers that drain for a gang."""

    gang: Gang
    nodes: frozenset[int]
    drained_at: float
    """When the gangs that cannot be moved are expected to have ended."""
    created_at: float


class Reservations:
    """The reservations of waiting gangs."""

    def __init__(self, *, pool: Pool, gangs: dict[str, Gang], run_times: RunTimes) -> None:
        self._pool = pool
        self._gangs = gangs
        self._run_times = run_times
        self._by_job: dict[str, Reservation] = {}

    def nodes(self, job_id: str) -> frozenset[int] | None:
        """Return the workers reserved for a job, or None."""
        held = self._by_job.get(job_id)
        return held.nodes if held else None

    def release(self, job_id: str) -> None:
        """End the reservation of a job that no longer waits."""
        self._by_job.pop(job_id, None)

    def reserve(self, gang: Gang, *, now: float, closed_domains: frozenset[int]) -> None:
        """Reserve workers for a gang that has waited long enough, if the limit allows."""
        job = gang.job
        if job.shape.accelerators == 0 or now - gang.ready_at < RESERVE_AFTER_SECONDS:
            return
        held = self._by_job.get(job.job_id)
        if held is not None and now - held.created_at < REPLAN_SECONDS:
            return
        if held is None and len(self._by_job) >= MAX_RESERVATIONS:
            return
        reserved_nodes = {
            n for other in self._by_job.values() if other is not held for n in other.nodes
        }
        best: tuple[float, frozenset[int]] | None = None
        for group in self._groups(gang, closed_domains):
            found = self._plan_drain(gang, [n for n in group if n.index not in reserved_nodes], now)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
        if best is not None:
            self._by_job[job.job_id] = Reservation(
                gang=gang, nodes=best[1], drained_at=best[0], created_at=now
            )

    def allowed(self, gang: Gang, now: float) -> Callable[[int], bool] | None:
        """Return a filter of the nodes that a gang may use, or None if it may use all."""
        others = [h for h in self._by_job.values() if h.gang is not gang]
        if not others or gang.job.checkpointable:
            return None
        end = now + self._run_times.upper_bound(gang.job) * (1.0 - gang.done_fraction)
        excluded = [
            held.nodes for held in others if end > held.drained_at and gang.job.priority != "urgent"
        ]
        if not excluded:
            return None
        nodes = frozenset().union(*excluded)
        return lambda node: node not in nodes

    def _groups(self, gang: Gang, closed_domains: frozenset[int]) -> list[list[Node]]:
        topology = self._pool.topology
        shape = gang.job.shape
        if shape.members == 1 or shape.spread == "worker":
            indexes = [[n] for n, w in enumerate(topology.workers) if w.accelerators]
        elif shape.spread == "rack":
            indexes = topology.rack_nodes
        else:
            indexes = topology.domain_nodes
        groups = ([self._pool.nodes[i] for i in group] for group in indexes)
        return [
            [node for node in group if node.usable]
            for group in groups
            if group and group[0].domain not in closed_domains
        ]

    def _plan_drain(
        self, gang: Gang, group: list[Node], now: float
    ) -> tuple[float, frozenset[int]] | None:
        """Return when enough workers of a group will have drained, and which these are."""
        shape = gang.job.shape
        by_drain_time = []
        for node in group:
            free = node.empty() if gang.job.reclaimable else node.allocatable()
            count = free.members(shape)
            if count:
                by_drain_time.append((self._drained_at(node, now), node.index, count))
        by_drain_time.sort()
        chosen: list[int] = []
        members = 0
        for at, index, count in by_drain_time:
            chosen.append(index)
            members += count
            if members >= shape.members:
                return at, frozenset(chosen)
        return None

    def _drained_at(self, node: Node, now: float) -> float:
        """Return when the gangs on a node that cannot be moved are expected to have ended."""
        latest = now
        for job_id, held in node.held.items():
            gang = self._gangs[job_id]
            if gang.job.checkpointable and all(use is Use.RECLAIMABLE for _, use in held):
                continue
            total = self._run_times.expected(gang.job) * (1.0 - gang.done_fraction)
            left = max(gang.started_at + total - now, total * 0.1, 1.0)
            latest = max(latest, now + left)
        return latest
