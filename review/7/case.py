"""A large job is accepted, and after it no job of any customer gets anywhere."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.cluster import Cluster, run_case

LARGE_JOB = "5c0e7a21d94b36f8"
SMALL_JOBS = [f"{number:016x}" for number in range(0x71, 0x79)]
LARGE_TASKS = 8_000
SMALL_TASKS = 2_000
"""Size of the job that is handed in instead, without the disruption."""
LARGE_MS = 20_000
SMALL_MS = 1_000
FINISH_SECONDS = 14.0
"""`finish_s`: jobs are asked for this long after the end of the traffic."""
CALM_SECONDS = 3.0
"""A job that waits with nothing running for this long, though there is capacity, is lost."""


def runs_of(cluster: Cluster, job_id: str) -> list[float]:
    """Return when the runs of a job began."""
    return [run.started_at for run in cluster.ledger.runs if run.task.startswith(job_id)]


async def play(cluster: Cluster, trouble: bool) -> list[str]:
    """Play the case and return where LOST is broken."""
    ledger = cluster.ledger
    count = LARGE_TASKS if trouble else SMALL_TASKS
    job = {
        "spec": f'{{"ms":{LARGE_MS}}}',
        "steps": [{"count": count, "cpu": 10, "memMb": 16, "estimateMs": LARGE_MS}],
    }
    if not await cluster.submit(LARGE_JOB, job):
        raise RuntimeError("the job was not accepted in calm")
    await asyncio.sleep(5.0)
    ledger.write(f"{len(runs_of(cluster, LARGE_JOB))} of {count} tasks of the first job began")
    small = {
        "spec": f'{{"ms":{SMALL_MS}}}',
        "steps": [{"count": 3, "cpu": 7_500, "memMb": 31_000, "gpu": 1, "estimateMs": SMALL_MS}],
    }
    accepted = []
    for number, job_id in enumerate(SMALL_JOBS):
        if await cluster.submit(job_id, small, first_vm=number):
            accepted.append(job_id)
        await asyncio.sleep(0.5)
    ledger.write(f"end of the traffic; {len(accepted)} small jobs were accepted")
    await asyncio.sleep(FINISH_SECONDS)
    asked_at = time.monotonic()
    await asyncio.sleep(CALM_SECONDS)
    broken = []
    for job_id in [LARGE_JOB, *accepted]:
        state = await cluster.state(job_id)
        began = len(runs_of(cluster, job_id))
        ledger.write(f"client: GET {job_id}: {state}; {began} runs of it began")
        running = [
            run
            for run in ledger.runs
            if run.task.startswith(job_id) and (run.ended_at or asked_at) >= asked_at
        ]
        if state not in ("complete",) and not running:
            broken.append(
                f"{job_id}: {state}, {began} runs began, nothing runs for {CALM_SECONDS} s, "
                f"{FINISH_SECONDS} s after the end of the traffic"
            )
    used = sum(len(runner.runs) for runner in cluster.runners)
    sizes = cluster.store.too_large
    ledger.write(f"{used} tasks run on all runners; the largest job needs 10 of 192,000 cpu each")
    ledger.write(
        f"the store rejected {len(sizes)} records over {262_144} bytes, "
        f"the largest of {max(sizes, default=0)} bytes"
    )
    return broken


def main() -> int:
    """Run the case."""
    cluster = Cluster()
    for number, zone in enumerate(("north", "centre", "south")):
        cluster.add_runner(zone=zone, labels=("a", f"r1-{number + 1}"))
    return run_case(Path(__file__).parent, cluster, play)


if __name__ == "__main__":
    sys.exit(main())
