"""Job records that a region owner publishes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.wire.records import JobFinished, JobRequeued, WorkerLoss

if TYPE_CHECKING:
    from zinniaweir.scheduler.gangs import GangRunner
    from zinniaweir.scheduler.jobs import JobEntry
    from zinniaweir.telemetry.counters import Counters

MAX_RECORDS_PER_BATCH: Final = 200
"""Maximum number of records per append.

A mass cancellation can end thousands of jobs; an append for each would take minutes.
"""


class OwnerRecords:
    """Queue a region owner's job records and publish them in order.

    Records stay queued while the log is unavailable.

    Args:
        region: Name of the region.
        epoch: Ownership epoch that the records carry.
        runner: Publishes the records, retrying until they are on the log.
        counters: Counters of the process.
    """

    def __init__(self, *, region: str, epoch: int, runner: GangRunner, counters: Counters) -> None:
        self._region = region
        self._epoch = epoch
        self._runner = runner
        self._counters = counters
        self._queue: asyncio.Queue[Any] = asyncio.Queue()

    def finish(self, job_id: str, state: str, reason: str) -> None:
        """Record the end of a job.

        Args:
            job_id: Id of the job.
            state: Final state of the job.
            reason: Why it ended.
        """
        self._counters.add("jobs_ended", reason=state)
        self._queue.put_nowait(
            JobFinished(
                job_id=job_id,
                region=self._region,
                epoch=self._epoch,
                state=state,
                reason=reason,
                finished_at=time.time(),
            )
        )

    def requeue(
        self,
        job: JobEntry,
        reason: str,
        *,
        attempt: int | None = None,
        checkpointed: bool = False,
        done_fraction: float = 0.0,
        losses: tuple[WorkerLoss, ...] = (),
    ) -> None:
        """Record that a job returns to the queue.

        Args:
            job: The job.
            reason: Why its attempt ended.
            attempt: The attempt that ended; by default the job's recorded attempt.
            checkpointed: Whether the attempt left a checkpoint.
            done_fraction: Share of the work that the checkpoint holds.
            losses: All attempts of the job that were lost with their workers.
        """
        self._counters.add("requeues", reason=reason.partition(":")[0])
        self._queue.put_nowait(
            JobRequeued(
                job_id=job.job_id,
                region=self._region,
                epoch=self._epoch,
                attempt=job.attempt if attempt is None else attempt,
                reason=reason,
                checkpointed=checkpointed,
                done_fraction=done_fraction,
                losses=losses,
            )
        )

    async def run(self) -> None:
        """Publish queued records until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while len(batch) < MAX_RECORDS_PER_BATCH and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            await self._runner.publish(batch)
