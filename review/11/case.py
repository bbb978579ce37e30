"""A job whose cancelling was answered with 410 runs from its start to its end all the same."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Final

from standins_3.world import CannotRunError, World, play, trouble

from zinniaweir_soak.workers import JobSpec

LATE_SECONDS: Final = 2.0
"""`platform_lost` with `late`: done 1 to 6 s later, and not answered."""
LOST_SECONDS: Final = 1.0
"""Time for which answers are lost; `platform_lost` has 4.5 s at most."""
LOST_SHARE: Final = 0.35
"""Its largest share of the writes."""
PATIENCE_SECONDS: Final = 0.3
"""Time after which the client leaves and cancels what it handed in."""
TASK_SECONDS: Final = 9.5
"""Run time of the job's tasks, as `analemma-sweep` has it."""
CONTACT_SECONDS: Final = 3.0
"""`contactMs`: after it, a disruption is not near any more."""
CANCEL_SECONDS: Final = 3.0
"""`cancel_ms`"""
STOP_SECONDS: Final = 0.2
"""`stopMs`"""
WATCH_SECONDS: Final = 14.0


async def case(world: World) -> bool:
    """Return whether the job's tasks are gone in time after the cancelling was answered."""
    size = {"cpu": 5_600, "memMb": 20_000, "gpu": 1}
    spec = JobSpec(count=3, gang=False, seconds=TASK_SECONDS, fails=False, resources=size)
    job = world.new_id()
    store, began_at = world.store, time.monotonic()
    lost_until, writes = began_at + LOST_SECONDS, store.writes
    if trouble():
        key = f"s/{job}".encode()
        store.late_by = lambda body: LATE_SECONDS if key in body and not store.late_writes else 0.0
    try:
        async with asyncio.timeout(PATIENCE_SECONDS):
            _, status = await world.submit("fees", spec, job_id=job, vm=world.vms[0], attempts=1)
        world.record.write(f"the client has the answer {status}, and cancels")
    except TimeoutError:
        world.record.write(f"the client leaves after {PATIENCE_SECONDS:g} s, and cancels")
    answer = await world.ask(world.vms[1], "DELETE", "fees", job)
    answered_at = time.monotonic()
    if answer.status not in (200, 202, 204, 410):
        raise CannotRunError("the cancelling was not acknowledged")
    await asyncio.sleep(max(lost_until - answered_at, 0.0))
    lost, written = store.late_writes, store.writes - writes
    world.record.write(f"{lost} of {written} writes were done late and not answered")
    if lost > LOST_SHARE * written:
        raise CannotRunError("more answers were lost than the pages say")
    calm_at = max(answered_at, lost_until + CONTACT_SECONDS)
    gone_by = calm_at + CANCEL_SECONDS + STOP_SECONDS
    longest = 0.0
    while time.monotonic() - answered_at < WATCH_SECONDS:
        if any(job in task for task, _ in world.observer.running):
            longest = max(longest, time.monotonic() - gone_by)
        await asyncio.sleep(0.05)
    state = await world.state("fees", job)
    world.record.write(
        f"its tasks ran on for {longest:.2f} s after the time by which they have to be gone, which"
        f" is {gone_by - answered_at:.2f} s after the answer; the job is {state}"
    )
    return longest <= 0.0


if __name__ == "__main__":
    sys.exit(play(case, workers=24))
