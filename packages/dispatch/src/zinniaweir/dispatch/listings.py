"""Workers' answers to polls: runs that started, made progress, ended or are gone."""

from __future__ import annotations

from collections.abc import Mapping

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.health import STALL_TIMEOUT_SECONDS, WorkerHealth
from zinniaweir.dispatch.messages import (
    Acknowledgement,
    ActiveRun,
    EndedRun,
    Listing,
    RunEnd,
    TaskId,
)
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.runs import Runs
from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit


class Listings:
    """Apply workers' answers to polls.

    Args:
        jobs: All retained jobs, by id.
        runs: The runs.
        health: Health of the workers.
        reporter: Receives log events and counts.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[str, OwnedJob],
        runs: Runs,
        health: WorkerHealth,
        reporter: Reporter,
    ) -> None:
        self._jobs = jobs
        self._runs = runs
        self._health = health
        self._log = reporter.log
        self._count = reporter.count
        self.acknowledgements: dict[str, Acknowledgement] = {}
        """Ends of runs that a worker may discard once they are recorded, by worker."""

    def apply(
        self,
        worker: Worker,
        listing: Listing,
        *,
        poll_sent_at: float,
        renewed: bool,
        now: float,
    ) -> None:
        """Apply the answer to a poll.

        Args:
            worker: The incarnation that answered.
            listing: Its answer.
            poll_sent_at: When the poll was sent; the answer reflects what was settled before.
            renewed: Whether the poll renewed the worker's lease.
            now: Current time in seconds.
        """
        worker.answered_at = now
        self._runs.suspects.clear_worker(worker.name, listing.incarnation)
        if renewed:
            worker.lease_confirmed_at = max(worker.lease_confirmed_at, poll_sent_at)
        worker.clock.observe(listing.clock_ms, sent_at=poll_sent_at, received_at=now)
        # A poll waits for ends of runs, so it may be answered long after it was sent.
        worker.alive_at = max(poll_sent_at, worker.clock.earliest_time(listing.clock_ms))
        if worker.listed_at is None:
            self._runs.changed = True
            self._log("worker_listed", worker=worker.name, running=len(listing.running))
        worker.listed_at = poll_sent_at
        worker.more_ends = listing.more_ends
        if listing.unrecognized_runs:
            self._count("strange_runs", "listed")
        if listing.invalid_rows:
            self._count("invalid_rows", "listed")
            self._log("rows_ignored", worker=worker.name, rows=listing.invalid_rows)
        for row in listing.ended:
            self._handle_ended_run(worker, row, now)
        for row in listing.running:
            self._handle_active_run(worker, row, now=now)
        if listing.more_ends:
            # The end of a run that is on neither list may be among those left out.
            self._count("partial_lists", "more_ends")
        else:
            self._end_absent_runs(worker, listing, poll_sent_at=poll_sent_at, now=now)

    def _end_absent_runs(
        self, worker: Worker, listing: Listing, *, poll_sent_at: float, now: float
    ) -> None:
        """End the runs that a complete list proves to be gone."""
        present = {(row.task, row.run) for row in listing.running}
        for task, run in (*worker.orphan_runs, *worker.assignments):
            if task in listing.running_tasks:
                present.add((task, run))
        for key, orphan_run in list(worker.orphan_runs.items()):
            settled = orphan_run.settled_at is not None and orphan_run.settled_at < poll_sent_at
            if key not in present and settled:
                worker.remove_orphan_run(key)
                self._runs.changed = True
        lost = []
        for key, assignment in list(worker.assignments.items()):
            if key in present or not self._absence_proves_end(
                worker, assignment, poll_sent_at, now
            ):
                continue
            late_start = assignment.late_start
            if assignment.inherited and late_start is not None:
                # The fence of this epoch is forgotten if the worker restarts.
                worker.add_late_start(late_start)
            if assignment.incarnation == worker.incarnation:
                self._runs.end(assignment, RunEnd.LOST, "", now, cause="not_listed")
            else:
                lost.append(assignment)
        if lost:
            # A previous owner placed them on an earlier incarnation.
            self._runs.end_lost(lost, worker=None, cause="worker_born_again", now=now)

    def _handle_active_run(self, worker: Worker, row: ActiveRun, *, now: float) -> None:
        assignment = worker.assignments.get((row.task, row.run))
        if assignment is None:
            worker.add_orphan_run((row.task, row.run), self._unit_of(row.task))
            return
        unit = assignment.unit
        if assignment.incarnation != worker.incarnation:
            # The start reached a later incarnation than the one that it was meant for.
            assignment.incarnation = worker.incarnation
            self._runs.progress.mark(unit.job, unit, assignment.index)
        if row.checkpoint and row.checkpoint != unit.checkpoint:
            unit.checkpoint = row.checkpoint
        if not assignment.started:
            self._runs.mark_started(assignment, now)
        if unit.losses:
            self._runs.suspects.clear_survivor(assignment, now=worker.alive_at)
        if row.percent != assignment.percent or not assignment.progress_at:
            assignment.percent, assignment.progress_at = row.percent, now
            self._runs.speeds.record_progress(worker, assignment, now=now)
            self._runs.interference.record_progress(worker, assignment, now=now)
        elif (
            row.percent
            and now - assignment.progress_at > STALL_TIMEOUT_SECONDS
            # One stalled member stalls its whole gang, so no worker can be singled out.
            and len(assignment.unit.indexes) == 1
        ):
            self._health.record_stall(worker.name, now=now)
            self._runs.speeds.exclude(assignment)
            self._runs.interference.exclude(assignment)

    def _handle_ended_run(self, worker: Worker, row: EndedRun, now: float) -> None:
        if row.number <= worker.applied_end:
            return
        worker.applied_end = row.number
        self.acknowledgements[worker.name] = Acknowledgement(
            worker=worker.name, incarnation=worker.incarnation, number=row.number
        )
        if row.task is None:
            self._log("stranger_ended", worker=worker.name, number=row.number)
            return
        assignment = worker.assignments.get((row.task, row.run))
        if assignment is None:
            self._log("end_without_seat", task=row.task, run=row.run, end=row.end)
            if row.end is RunEnd.DONE:
                self._complete_lost_run(row.task, row.run, now)
            return
        self._runs.end(assignment, row.end, row.checkpoint, now, cause="listed")

    def _complete_lost_run(self, task: TaskId, run: int, now: float) -> None:
        """Complete a unit whose newest run was taken for lost but was done.

        Its worker was silent until its leases had expired, and reports the end only now. One done
        member stands for its whole gang.
        """
        unit = self._unit_of(task)
        if unit is not None and not unit.job.closed and unit.run == run:
            self._runs.complete_lost_run(unit, now)

    def _unit_of(self, task: TaskId) -> Unit | None:
        job = self._jobs.get(task.job_id)
        return None if job is None else job.unit_of(task)

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
