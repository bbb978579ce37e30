"""Tests of heartbeats over UDP on loopback."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter

import msgspec

from zinniaweir.membership.transport import HeartbeatTransport
from zinniaweir.membership.view import Membership
from zinniaweir.wire.peer_service import Heartbeat
from zinniaweir.wire.vmlist_service import VmEntry


class Counts:
    def __init__(self):
        self.values = Counter()

    def add(self, name, *, reason="", amount=1):
        self.values[reason] += amount


class Vm:
    def __init__(self, name, seed_addresses=()):
        self.counts = Counts()
        self.members = Membership(vm=name, incarnation="1")
        self.transport = HeartbeatTransport(
            host="127.0.0.1",
            port=0,
            membership=self.members,
            make_heartbeat=self.heartbeat,
            seed_addresses=seed_addresses,
            counters=self.counts,
            interval=0.05,
        )

    @property
    def address(self):
        return "127.0.0.1", self.transport.port

    def heartbeat(self):
        return Heartbeat(
            vm=self.members.vm,
            incarnation=self.members.incarnation,
            host="127.0.0.1",
            port=self.transport.port,
            region="luzon",
            failure_domain="diliman",
            log_offset=1,
            fresh_age_seconds=float("inf"),
            log_reachable=True,
            draining=False,
        )

    def peer_names(self):
        return {peer.vm for peer in self.members.peers(self.transport._clock())}


async def run_until(vms, condition, seconds=5.0):
    tasks = [asyncio.create_task(vm.transport.run()) for vm in vms]
    try:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def test_vms_that_know_one_seed_address_learn_all_others():
    """VMs must hear each other even if all that they share is one seed address."""

    async def scenario():
        hub = Vm("hub")
        await hub.transport.open()
        spokes = [Vm(f"spoke{i}", [hub.address]) for i in range(4)]
        for spoke in spokes:
            await spoke.transport.open()
        names = {"hub", *(spoke.members.vm for spoke in spokes)}
        vms = [hub, *spokes]
        await run_until(vms, lambda: all(vm.peer_names() == names - {vm.members.vm} for vm in vms))

    asyncio.run(scenario())


def test_vm_list_gives_addresses_of_system_vms_only():
    """Heartbeats must not be sent to upstreams, or to host names that need a resolver."""

    async def scenario():
        one, two = Vm("one"), Vm("two")
        await two.transport.open()
        await one.transport.open()
        base = VmEntry(
            name="two",
            role="system",
            host="127.0.0.1",
            port=two.transport.port,
            failure_domain="d",
        )
        change = msgspec.structs.replace
        named = change(base, host="two.example")
        one.transport.on_vm_list([base, named, change(base, role="upstream", port=9)])
        assert one.transport._addresses() == {two.address}
        await run_until(
            [one, two], lambda: one.peer_names() == {"two"} and two.peer_names() == {"one"}
        )

    asyncio.run(scenario())


def test_broken_datagrams_change_nothing_and_are_counted():
    """Random or malicious datagrams must not change the view or stop the receiver."""

    async def scenario():
        vm, other = Vm("one"), Vm("two")
        await vm.transport.open()
        await other.transport.open()
        rng = random.Random(11)
        good = msgspec.msgpack.encode(other.heartbeat())
        fields = msgspec.to_builtins(other.heartbeat())
        broken = [rng.randbytes(rng.randrange(600)) for _ in range(300)]
        broken += [good[:cut] for cut in range(len(good))]
        for index, value in [(0, ""), (0, "x" * 65), (2, "host.example"), (3, 0), (3, 70_000)]:
            broken.append(msgspec.msgpack.encode([*fields[:index], value, *fields[index + 1 :]]))
        for index, value in [(6, -2), (6, 2**63), (7, -1.0), (7, float("nan")), (9, 1)]:
            broken.append(msgspec.msgpack.encode([*fields[:index], value, *fields[index + 1 :]]))
        for data in broken:
            vm.transport.receive(data, ("127.0.0.1", 9))
        assert vm.peer_names() == set()
        assert vm.counts.values["malformed"] == len(broken)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"\xc1", vm.address)
            sender.sendto(good, vm.address)
        async with asyncio.timeout(5.0):
            while not vm.peer_names():
                await asyncio.sleep(0.01)
        assert vm.transport.bytes_received == sum(map(len, broken)) + 1 + len(good)
        vm.transport.close()
        other.transport.close()

    asyncio.run(scenario())
