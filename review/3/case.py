"""One entry of another writer in the list of runners stops all scheduling."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins.cluster import CannotRunError, Cluster, run_case

FIRST_ID = "00000000000000f1"
SECOND_ID = "00000000000000f2"
STEP = {"count": 1, "cpu": 7_500, "memMb": 31_000, "gpu": 1, "estimateMs": 2_500}
WORK_SECONDS = 2.5
FINISH_SECONDS = 14.0
"""`finish_s`: from this long after the end of the traffic, waiting jobs are judged."""
ALLOWED_SECONDS = 3.0
"""How long a job may have nothing running while there is capacity for it."""
FOREIGN_KEY = "export-7"
FOREIGN_ENTRY = {
    "service": "nightly-export",
    "address": "127.0.0.1:70007",
    "zone": "diliman",
    "version": "1",
    "slots": 1,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": int(time.time() * 1e3),
    "clockMs": 1,
    "capacity": {"cpu": 1_000, "memMb": 1_000, "gpu": 0},
    "labels": [],
}
"""Entry of a service that no configuration names; its address has no valid port."""


async def case(cluster: Cluster, trouble: bool) -> bool:
    """Return whether a job had nothing running for too long."""
    await submit(cluster, FIRST_ID)
    await wait_for_end(cluster, FIRST_ID)
    if trouble:
        cluster.ledger.write("foreign_entry", key=FOREIGN_KEY, address=FOREIGN_ENTRY["address"])
        await cluster.store.put("keyed.servers", FOREIGN_KEY, FOREIGN_ENTRY)
        await asyncio.sleep(1.0)
    await submit(cluster, SECOND_ID)
    judged_until = cluster.ledger.now + FINISH_SECONDS + ALLOWED_SECONDS + 0.5
    while cluster.ledger.now < judged_until and not cluster.ledger.runs_of(SECOND_ID):
        await asyncio.sleep(0.1)
    broken = not cluster.ledger.runs_of(SECOND_ID)
    await cluster.state("gnomon-check", SECOND_ID)
    await cluster.store.put("keyed.servers", FOREIGN_KEY, None)
    cluster.ledger.write("foreign_entry_removed", key=FOREIGN_KEY)
    await wait_for_end(cluster, SECOND_ID)
    return broken


async def submit(cluster: Cluster, job_id: str) -> None:
    """Hand in a job."""
    if await cluster.submit("gnomon-check", job_id, [STEP], {"seconds": WORK_SECONDS}) != 200:
        raise CannotRunError("a job was not accepted")


async def wait_for_end(cluster: Cluster, job_id: str) -> None:
    """Wait until a job is shown as complete."""

    async def complete() -> bool:
        return await cluster.state("gnomon-check", job_id) == "complete"

    await cluster.wait_until(complete, 30.0, "a job did not end")


if __name__ == "__main__":
    sys.exit(run_case(case, folder=Path(__file__).resolve().parent))
