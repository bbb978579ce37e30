"""Execution of the dispatcher's decisions on the VM that owns scheduling."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, Final

from zinniaweir.dispatch.dispatcher import Changes, Dispatcher
from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.messages import Listing, StartAnswer, TaskId
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment
from zinniaweir.node.boottime import boottime
from zinniaweir.node.claim_policy import RENEWAL_INTERVAL_SECONDS
from zinniaweir.node.ports import (
    KeyedRecord,
    Log,
    OtherLifeError,
    StaleEpochError,
    SupersededError,
    WorkerCallError,
    WorkerClient,
)
from zinniaweir.node.recorder import Recorder
from zinniaweir.node.reporting import OwnerReporter
from zinniaweir.node.view import View
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.telemetry.timers import Timers
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.records import (
    OWNER_KEY,
    OwnerClaim,
    cancellation_key,
    encode_record,
    progress_key,
    submission_key,
)

TICK_INTERVAL_SECONDS: Final = 0.1
"""Maximum interval between planning passes; decisions that depend on time need no event."""
PLAN_BATCH_SECONDS: Final = 0.01
"""Changes that arrive within this time are planned together."""
BUSY_POLL_WAIT_SECONDS: Final = 0.7
"""How long a poll of a worker with tasks waits for an end.

Two polls without an answer fit into the lease of a start.
"""
IDLE_POLL_WAIT_SECONDS: Final = 1.2
"""How long a poll of an idle worker waits; shorter than the silence that excludes a worker."""
POLL_RETRY_DELAY_SECONDS: Final = 0.1
UNACKNOWLEDGED_DELAY_SECONDS: Final = 0.05
"""Delay between polls while ends are not yet on the log.

The worker lists unacknowledged ends again at once, without waiting for a new one.
"""
OUTAGE_DELAY_SECONDS: Final = 0.4
"""Delay between polls while ends are not yet on the log and the log answers slowly.

It does so if an append takes longer than this.
"""
FAULT_DELAY_SECONDS: Final = 0.5
"""Delay after an unexpected error before the failed action is tried again."""
START_RETRY_INTERVAL_SECONDS: Final = 0.3
STOP_RETRY_INTERVAL_SECONDS: Final = 0.7
MAX_SILENCE_FOR_RENEWAL_SECONDS: Final = 1.5
"""Maximum silence after which a poll still renews the lease of a worker.

Without a renewal, the time at which the worker's lease ends is known.
"""


class Owner:
    """Schedule jobs and command workers during one epoch of ownership.

    Args:
        view: State of the platform as read from the log.
        log_port: The platform's log.
        workers: Client for calls to workers.
        claim: The ownership claim of this epoch, as read from the log.
        sequence: Sequence number with which the claim was appended.
        claimed_at: When the claim was first sent, in seconds of `boottime`.
        time_limits: Durations that limit leases and retention.
        counters: Receives counts of decisions and failures.
        timers: Receives durations of waits and jobs.
    """

    def __init__(
        self,
        *,
        view: View,
        log_port: Log,
        workers: WorkerClient,
        claim: OwnerClaim,
        sequence: int,
        claimed_at: float,
        time_limits: TimeLimits,
        counters: Counters,
        timers: Timers,
    ) -> None:
        self._view = view
        self._workers = workers
        self._claim = claim
        self._time_limits = time_limits
        self._counters = counters
        self._recorder = Recorder(
            log_port=log_port,
            epoch=claim.epoch,
            sequence=sequence,
            claimed_at=claimed_at,
            counters=counters,
        )
        self._began_at = boottime()
        self._dispatcher = Dispatcher(
            now=self._began_at,
            predecessor_ended=claim.sole,
            time_limits=time_limits,
            reporter=OwnerReporter(epoch=claim.epoch, counters=counters, timers=timers),
        )
        self._wake = asyncio.Event()
        self._record_wake = asyncio.Event()
        self._end_requested = asyncio.Event()
        self._polled: dict[str, Worker] = {}
        self._asked: dict[str, Worker] = {}
        """Workers that are asked which incarnation answers at a newly listed address."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._releasing = False

    @property
    def dispatcher(self) -> Dispatcher:
        """The scheduling state."""
        return self._dispatcher

    @property
    def epoch(self) -> int:
        """The owner's fencing token."""
        return self._claim.epoch

    def wake(self) -> None:
        """Trigger planning after a change."""
        self._wake.set()

    def add_job(self, entry: JobEntry) -> None:
        """Add a job that was read from the log; one that causes an error is left out."""
        age = max(0.0, time.time() - entry.submission.accepted_at)
        try:
            self._dispatcher.add_job(entry, now=boottime(), age=age)
        except Exception as error:
            self._report_fault(error, job_id=entry.submission.job_id)
        self.wake()

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job whose cancellation was read from the log."""
        self._dispatcher.cancel_job(job_id, now=boottime())
        self.wake()

    def step_down(self) -> None:
        """End the ownership because another claim has a higher epoch."""
        self._end_requested.set()

    async def run(self) -> None:
        """Run until superseded, released or cancelled."""
        log(
            "owner_began",
            epoch=self.epoch,
            jobs=sum(1 for _ in self._view.job_table.jobs),
            predecessor_ended=self._claim.sole,
        )
        for entry in list(self._view.job_table.jobs):
            self.add_job(entry)
        try:
            for loop in (self._plan_loop(), self._record_loop()):
                self._spawn(loop)
            await self._end_requested.wait()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            log("owner_ended", epoch=self.epoch, released=self._releasing)

    async def release(self) -> None:
        """Record the release of the ownership and wait for the owner to end.

        Another VM may claim a released ownership without waiting for a timeout, and before the
        record of the release is answered. So no lease is renewed and no start is sent from now on.
        """
        self._releasing = True
        self._record_wake.set()
        await self._end_requested.wait()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._report_fault(error)
            self._end_requested.set()

    def _report_fault(self, error: BaseException, **context: str) -> None:
        self._counters.add("owner_faults", reason=type(error).__name__)
        log("owner_fault", error=repr(error), epoch=self.epoch, **context)

    async def _plan_loop(self) -> None:
        while True:
            try:
                self._plan_once()
            except Exception as error:
                # The next owner would meet the same error, so this one goes on with the rest.
                self._report_fault(error, action="plan")
                await asyncio.sleep(FAULT_DELAY_SECONDS)
            self._wake.clear()
            try:
                async with asyncio.timeout(TICK_INTERVAL_SECONDS):
                    await self._wake.wait()
                await asyncio.sleep(PLAN_BATCH_SECONDS)
            except TimeoutError:
                continue

    def _plan_once(self) -> None:
        now = boottime()
        self._apply_view(now)
        self._dispatcher.plan(now=now)
        self._send_commands(boottime())
        self._record_wake.set()

    def _apply_view(self, now: float) -> None:
        view, dispatcher = self._view, self._dispatcher
        if view.configuration is not None:
            dispatcher.configure(view.configuration, view.evacuated)
        dispatcher.update_workers(view.worker_entries(), now=now)
        dispatcher.update_view_time(view.decisions_fresh_at, jobs_read_at=view.jobs.fresh_at)
        for worker in dispatcher.fleet:
            if self._polled.get(worker.name) is not worker:
                self._polled[worker.name] = worker
                self._spawn(self._poll_worker(worker))
            if worker.announced is not None and self._asked.get(worker.name) is not worker:
                self._asked[worker.name] = worker
                self._spawn(self._ask_announced(worker))

    def _send_commands(self, now: float) -> None:
        dispatcher = self._dispatcher
        for assignment in dispatcher.assignments_to_start(
            now=now, retry_after_seconds=START_RETRY_INTERVAL_SECONDS
        ):
            self._send_start(assignment, now)
        for assignment in dispatcher.assignments_to_stop(
            now=now, retry_after_seconds=STOP_RETRY_INTERVAL_SECONDS
        ):
            dispatcher.mark_stop_sent(assignment, now=now)
            self._spawn(self._stop(assignment))
        for worker, task, run in dispatcher.orphan_runs_to_stop(
            now=now, retry_after_seconds=STOP_RETRY_INTERVAL_SECONDS
        ):
            self._counters.add("stops", reason="stray_run")
            log("stray_stopped", task=task, run=run, worker=worker.name)
            self._spawn(self._stop_orphan_run(worker, task, run))

    def _send_start(self, assignment: Assignment, now: float) -> None:
        if not self._releasing and self._dispatcher.prepare_start(assignment, now=now):
            self._spawn(self._start(assignment))

    async def _start(self, assignment: Assignment) -> None:
        worker = self._dispatcher.fleet.get(assignment.worker)
        if worker is None:
            return
        unit = assignment.unit
        answer = await self._workers.start(
            worker.entry,
            assignment.task,
            run=assignment.run,
            payload=unit.job.payload,
            checkpoint=unit.run_checkpoint,
            deadline_ms=assignment.start_deadline_ms,
            epoch=self.epoch,
            send_until=assignment.send_until,
        )
        if answer is StartAnswer.STALE_EPOCH:
            self._on_fenced(worker)
        self._dispatcher.handle_start_answer(assignment, answer, now=boottime())
        self.wake()

    async def _stop(self, assignment: Assignment) -> None:
        worker = self._dispatcher.fleet.get(assignment.worker)
        acknowledged = False
        if worker is not None:
            acknowledged = await self._call_stop(worker, assignment.task, assignment.run)
        self._dispatcher.handle_stop_answer(assignment, acknowledged=acknowledged, now=boottime())

    async def _stop_orphan_run(self, worker: Worker, task: TaskId, run: int) -> None:
        if await self._call_stop(worker, task, run):
            self._dispatcher.mark_orphan_run_stopped(worker, task, run, now=boottime())

    async def _call_stop(self, worker: Worker, task: TaskId, run: int) -> bool:
        try:
            await self._workers.stop(worker.entry, task, run=run, epoch=self.epoch)
        except StaleEpochError:
            self._on_fenced(worker)
            return False
        except WorkerCallError as error:
            self._counters.add("stop_failures", reason=type(error).__name__)
            return False
        return True

    def _on_fenced(self, worker: Worker) -> None:
        self._counters.add("fenced", reason="worker")
        log("owner_fenced", by=worker.name, epoch=self.epoch)
        self._end_requested.set()

    async def _poll_worker(self, worker: Worker) -> None:
        """Poll one incarnation of a worker until it is replaced or removed.

        A poll is answered as soon as a run ends.
        """
        dispatcher = self._dispatcher
        answered = True
        while dispatcher.fleet.get(worker.name) is worker:
            poll_sent_at = boottime()
            # A worker that may be lost gets no longer lease, since its tasks wait for the lease's
            # end before they run elsewhere.
            lease = self._lease(worker, poll_sent_at) if answered else None
            wait = BUSY_POLL_WAIT_SECONDS if worker.assignments else IDLE_POLL_WAIT_SECONDS
            # It gets no work before it has confirmed a lease, so that is not delayed.
            unconfirmed = lease is not None and not worker.leased(poll_sent_at)
            if worker.listed_at is None or unconfirmed or not answered:
                wait = 0.0
            acknowledgement = worker.acknowledgement_to_send if answered else 0
            try:
                listing = await self._workers.poll(
                    worker.entry,
                    epoch=self.epoch,
                    # Only an incarnation that has just answered is surely the one that is meant.
                    acknowledged=acknowledgement,
                    lease_until_ms=lease,
                    wait_seconds=wait,
                )
            except StaleEpochError:
                self._on_fenced(worker)
                return
            except WorkerCallError as error:
                answered = False
                dispatcher.handle_unanswered_poll(worker, poll_sent_at=poll_sent_at)
                self._counters.add("look_failures", reason=type(error).__name__)
                delay = (
                    RENEWAL_INTERVAL_SECONDS
                    if isinstance(error, OtherLifeError)
                    else POLL_RETRY_DELAY_SECONDS
                )
                await asyncio.sleep(delay)
                continue
            answered = True
            worker.discarded_end = max(worker.discarded_end, acknowledgement)
            await self._apply_listing(
                worker, listing, poll_sent_at=poll_sent_at, renewed=lease is not None
            )
            if worker.applied_end > worker.acknowledged_end:
                await asyncio.sleep(self._unacknowledged_delay)

    async def _ask_announced(self, worker: Worker) -> None:
        """Ask which incarnation of a worker runs, since the platform's list shows another one.

        The poll renews and acknowledges nothing. An answer settles it: either the other incarnation
        answers and replaces the known one, or the known one has outlived the other.
        """
        dispatcher = self._dispatcher
        while dispatcher.fleet.get(worker.name) is worker and worker.announced is not None:
            poll_sent_at = boottime()
            try:
                listing = await self._workers.poll(
                    worker.announced,
                    epoch=self.epoch,
                    acknowledged=0,
                    lease_until_ms=None,
                    wait_seconds=0.0,
                )
            except StaleEpochError:
                self._on_fenced(worker)
                return
            except WorkerCallError as error:
                self._counters.add("look_failures", reason=type(error).__name__)
                await asyncio.sleep(POLL_RETRY_DELAY_SECONDS)
                continue
            await self._apply_listing(worker, listing, poll_sent_at=poll_sent_at, renewed=False)
        if self._asked.get(worker.name) is worker:
            del self._asked[worker.name]

    async def _apply_listing(
        self, worker: Worker, listing: Listing, *, poll_sent_at: float, renewed: bool
    ) -> None:
        try:
            self._dispatcher.handle_listing(
                worker, listing, poll_sent_at=poll_sent_at, renewed=renewed, now=boottime()
            )
        except Exception as error:
            self._report_fault(error, action="poll", worker=worker.name)
            await asyncio.sleep(FAULT_DELAY_SECONDS)
        self.wake()

    @property
    def _unacknowledged_delay(self) -> float:
        log_is_slow = self._recorder.pending_seconds > OUTAGE_DELAY_SECONDS
        return OUTAGE_DELAY_SECONDS if log_is_slow else UNACKNOWLEDGED_DELAY_SECONDS

    def _lease(self, worker: Worker, now: float) -> int | None:
        """Return the lease end to send with a poll, None if the lease must not be renewed.

        The lease end is in milliseconds on the worker's clock. It counts from the lower bound of
        that clock, so a poll that is carried out late gives no longer lease than the next owner
        waits for.
        """
        if self._releasing:
            return None
        if not worker.clock.known or now - worker.answered_at > MAX_SILENCE_FOR_RENEWAL_SECONDS:
            return None
        if now - self._recorder.confirmed_at > self._time_limits.renewal_grace_seconds:
            return None
        until = int(worker.clock.earliest(now) + self._time_limits.lease_seconds * 1e3)
        worker.lease_until_ms = max(worker.lease_until_ms, until)
        return until

    async def _record_loop(self) -> None:
        renewal_at = boottime() + RENEWAL_INTERVAL_SECONDS
        while True:
            changes = self._dispatcher.collect_changes(now=boottime())
            records = self._records_of(changes)
            releasing = self._releasing
            if not changes.is_empty or boottime() >= renewal_at or releasing:
                renewal_at = boottime() + RENEWAL_INTERVAL_SECONDS
                records.append(self._next_renewal())
                try:
                    await self._recorder.write(records)
                except SupersededError as error:
                    self._counters.add("fenced", reason="log")
                    log("owner_fenced", by="log", epoch=self.epoch, error=str(error))
                    self._end_requested.set()
                    return
            self._after_record(changes)
            if releasing:
                self._end_requested.set()
                return
            if self._releasing:
                continue
            self._record_wake.clear()
            try:
                async with asyncio.timeout(max(renewal_at - boottime(), 0.0)):
                    await self._record_wake.wait()
            except TimeoutError:
                continue

    def _after_record(self, changes: Changes) -> None:
        self._dispatcher.mark_recorded(changes)
        now = boottime()
        for assignment in changes.placed:
            if not assignment.stop_reason:
                self._send_start(assignment, now)
        if changes.placed:
            self.wake()

    def _records_of(self, changes: Changes) -> list[KeyedRecord]:
        records = [
            KeyedRecord(key=progress_key(p.job_id), value=encode_record(p))
            for p in changes.progress
        ]
        for job_id in changes.expired_job_ids:
            keys = (progress_key(job_id), cancellation_key(job_id), submission_key(job_id))
            records += [KeyedRecord(key=key, value=None) for key in keys]
        return records

    def _next_renewal(self) -> KeyedRecord:
        previous = self._claim
        owned_seconds = boottime() - self._began_at
        self._claim = OwnerClaim(
            vm=previous.vm,
            incarnation=previous.incarnation,
            epoch=previous.epoch,
            beat=previous.beat + 1,
            released=self._releasing,
            # By then, owners that were cut off from the log when this one began have stopped.
            sole=previous.sole or owned_seconds > self._time_limits.renewal_grace_seconds,
        )
        return KeyedRecord(key=OWNER_KEY, value=encode_record(self._claim))
