"""Measures moved shards, and the bytes and processor time of heartbeats."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time
from typing import TYPE_CHECKING

import xxhash

from zinniaweir.membership.ownership import preferred_owner
from zinniaweir.membership.transport import HeartbeatTransport
from zinniaweir.membership.view import Candidate, Membership, new_incarnation
from zinniaweir.wire.peer_service import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Sequence

UDP_HEADER_BYTES = 28


class _NoCounters:
    def add(self, name: str, *, reason: str = "", amount: int = 1) -> None:
        """Ignore the count."""


def run(arguments: Sequence[str] = ()) -> None:
    """Print JSON lines on moved shards and on heartbeats."""
    parser = argparse.ArgumentParser(prog="membership_bench")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--shards", type=int, default=1_000)
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--vms", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(list(arguments))
    print(json.dumps(_moved_shards(options)), flush=True)
    print(json.dumps(asyncio.run(_heartbeats(options))), flush=True)


def _moved_shards(options: argparse.Namespace) -> dict[str, float | str]:
    """Compare rendezvous hashing with a hash modulo the number of VMs over seeded changes."""
    rng = random.Random(options.seed)
    shards = [f"region/{number}" for number in range(options.shards)]
    vms = [f"vm{number}" for number in range(options.vms)]
    joined = options.vms
    moved = {"rendezvous": 0, "modulo": 0}
    needed = 0
    owners = {name: _owners(name, shards, vms) for name in moved}
    for _ in range(options.changes):
        if rng.random() < 0.5 and len(vms) > 2:
            leaving = vms.pop(rng.randrange(len(vms)))
            needed += sum(owner == leaving for owner in owners["rendezvous"])
        else:
            vms.append(f"vm{joined}")
            joined += 1
            needed += len(shards) // len(vms)
        for name in moved:
            after = _owners(name, shards, vms)
            moved[name] += sum(a != b for a, b in zip(owners[name], after, strict=True))
            owners[name] = after
    total = options.shards * options.changes
    return {
        "bench": "membership_moved_shards",
        "seed": options.seed,
        "shards": options.shards,
        "changes": options.changes,
        "moved_share_rendezvous": round(moved["rendezvous"] / total, 4),
        "moved_share_modulo": round(moved["modulo"] / total, 4),
        "least_possible_share": round(needed / total, 4),
    }


def _owners(name: str, shards: list[str], vms: list[str]) -> list[str]:
    if name == "modulo":
        ordered = sorted(vms)
        return [ordered[xxhash.xxh3_64_intdigest(s.encode()) % len(vms)] for s in shards]
    candidates = [
        Candidate(
            vm=vm,
            incarnation="1",
            region="luzon",
            live_since=0.0,
            log_reachable=True,
            fresh_age_seconds=0.0,
        )
        for vm in vms
    ]
    return [preferred_owner(shard, candidates) or "" for shard in shards]


async def _heartbeats(options: argparse.Namespace) -> dict[str, float | str]:
    """Run the transports of all VMs in this process and share its time among them."""
    transports = await _open(options.vms)
    tasks = [asyncio.create_task(transport.run()) for transport in transports]
    await asyncio.sleep(4.0)
    sent, received = _bytes(transports)
    wall, processor = time.monotonic(), time.process_time()
    await asyncio.sleep(options.seconds)
    wall, processor = time.monotonic() - wall, time.process_time() - processor
    sent_after, received_after = _bytes(transports)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    per_vm = wall * options.vms
    return {
        "bench": "membership_heartbeats",
        "vms": options.vms,
        "seconds": round(wall, 2),
        "payload_bytes_sent_per_second_per_vm": round((sent_after - sent) / per_vm, 1),
        "payload_bytes_received_per_second_per_vm": round((received_after - received) / per_vm, 1),
        "bytes_sent_per_second_per_vm_with_udp_header": round(
            (sent_after - sent) / per_vm + 2 * (options.vms - 1) * UDP_HEADER_BYTES, 1
        ),
        "core_share_per_vm": round(processor / per_vm, 6),
    }


async def _open(count: int) -> list[HeartbeatTransport]:
    transports: list[HeartbeatTransport] = []
    for number in range(count):
        contacts = [("127.0.0.1", transports[0].port)] if transports else []
        transports.append(make_transport(f"vm{number}", contacts))
        await transports[-1].open()
    return transports


def make_transport(
    vm: str, contacts: list[tuple[str, int]], *, failure_domain: str = "los-banos"
) -> HeartbeatTransport:
    """Return a transport on a free port that sends heartbeats of ordinary size."""
    membership = Membership(vm=vm, incarnation=new_incarnation())

    def make_heartbeat() -> Heartbeat:
        return Heartbeat(
            vm=vm,
            incarnation=membership.incarnation,
            host="127.0.0.1",
            port=transport.port,
            region="santiago",
            failure_domain=failure_domain,
            log_offset=12_345_678,
            fresh_age_seconds=0.512345,
            log_reachable=True,
            draining=False,
        )

    transport = HeartbeatTransport(
        host="127.0.0.1",
        port=0,
        membership=membership,
        make_heartbeat=make_heartbeat,
        seed_addresses=contacts,
        counters=_NoCounters(),
    )
    return transport


def _bytes(transports: list[HeartbeatTransport]) -> tuple[int, int]:
    return (
        sum(transport.bytes_sent for transport in transports),
        sum(transport.bytes_received for transport in transports),
    )


if __name__ == "__main__":
    import sys

    run(sys.argv[1:])
