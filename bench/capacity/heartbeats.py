"""Costs of heartbeats by the number of VMs."""

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
"""Long enough to take all datagrams; a socket is read once in each turn of the event loop."""
UDP_HEADER_BYTES: Final = 28


def measure(seed: int) -> None:
    """Print cost and bytes of one VM's part of a heartbeat round: send to all, hear all."""
    processor, size = [], []
    for vms in VMS:
        seconds, sent = asyncio.run(_rounds(vms))
        processor.append((vms - 1, 1e6 * seconds))
        size.append((vms - 1, sent))
    print_fit("heartbeat_round_processor", unit="us", per="other VMs", seed=seed, points=processor)
    print_fit("heartbeat_round_wire", unit="bytes", per="other VMs", seed=seed, points=size)


async def _rounds(vms: int) -> tuple[float, float]:
    """Return processor time and bytes, sent and received, of one VM and round."""
    transports: list[HeartbeatTransport] = []
    for number in range(vms):
        contacts = [(HOST, other.port) for other in transports]
        transports.append(make_transport(f"vm{number}", contacts, failure_domain="centre"))
        await transports[-1].open()
    known_at = time.monotonic() + FORWARD_NEW_PEER_SECONDS + 0.5
    while time.monotonic() < known_at:
        await _round(transports)
    sent = _bytes(transports)
    processor = time.process_time()
    for _ in range(ROUNDS):
        await _round(transports)
    processor = time.process_time() - processor
    sent = _bytes(transports) - sent
    for transport in transports:
        transport.close()
    count = ROUNDS * vms
    return processor / count, sent / count + 2 * (vms - 1) * UDP_HEADER_BYTES


async def _round(transports: list[HeartbeatTransport]) -> None:
    for transport in transports:
        transport.send_now()
    await asyncio.sleep(ROUND_SECONDS)


def _bytes(transports: list[HeartbeatTransport]) -> int:
    return sum(transport.bytes_sent + transport.bytes_received for transport in transports)
