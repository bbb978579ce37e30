"""Jobs of the scheduling owner: units that are placed as a whole, and their assignments."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from zinniaweir.dispatch.messages import TaskId
from zinniaweir.dispatch.preemption_history import PreemptionHistory
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.losses import needs_isolation
from zinniaweir.workloads.progress_pages import PAGE_TASKS
from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.records import (
    AssignmentRecord,
    JobState,
    LateStartRecord,
    LossRecord,
    Progress,
    ProgressPage,
    UnitRecord,
    progress_key,
)
from zinniaweir.workloads.spec import StepSpec

if TYPE_CHECKING:
    from zinniaweir.dispatch.fleet import OrphanRun


LATE_CALL_SECONDS: Final = 15.0
"""A call without an answer may be carried out within this time, also by a later incarnation."""


class Demand(NamedTuple):
    """Resources that one task needs on a worker."""

    cpu_millis: int
    memory_mb: int
    accelerators: int


@dataclass(frozen=True, kw_only=True)
class LateStart:
    """A start without an answer, which may be carried out late."""

    unit: Unit
    index: int
    run: int
    worker: str
    sent_at: float
    """When its newest copy was sent, or the latest time if a previous owner sent it, in seconds."""

    @property
    def key(self) -> tuple[TaskId, int]:
        """Its task and run."""
        return TaskId(self.unit.job.job_id, self.unit.step_number, self.index), self.run

    def record(self) -> LateStartRecord:
        """Return the start as it is stored in the log."""
        return LateStartRecord(self.index, self.run, self.worker)

    def may_arrive(self, now: float) -> bool:
        """Return whether it may still be carried out."""
        return now - self.sent_at <= LATE_CALL_SECONDS


@dataclass(kw_only=True, eq=False)
class Assignment:
    """One task of a run on a worker; it holds resources there until its end is known."""

    unit: Unit
    index: int
    run: int
    worker: str
    incarnation: int
    placed_at: float
    """When it was placed or, if inherited, read from the log, in seconds."""
    inherited: bool = False
    """Placed by a previous owner, whose commands a worker rejects once it knows this epoch."""
    recorded: bool = False
    """Written to the log, so the start may be sent."""
    first_sent_at: float | None = None
    """When this owner first sent the start, None if it never did."""
    sent_at: float | None = None
    """When the newest copy of the start was sent."""
    copies: int = 0
    """How many copies of the start were sent."""
    view_read_at: float = float("-inf")
    """When the view that allowed the newest copy of the start was read, in seconds."""
    start_in_flight: bool = False
    start_unanswered: bool = False
    """A copy of the start had no answer, so it may have taken effect."""
    send_until: float = float("-inf")
    """Latest time at which the start may leave this VM, in seconds."""
    start_deadline_ms: int = 0
    """Time on the worker's clock after which it rejects every copy of the start that was sent."""
    last_deadline_ms: int = 0
    """Latest deadline that any copy may have, on the worker's clock, in milliseconds."""
    settled_at: float | None = None
    """When an answer proved that no copy of the start can take effect any more."""
    started: bool = False
    stop_reason: str = ""
    """Why the run is being stopped, empty if it is not."""
    stop_sent_at: float | None = None
    stop_in_flight: bool = False
    percent: int = 0
    """Progress in percent of the work, as last listed."""
    progress_at: float = 0.0
    """When the progress last changed, in seconds."""
    started_at: float | None = None
    """When this owner learned that the run has started, in seconds."""

    @property
    def may_have_run(self) -> bool:
        """Whether a copy of the start may have taken effect."""
        return self.inherited or self.started or self.start_unanswered or self.start_in_flight

    @property
    def late_start(self) -> LateStart | None:
        """Its start if a copy may still arrive, as far as this owner knows; None if none may."""
        if self.inherited and not self.started:
            # The previous owner may have sent it until this one took over.
            sent_at = self.placed_at
        elif (self.start_in_flight or self.start_unanswered) and self.sent_at is not None:
            sent_at = self.sent_at
        else:
            return None
        return LateStart(
            unit=self.unit, index=self.index, run=self.run, worker=self.worker, sent_at=sent_at
        )

    @property
    def task(self) -> TaskId:
        """Id of the task."""
        return TaskId(self.unit.job.job_id, self.unit.step_number, self.index)

    def record(self) -> AssignmentRecord:
        """Return the assignment as it is stored in the log."""
        return AssignmentRecord(self.index, self.worker, self.incarnation)


@dataclass(kw_only=True, eq=False)
class Unit:
    """A single task, or a gang whose tasks only run together."""

    job: OwnedJob
    step_number: int
    indexes: tuple[int, ...]
    run: int = 0
    """Number of the newest run, 0 before the first."""
    failures: int = 0
    """Number of failed runs."""
    failed_run: int = 0
    """Run of the last failure; several failed members of one run count as one failure."""
    done: bool = False
    checkpoint: str = ""
    """Newest checkpoint that a worker reported."""
    run_checkpoint: str = ""
    """Checkpoint that the newest run starts from, the same for all members of a gang."""
    failed_at: float | None = None
    """When this owner last learned of a failed run, in seconds."""
    retry_logged_for: int = 0
    """Number of failures with which a delay of its next attempt was last logged."""
    failed_workers: set[str] = field(default_factory=set)
    """Workers on which it failed."""
    losses: tuple[LossRecord, ...] = ()
    """Runs that were lost with their workers."""
    began_at: float | None = None
    """When this owner learned that all tasks of the newest run had started, in seconds."""
    assignments: dict[int, Assignment] = field(default_factory=dict)
    """Assignments of the newest run that may still be in use, by index."""
    orphan_runs: dict[OrphanRun, None] = field(default_factory=dict, repr=False)
    """Runs of it that no assignment stands for; it is not placed again before they have ended."""
    late_starts: dict[tuple[TaskId, int], LateStart] = field(default_factory=dict, repr=False)
    """Starts of it that may still arrive, by task and run."""
    awaits_worker: bool = False
    """Whether a start of it may still arrive at a worker that does not answer now."""
    waiting_since: float = 0.0
    wait_logged: bool = False
    """Whether its current wait has been logged."""
    withheld_run: int = -1
    """Run after which it was last logged that it waits for headroom, -1 if it never was."""
    preemptions: PreemptionHistory = field(default_factory=PreemptionHistory)
    """How often and when it was preempted."""
    preempted_for_at: float | None = None
    """When other work was last preempted for it."""
    preemption_searched_at: float | None = None
    """When work to preempt for it was last searched for."""
    step: StepSpec = field(init=False, repr=False)
    """The step that it belongs to."""
    demand: Demand = field(init=False, repr=False)
    """Resources of each of its tasks."""

    def __post_init__(self) -> None:
        step = self.step = self.job.steps[self.step_number]
        self.demand = Demand(step.cpu_millis, step.memory_mb, step.accelerators)

    @property
    def isolated(self) -> bool:
        """Whether nothing else may run on its workers, since it may crash them."""
        return bool(self.losses) and needs_isolation(self.losses)

    @property
    def waiting(self) -> bool:
        """Whether it is not done and no run of it can be in progress."""
        return not (self.done or self.assignments or self.orphan_runs or self.awaits_worker)

    def mark_begun(self, now: float) -> None:
        """Record that its newest run works, if all of its tasks have started."""
        started = sum(assignment.started for assignment in self.assignments.values())
        if started == len(self.indexes):
            self.began_at = now

    def forget_late_starts(self, now: float) -> None:
        """Remove the starts that cannot arrive any more."""
        for key, start in list(self.late_starts.items()):
            if not start.may_arrive(now):
                del self.late_starts[key]

    def record(self) -> UnitRecord:
        """Return the unit as it is stored in the log."""
        return UnitRecord(
            self.step_number,
            self.indexes[0],
            self.run,
            self.failures,
            self.done,
            self.checkpoint,
            tuple(a.record() for a in self.assignments.values()),
            self.losses,
            tuple(s.record() for s in self.late_starts.values()),
            self.failed_run,
        )

    def record_of(self, indexes: Collection[int]) -> UnitRecord:
        """Return what concerns some of its tasks, as it is stored in the log.

        Args:
            indexes: Indexes of the tasks.
        """
        if len(indexes) == len(self.indexes):
            return self.record()
        first = self.indexes[0]
        losses = (
            msgspec.structs.replace(loss, members=tuple(m for m in loss.members if m in indexes))
            for loss in self.losses
            if any(member in indexes for member in loss.members)
            or (not loss.members and first in indexes)
        )
        return UnitRecord(
            self.step_number,
            first,
            self.run,
            self.failures,
            self.done,
            self.checkpoint if first in indexes else "",
            tuple(a.record() for i in indexes if (a := self.assignments.get(i)) is not None),
            tuple(losses),
            tuple(s.record() for s in self.late_starts.values() if s.index in indexes),
            self.failed_run,
        )


class OwnedJob:
    """A job that the owner schedules.

    Args:
        entry: The job as read from the log.
        now: Current time in seconds.
        age: Seconds since the job was accepted.
    """

    def __init__(self, entry: JobEntry, *, now: float, age: float = 0.0) -> None:
        submission = entry.submission
        self.job_id = submission.job_id
        self.customer = submission.customer
        self.terms: QueueTerms = submission.terms
        self.steps = submission.spec.steps
        self.payload = submission.spec.payload
        self.accepted_at = now - age
        """When the job was accepted, in seconds of the owner's clock."""
        self.cancelled = entry.state is JobState.CANCELLED
        self.failed = False
        self.recorded_by_state = False
        """Whether its state alone is recorded, since the log does not take its progress."""
        self.begun = False
        """Whether a worker is known to have begun any of its tasks."""
        self.preemptions = PreemptionHistory()
        """Preemptions of all of its units."""
        self.ended_at: float | None = None
        """When the job ended or was read from the log as ended, in seconds; None before."""
        self.units = [unit for n in range(len(self.steps)) for unit in self._units_of(n, now)]
        self.open_units = [0] * len(self.steps)
        """Number of units that are not done, by step."""
        for unit in self.units:
            self.open_units[unit.step_number] += 1
        unit_counts = (1 if step.gang else step.count for step in self.steps)
        self._first_units = (0, *accumulate(unit_counts))
        """Position of the first unit of each step, and the number of all units."""
        self.assignment_count = 0
        """Number of assignments whose end is not known yet."""
        self._first_tasks = (0, *accumulate(step.count for step in self.steps))
        """Number of the first task of each step among all tasks, and the number of all tasks."""
        self.paged = entry.paged
        """Whether its progress is recorded in pages."""
        self.recorded_pages = set(entry.pages)
        """Numbers of the pages that are on the log."""
        self.recorded_state: JobState | None = None
        """State that was last recorded, if that is known and its progress is in pages."""
        if entry.progress is not None:
            self._restore(entry.progress, entry.units, now)

    @property
    def state(self) -> JobState:
        """Current state of the job."""
        if self.failed:
            return JobState.FAILED
        if not any(self.open_units):
            return JobState.COMPLETE
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.begun else JobState.QUEUED

    @property
    def closed(self) -> bool:
        """Whether no more of its tasks will be started."""
        return self.failed or self.cancelled or not any(self.open_units)

    @property
    def assignments(self) -> Iterator[Assignment]:
        """All assignments whose end is not known yet."""
        return (assignment for unit in self.units for assignment in unit.assignments.values())

    def ready_units(self) -> Iterator[Unit]:
        """Return the waiting units whose earlier steps are done."""
        if self.closed:
            return iter(())
        ready = {n for n in range(len(self.steps)) if self._step_ready(n)}
        return (u for u in self.units if u.waiting and u.step_number in ready)

    def unit_of(self, task: TaskId) -> Unit | None:
        """Return the unit that a task belongs to, None if the job has no such task."""
        if not (0 <= task.step < len(self.steps) and 0 <= task.index < self.steps[task.step].count):
            return None
        position = self._first_units[task.step]
        return self.units[position if self.steps[task.step].gang else position + task.index]

    def finish_unit(self, unit: Unit) -> None:
        """Mark a unit as done."""
        if not unit.done:
            unit.done = True
            self.open_units[unit.step_number] -= 1

    def progress(self) -> Progress:
        """Return the job's progress as it is stored in the log."""
        if self.recorded_by_state:
            return Progress(job_id=self.job_id, state=self.state)
        if self.paged:
            return Progress(job_id=self.job_id, state=self.state, page_tasks=PAGE_TASKS)
        units = tuple(unit.record() for unit in self.units if unit.run)
        return Progress(job_id=self.job_id, state=self.state, units=units)

    def is_recorded_under(self, keys: Collection[str]) -> bool:
        """Return whether one of some keys is that of its progress or of a page of it."""
        own = progress_key(self.job_id)
        return own in keys or any(key.startswith(f"{own}/") for key in keys)

    def page_number(self, step: int, index: int) -> int:
        """Return the number of the page that holds a task.

        Args:
            step: Index of the step in the job.
            index: Index of the task in the step.
        """
        return (self._first_tasks[step] + index) // PAGE_TASKS

    def begun_pages(self) -> set[int]:
        """Return the numbers of the pages that hold units which were started."""
        return {
            self.page_number(unit.step_number, index)
            for unit in self.units
            if unit.run
            for index in unit.indexes
        }

    def page(self, number: int, *, now: float) -> ProgressPage:
        """Return a page of the progress as it is stored in the log.

        Args:
            number: Number of the page.
            now: Current time in seconds.
        """
        self.recorded_pages.add(number)
        indexes: dict[Unit, list[int]] = {}
        for task in self._tasks_of_page(number):
            unit = self.unit_of(task)
            if unit is not None and unit.run:
                indexes.setdefault(unit, []).append(task.index)
        for unit in indexes:
            unit.forget_late_starts(now)
        units = tuple(unit.record_of(found) for unit, found in indexes.items())
        return ProgressPage(job_id=self.job_id, number=number, units=units)

    def _tasks_of_page(self, number: int) -> Iterator[TaskId]:
        first = number * PAGE_TASKS
        step = bisect_right(self._first_tasks, first) - 1
        for position in range(first, min(first + PAGE_TASKS, self._first_tasks[-1])):
            while position >= self._first_tasks[step + 1]:
                step += 1
            yield TaskId(self.job_id, step, position - self._first_tasks[step])

    def _step_ready(self, number: int) -> bool:
        return all(not self.open_units[earlier] for earlier in self.steps[number].depends_on)

    def _units_of(self, number: int, now: float) -> list[Unit]:
        step = self.steps[number]
        if step.gang:
            groups = [tuple(range(step.count))]
        else:
            groups = [(index,) for index in range(step.count)]
        return [
            Unit(job=self, step_number=number, indexes=group, waiting_since=now) for group in groups
        ]

    def _restore(self, progress: Progress, units: Sequence[UnitRecord], now: float) -> None:
        by_position = {(unit.step_number, unit.indexes[0]): unit for unit in self.units}
        for record in units:
            unit = by_position.get((record.step, record.first_index))
            if unit is None:
                continue
            unit.run, unit.failures, unit.checkpoint = (
                record.run,
                record.failures,
                record.checkpoint,
            )
            unit.assignments = {
                assignment.index: _restore_assignment(unit, assignment, now)
                for assignment in record.assignments
            }
            self.assignment_count += len(unit.assignments)
            unit.run_checkpoint = record.checkpoint
            unit.failed_run = record.failed_run
            unit.losses = record.losses
            for late in record.late_starts:
                start = LateStart(
                    unit=unit, index=late.index, run=late.run, worker=late.worker, sent_at=now
                )
                unit.late_starts[start.key] = start
            if record.done:
                self.finish_unit(unit)
        if progress.state == JobState.COMPLETE:
            for unit in self.units:
                self.finish_unit(unit)
        self.failed = progress.state == JobState.FAILED
        self.begun = progress.state != JobState.QUEUED
        if JobState(progress.state).ended:
            self.ended_at = now


def _restore_assignment(unit: Unit, assignment: AssignmentRecord, now: float) -> Assignment:
    return Assignment(
        unit=unit,
        index=assignment.index,
        run=unit.run,
        worker=assignment.worker,
        incarnation=assignment.incarnation,
        placed_at=now,
        inherited=True,
        recorded=True,
    )
