"""All nodes of a topology and the indexes of their free capacity."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from zinniaweir.core._masks import indexes, mask_of
from zinniaweir.core.capacity import CapacityIndex
from zinniaweir.core.nodes import Free, Node, Slot, Use
from zinniaweir.core.placement import Placer
from zinniaweir.core.shape import Member, Shape
from zinniaweir.core.topology import Topology
from zinniaweir.core.topology_index import TopologyIndex


class Pool:
    """Hold and release capacity, and keep an index for each view of what is free.

    The views are documented at the methods of `Node` that compute them; `empty` and
    `empty_unguaranteed` ignore what gangs hold, to determine whether a shape can ever fit.
    """

    def __init__(self, topology: Topology) -> None:
        self.topology = TopologyIndex(topology)
        indexed = self.topology
        self.nodes = [
            Node(
                index=index,
                worker=worker,
                rack=indexed.node_racks[index],
                domain=indexed.node_domains[index],
            )
            for index, worker in enumerate(indexed.workers)
        ]
        self.unheld = self._new_index()
        self.unguaranteed = self._new_index()
        self.allocatable = self._new_index()
        self.empty = self._new_index()
        self.empty_unguaranteed = self._new_index()
        self.unheld_placer = Placer(topology=indexed, index=self.unheld)
        self.unguaranteed_placer = Placer(topology=indexed, index=self.unguaranteed)
        self.allocation_placer = Placer(topology=indexed, index=self.allocatable)
        self.empty_placer = Placer(topology=indexed, index=self.empty)
        self.empty_unguaranteed_placer = Placer(topology=indexed, index=self.empty_unguaranteed)
        for node in self.nodes:
            self.empty.update(node.index, node.empty())
            self.refresh(node)

    def refresh(self, node: Node) -> None:
        """Update the indexes after a change of a node."""
        usable = node.usable
        self.unheld.update(node.index, node.unheld() if usable else None)
        self.unguaranteed.update(node.index, node.unguaranteed() if usable else None)
        healthy = node.live and node.domain_in and not node.quarantined
        allocatable = node.allocatable() if healthy else None
        self.allocatable.update(node.index, allocatable)
        empty = node.empty()
        self.empty_unguaranteed.update(
            node.index,
            Free(
                empty.mask & ~node.guaranteed_mask,
                empty.cores - node.guaranteed_cores,
                empty.memory_bytes - node.guaranteed_memory,
            ),
        )

    def hold(self, job_id: str, slots: Iterable[Slot], use: Use) -> None:
        """Assign slots to a gang."""
        touched = set()
        for slot in slots:
            node = self.nodes[slot.node]
            node.hold(job_id, slot, use)
            touched.add(slot.node)
        for index in touched:
            self.refresh(self.nodes[index])

    def release(self, job_id: str, slots: Iterable[Slot]) -> None:
        """Release the slots of a gang."""
        for index in {slot.node for slot in slots}:
            self.nodes[index].release(job_id)
            self.refresh(self.nodes[index])

    def change_use(self, job_id: str, slots: Iterable[Slot], use: Use) -> None:
        """Change the use for which a gang holds its slots."""
        for index in {slot.node for slot in slots}:
            self.nodes[index].change_use(job_id, use)
            self.refresh(self.nodes[index])

    def cover(self, slots: Iterable[Slot]) -> None:
        """Set slots aside for a guarantee."""
        self._on_slots(slots, Node.cover)

    def uncover(self, slots: Iterable[Slot]) -> None:
        """Stop setting slots aside for a guarantee."""
        self._on_slots(slots, Node.uncover)

    def domain_nodes(self, failure_domain: str) -> list[Node]:
        """Return the nodes of a failure domain, none if it is unknown."""
        domain = self.topology.domain_by_name.get(failure_domain)
        if domain is None:
            return []
        return [self.nodes[index] for index in self.topology.domain_nodes[domain]]

    def members(self, slots: list[Slot]) -> tuple[Member, ...]:
        """Return the members that correspond to slots, numbered from 0."""
        return tuple(
            Member(
                member=number,
                worker=self.nodes[slot.node].worker.name,
                accelerators=indexes(slot.mask),
            )
            for number, slot in enumerate(slots)
        )

    def slots(self, members: Iterable[Member], shape: Shape) -> list[Slot]:
        """Return the slots of placed members, in order of their numbers.

        Args:
            members: Where the members are placed.
            shape: The shape of the gang, which gives cores and memory.

        Raises:
            KeyError: If a worker is unknown.
        """
        return [
            Slot(
                node=self.topology.node_by_name[member.worker],
                mask=mask_of(member.accelerators),
                cores=shape.cores,
                memory_bytes=shape.memory_bytes,
            )
            for member in sorted(members, key=lambda m: m.member)
        ]

    def within_spread(self, slots: list[Slot], shape: Shape) -> bool:
        """Return whether all slots lie in one unit of the topology that the spread names."""
        nodes = [self.nodes[slot.node] for slot in slots]
        match shape.spread:
            case "worker":
                keys = {node.index for node in nodes}
            case "rack":
                keys = {node.rack for node in nodes}
            case "failure_domain":
                keys = {node.domain for node in nodes}
            case _:
                keys = {node.worker.region for node in nodes}
        return len(keys) <= 1

    def _on_slots(self, slots: Iterable[Slot], change: Callable[[Node, Slot], None]) -> None:
        touched = set()
        for slot in slots:
            change(self.nodes[slot.node], slot)
            touched.add(slot.node)
        for index in touched:
            self.refresh(self.nodes[index])

    def _new_index(self) -> CapacityIndex:
        return CapacityIndex(
            domains=len(self.topology.domain_names),
            racks=len(self.topology.rack_nodes),
            node_domains=self.topology.node_domains,
            node_racks=self.topology.node_racks,
        )
