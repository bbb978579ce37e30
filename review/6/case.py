"""Hundreds of small tasks on one runner end while the store is slow for some seconds."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.cluster import Cluster, run_case

JOBS = [f"5c0e7a21d94b36{number:02x}" for number in range(8)]
WIDTH = 94
"""Tasks of a job: the largest width of a kind of request in the site file."""
WORK_MS = 8_000
STEP_MS = 10
"""The tasks of each job work this much longer than those of the one before."""
SLOW_SECONDS = 4.5
SLOWNESS = 60.0
"""`for_s` and `x` of `platform_slow` among the troubles of the site file."""


async def submit_all(cluster: Cluster) -> None:
    """Hand the jobs in; their label lets them run on the first runner alone."""
    step = {
        "count": WIDTH,
        "cpu": 80,
        "memMb": 64,
        "estimateMs": WORK_MS,
        "requirements": "b",
    }
    for number, job_id in enumerate(JOBS):
        spec = f'{{"ms":{WORK_MS + number * STEP_MS}}}'
        if not await cluster.submit(job_id, {"spec": spec, "steps": [step]}):
            raise RuntimeError("a job was not accepted in calm")


async def play(cluster: Cluster, trouble: bool) -> list[str]:
    """Play the case and return where TWICE is broken."""
    ledger, runner = cluster.ledger, cluster.runners[0]
    tasks = WIDTH * len(JOBS)
    await submit_all(cluster)
    until = time.monotonic() + 7.0
    while len(runner.runs) < tasks and time.monotonic() < until:
        await asyncio.sleep(0.02)
    if len(runner.runs) < tasks:
        raise RuntimeError(f"{len(runner.runs)} of {tasks} tasks run at a time")
    ledger.write(f"all {tasks} tasks run on {runner.name}")
    first_end = min(run.ends_at or 0.0 for run in ledger.runs)
    await asyncio.sleep(max(first_end - 0.3 - time.monotonic(), 0.0))
    if trouble:
        cluster.store.slowness = SLOWNESS
        ledger.write(f"answers of the store take {SLOWNESS:.0f} times as long from now on")
    most = 0
    until = time.monotonic() + SLOW_SECONDS
    while time.monotonic() < until:
        most = max(most, runner.unseen_ends)
        await asyncio.sleep(0.02)
    if trouble:
        cluster.store.slowness = 1.0
        ledger.write("the store is as fast as before")
    ledger.write(f"at most {most} ends were listed and not acknowledged at a time")
    waiting = set(JOBS)
    until = time.monotonic() + 30
    while waiting and time.monotonic() < until:
        await asyncio.sleep(1.0)
        for job_id in sorted(waiting):
            state = await cluster.state(job_id)
            ledger.write(f"client: GET {job_id}: {state}")
            if state == "complete":
                waiting.discard(job_id)
    await asyncio.sleep(1.0)
    ledger.write(f"{len(ledger.runs)} starts of {tasks} tasks")
    return ledger.twice()


def main() -> int:
    """Run the case."""
    cluster = Cluster()
    cluster.add_runner(zone="north", labels=("b", "r1-1"))
    cluster.add_runner(zone="centre", labels=("a", "r1-2"))
    cluster.add_runner(zone="south", labels=("a", "r1-3"))
    return run_case(Path(__file__).parent, cluster, play)


if __name__ == "__main__":
    sys.exit(main())
