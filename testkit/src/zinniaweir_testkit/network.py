"""Relays between the processes of a test cluster."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Final

import msgspec

from zinniaweir.wire.peer_service import Heartbeat
from zinniaweir_testkit.ports import free_ports
from zinniaweir_testkit.relay import Link, TcpRelay, UdpRelay

if TYPE_CHECKING:
    from zinniaweir_testkit.layout import Layout, Node
    from zinniaweir_testkit.loop_thread import LoopThread

DROP_SEED: Final = 1


class Network:
    """Relays from each VM to the log, between each ordered pair of VMs, and to each node.

    A VM announces the same address to all peers in its heartbeats. The relay of a heartbeat
    replaces the port by that of the relay through which the receiver reaches the sender. All VMs
    share one relay for each worker and upstream, since their addresses come from the settings.
    """

    def __init__(self, *, layout: Layout, loop: LoopThread) -> None:
        self._layout = layout
        self._loop = loop
        self._random = random.Random(DROP_SEED)
        self._relays: list[TcpRelay | UdpRelay] = []
        vms = layout.vms
        self._log_ports = dict(zip((vm.name for vm in vms), free_ports(len(vms)), strict=True))
        pairs = [(a.name, b.name) for a in vms for b in vms if a.name != b.name]
        self._pair_ports = dict(zip(pairs, free_ports(len(pairs)), strict=True))
        nodes = (*layout.workers, *layout.upstreams)
        names = [node.name for node in nodes]
        self._node_ports = dict(zip(names, free_ports(len(names)), strict=True))
        self._links: dict[tuple[str, str], Link] = {}
        self._udp_relays: dict[tuple[str, str], UdpRelay] = {}

    def open(self) -> None:
        """Open all relays."""
        self._loop.run(self._open())

    def close(self) -> None:
        """Close all relays."""
        self._loop.call(lambda: [relay.close() for relay in self._relays])

    def log_port(self, vm: str) -> int:
        """Return the port at which a VM reaches the log."""
        return self._log_ports[vm]

    def peer_port(self, vm: str, other: str) -> int:
        """Return the port at which a VM reaches a peer VM."""
        return self._pair_ports[vm, other]

    def node(self, node: Node) -> Node:
        """Return a worker or upstream with the port of its relay."""
        return dataclasses.replace(node, port=self._node_ports[node.name])

    def links(self, name: str, target: str) -> list[Link]:
        """Return the links between a VM and its log or peers, or between a node and all VMs.

        Args:
            name: Name of a VM, worker or upstream.
            target: `log`, `peers`, `vms` for nodes, or the name of another VM.
        """
        if target == "peers":
            return [link for pair, link in self._links.items() if self._is_peer_pair(pair, name)]
        found = [self._links.get((name, target)), self._links.get((target, name))]
        return [link for link in found if link is not None]

    def all_links(self, name: str) -> list[Link]:
        """Return all links of a VM or node."""
        return [link for pair, link in self._links.items() if name in pair]

    def change(self, links: list[Link], **fields: float) -> None:
        """Set fields of links."""

        def apply() -> None:
            for link in links:
                for name, value in fields.items():
                    setattr(link, name, value)

        self._loop.call(apply)

    def cut(self, links: list[Link]) -> None:
        """Cut links."""
        self._loop.call(lambda: [link.cut() for link in links])

    def heal(self, links: list[Link]) -> None:
        """End the cuts of links."""
        self._loop.call(lambda: [link.heal() for link in links])

    def _is_peer_pair(self, pair: tuple[str, str], name: str) -> bool:
        return pair in self._pair_ports and name in pair

    async def _open(self) -> None:
        layout = self._layout
        for vm, port in self._log_ports.items():
            await self._open_tcp_relay(port, layout.log_port, (vm, "log"))
        grpc = {vm.name: vm.grpc for vm in layout.vms}
        for pair, port in self._pair_ports.items():
            await self._open_tcp_relay(port, grpc[pair[1]], pair)
            await self._open_udp_relay(port, pair)
        for node in (*layout.workers, *layout.upstreams):
            await self._open_tcp_relay(self._node_ports[node.name], node.port, (node.name, "vms"))

    async def _open_tcp_relay(self, port: int, target: int, pair: tuple[str, str]) -> None:
        self._links[pair] = Link()
        relay = TcpRelay(port=port, target=target, link=self._links[pair])
        await relay.open()
        self._relays.append(relay)

    async def _open_udp_relay(self, port: int, pair: tuple[str, str]) -> None:
        relay = UdpRelay(port=port, deliver=lambda data, _: self._forward_heartbeat(data, pair))
        await relay.open()
        self._udp_relays[pair] = relay
        self._relays.append(relay)

    def _forward_heartbeat(self, data: bytes, pair: tuple[str, str]) -> None:
        """Forward a heartbeat from the first VM of a pair to the second."""
        sender, receiver = pair
        data = self._with_relay_port(data, receiver)
        target = next(vm.grpc for vm in self._layout.vms if vm.name == receiver)
        source = self._udp_relays[receiver, sender]
        source.send(data, target, self._links[pair], self._random)

    def _with_relay_port(self, data: bytes, receiver: str) -> bytes:
        try:
            heartbeat = msgspec.msgpack.decode(data, type=Heartbeat)
        except msgspec.MsgspecError:
            return data
        port = self._pair_ports.get((receiver, heartbeat.vm))
        if port is None:
            return data
        return msgspec.msgpack.encode(msgspec.structs.replace(heartbeat, port=port))
