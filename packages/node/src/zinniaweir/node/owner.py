"""Execution of the dispatcher's decisions on the VM that owns scheduling."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from functools import partial
from itertools import islice
from typing import Any, Final

from zinniaweir.dispatch.changes import Changes
from zinniaweir.dispatch.dispatcher import Dispatcher, PagesNeededError
from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.messages import StartAnswer, TaskId
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment
from zinniaweir.node.boottime import boottime
from zinniaweir.node.call_queue import Call, CallQueue
from zinniaweir.node.claim_policy import RENEWAL_INTERVAL_SECONDS
from zinniaweir.node.owner_records import progress_record, records_of
from zinniaweir.node.polling import (
    DEFAULT_WORKER_CONNECTIONS,
    FAULT_DELAY_SECONDS,
    WorkerPolling,
)
from zinniaweir.node.ports import (
    KeyedRecord,
    Log,
    StaleEpochError,
    SupersededError,
    WorkerCallError,
    WorkerClient,
)
from zinniaweir.node.recorder import DEFAULT_MAX_RECORD_BYTES, Recorder, split_records
from zinniaweir.node.reporting import OwnerReporter
from zinniaweir.node.view import View
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.telemetry.timers import Timers
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.progress_pages import MAX_WHOLE_PROGRESS_BYTES
from zinniaweir.workloads.records import (
    OWNER_KEY,
    OwnerClaim,
    PagedOwnerClaim,
    encode_record,
)

TICK_INTERVAL_SECONDS: Final = 0.1
"""Maximum interval between planning passes; decisions that depend on time need no event."""
PLAN_BATCH_SECONDS: Final = 0.01
"""Changes that arrive within this time are planned together."""
PACED_PASS_SHARE: Final = 0.4
"""Maximum share of the time that planning passes take in a large fleet."""
PACED_UPDATE_SECONDS: Final = 0.1
"""Interval between updates of a large fleet if the platform's list did not change."""
MAX_WRITE_BYTES: Final = 500_000
"""Size of records that are written before the claim is renewed again."""
PAGED_CLAIM_SECONDS: Final = 60.0
"""Time for which a `PagedOwnerClaim` is renewed at least; it is made before the first page."""
MAX_WHOLE_PROGRESS_SHARE: Final = 0.5
"""Share of a record above which the progress of a job is stored in pages."""
MAX_STARTS_IN_FLIGHT: Final = 512
"""Number of starts in flight, over all workers."""
MAX_STOPS_IN_FLIGHT: Final = 256
"""The same of stops."""
MAX_EARLY_CANCELLATION_REMOVALS: Final = 100
"""Number of early cancellations that are removed in one append."""
LOADING_TASKS: Final = 1_000
"""Number of tasks of recorded jobs after which a new owner lets renewals and callers in."""
LONG_PASS_SECONDS: Final = 0.02
"""Duration of a planning pass from which on pauses are as in a large fleet."""
START_RETRY_INTERVAL_SECONDS: Final = 0.3
STOP_RETRY_INTERVAL_SECONDS: Final = 0.7


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
        worker_connections: Maximum number of connections to workers.
        max_record_bytes: Size limit of a record on the log.
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
        worker_connections: int = DEFAULT_WORKER_CONNECTIONS,
        max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES,
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
            max_record_bytes=max_record_bytes,
        )
        self._began_at = boottime()
        self._dispatcher = Dispatcher(
            now=self._began_at,
            predecessor_ended=claim.sole,
            time_limits=time_limits,
            reporter=OwnerReporter(epoch=claim.epoch, counters=counters, timers=timers),
            clock=boottime,
            max_whole_progress_bytes=min(
                MAX_WHOLE_PROGRESS_BYTES, int(MAX_WHOLE_PROGRESS_SHARE * max_record_bytes)
            ),
        )
        self._starts = CallQueue(max_in_flight=MAX_STARTS_IN_FLIGHT, spawn=self.spawn)
        self._stops = CallQueue(max_in_flight=MAX_STOPS_IN_FLIGHT, spawn=self.spawn)
        self._wake = asyncio.Event()
        self._record_wake = asyncio.Event()
        self._end_requested = asyncio.Event()
        self._polling = WorkerPolling(
            owner=self,
            dispatcher=self._dispatcher,
            workers=workers,
            recorder=self._recorder,
            time_limits=time_limits,
            counters=counters,
            max_connections=worker_connections,
        )
        self._updated_at = float("-inf")
        self._applied_changes = -1
        """Number of changes of the platform's list that the dispatcher knows."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._releasing = False
        self._pages_needed = False

    @property
    def dispatcher(self) -> Dispatcher:
        """The scheduling state."""
        return self._dispatcher

    @property
    def epoch(self) -> int:
        """The owner's fencing token."""
        return self._claim.epoch

    @property
    def releasing(self) -> bool:
        """Whether the ownership is being released."""
        return self._releasing

    @property
    def pages_needed(self) -> bool:
        """Whether it ended since only an owner with a `PagedOwnerClaim` can go on."""
        return self._pages_needed

    def wake(self) -> None:
        """Trigger planning after a change."""
        self._wake.set()

    def add_job(self, entry: JobEntry) -> None:
        """Add a job that was read from the log; one that causes an error is left out."""
        age = max(0.0, time.time() - entry.submission.accepted_at)
        try:
            self._dispatcher.add_job(entry, now=boottime(), age=age)
        except Exception as error:
            self.report_fault(error, job_id=entry.submission.job_id)
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
        try:
            for loop in (self._load_and_plan(), self._record_loop()):
                self.spawn(loop).add_done_callback(self._on_loop_done)
            await self._end_requested.wait()
        finally:
            self._starts.close()
            self._stops.close()
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

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work that ends with the ownership."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Report the error of a task; that of one worker or command ends nothing else."""
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.report_fault(error)

    def _on_loop_done(self, task: asyncio.Task[None]) -> None:
        """End the ownership if a loop on which all jobs depend failed."""
        if not task.cancelled() and task.exception() is not None:
            self._end_requested.set()

    def report_fault(self, error: BaseException, **context: str) -> None:
        """Report an unexpected error."""
        self._counters.add("owner_faults", reason=type(error).__name__)
        log("owner_fault", error=repr(error), epoch=self.epoch, **context)

    async def _load_and_plan(self) -> None:
        """Add the jobs on the log, with pauses for renewals and callers, and plan from then on."""
        tasks = 0
        for entry in list(self._view.job_table.jobs):
            self.add_job(entry)
            tasks += sum(step.count for step in entry.submission.spec.steps)
            if tasks >= LOADING_TASKS:
                tasks = 0
                await asyncio.sleep(0)
        await self._plan_loop()

    async def _plan_loop(self) -> None:
        while True:
            began_at = boottime()
            try:
                self._plan_once()
            except Exception as error:
                # The next owner would meet the same error, so this one goes on with the rest.
                self.report_fault(error, action="plan")
                await asyncio.sleep(FAULT_DELAY_SECONDS)
            pass_seconds = boottime() - began_at
            self._wake.clear()
            if self._dispatcher.plan_unfinished:
                self._wake.set()
            try:
                async with asyncio.timeout(TICK_INTERVAL_SECONDS):
                    await self._wake.wait()
                await asyncio.sleep(self._batch_seconds(pass_seconds))
            except TimeoutError:
                continue

    def _batch_seconds(self, pass_seconds: float) -> float:
        """Return the delay before a pass, in which changes are collected."""
        if not self._polling.paced and pass_seconds < LONG_PASS_SECONDS:
            return PLAN_BATCH_SECONDS
        return max(PLAN_BATCH_SECONDS, pass_seconds * (1 / PACED_PASS_SHARE - 1))

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
        if self._update_due(now):
            self._updated_at, self._applied_changes = now, view.workers_changes
            dispatcher.update_workers(view.worker_entries(), now=now)
            self._polling.update()
        dispatcher.update_view_time(view.decisions_fresh_at, jobs_read_at=view.jobs.fresh_at)

    def _update_due(self, now: float) -> bool:
        """Return whether the fleet is updated by a pass; in a small one it is by each."""
        return (
            not self._polling.paced
            or self._applied_changes != self._view.workers_changes
            or now - self._updated_at >= PACED_UPDATE_SECONDS
        )

    def _send_commands(self, now: float) -> None:
        dispatcher = self._dispatcher
        for assignment in dispatcher.assignments_to_start(
            now=now, retry_after_seconds=START_RETRY_INTERVAL_SECONDS
        ):
            self._send_start(assignment)
        for assignment in dispatcher.assignments_to_stop(
            now=now, retry_after_seconds=STOP_RETRY_INTERVAL_SECONDS
        ):
            self._stops.put(assignment, partial(self._begin_stop, assignment))
        for worker, task, run in dispatcher.orphan_runs_to_stop(
            now=now, retry_after_seconds=STOP_RETRY_INTERVAL_SECONDS
        ):
            self._counters.add("stops", reason="stray_run")
            log("stray_stopped", task=task, run=run, worker=worker.name)
            call = partial(self._stop_orphan_run, worker, task, run)
            self._stops.put((worker, task, run), call)

    def _send_start(self, assignment: Assignment) -> None:
        self._starts.put(assignment, partial(self._begin_start, assignment))

    def _begin_start(self, assignment: Assignment) -> Call | None:
        """Return the call of a start, None if it may not be sent now."""
        if self._releasing:
            return None
        now = boottime()
        try:
            allowed = self._dispatcher.prepare_start(assignment, now=now)
        except Exception as error:
            self.report_fault(error, action="prepare_start", worker=assignment.worker)
            # It counts as sent, so the next try is not made before the retry interval is over.
            assignment.sent_at = now
            return None
        return self._try_start(assignment) if allowed else None

    async def _try_start(self, assignment: Assignment) -> None:
        """Send a start; after an unexpected error it may have arrived, and is sent again later."""
        try:
            await self._start(assignment)
        except Exception as error:
            self.report_fault(error, action="start", worker=assignment.worker)
            await asyncio.sleep(FAULT_DELAY_SECONDS)
            if assignment.start_in_flight:
                self._dispatcher.handle_start_answer(
                    assignment, StartAnswer.UNKNOWN, now=boottime()
                )

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
            self.on_fenced(worker)
        self._dispatcher.handle_start_answer(assignment, answer, now=boottime())
        self.wake()

    def _begin_stop(self, assignment: Assignment) -> Call:
        """Return the call of a stop."""
        self._dispatcher.mark_stop_sent(assignment, now=boottime())
        return self._stop(assignment)

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
            self.on_fenced(worker)
            return False
        except WorkerCallError as error:
            self._counters.add("stop_failures", reason=type(error).__name__)
            return False
        except Exception as error:
            self.report_fault(error, action="stop", worker=worker.name)
            await asyncio.sleep(FAULT_DELAY_SECONDS)
            return False
        return True

    def on_fenced(self, worker: Worker) -> None:
        """End the ownership, since a worker knows a newer owner."""
        self._counters.add("fenced", reason="worker")
        log("owner_fenced", by=worker.name, epoch=self.epoch)
        self._end_requested.set()

    async def _record_loop(self) -> None:
        renewal_at = boottime() + RENEWAL_INTERVAL_SECONDS
        while True:
            try:
                changes = self._dispatcher.collect_changes(
                    now=boottime(), pages_allowed=isinstance(self._claim, PagedOwnerClaim)
                )
            except PagesNeededError:
                # What was not recorded has not been acted on, so the next owner decides it again.
                log("pages_needed", epoch=self.epoch)
                self._pages_needed = True
                self._end_requested.set()
                return
            for assignment in changes.placed:
                self._polling.hasten(assignment.worker)
            releasing = self._releasing
            if not changes.is_empty or boottime() >= renewal_at or releasing:
                renewal_at = boottime() + RENEWAL_INTERVAL_SECONDS
                try:
                    records = records_of(changes) + self._early_cancellation_removals()
                    await self._write(records, releasing=releasing)
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

    def _early_cancellation_removals(self) -> list[KeyedRecord]:
        """Return records that remove early cancellations which no submission needs any more."""
        keys = self._view.job_table.removable_early_cancellations()
        removed = islice(keys, MAX_EARLY_CANCELLATION_REMOVALS)
        return [KeyedRecord(key=key, value=None) for key in removed]

    async def _write(self, records: list[KeyedRecord], *, releasing: bool) -> None:
        """Write records and a renewal; a job of which the log does not take a record is given up.

        Its runs would go on unknown to the next owner. That it failed is recorded before the ends
        of its runs are acknowledged.
        """
        rejected: set[str] = set()
        *earlier, last = split_records(records, max_bytes=MAX_WRITE_BYTES) or [[]]
        for batch in earlier:
            rejected |= await self._write_batch([*batch, self._next_renewal()])
        rejected |= await self._write_batch([*last, self._next_renewal(released=releasing)])
        if not rejected:
            return
        progress = self._dispatcher.give_up_unrecorded(rejected, now=boottime())
        await self._recorder.write([progress_record(p) for p in progress])
        self.wake()

    async def _write_batch(self, records: list[KeyedRecord]) -> set[str]:
        """Write records and return the keys of those that the log does not take."""
        return {record.key for record in await self._recorder.write(records)}

    def _after_record(self, changes: Changes) -> None:
        self._dispatcher.mark_recorded(changes)
        for assignment in changes.placed:
            if not assignment.stop_reason:
                self._send_start(assignment)
        if changes.placed:
            self.wake()

    def _next_renewal(self, *, released: bool = False) -> KeyedRecord:
        previous = self._claim
        owned_seconds = boottime() - self._began_at
        self._claim = self._claim_type(owned_seconds)(
            vm=previous.vm,
            incarnation=previous.incarnation,
            epoch=previous.epoch,
            beat=previous.beat + 1,
            released=released,
            # By then, owners that were cut off from the log when this one began have stopped.
            sole=previous.sole or owned_seconds > self._time_limits.renewal_grace_seconds,
        )
        return KeyedRecord(key=OWNER_KEY, value=encode_record(self._claim))

    def _claim_type(self, owned_seconds: float) -> type[OwnerClaim]:
        """Return the type of the next renewal; VMs of earlier versions may own if it is plain."""
        if not isinstance(self._claim, PagedOwnerClaim):
            return OwnerClaim
        if self._dispatcher.has_pages or owned_seconds <= PAGED_CLAIM_SECONDS:
            return PagedOwnerClaim
        return OwnerClaim
