"""A task that was done and acknowledged on a restarted runner is started again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from standins.cluster import CannotRunError, Cluster, run_case

if TYPE_CHECKING:
    from standins.runner import Run

STEP = {"count": 12, "cpu": 7_500, "memMb": 31_000, "gpu": 8, "estimateMs": 2_500}
"""Two such jobs take all 24 runners."""
FIRST_JOBS = ("00000000000000b1", "00000000000000b2")
SECOND_JOBS = ("00000000000000c1", "00000000000000c2")
FIRST_SECONDS = 1.0
SECOND_SECONDS = 2.5
DOWN_SECONDS = 0.3
CUT_SECONDS = 5.0


async def case(cluster: Cluster, trouble: bool) -> bool:
    """Return whether a task was started after an end `done` that was acknowledged."""
    await submit(cluster, FIRST_JOBS, FIRST_SECONDS)
    await wait_for_ends(cluster, FIRST_JOBS)

    machine = cluster.machines[5]
    if trouble:
        machine.reaches_store = False
        cluster.ledger.write("cut_from_store", machine=machine.name)
        machine.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await machine.start()
    await submit(cluster, SECOND_JOBS, SECOND_SECONDS)
    if trouble:
        await asyncio.sleep(CUT_SECONDS - DOWN_SECONDS)
        machine.reaches_store = True
        cluster.ledger.write("cut_heals", machine=machine.name)
        await machine.heartbeat()
    await wait_for_ends(cluster, SECOND_JOBS)
    again = [ran_again(cluster, run) for run in cluster.ledger.runs if run.how == "done"]
    return True in again


async def submit(cluster: Cluster, job_ids: tuple[str, ...], seconds: float) -> None:
    """Hand in jobs."""
    statuses = await asyncio.gather(
        *(
            cluster.submit("gnomon-check", job_id, [STEP], {"seconds": seconds})
            for job_id in job_ids
        )
    )
    if statuses != [200] * len(job_ids):
        raise CannotRunError("a job was not accepted")


async def wait_for_ends(cluster: Cluster, job_ids: tuple[str, ...]) -> None:
    """Wait until jobs are shown as complete."""

    async def complete() -> bool:
        states = [await cluster.state("gnomon-check", job_id) for job_id in job_ids]
        return states == ["complete"] * len(job_ids)

    await cluster.wait_until(complete, 40.0, "the jobs did not end")


def ran_again(cluster: Cluster, done: Run) -> bool:
    """Return whether a task was started again after a run ended `done` and was acknowledged."""
    if done.noted_at is None or done.lapsed or done.ended_at is None:
        return False
    later = [
        run
        for run in cluster.ledger.runs
        if run.task == done.task and run.number > done.number and run.started_at > done.ended_at
    ]
    for run in later:
        cluster.ledger.write(
            "started_again",
            task=run.task,
            run=run.number,
            machine=run.machine,
            at=round(run.started_at, 3),
            done_at=round(done.ended_at, 3),
            noted_at=round(done.noted_at, 3),
        )
    return bool(later)


if __name__ == "__main__":
    sys.exit(run_case(case, folder=Path(__file__).resolve().parent))
