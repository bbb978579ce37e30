"""Plans where a waiting gang starts, and which gangs must end before it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from zinniaweir.core._masks import best_fit_run, runs
from zinniaweir.core.allocations import Allocation
from zinniaweir.core.decisions import Reason
from zinniaweir.core.gangs import AVOID_SECONDS, Gang
from zinniaweir.core.job import PRIORITIES
from zinniaweir.core.nodes import UNLIMITED, Free, Node, Slot, Use
from zinniaweir.core.placement import Placer
from zinniaweir.core.plans import StartPlan, eviction_cost
from zinniaweir.core.pool import Pool
from zinniaweir.core.shape import Shape


class StartPlanner:
    """Find starts within guarantees, on free capacity and on capacity borrowed from guarantees."""

    def __init__(
        self, *, pool: Pool, allocations: dict[str, list[Allocation]], gangs: dict[str, Gang]
    ) -> None:
        self._pool = pool
        self._allocations = allocations
        self._gangs = gangs
        self._now = 0.0

    def plan(
        self,
        gang: Gang,
        *,
        now: float,
        closed_domains: frozenset[int] = frozenset(),
        allowed: Callable[[int], bool] | None = None,
    ) -> StartPlan | None:
        """Return how the gang can start, or None if it must wait.

        A start within a guarantee without victims is preferred, then one outside the guarantees,
        then the start within a guarantee whose victims lose the least work.

        Args:
            gang: The waiting gang.
            now: Current time in seconds.
            closed_domains: Indexes of the failure domains in which no gang may start now.
            allowed: Returns whether a node may be used outside the customer's guarantees, or None
                if all may.
        """
        self._now = now
        avoided = gang.avoided_workers(now)
        if gang.needs_empty_workers(now):
            avoided |= {node.worker.name for node in self._pool.nodes if node.held}
        if gang.losses and now < gang.ready_at + AVOID_SECONDS:
            avoided |= self._workers_of_suspects(gang)
        if avoided:
            allowed = self._exclude(avoided, allowed)
        best: StartPlan | None = None
        best_cost = 0.0
        for allocation in self._allocations.get(gang.job.customer, ()):
            found = self._plan_in_allocation(gang, allocation, closed_domains, avoided)
            if found is None:
                continue
            if not found.victims:
                return found
            cost = sum(eviction_cost(self._gangs[victim], now) for victim in found.victims)
            if best is None or cost < best_cost:
                best, best_cost = found, cost
        outside_plan = self._plan_outside_guarantees(gang, closed_domains, allowed)
        if outside_plan is not None:
            return outside_plan
        return best

    def fits_allocation(self, gang: Gang) -> bool:
        """Return whether an allocation of the customer could hold the gang if it were empty."""
        for allocation in self._allocations.get(gang.job.customer, ()):
            if allocation.slots is None:
                continue
            whole = [Free(slot.mask, slot.cores, slot.memory_bytes) for slot in allocation.slots]
            if self._cut_from_allocation(gang.job.shape, allocation, whole, whole) is not None:
                return True
        return False

    def fits_idle_allocation(self, gang: Gang) -> bool:
        """Return whether an allocation of the customer holds the gang beside its other gangs."""
        for allocation in self._allocations.get(gang.job.customer, ()):
            if allocation.slots is None:
                continue
            rest = allocation.remaining()
            if self._cut_from_allocation(gang.job.shape, allocation, rest, rest) is not None:
                return True
        return False

    def _workers_of_suspects(self, gang: Gang) -> frozenset[str]:
        """Return the workers of gangs that were lost together with a gang.

        Kept apart, the next loss tells which of them crashes workers.
        """
        shared = {(loss.worker, loss.at) for loss in gang.losses}
        return frozenset(
            self._pool.nodes[slot.node].worker.name
            for other in self._gangs.values()
            if other.losses and any((loss.worker, loss.at) in shared for loss in other.losses)
            for slot in other.slots
        )

    def _exclude(
        self, avoided: frozenset[str], allowed: Callable[[int], bool] | None
    ) -> Callable[[int], bool]:
        """Exclude workers on which a gang failed; the retry shows whether the job is at fault."""
        known = self._pool.topology.node_by_name
        nodes = {known[name] for name in avoided if name in known}
        return lambda node: node not in nodes and (allowed is None or allowed(node))

    def _plan_outside_guarantees(
        self, gang: Gang, closed_domains: frozenset[int], allowed: Callable[[int], bool] | None
    ) -> StartPlan | None:
        shape = gang.job.shape
        domains = None
        if closed_domains:
            domains = [
                d for d in range(len(self._pool.topology.domain_names)) if d not in closed_domains
            ]
        slots = _find(self._pool.unguaranteed_placer, shape, domains, allowed)
        use = Use.RECLAIMABLE if gang.job.reclaimable else Use.NON_RECLAIMABLE
        if slots is not None:
            return StartPlan(slots=slots, use=use, reason=Reason.FREE_CAPACITY)
        if use is Use.NON_RECLAIMABLE:
            return None
        slots = _find(self._pool.unheld_placer, shape, domains, allowed)
        if slots is None:
            return None
        return StartPlan(slots=slots, use=use, reason=Reason.BORROWED)

    def _plan_in_allocation(
        self,
        gang: Gang,
        allocation: Allocation,
        closed_domains: frozenset[int],
        avoided: frozenset[str],
    ) -> StartPlan | None:
        if allocation.slots is None:
            return None
        nodes = [self._pool.nodes[slot.node] for slot in allocation.slots]
        if any(not node.usable or node.domain in closed_domains for node in nodes):
            return None
        if any(node.worker.name in avoided for node in nodes):
            return None
        shape = gang.job.shape
        unheld = [node.unheld() for node in nodes]
        evictable = frozenset(
            job_id
            for job_id in allocation.used
            if self._is_evictable_for(self._gangs[job_id], gang)
        )
        rest = allocation.remaining()
        free = [_intersect(r, p) for r, p in zip(rest, unheld, strict=True)]
        chosen = self._cut_from_allocation(shape, allocation, rest, free)
        if chosen is None and evictable:
            rest = allocation.remaining(without=evictable)
            chosen = self._cut_from_allocation(shape, allocation, rest, free)
        if chosen is None:
            return None
        numbers, slots = chosen
        victims = self.victims(slots, gang)
        if victims is None:
            return None
        return StartPlan(
            slots=slots,
            use=Use.OWNED,
            reason=Reason.GUARANTEED,
            allocation=allocation,
            allocation_slots=numbers,
            victims=victims,
        )

    def _cut_from_allocation(
        self, shape: Shape, allocation: Allocation, rest: list[Free], free: list[Free]
    ) -> tuple[list[int], list[Slot]] | None:
        """Return slots for all members within an allocation, if possible on idle capacity.

        Args:
            shape: The shape of the gang.
            allocation: The allocation.
            rest: What the gang may use of each slot, including what it can evict others from.
            free: The part of `rest` that no gang holds.

        Returns:
            For each member, the index of the allocation's slot and the slot cut from it; None if
            not all members fit.
        """
        numbers: list[int] = []
        slots: list[Slot] = []
        order = sorted(range(len(rest)), key=lambda n: _fullest_first(free[n].members(shape)))
        for number in order:
            left, idle = rest[number], free[number].mask
            count = min(left.members(shape), shape.members - len(slots))
            mask = left.mask
            node = self._pool.nodes[allocation.slots[number].node]
            for _ in range(count):
                taken = 0
                if shape.accelerators:
                    taken = best_fit_run(idle, shape.accelerators)
                    taken = taken or self._cheapest_run(node, mask, shape.accelerators)
                    if not taken:
                        break
                mask &= ~taken
                idle &= ~taken
                numbers.append(number)
                slots.append(
                    Slot(
                        node=allocation.slots[number].node,
                        mask=taken,
                        cores=shape.cores,
                        memory_bytes=shape.memory_bytes,
                    )
                )
            if len(slots) == shape.members:
                return (numbers, slots) if self._pool.within_spread(slots, shape) else None
        return None

    def _cheapest_run(self, node: Node, mask: int, width: int) -> int:
        """Return the mask of the run whose holders would lose the least work, or 0 if none fits."""
        best: tuple[float, int] | None = None
        for start, length in runs(mask):
            for offset in range(length - width + 1):
                window = ((1 << width) - 1) << start + offset
                cost = sum(
                    eviction_cost(self._gangs[job_id], self._now)
                    for job_id, held in node.held.items()
                    if any(slot.mask & window for slot, _ in held)
                )
                if best is None or (cost, window) < best:
                    best = (cost, window)
        return 0 if best is None else best[1]

    def victims(self, slots: Iterable[Slot], claimant: Gang) -> frozenset[str] | None:
        """Return the gangs that must end to free the slots, or None if one cannot be evicted."""
        wanted: dict[int, list[Slot]] = {}
        for slot in slots:
            wanted.setdefault(slot.node, []).append(slot)
        found: set[str] = set()
        for index, node_slots in wanted.items():
            node = self._pool.nodes[index]
            mask = 0
            for slot in node_slots:
                mask |= slot.mask
            for job_id, held in node.held.items():
                if any(slot.mask & mask for slot, _ in held):
                    if not self._is_evictable_for(self._gangs[job_id], claimant):
                        return None
                    found.add(job_id)
            if not self._add_victims_for_cores_and_memory(node, node_slots, claimant, found):
                return None
        return frozenset(found)

    def _add_victims_for_cores_and_memory(
        self, node: Node, slots: list[Slot], claimant: Gang, found: set[str]
    ) -> bool:
        """Add victims until the cores and memory of a node suffice; return whether they do."""
        cores = sum(slot.cores for slot in slots) - (node.worker.cores - node.used_cores)
        memory = sum(s.memory_bytes for s in slots) - (node.worker.memory_bytes - node.used_memory)
        for job_id in found:
            for slot, _ in node.held.get(job_id, ()):
                cores -= slot.cores
                memory -= slot.memory_bytes
        if cores <= 0 and memory <= 0:
            return True
        others = [
            self._gangs[job_id]
            for job_id in node.held
            if job_id not in found and self._is_evictable_for(self._gangs[job_id], claimant)
        ]
        for gang in sorted(
            others, key=lambda g: (-PRIORITIES.index(g.job.priority), -g.started_at)
        ):
            found.add(gang.job.job_id)
            for slot, _ in node.held[gang.job.job_id]:
                cores -= slot.cores
                memory -= slot.memory_bytes
            if cores <= 0 and memory <= 0:
                return True
        return False

    def _is_evictable_for(self, holder: Gang, claimant: Gang) -> bool:
        """Return whether the owner of a guarantee may evict a gang that holds its capacity."""
        if holder.use is Use.RECLAIMABLE:
            return True
        return (
            holder.use is Use.OWNED
            and holder.job.customer == claimant.job.customer
            and holder.job.reclaimable
            and PRIORITIES.index(holder.job.priority) > PRIORITIES.index(claimant.job.priority)
        )


def _fullest_first(members: int) -> int:
    """Return a sort key by the members that fit; slots in which none fits come last."""
    return members if members else UNLIMITED


def _find(
    placer: Placer,
    shape: Shape,
    domains: list[int] | None,
    allowed: Callable[[int], bool] | None,
) -> list[Slot] | None:
    """Search all nodes first: only a search without a filter uses the memory of failed searches."""
    slots = placer.find(shape, domains=domains)
    if slots is None or allowed is None or all(allowed(slot.node) for slot in slots):
        return slots
    return placer.find(shape, domains=domains, allowed=allowed)


def _intersect(first: Free, second: Free) -> Free:
    return Free(
        first.mask & second.mask,
        min(first.cores, second.cores),
        min(first.memory_bytes, second.memory_bytes),
    )
