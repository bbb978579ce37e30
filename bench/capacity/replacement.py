"""Cost of the search for the newest snapshot at a VM's start, by number of snapshots in the log."""

from __future__ import annotations

import asyncio
import time
from typing import Final

from bench.capacity import populations
from bench.capacity.fit import print_fit
from bench.capacity.meters import HOST, log_standin, wire_bytes
from bench.capacity.snapshots import two_year_state
from zinniaweir.journal.client import LogClient
from zinniaweir.journal.snapshots import find_snapshot, split_snapshot

SNAPSHOTS: Final = (1, 4, 16)
RECORDS_BETWEEN: Final = 200
STATE_SHARE: Final = 0.1
"""Share of the two-year state; the whole state would fill the stand-in's memory."""


def measure(seed: int) -> None:
    """Print processor time and bytes of one search."""
    payload = two_year_state(STATE_SHARE).state.snapshot()
    cpu_points, size_points = [], []
    for count in SNAPSHOTS:
        with log_standin() as port:
            seconds, read = asyncio.run(_search(port, payload, count))
        cpu_points.append((count, 1e3 * seconds))
        size_points.append((count, read))
    print_fit("find_snapshot_processor", unit="ms", per="snapshots", seed=seed, points=cpu_points)
    print_fit("find_snapshot_wire", unit="bytes", per="snapshots", seed=seed, points=size_points)


async def _search(port: int, payload: bytes, count: int) -> tuple[float, int]:
    client = LogClient(host=HOST, port=port)
    records = populations.encode_bodies(populations.submitted(range(RECORDS_BETWEEN)))
    end = 0
    for _ in range(count):
        await client.append(records, timeout=10.0)
        end += len(records)
        parts = split_snapshot(payload, epoch=1, through_offset=end - 1)
        for part in parts:
            await client.append([populations.encoded(end, part)], timeout=10.0)
            end += 1
    await client.append(records, timeout=10.0)
    client.close()
    reader = LogClient(host=HOST, port=port)
    cpu_seconds = time.process_time()
    found = await find_snapshot(reader)
    cpu_seconds = time.process_time() - cpu_seconds
    if found.snapshot is None or found.snapshot.payload != payload:
        raise RuntimeError("the newest snapshot was not found")
    size = sum(wire_bytes(connection) for connection in reader._connections.values())
    reader.close()
    return cpu_seconds, size
