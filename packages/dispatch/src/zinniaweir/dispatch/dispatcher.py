"""State machine of the scheduling owner: applies events and yields starts, stops and records."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from zinniaweir.dispatch.departure import units_to_move
from zinniaweir.dispatch.fleet import (
    MAX_SILENCE_SECONDS,
    REMOVE_MISSING_SECONDS,
    Fleet,
    OrphanRun,
    Worker,
)
from zinniaweir.dispatch.health import STALL_TIMEOUT_SECONDS, WorkerHealth
from zinniaweir.dispatch.inherited import InheritedAssignments
from zinniaweir.dispatch.messages import (
    Acknowledgement,
    ActiveRun,
    EndedRun,
    Listing,
    RunEnd,
    StartAnswer,
    TaskId,
    WorkerEntry,
)
from zinniaweir.dispatch.ordering import objective_seconds
from zinniaweir.dispatch.planning import Planner
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.run_times import RunTimes
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import Configuration
from zinniaweir.workloads.records import Progress

GANG_START_TIMEOUT_SECONDS: Final = 2.0
"""Time for all members of a gang to start, after which the dispatcher stops the gang.

Workers end an incomplete gang by themselves one second later.
"""

MAX_PLAN_INTERVAL_SECONDS: Final = 0.1
"""Maximum interval between planning passes without an event, because some waits end by time."""

LEASE_CLOCK_MARGIN: Final = 1.03
"""Factor on the length of a lease on a worker whose clock was never read and may be slow."""


@dataclass(kw_only=True)
class Changes:
    """Records to write to the log, and the actions that are allowed once they are written."""

    progress: list[Progress] = field(default_factory=list)
    expired_job_ids: list[str] = field(default_factory=list)
    """Jobs past their retention, whose records are deleted."""
    placed: list[Assignment] = field(default_factory=list)
    """New assignments, to be started once they are recorded."""
    acknowledgements: list[Acknowledgement] = field(default_factory=list)
    """Ends of runs that workers may discard once they are recorded."""

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (self.progress or self.expired_job_ids or self.acknowledgements)


class Dispatcher:
    """Scheduling decisions of one owner, without I/O or access to a clock.

    Args:
        now: Current time in seconds, when the ownership began.
        predecessor_ended: Whether the previous owner has provably ended.
        time_limits: Durations that limit leases and retention.
        reporter: Receives log events, counts and durations.
    """

    def __init__(
        self,
        *,
        now: float,
        predecessor_ended: bool,
        time_limits: TimeLimits,
        reporter: Reporter,
    ) -> None:
        last_renewal = now if predecessor_ended else now + time_limits.renewal_grace_seconds
        self._inherited = InheritedAssignments(
            expires_at=last_renewal + LEASE_CLOCK_MARGIN * time_limits.max_lease_seconds
        )
        self._time_limits = time_limits
        self._reporter = reporter
        self._log = reporter.log
        self._count = reporter.count
        self._jobs: dict[str, OwnedJob] = {}
        self._fleet = Fleet()
        self._health = WorkerHealth()
        self._run_times = RunTimes()
        self._dirty: dict[str, OwnedJob] = {}
        self._placed: list[Assignment] = []
        self._acknowledgements: dict[str, Acknowledgement] = {}
        # Dictionaries instead of sets, so that commands have the same order in every process.
        self._starting: dict[Assignment, None] = {}
        self._stopping: dict[Assignment, None] = {}
        self._changed = True
        self._planned_at = float("-inf")
        self._planner = Planner(
            fleet=self._fleet,
            health=self._health,
            run_times=self._run_times,
            max_view_age_seconds=time_limits.max_start_view_age_seconds,
            reporter=reporter,
        )

    @property
    def fleet(self) -> Fleet:
        """The known workers."""
        return self._fleet

    @property
    def jobs(self) -> Mapping[str, OwnedJob]:
        """All retained jobs, by id."""
        return self._jobs

    @property
    def health(self) -> WorkerHealth:
        """Health of the workers."""
        return self._health

    def configure(self, configuration: Configuration, evacuated: frozenset[str]) -> None:
        """Apply the operators' settings.

        Args:
            configuration: The newest version.
            evacuated: Failure domains that receive no work.
        """
        self._planner.configure(configuration, evacuated)

    def update_view_time(self, read_at: float) -> None:
        """Record when the settings and the list of workers were read, in seconds."""
        self._planner.update_view_time(read_at)

    def add_job(self, entry: JobEntry, *, now: float, age: float) -> None:
        """Add a job from the log; a known job is left unchanged.

        Args:
            entry: The job.
            now: Current time in seconds.
            age: Seconds since the job was accepted.
        """
        job_id = entry.submission.job_id
        if job_id in self._jobs:
            return
        self._changed = True
        job = self._jobs[job_id] = OwnedJob(entry, now=now, age=age)
        for assignment in job.assignments:
            self._adopt(assignment)
            if job.closed:
                assignment.stop_reason = "job_closed"
                self._stopping[assignment] = None
        self._log(
            "job_taken",
            job_id=job_id,
            customer=job.customer,
            queue=job.terms.name,
            priority=job.terms.priority,
            state=job.state,
            age=round(age, 3),
            units=len(job.units),
            seats=sum(1 for _ in job.assignments),
        )

    def cancel_job(self, job_id: str, *, now: float) -> None:
        """Cancel a job that has not ended; its runs are stopped."""
        job = self._jobs.get(job_id)
        if job is None or job.closed:
            return
        job.cancelled = True
        self._close_job(job, "cancelled", now)

    def update_workers(self, entries: Iterable[WorkerEntry], *, now: float) -> None:
        """Apply the platform's list of workers."""
        for ended_worker in self._fleet.update(entries, now=now):
            self._expect_late_starts(ended_worker)
            self._end_all(ended_worker, "worker_born_again", now)
        for worker in self._fleet:
            self._attach_inherited(worker, now)

    def handle_listing(
        self, worker: Worker, listing: Listing, *, poll_sent_at: float, now: float
    ) -> None:
        """Apply a worker's answer to a poll.

        Args:
            worker: The worker that was polled.
            listing: Its answer.
            poll_sent_at: When the poll was sent; the answer reflects what was settled before.
            now: Current time in seconds.
        """
        if listing.incarnation != worker.entry.incarnation:
            if listing.incarnation > worker.entry.incarnation:
                self._log("worker_born_again", worker=worker.name, life=listing.incarnation)
            return
        worker.answered_at = now
        worker.clock.observe(listing.clock_ms, sent_at=poll_sent_at, received_at=now)
        if worker.listed_at is None:
            self._changed = True
            self._log("worker_listed", worker=worker.name, running=len(listing.running))
        worker.listed_at = poll_sent_at
        if listing.unrecognized_runs:
            self._count("strange_runs", "listed")
        for row in listing.ended:
            self._handle_ended_run(worker, row, now)
        present = set()
        for row in listing.running:
            present.add((row.task, row.run))
            self._handle_active_run(worker, row, now)
        for key, orphan_run in list(worker.orphan_runs.items()):
            settled = orphan_run.settled_at is not None and orphan_run.settled_at < poll_sent_at
            if key not in present and settled:
                del worker.orphan_runs[key]
                self._changed = True
        for key, assignment in list(worker.assignments.items()):
            if key not in present and self._absence_proves_end(
                worker, assignment, poll_sent_at, now
            ):
                self._end(assignment, RunEnd.LOST, "", now, cause="not_listed")

    def prepare_start(self, assignment: Assignment, *, now: float) -> bool:
        """Check a start that is about to be sent, again or for the first time, and mark it as sent.

        If its worker may not receive work any more and cannot have received the start, the
        assignment is ended.

        Returns:
            False if the start must not be sent now.
        """
        worker = self._worker_of(assignment)
        if worker is None or assignment.stop_reason or assignment.started:
            return False
        exclusion_reason = self._planner.exclusion_reason(worker, now)
        if exclusion_reason:
            if not assignment.start_unanswered:
                self._end(assignment, RunEnd.LOST, "", now, cause=f"worker_{exclusion_reason}")
            return False
        if assignment.first_sent_at is None:
            assignment.first_sent_at = now
            lease_ms = int(self._time_limits.start_lease_seconds * 1e3)
            assignment.start_deadline_ms = int(worker.clock.latest(now)) + lease_ms
            worker.lease_until_ms = max(worker.lease_until_ms, assignment.start_deadline_ms)
        elif worker.clock.earliest(now) >= assignment.start_deadline_ms:
            return False
        assignment.sent_at, assignment.start_in_flight = now, True
        assignment.send_until = self._planner.starts_allowed_until
        return True

    def handle_start_answer(
        self, assignment: Assignment, answer: StartAnswer, *, now: float
    ) -> None:
        """Apply the answer to a start."""
        assignment.start_in_flight = False
        self._count("starts", answer)
        if self._worker_of(assignment) is None:
            return
        match answer:
            case StartAnswer.STARTED:
                assignment.settled_at = now
                self._mark_started(assignment, now)
            case StartAnswer.UNKNOWN | StartAnswer.NOT_SENT:
                assignment.start_unanswered = (
                    assignment.start_unanswered or answer is StartAnswer.UNKNOWN
                )
                self._log(
                    "start_unanswered",
                    task=assignment.task,
                    run=assignment.run,
                    worker=assignment.worker,
                    sent=answer is StartAnswer.UNKNOWN,
                )
            case StartAnswer.STALE_EPOCH:
                # The caller ends the ownership, so the new owner decides on the assignment.
                pass
            case _:
                self._handle_rejected_start(assignment, answer, now)

    def _handle_rejected_start(
        self, assignment: Assignment, answer: StartAnswer, now: float
    ) -> None:
        """End an assignment whose start was rejected, unless an earlier copy may have arrived.

        In that case the run is stopped: a worker that acknowledged a stop ends the run and rejects
        its later starts.
        """
        if answer is StartAnswer.UNHEALTHY:
            self._health.record_rejection(assignment.worker, now=now)
        if assignment.start_unanswered and answer is not StartAnswer.OTHER_LIFE:
            self._stop_unit(assignment.unit, f"start_{answer}", now)
        else:
            self._end(assignment, RunEnd.LOST, "", now, cause=f"start_{answer}")

    def mark_stop_sent(self, assignment: Assignment, *, now: float) -> None:
        """Record that a stop was sent."""
        assignment.stop_sent_at, assignment.stop_in_flight = now, True

    def handle_stop_answer(self, assignment: Assignment, *, acknowledged: bool, now: float) -> None:
        """Apply the answer to a stop.

        After an acknowledged stop the worker rejects every start of the run.
        """
        assignment.stop_in_flight = False
        if acknowledged:
            assignment.settled_at = now

    def assignments_to_start(
        self, *, now: float, retry_after_seconds: float
    ) -> Iterator[Assignment]:
        """Yield the recorded assignments whose start is due to be sent or sent again.

        Args:
            now: Current time in seconds.
            retry_after_seconds: Seconds after which a start is sent again.
        """
        for assignment in list(self._starting):
            if (
                assignment.recorded
                and not assignment.stop_reason
                and not assignment.start_in_flight
                and assignment.settled_at is None
                and (assignment.sent_at is None or now - assignment.sent_at >= retry_after_seconds)
            ):
                yield assignment

    def assignments_to_stop(
        self, *, now: float, retry_after_seconds: float
    ) -> Iterator[Assignment]:
        """Yield the assignments whose stop is due to be sent or sent again.

        Args:
            now: Current time in seconds.
            retry_after_seconds: Seconds after which a stop is sent again.
        """
        for assignment in list(self._stopping):
            if (
                not assignment.stop_in_flight
                and (
                    assignment.stop_sent_at is None
                    or now - assignment.stop_sent_at >= retry_after_seconds
                )
                and self._worker_of(assignment) is not None
            ):
                yield assignment

    def orphan_runs_to_stop(
        self, *, now: float, retry_after_seconds: float
    ) -> Iterator[tuple[Worker, TaskId, int]]:
        """Yield the orphan runs whose stop is due, as worker, task and run number.

        The stop of each yielded run is marked as sent.

        Args:
            now: Current time in seconds.
            retry_after_seconds: Seconds after which a stop is sent again.
        """
        for worker in self._fleet:
            for (task, run), orphan_run in worker.orphan_runs.items():
                sent_at = orphan_run.stop_sent_at
                if sent_at is None or now - sent_at >= retry_after_seconds:
                    orphan_run.stop_sent_at = now
                    yield worker, task, run

    def mark_orphan_run_stopped(
        self, worker: Worker, task: TaskId, run: int, *, now: float
    ) -> None:
        """Record that a worker acknowledged the stop of an orphan run."""
        orphan_run = worker.orphan_runs.get((task, run))
        if orphan_run is not None and orphan_run.settled_at is None:
            orphan_run.settled_at = now

    def plan(self, *, now: float) -> None:
        """Apply expired leases and timeouts, then place waiting units.

        Does nothing if no event arrived and the last pass is recent.
        """
        if not self._changed and now - self._planned_at < MAX_PLAN_INTERVAL_SECONDS:
            return
        self._changed, self._planned_at = False, now
        self._expire(now)
        for unit in units_to_move(
            self._fleet,
            expected_end=lambda assignment: self._planner.expected_end(assignment, now),
        ):
            self._stop_unit(unit, "worker_departs", now)
        self._planner.plan(
            self._jobs.values(),
            now=now,
            place=lambda unit, workers: self._place(unit, workers, now),
            stop=lambda unit, reason: self._stop_unit(unit, reason, now),
        )

    def collect_changes(self, *, now: float) -> Changes:
        """Return and reset the changes since the last call, to be written in one append.

        Jobs past their retention are removed.
        """
        changes = Changes(
            progress=[job.progress() for job in self._dirty.values()],
            placed=self._placed,
            acknowledgements=list(self._acknowledgements.values()),
        )
        self._dirty, self._placed, self._acknowledgements = {}, [], {}
        for job in list(self._jobs.values()):
            if self._expired(job, now):
                changes.expired_job_ids.append(job.job_id)
                del self._jobs[job.job_id]
        return changes

    def mark_recorded(self, changes: Changes) -> None:
        """Mark changes as written to the log."""
        for assignment in changes.placed:
            assignment.recorded = True
        for acknowledgement in changes.acknowledgements:
            worker = self._fleet.get(acknowledgement.worker)
            if worker is not None and worker.entry.incarnation == acknowledgement.incarnation:
                worker.acknowledged_end = max(worker.acknowledged_end, acknowledgement.number)

    def _expired(self, job: OwnedJob, now: float) -> bool:
        return (
            job.ended_at is not None
            and now - job.ended_at > self._time_limits.job_retention_seconds
            and not any(job.assignments)
        )

    def _adopt(self, assignment: Assignment) -> None:
        """Attach a recorded assignment to its worker, or keep it until the worker is known."""
        worker = self._fleet.get(assignment.worker)
        if worker is not None and worker.entry.incarnation == assignment.incarnation:
            worker.assign(assignment)
            return
        self._inherited.add(assignment)

    def _attach_inherited(self, worker: Worker, now: float) -> None:
        """Attach the previous owner's assignments to a worker; end those of old incarnations."""
        for assignment in self._inherited.pop_for_worker(worker.name, worker.entry.incarnation):
            if assignment.incarnation == worker.entry.incarnation:
                worker.assign(assignment)
            else:
                self._end(assignment, RunEnd.LOST, "", now, cause="worker_born_again")

    def _worker_of(self, assignment: Assignment) -> Worker | None:
        worker = self._fleet.get(assignment.worker)
        if worker is None or (assignment.task, assignment.run) not in worker.assignments:
            return None
        return worker

    def _handle_active_run(self, worker: Worker, row: ActiveRun, now: float) -> None:
        assignment = worker.assignments.get((row.task, row.run))
        if assignment is None:
            worker.orphan_runs.setdefault((row.task, row.run), OrphanRun())
            return
        unit = assignment.unit
        if row.checkpoint and row.checkpoint != unit.checkpoint:
            unit.checkpoint = row.checkpoint
        if not assignment.started:
            self._mark_started(assignment, now)
        if row.percent != assignment.percent or not assignment.progress_at:
            assignment.percent, assignment.progress_at = row.percent, now
        elif (
            row.percent
            and now - assignment.progress_at > STALL_TIMEOUT_SECONDS
            # One stalled member stalls its whole gang, so no worker can be singled out.
            and len(assignment.unit.indexes) == 1
        ):
            self._health.record_stall(worker.name, now=now)

    def _handle_ended_run(self, worker: Worker, row: EndedRun, now: float) -> None:
        if row.number <= worker.applied_end:
            return
        worker.applied_end = row.number
        self._acknowledgements[worker.name] = Acknowledgement(
            worker=worker.name, incarnation=worker.entry.incarnation, number=row.number
        )
        if row.task is None:
            self._log("stranger_ended", worker=worker.name, number=row.number)
            return
        assignment = worker.assignments.get((row.task, row.run))
        if assignment is None:
            self._log("end_without_seat", task=row.task, run=row.run, end=row.end)
            return
        self._end(assignment, row.end, row.checkpoint, now, cause="listed")

    def _absence_proves_end(
        self, worker: Worker, assignment: Assignment, poll_sent_at: float, now: float
    ) -> bool:
        """Return whether a run missing from a listing has provably ended or can never start."""
        if assignment.inherited:
            return True
        if assignment.settled_at is not None:
            return assignment.settled_at < poll_sent_at
        if assignment.first_sent_at is None or assignment.start_in_flight:
            return False
        return worker.clock.earliest(poll_sent_at) > assignment.start_deadline_ms

    def _mark_started(self, assignment: Assignment, now: float) -> None:
        if assignment.started:
            return
        self._starting.pop(assignment, None)
        assignment.started, assignment.started_at = True, now
        assignment.progress_at = now
        self._reporter.measure("start", now - assignment.placed_at, assignment.unit.job.terms.name)
        self._log(
            "task_started",
            task=assignment.task,
            run=assignment.run,
            worker=assignment.worker,
            waited=round(now - assignment.placed_at, 3),
            inherited=assignment.inherited,
        )

    def _end(
        self, assignment: Assignment, end: RunEnd, checkpoint: str, now: float, *, cause: str
    ) -> None:
        """End an assignment and update its unit and job."""
        worker = self._fleet.get(assignment.worker)
        if worker is not None:
            worker.unassign(assignment)
        self._starting.pop(assignment, None)
        self._stopping.pop(assignment, None)
        self._changed = True
        unit, job = assignment.unit, assignment.unit.job
        if unit.assignments.get(assignment.index) is not assignment:
            return
        del unit.assignments[assignment.index]
        self._count("ends", end)
        self._log(
            "task_ended",
            task=assignment.task,
            run=assignment.run,
            worker=assignment.worker,
            end=end,
            cause=cause,
            seconds=round(now - assignment.started_at, 3) if assignment.started_at else None,
        )
        if checkpoint:
            unit.checkpoint = checkpoint
        unit.waiting_since = now
        self._dirty[job.job_id] = job
        if end is RunEnd.DONE:
            self._complete_unit(assignment, now)
        elif not unit.done:
            self._handle_interruption(assignment, end, now)

    def _complete_unit(self, assignment: Assignment, now: float) -> None:
        unit, job = assignment.unit, assignment.unit.job
        self._health.record_success(assignment.worker)
        if assignment.started_at is not None and not assignment.inherited and not unit.checkpoint:
            self._run_times.add(job.terms.name, now - assignment.started_at)
        job.finish_unit(unit)
        if not any(job.open_units) and job.ended_at is None:
            job.ended_at = now
            seconds = now - job.accepted_at
            self._reporter.measure("job", seconds, job.terms.name)
            self._log(
                "job_complete",
                job_id=job.job_id,
                seconds=round(seconds, 3),
                objective=round(objective_seconds(job, self._run_times), 3),
            )

    def _handle_interruption(self, assignment: Assignment, end: RunEnd, now: float) -> None:
        unit, job = assignment.unit, assignment.unit.job
        if end is RunEnd.FAILED and unit.failed_run != unit.run:
            unit.failed_run = unit.run
            unit.failures += 1
            unit.failed_workers.add(assignment.worker)
            if self._health.record_failure(assignment.worker, job.job_id, now=now):
                self._log("worker_paused", worker=assignment.worker, reason="fails_what_it_starts")
            if unit.failures >= job.terms.max_attempts and not job.closed:
                job.failed = True
                self._log("job_failed", job_id=job.job_id, attempts=unit.failures)
                self._close_job(job, "job_failed", now)
                return
        if unit.assignments:
            self._stop_unit(unit, f"member_{end}", now)

    def _close_job(self, job: OwnedJob, reason: str, now: float) -> None:
        job.ended_at = now
        self._dirty[job.job_id] = job
        self._log("job_closed", job_id=job.job_id, reason=reason)
        for unit in job.units:
            self._stop_unit(unit, reason, now)

    def _stop_unit(self, unit: Unit, reason: str, now: float) -> None:
        assignments = [
            assignment for assignment in unit.assignments.values() if not assignment.stop_reason
        ]
        if not assignments:
            return
        self._log(
            "unit_stopping",
            job_id=unit.job.job_id,
            step=unit.step_number,
            run=unit.run,
            indexes=[assignment.index for assignment in assignments],
            reason=reason,
        )
        for assignment in assignments:
            assignment.stop_reason = reason
            self._stopping[assignment] = None
            self._count("stops", reason)
            if assignment.first_sent_at is None and not assignment.inherited:
                self._end(assignment, RunEnd.LOST, "", now, cause="never_sent")

    def _place(self, unit: Unit, workers: list[Worker], now: float) -> None:
        unit.run += 1
        unit.run_checkpoint = unit.checkpoint
        for index, worker in zip(unit.indexes, workers, strict=True):
            assignment = Assignment(
                unit=unit,
                index=index,
                run=unit.run,
                worker=worker.name,
                incarnation=worker.entry.incarnation,
                placed_at=now,
            )
            unit.assignments[index] = assignment
            worker.assign(assignment)
            self._starting[assignment] = None
            self._placed.append(assignment)
        self._dirty[unit.job.job_id] = unit.job
        self._reporter.measure("placement_wait", now - unit.waiting_since, unit.job.terms.name)
        unit.wait_logged = False
        self._log(
            "unit_placed",
            job_id=unit.job.job_id,
            step=unit.step_number,
            first=unit.indexes[0],
            run=unit.run,
            workers=sorted({w.name for w in workers}),
            estimate=unit.step.estimate_ms / 1e3,
            waited=round(now - unit.waiting_since, 3),
        )

    def _end_all(self, worker: Worker, cause: str, now: float) -> None:
        self._log("worker_lost", worker=worker.name, cause=cause, seats=len(worker.assignments))
        self._health.discard(worker.name)
        for assignment in list(worker.assignments.values()):
            worker.unassign(assignment)
            self._end(assignment, RunEnd.LOST, "", now, cause=cause)

    def _expect_late_starts(self, ended_worker: Worker) -> None:
        """Treat starts that were sent to an earlier incarnation as orphan runs of the current one.

        A restarted worker has a new clock and knows no epoch, so it would accept a late start.
        """
        present = self._fleet.get(ended_worker.name)
        if present is None:
            return
        for key, assignment in ended_worker.assignments.items():
            if assignment.first_sent_at is not None and (
                assignment.start_in_flight or assignment.start_unanswered
            ):
                present.orphan_runs.setdefault(key, OrphanRun())

    def _expire(self, now: float) -> None:
        for assignment in self._inherited.pop_expired(now):
            self._end(assignment, RunEnd.LOST, "", now, cause="lease_over")
        for worker in list(self._fleet):
            self._expire_worker(worker, now)
            self._stop_partial_gangs(worker, now)

    def _expire_worker(self, worker: Worker, now: float) -> None:
        silent = now - worker.answered_at > MAX_SILENCE_SECONDS
        if silent and worker.assignments and self._leases_expired(worker, now):
            for assignment in list(worker.assignments.values()):
                self._end(assignment, RunEnd.LOST, "", now, cause="lease_over")
        missing = (
            worker.missing_since is not None and now - worker.missing_since > REMOVE_MISSING_SECONDS
        )
        if missing and silent and not worker.assignments:
            self._end_all(worker, "missing_and_silent", now)
            self._fleet.remove(worker)

    def _leases_expired(self, worker: Worker, now: float) -> bool:
        """Return whether every lease of a worker has expired, including a previous owner's."""
        inherited = any(assignment.inherited for assignment in worker.assignments.values())
        if worker.listed_at is None or inherited:
            if not self._inherited.leases_expired(now):
                return False
            return not worker.clock.known or worker.leases_expired(now)
        return worker.leases_expired(now)

    def _stop_partial_gangs(self, worker: Worker, now: float) -> None:
        """Stop the gangs on a worker whose members have not all started in time."""
        for assignment in list(worker.assignments.values()):
            late = (
                assignment.first_sent_at is not None
                and now - assignment.first_sent_at > GANG_START_TIMEOUT_SECONDS
            )
            if (
                late
                and not (assignment.started or assignment.stop_reason)
                and len(assignment.unit.indexes) > 1
            ):
                self._stop_unit(assignment.unit, "gang_incomplete", now)
