"""The life of runs: placed, started, stopped and ended, with the effects on units and jobs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from zinniaweir.dispatch.crashes import CrashSuspects
from zinniaweir.dispatch.departure import seconds_after_notice
from zinniaweir.dispatch.fleet import Fleet, Worker
from zinniaweir.dispatch.health import WorkerHealth
from zinniaweir.dispatch.interference import Interference
from zinniaweir.dispatch.messages import RunEnd
from zinniaweir.dispatch.ordering import objective_seconds
from zinniaweir.dispatch.progress import ProgressChanges
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.retries import RetryPolicy
from zinniaweir.dispatch.run_times import RunTimes
from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit
from zinniaweir.dispatch.worker_speed import WorkerSpeeds

CRASHES_WORKERS: Final = "crashes_workers"
"""Reason for which a job is given up: a task or gang of it crashes the workers that start it."""
NOT_RECORDED: Final = "not_recorded"
"""Reason for which a job is given up: the log does not take its progress."""


class Runs:
    """Apply what happens to runs to their workers, units and jobs.

    Args:
        fleet: The workers.
        health: Health of the workers.
        retries: Receives failures and successes.
        run_times: Expected durations.
        speeds: Speeds of the workers.
        progress: Receives the jobs whose progress has to be recorded.
        reporter: Receives log events, counts and durations.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        health: WorkerHealth,
        retries: RetryPolicy,
        run_times: RunTimes,
        speeds: WorkerSpeeds,
        progress: ProgressChanges,
        reporter: Reporter,
    ) -> None:
        self.suspects = CrashSuspects(on_changed=self._on_losses_changed, reporter=reporter)
        """Units that were lost with their workers."""
        self.speeds = speeds
        """Speeds of the workers."""
        self.interference = Interference(speed=speeds.speed, reporter=reporter)
        """Queues whose tasks slow each other down."""
        self._fleet = fleet
        self._health = health
        self._retries = retries
        self._run_times = run_times
        self._reporter = reporter
        self._log = reporter.log
        self._count = reporter.count
        # Dictionaries instead of sets, so that commands have the same order in every process.
        self.starting: dict[Assignment, None] = {}
        """Assignments whose start has not been acknowledged."""
        self.stopping: dict[Assignment, None] = {}
        """Assignments that are being stopped."""
        self.progress = progress
        """Jobs whose progress has to be recorded."""
        self.placed: list[Assignment] = []
        """Assignments that have to be recorded before their starts are sent."""
        self.changed = True
        """Whether anything happened since the last planning pass."""

    def mark_started(self, assignment: Assignment, now: float) -> None:
        """Mark a run as started, by the worker's answer or listing."""
        if assignment.started:
            return
        self.starting.pop(assignment, None)
        assignment.started, assignment.started_at = True, now
        assignment.progress_at = now
        assignment.unit.mark_begun(now)
        self._mark_job_begun(assignment.unit.job)
        self._reporter.measure("start", now - assignment.placed_at, assignment.unit.job.terms.name)
        self._log(
            "task_started",
            task=assignment.task,
            run=assignment.run,
            worker=assignment.worker,
            waited=round(now - assignment.placed_at, 3),
            inherited=assignment.inherited,
            copies=assignment.copies,
            view_age=_view_age(assignment),
        )
        worker = self._fleet.get(assignment.worker)
        if worker is not None:
            worker.count_started(assignment)
            self.report_start_after_notice(assignment, worker)

    def report_start_after_notice(self, assignment: Assignment, worker: Worker) -> None:
        """Report a run that may have begun after its worker said that it drains.

        The worker's own clock tells how much later; a platform may limit that time.
        """
        seconds = seconds_after_notice(assignment, worker)
        if seconds is None:
            return
        reason = "first_copy" if assignment.copies == 1 else "repeated"
        self._count("starts_after_notice", reason)
        self._log(
            "start_after_notice",
            task=assignment.task,
            run=assignment.run,
            worker=worker.name,
            copies=assignment.copies,
            view_age=_view_age(assignment),
            at_most=round(seconds, 3),
        )

    def end(
        self, assignment: Assignment, end: RunEnd, checkpoint: str, now: float, *, cause: str
    ) -> None:
        """End an assignment and update its unit and job.

        Args:
            assignment: The assignment.
            end: How its run ended.
            checkpoint: Newest checkpoint of the run, empty if there is none.
            now: Current time in seconds.
            cause: How the end is known, for the log.
        """
        worker = self._fleet.get(assignment.worker)
        if worker is not None:
            worker.unassign(assignment)
        self.starting.pop(assignment, None)
        self.stopping.pop(assignment, None)
        self.changed = True
        unit, job = assignment.unit, assignment.unit.job
        if unit.assignments.get(assignment.index) is not assignment:
            return
        if end is RunEnd.DONE:
            self._record_duration(assignment, worker, now)
        del unit.assignments[assignment.index]
        job.assignment_count -= 1
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
        self.progress.mark(job, unit, assignment.index)
        if end is not RunEnd.LOST:
            # Its start may not have been answered.
            self._mark_job_begun(job)
        if end is RunEnd.DONE:
            self._complete_unit(assignment, now)
        elif not unit.done:
            self._handle_interruption(assignment, end, now)

    def end_lost(
        self, assignments: Sequence[Assignment], *, worker: Worker | None, cause: str, now: float
    ) -> None:
        """End all runs of one incarnation of a worker that is lost.

        Args:
            assignments: The runs on the worker.
            worker: The incarnation, None if this owner never knew it.
            cause: How the loss is known, for the log.
            now: Current time in seconds.
        """
        if worker is not None:
            self.suspects.record_worker(worker)
        culprits = self.record_loss(assignments, worker=worker)
        for assignment in assignments:
            if worker is not None:
                worker.unassign(assignment)
            self.end(assignment, RunEnd.LOST, "", now, cause=cause)
        self.give_up(culprits, now)

    def record_loss(
        self, assignments: Iterable[Assignment], *, worker: Worker | None
    ) -> list[Unit]:
        """Record that all that may have run on a worker is lost; return the units at fault."""
        there = [assignment for assignment in assignments if assignment.may_have_run]
        return self.suspects.record(there, worker=worker, fleet=self._fleet) if there else []

    def give_up(self, units: Iterable[Unit], now: float) -> None:
        """Fail the jobs of units that crash the workers that start them."""
        for unit in units:
            job = unit.job
            if job.closed:
                continue
            self.suspects.explain(unit)
            job.failed = True
            self._count("jobs_given_up", CRASHES_WORKERS)
            self._log(
                "job_failed",
                job_id=job.job_id,
                attempts=unit.failures,
                losses=len(unit.losses),
                reason=CRASHES_WORKERS,
            )
            self.close_job(job, CRASHES_WORKERS, now)

    def give_up_unrecorded(self, job: OwnedJob, now: float) -> None:
        """Fail a job whose progress the log does not take."""
        job.recorded_by_state = True
        job.paged = False
        if job.closed:
            return
        job.failed = True
        self._count("jobs_given_up", NOT_RECORDED)
        self._log("job_failed", job_id=job.job_id, reason=NOT_RECORDED)
        self.close_job(job, NOT_RECORDED, now)

    def _mark_job_begun(self, job: OwnedJob) -> None:
        """Let callers see that a job runs, as soon as a task of it does."""
        if not job.begun:
            job.begun = True
            self.progress.mark(job)

    def _on_losses_changed(self, unit: Unit) -> None:
        self.progress.mark(unit.job, unit)
        self.changed = True
        for assignment in unit.assignments.values():
            worker = self._fleet.get(assignment.worker)
            if worker is not None:
                worker.recompute_fits()

    def _complete_unit(self, assignment: Assignment, now: float) -> None:
        unit = assignment.unit
        self._health.record_success(assignment.worker)
        for member in unit.assignments.values():
            self._retries.record_success(member.worker, now=now)
        self._retries.record_success(assignment.worker, now=now)
        self._finish_unit(unit, now)

    def _record_duration(self, assignment: Assignment, worker: Worker | None, now: float) -> None:
        unit, job = assignment.unit, assignment.unit.job
        if worker is not None:
            self.speeds.record_end(worker, assignment, now=now)
            self.interference.record_end(worker, assignment, now=now)
        if (
            assignment.started_at is not None
            and not assignment.inherited
            and not unit.run_checkpoint
            and not unit.done
        ):
            speed = self.speeds.slowest(
                self._fleet.get(member.worker) for member in unit.assignments.values()
            )
            self._run_times.add(job, unit.step, (now - assignment.started_at) * speed)

    def complete_lost_run(self, unit: Unit, now: float) -> None:
        """Complete a unit whose newest run was taken for lost, or was interrupted, but was done."""
        if not unit.done:
            self.changed = True
            self.progress.mark(unit.job, unit)
            self._finish_unit(unit, now)

    def _finish_unit(self, unit: Unit, now: float) -> None:
        job = unit.job
        job.finish_unit(unit)
        self.suspects.forget(unit)
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
            began = assignment.started_at
            self._retries.record_failure(
                unit, assignment.worker, seconds=None if began is None else now - began, now=now
            )
            if self._health.record_failure(assignment.worker, job.job_id, now=now):
                self._log("worker_paused", worker=assignment.worker, reason="fails_what_it_starts")
            if unit.failures >= job.terms.max_attempts and not job.closed:
                job.failed = True
                self._log(
                    "job_failed",
                    job_id=job.job_id,
                    attempts=unit.failures,
                    losses=len(unit.losses),
                    reason="max_attempts",
                )
                self.close_job(job, "job_failed", now)
                return
        if unit.assignments:
            self.stop_unit(unit, f"member_{end}", now)

    def close_job(self, job: OwnedJob, reason: str, now: float) -> None:
        """Stop all runs of a job that failed or was cancelled."""
        job.ended_at = now
        self.progress.mark(job)
        self._log("job_closed", job_id=job.job_id, reason=reason)
        for unit in job.units:
            self.stop_unit(unit, reason, now)

    def stop_unit(self, unit: Unit, reason: str, now: float) -> None:
        """Stop a unit's runs; it is placed again unless its job is closed."""
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
            self.stopping[assignment] = None
            self._count("stops", reason)
            if assignment.first_sent_at is None and not assignment.inherited:
                self.end(assignment, RunEnd.LOST, "", now, cause="never_sent")

    def place(self, unit: Unit, workers: list[Worker], now: float) -> None:
        """Begin a new run of a unit.

        Args:
            unit: The unit.
            workers: The worker of each of its tasks.
            now: Current time in seconds.
        """
        unit.run += 1
        unit.began_at = None
        unit.run_checkpoint = unit.checkpoint
        for index, worker in zip(unit.indexes, workers, strict=True):
            assignment = Assignment(
                unit=unit,
                index=index,
                run=unit.run,
                worker=worker.name,
                incarnation=worker.incarnation,
                placed_at=now,
            )
            unit.assignments[index] = assignment
            unit.job.assignment_count += 1
            worker.assign(assignment)
            self.starting[assignment] = None
            self.placed.append(assignment)
        self.progress.mark(unit.job, unit)
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


def _view_age(assignment: Assignment) -> float | None:
    """Return the age of the view when the newest copy of a start was sent, in seconds."""
    if assignment.sent_at is None:
        return None
    return round(assignment.sent_at - assignment.view_read_at, 3)
