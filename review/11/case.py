"""Three crashes of the same workers make a sound job `failed`, though no run of it failed."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Final

from standins_3.world import CannotRunError, World, play, trouble

from zinniaweir_soak.workers import JobSpec

WORKERS: Final = 24
CRASHING: Final = 3
"""A share of 0.125 of the workers; `srv_crash` has 0.156 at most."""
CRASHES: Final = 3
UP_SECONDS: Final = 0.9
"""Time from the job's start, or the workers' return, to their next crash."""
DOWN_SECONDS: Final = 1.0
"""Time for which they are down; `srv_crash` has 4.98 s at most."""
BUSY_SECONDS: Final = 11.0
"""Run time of the usual load, the longest of the sheets."""
TASK_SECONDS: Final = 6.1
"""Run time of the job's tasks, as `fee-reconcile` has it."""
WAIT_SECONDS: Final = 45.0


async def case(world: World) -> bool:
    """Return whether the job is not shown as failed."""
    whole = {"cpu": 26_000, "memMb": 68_000, "gpu": 8}
    small = {"cpu": 5_600, "memMb": 20_000, "gpu": 1}
    usual = JobSpec(
        count=WORKERS - CRASHING, gang=False, seconds=BUSY_SECONDS, fails=False, resources=whole
    )
    _, status = await world.submit("bulk", usual)
    if status != 200:
        raise CannotRunError("the usual load was not accepted")
    await asyncio.sleep(1.0)
    busy = set(world.observer.running.values())
    free = [s.index for s in world.slots if s.worker and s.worker.name not in busy]
    batch = JobSpec(
        count=CRASHING * 8, gang=False, seconds=TASK_SECONDS, fails=False, resources=small
    )
    job, status = await world.submit("fees", batch)
    if status != 200 or len(free) != CRASHING:
        raise CannotRunError("the job was not accepted, or finds other workers")
    if trouble():
        await crash_repeatedly(world, free)
    until = time.monotonic() + WAIT_SECONDS
    state = ""
    while time.monotonic() < until and state not in ("complete", "failed"):
        await asyncio.sleep(0.5)
        state = await world.state("fees", job)
    runs = sum(job in task for _, task, *_ in world.observer.starts)
    world.record.write(f"the job is {state} after {runs} runs, none of which ended `failed`")
    if state not in ("complete", "failed"):
        raise CannotRunError("the job has not ended")
    return state == "complete"


async def crash_repeatedly(world: World, indexes: list[int]) -> None:
    """Let workers crash and start again under their ids, some times."""
    for _ in range(CRASHES):
        await asyncio.sleep(UP_SECONDS)
        for index in indexes:
            await world.crash(index)
        await asyncio.sleep(DOWN_SECONDS)
        for index in indexes:
            await world.restart(index)


if __name__ == "__main__":
    sys.exit(play(case, workers=WORKERS))
