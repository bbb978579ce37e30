"""A gang that loses a runner three times, each time another one, is shown as failed."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins.cluster import CannotRunError, Cluster, run_case

JOB_ID = "5c0e7a21d94b36f8"
MEMBERS = 4
STEP = {
    "count": MEMBERS, "cpu": 26_000, "memMb": 140_000, "gpu": 8, "estimateMs": 8_500, "gang": True,
}  # fmt: skip
WORK_SECONDS = 8.5
CRASHES = 3
"""How many runners crash, each with another member of the gang."""
WORKED_SECONDS = 3.0
"""How long the gang has worked when a runner crashes."""
DOWN_SECONDS = 1.0
ENDED = ("complete", "failed", "cancelled")


async def case(cluster: Cluster, trouble: bool) -> bool:
    """Return whether the job was shown as failed though none of its runs ended so."""
    spec = {"seconds": WORK_SECONDS, "gang": {"0": MEMBERS}}
    if await cluster.submit("dial-trace", JOB_ID, [STEP], spec) != 200:
        raise CannotRunError("the job was not accepted")

    async def works() -> bool:
        return any(
            run.ended_at is None and run.working_since is not None
            for run in cluster.ledger.runs_of(JOB_ID)
        )

    for member in range(CRASHES if trouble else 0):
        await cluster.wait_until(works, 15.0, "the gang did not start")
        await asyncio.sleep(WORKED_SECONDS)
        machine = cluster.machine_of(f"{JOB_ID}.0.0.{member}")
        if machine is None:
            raise CannotRunError("the gang ended early")
        machine.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await machine.start()

    state = ""
    until = cluster.ledger.now + 40.0
    while state not in ENDED and cluster.ledger.now < until:
        await asyncio.sleep(1.0)
        state = await cluster.state("dial-trace", JOB_ID, vm=int(cluster.ledger.now))
    failures = sum(run.how == "failed" for run in cluster.ledger.runs_of(JOB_ID))
    cluster.ledger.write("shown", state=state, runs_that_ended_failed=failures)
    return state == "failed" and failures == 0


if __name__ == "__main__":
    sys.exit(run_case(case, folder=Path(__file__).resolve().parent))
