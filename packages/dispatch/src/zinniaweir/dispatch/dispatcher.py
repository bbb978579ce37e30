"""State machine of the scheduling owner: applies events and yields starts, stops and records."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from typing import Final

from zinniaweir.dispatch.changes import Changes
from zinniaweir.dispatch.departure import units_to_move
from zinniaweir.dispatch.expiry import Expiry
from zinniaweir.dispatch.fleet import Fleet, Worker
from zinniaweir.dispatch.health import WorkerHealth
from zinniaweir.dispatch.inherited import InheritedAssignments
from zinniaweir.dispatch.listings import Listings
from zinniaweir.dispatch.messages import (
    Listing,
    RunEnd,
    StartAnswer,
    TaskId,
    WorkerEntry,
)
from zinniaweir.dispatch.planning import Planner
from zinniaweir.dispatch.progress import ProgressChanges
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.retries import RetryPolicy
from zinniaweir.dispatch.run_times import RunTimes
from zinniaweir.dispatch.runs import Runs
from zinniaweir.dispatch.succession import Succession
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment, LateStart, OwnedJob, Unit
from zinniaweir.dispatch.worker_speed import WorkerSpeeds
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.progress_pages import MAX_WHOLE_PROGRESS_BYTES
from zinniaweir.workloads.queues import Configuration
from zinniaweir.workloads.records import Progress

MAX_PLAN_INTERVAL_SECONDS: Final = 0.1
"""Maximum interval between planning passes without an event, because some waits end by time."""

LEASE_CLOCK_MARGIN: Final = 1.03
"""Factor on the length of a lease on a worker whose clock was never read and may be slow."""


class PagesNeededError(Exception):
    """The progress of a job does not fit into one record, and the owner may not store pages."""


class Dispatcher:
    """Scheduling decisions of one owner, without I/O.

    Args:
        now: Current time in seconds, when the ownership began.
        predecessor_ended: Whether no previous owner can renew a lease any more.
        time_limits: Durations that limit leases and retention.
        reporter: Receives log events, counts and durations.
        max_whole_progress_bytes: Size of a job's progress above which it is recorded in pages.
        clock: Returns the time in seconds, by which slices of planning passes are limited.
    """

    def __init__(
        self,
        *,
        now: float,
        predecessor_ended: bool,
        time_limits: TimeLimits,
        reporter: Reporter,
        max_whole_progress_bytes: int = MAX_WHOLE_PROGRESS_BYTES,
        clock: Callable[[], float] = lambda: 0.0,
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
        self._retries = RetryPolicy()
        self._run_times = RunTimes()
        self._speeds = WorkerSpeeds(reporter=reporter)
        self._runs = Runs(
            fleet=self._fleet,
            health=self._health,
            retries=self._retries,
            run_times=self._run_times,
            speeds=self._speeds,
            progress=ProgressChanges(max_whole_bytes=max_whole_progress_bytes),
            reporter=reporter,
        )
        self._listings = Listings(
            jobs=self._jobs, runs=self._runs, health=self._health, reporter=reporter
        )
        self._expiry = Expiry(
            fleet=self._fleet,
            inherited=self._inherited,
            runs=self._runs,
            health=self._health,
            reporter=reporter,
        )
        self._succession = Succession(
            fleet=self._fleet,
            expiry=self._expiry,
            reporter=reporter,
        )
        self._inherited_late_starts: dict[str, list[LateStart]] = {}
        """Starts of previous owners that may still arrive, by worker that is not known yet."""
        self._held: dict[Unit, None] = {}
        self._planned_at = float("-inf")
        self._planner = Planner(
            fleet=self._fleet,
            health=self._health,
            retries=self._retries,
            run_times=self._run_times,
            speeds=self._speeds,
            interference=self._runs.interference,
            time_limits=time_limits,
            apart_from=self._runs.suspects.apart_from,
            inherited=self._inherited,
            reporter=reporter,
            clock=clock,
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

    @property
    def plan_unfinished(self) -> bool:
        """Whether the newest call of `plan` left a part of its pass to the next one."""
        return self._planner.unfinished

    @property
    def has_pages(self) -> bool:
        """Whether the progress of any job is recorded in pages."""
        return any(job.paged for job in self._jobs.values())

    def configure(self, configuration: Configuration, evacuated: frozenset[str]) -> None:
        """Apply the operators' settings.

        Args:
            configuration: The newest version.
            evacuated: Failure domains that receive no work.
        """
        self._planner.configure(configuration, evacuated)

    def update_view_time(self, read_at: float, *, jobs_read_at: float) -> None:
        """Record when the view was read.

        Args:
            read_at: When the settings and the list of workers were read, in seconds.
            jobs_read_at: When the records of jobs were read, in seconds.
        """
        self._planner.update_view_time(read_at, jobs_read_at=jobs_read_at)

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
        self._runs.changed = True
        job = self._jobs[job_id] = OwnedJob(entry, now=now, age=age)
        self._runs.suspects.add_job(job)
        for unit in job.units:
            for start in unit.late_starts.values():
                self._inherited_late_starts.setdefault(start.worker, []).append(start)
        for assignment in job.assignments:
            self._adopt(assignment)
            if job.closed:
                assignment.stop_reason = "job_closed"
                self._runs.stopping[assignment] = None
        self._log(
            "job_taken",
            job_id=job_id,
            customer=job.customer,
            queue=job.terms.name,
            priority=job.terms.priority,
            state=job.state,
            age=round(age, 3),
            units=len(job.units),
            seats=job.assignment_count,
        )
        if job.cancelled and job.ended_at is None:
            # Its cancellation came first, or no owner has recorded yet that it ended.
            self._runs.close_job(job, "cancelled", now)

    def cancel_job(self, job_id: str, *, now: float) -> None:
        """Cancel a job that has not ended; its runs are stopped."""
        job = self._jobs.get(job_id)
        if job is None or job.closed:
            return
        job.cancelled = True
        self._runs.close_job(job, "cancelled", now)

    def update_workers(self, entries: Iterable[WorkerEntry], *, now: float) -> None:
        """Apply the platform's list of workers."""
        draining = {worker.name for worker in self._fleet if worker.entry.draining}
        for ended_worker in self._fleet.update(entries, now=now):
            self._expiry.end_worker(ended_worker, "worker_born_again", now)
        for worker in self._fleet:
            if worker.entry.draining and worker.name not in draining:
                for assignment in worker.assignments.values():
                    self._runs.report_start_after_notice(assignment, worker)
        for worker in self._fleet:
            for assignment in self._inherited.pop_for_worker(worker.name):
                # The previous owner's start may have reached a later incarnation, whose list tells.
                worker.assign(assignment)
            for start in self._inherited_late_starts.pop(worker.name, ()):
                worker.add_late_start(start)
                if start.key not in worker.assignments:
                    worker.add_orphan_run(start.key, start.unit)

    def handle_listing(
        self,
        worker: Worker,
        listing: Listing,
        *,
        poll_sent_at: float,
        renewed: bool,
        now: float,
    ) -> None:
        """Apply a worker's answer to a poll.

        Another incarnation than the one that was polled replaces it.

        Args:
            worker: The incarnation that was polled.
            listing: The answer.
            poll_sent_at: When the poll was sent; the answer reflects what was settled before.
            renewed: Whether the poll renewed the worker's lease.
            now: Current time in seconds.
        """
        answered = self._succession.resolve(worker, listing, poll_sent_at=poll_sent_at, now=now)
        if answered is None:
            return
        first = answered.listed_at is None
        self._listings.apply(
            answered,
            listing,
            poll_sent_at=poll_sent_at,
            # Another incarnation has another clock, so how long it took the lease is not known.
            renewed=renewed and answered is worker,
            now=now,
        )
        if first:
            # Leases of previous owners, and those meant for an earlier incarnation, count as well.
            until_ms = listing.clock_ms + int(self._time_limits.max_lease_seconds * 1e3)
            answered.lease_until_ms = max(answered.lease_until_ms, until_ms)

    def handle_unanswered_poll(self, worker: Worker, *, poll_sent_at: float) -> None:
        """Record that a worker did not answer a poll.

        Args:
            worker: The worker that was polled.
            poll_sent_at: When the poll was sent, in seconds.
        """
        worker.unanswered_poll_sent_at = max(worker.unanswered_poll_sent_at, poll_sent_at)

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
        if not exclusion_reason and worker.overcommitted:
            # Its capacity shrank after the assignment was placed.
            exclusion_reason = "shrunk"
        if exclusion_reason:
            if not assignment.start_unanswered:
                self._runs.end(assignment, RunEnd.LOST, "", now, cause=f"worker_{exclusion_reason}")
            return False
        if assignment.first_sent_at is None:
            lease_ms = int(self._time_limits.start_lease_seconds * 1e3)
            assignment.last_deadline_ms = int(worker.clock.latest(now)) + lease_ms
        # The permission ends with its view also where the start is carried out, however long the
        # start was on its way.
        permission_ends_ms = int(worker.clock.earliest(self._planner.permission_ends_at))
        deadline_ms = min(assignment.last_deadline_ms, permission_ends_ms)
        assignment.start_deadline_ms = max(assignment.start_deadline_ms, deadline_ms)
        if worker.clock.earliest(now) >= assignment.start_deadline_ms:
            return False
        worker.lease_until_ms = max(worker.lease_until_ms, assignment.start_deadline_ms)
        if assignment.first_sent_at is None:
            assignment.first_sent_at = now
        assignment.sent_at, assignment.start_in_flight = now, True
        assignment.copies += 1
        assignment.view_read_at = self._planner.view_read_at
        assignment.send_until = self._planner.starts_allowed_until
        return True

    def handle_start_answer(
        self, assignment: Assignment, answer: StartAnswer, *, now: float
    ) -> None:
        """Apply the answer to a start."""
        assignment.start_in_flight = False
        self._count("starts", answer)
        worker = self._fleet.get(assignment.worker)
        if answer is StartAnswer.UNKNOWN and worker is not None:
            worker.add_late_start(
                LateStart(
                    unit=assignment.unit,
                    index=assignment.index,
                    run=assignment.run,
                    worker=assignment.worker,
                    sent_at=now if assignment.sent_at is None else assignment.sent_at,
                )
            )
        if self._worker_of(assignment) is None:
            return
        match answer:
            case StartAnswer.STARTED:
                assignment.settled_at = now
                self._runs.mark_started(assignment, now)
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
            self._runs.stop_unit(assignment.unit, f"start_{answer}", now)
        elif assignment.start_unanswered:
            self._end_in_lost_incarnation(assignment, now)
        else:
            self._runs.end(assignment, RunEnd.LOST, "", now, cause=f"start_{answer}")

    def _end_in_lost_incarnation(self, assignment: Assignment, now: float) -> None:
        """End an assignment whose worker restarted after a copy of the start may have arrived.

        The other runs of that incarnation are lost too; they end once its entry tells so.
        """
        worker = self._worker_of(assignment)
        culprits = (
            []
            if worker is None
            else self._runs.record_loss(worker.assignments.values(), worker=worker)
        )
        self._runs.end(assignment, RunEnd.LOST, "", now, cause="start_other_life")
        self._runs.give_up(culprits, now)

    def mark_stop_sent(self, assignment: Assignment, *, now: float) -> None:
        """Record that a stop was sent."""
        assignment.stop_sent_at, assignment.stop_in_flight = now, True

    def handle_stop_answer(self, assignment: Assignment, *, acknowledged: bool, now: float) -> None:
        """Apply the answer to a stop.

        After an acknowledged stop the worker rejects every start of the run.
        """
        assignment.stop_in_flight = False
        # Stops are repeated until the run is gone from a list that was asked for after the first.
        if acknowledged and assignment.settled_at is None:
            assignment.settled_at = now

    def assignments_to_start(
        self, *, now: float, retry_after_seconds: float
    ) -> Iterator[Assignment]:
        """Yield the recorded assignments whose start is due to be sent or sent again.

        Args:
            now: Current time in seconds.
            retry_after_seconds: Seconds after which a start is sent again.
        """
        for assignment in list(self._runs.starting):
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
        for assignment in list(self._runs.stopping):
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
        recent = now - self._planned_at < MAX_PLAN_INTERVAL_SECONDS
        if recent and not self._runs.changed and not self._planner.unfinished:
            return
        self._runs.changed, self._planned_at = False, now
        self._expiry.apply(now)
        self._speeds.refresh(now=now)
        self._runs.interference.refresh(now=now)
        self._hold_units_with_late_starts(now)
        for unit in units_to_move(
            self._fleet,
            expected_end=lambda assignment: self._planner.expected_end(assignment, now),
        ):
            self._runs.stop_unit(unit, "worker_departs", now)
        self._planner.plan(
            self._jobs.values(),
            now=now,
            place=lambda unit, workers: self._runs.place(unit, workers, now),
            stop=lambda unit, reason: self._runs.stop_unit(unit, reason, now),
        )

    def _hold_units_with_late_starts(self, now: float) -> None:
        """Let units wait while their starts may arrive at workers that may be restarting.

        The next incarnation carries such a start out before it can be told to stop it. A worker
        that is gone from the platform's list is not waited for.
        """
        held: dict[Unit, None] = {
            start.unit: None
            for worker in self._fleet
            if worker.unanswered and worker.missing_since is None
            for start in worker.late_starts.values()
            if start.may_arrive(now)
        }
        for unit in self._held:
            unit.awaits_worker = False
        for unit in held:
            unit.awaits_worker = True
        self._held = held

    def collect_changes(self, *, now: float, pages_allowed: bool = True) -> Changes:
        """Return and reset the changes since the last call, to be written to the log.

        Jobs past their retention are removed.

        Args:
            now: Current time in seconds.
            pages_allowed: Whether the owner may store progress in pages.

        Raises:
            PagesNeededError: If progress has to be stored in pages, and may not.
        """
        runs, listings = self._runs, self._listings
        records = runs.progress.take(now=now, pages_allowed=pages_allowed)
        if records is None:
            raise PagesNeededError
        changes = Changes(
            records=records,
            placed=runs.placed,
            acknowledgements=list(listings.acknowledgements.values()),
        )
        runs.placed, listings.acknowledgements = [], {}
        for job in list(self._jobs.values()):
            if self._expired(job, now):
                changes.expired_jobs.append(job)
                self._runs.suspects.remove_job(job)
                del self._jobs[job.job_id]
        return changes

    def mark_recorded(self, changes: Changes) -> None:
        """Mark changes as written to the log."""
        for assignment in changes.placed:
            assignment.recorded = True
        for acknowledgement in changes.acknowledgements:
            worker = self._fleet.get(acknowledgement.worker)
            if worker is not None and worker.incarnation == acknowledgement.incarnation:
                worker.acknowledged_end = max(worker.acknowledged_end, acknowledgement.number)

    def give_up_unrecorded(self, keys: Collection[str], *, now: float) -> list[Progress]:
        """Fail the jobs whose progress the log does not take.

        From then on their records hold their state alone.

        Args:
            keys: Keys of the records.
            now: Current time in seconds.

        Returns:
            What is to be recorded of them instead.
        """
        given_up = [job for job in self._jobs.values() if job.is_recorded_under(keys)]
        for job in given_up:
            self._runs.give_up_unrecorded(job, now)
        return [job.progress() for job in given_up]

    def _expired(self, job: OwnedJob, now: float) -> bool:
        return (
            job.ended_at is not None
            and now - job.ended_at > self._time_limits.job_retention_seconds
            and not job.assignment_count
        )

    def _adopt(self, assignment: Assignment) -> None:
        """Attach a recorded assignment to its worker, or keep it until the worker is known."""
        worker = self._fleet.get(assignment.worker)
        if worker is not None:
            worker.assign(assignment)
            return
        self._inherited.add(assignment)

    def _worker_of(self, assignment: Assignment) -> Worker | None:
        worker = self._fleet.get(assignment.worker)
        if worker is None or (assignment.task, assignment.run) not in worker.assignments:
            return None
        return worker
