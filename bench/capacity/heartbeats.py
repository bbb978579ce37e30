"""Costs of heartbeats, by number of VMs."""

from __future__ import annotations

import asyncio
import time
from typing import Final

from bench.capacity.fit import print_fit
from bench.capacity.meters import HOST
from bench.membership_bench import make_transport
from zinniaweir.membership.transport import FORWARD_NEW_PEER_SECONDS, HeartbeatTransport

VMS: Final = (3, 7, 14, 21)
ROUNDS: Final = 60
ROUND_SECONDS: Final = 0.05
"""Long enough to receive all datagrams: a socket is read once per turn of the event loop."""
UDP_HEADER_BYTES: Final = 28


def measure(seed: int) -> None:
    """Print one VM's cost and bytes in a round in which each VM sends a heartbeat to all others."""
    cpu_points, size_points = [], []
    for vms in VMS:
        seconds, sent_bytes = asyncio.run(_rounds(vms))
        cpu_points.append((vms - 1, 1e6 * seconds))
        size_points.append((vms - 1, sent_bytes))
    print_fit("heartbeat_round_processor", unit="us", per="other VMs", seed=seed, points=cpu_points)
    print_fit("heartbeat_round_wire", unit="bytes", per="other VMs", seed=seed, points=size_points)


async def _rounds(vms: int) -> tuple[float, float]:
    """Return one VM's processor seconds and bytes, sent and received, per round."""
    transports: list[HeartbeatTransport] = []
    for number in range(vms):
        seed_addresses = [(HOST, other.port) for other in transports]
        transports.append(make_transport(f"vm{number}", seed_addresses, failure_domain="centre"))
        await transports[-1].open()
    all_known_at = time.monotonic() + FORWARD_NEW_PEER_SECONDS + 0.5
    while time.monotonic() < all_known_at:
        await _round(transports)
    sent_bytes = _total_bytes(transports)
    cpu_seconds = time.process_time()
    for _ in range(ROUNDS):
        await _round(transports)
    cpu_seconds = time.process_time() - cpu_seconds
    sent_bytes = _total_bytes(transports) - sent_bytes
    for transport in transports:
        transport.close()
    count = ROUNDS * vms
    return cpu_seconds / count, sent_bytes / count + 2 * (vms - 1) * UDP_HEADER_BYTES


async def _round(transports: list[HeartbeatTransport]) -> None:
    for transport in transports:
        transport.send_now()
    await asyncio.sleep(ROUND_SECONDS)


def _total_bytes(transports: list[HeartbeatTransport]) -> int:
    return sum(transport.bytes_sent + transport.bytes_received for transport in transports)
