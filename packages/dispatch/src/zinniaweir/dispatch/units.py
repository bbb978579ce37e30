"""Jobs as the owner works on them: units that are placed as a whole, and their seats."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from zinniaweir.dispatch.messages import TaskId
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.records import AssignmentRecord, JobState, Progress, UnitRecord
from zinniaweir.workloads.spec import StepSpec


class Demand(NamedTuple):
    """The room that one task takes on a worker."""

    cpu_millis: int
    memory_mb: int
    accelerators: int


@dataclass(kw_only=True, eq=False)
class Assignment:
    """One task of a run on a worker; it takes room there until its end is known."""

    unit: Unit
    index: int
    run: int
    worker: str
    incarnation: int
    placed_at: float
    inherited: bool = False
    """Placed by a former owner, so its orders are fenced off once the worker knew this epoch."""
    recorded: bool = False
    """On the log, so that it may be ordered."""
    first_sent_at: float | None = None
    sent_at: float | None = None
    start_in_flight: bool = False
    unanswered: bool = False
    """A copy of the start brought no answer, so it may have taken effect."""
    start_deadline_ms: int = 0
    """On the worker's clock; a later arrival is rejected."""
    settled_at: float | None = None
    """When an answer proved that no copy of the start is still to take effect."""
    started: bool = False
    stop_reason: str = ""
    stop_sent_at: float | None = None
    stop_in_flight: bool = False
    percent: int = 0
    percent_at: float = 0.0
    started_at: float | None = None

    @property
    def task(self) -> TaskId:
        """The task."""
        return TaskId(self.unit.job.job_id, self.unit.step_number, self.index)


@dataclass(kw_only=True, eq=False)
class Unit:
    """A single task, or a gang whose tasks run only together."""

    job: OwnedJob
    step_number: int
    indexes: tuple[int, ...]
    run: int = 0
    failures: int = 0
    failed_run: int = 0
    """Run of the last failure; several members that fail in one run are one failure."""
    done: bool = False
    checkpoint: str = ""
    """Newest checkpoint that a worker told."""
    run_checkpoint: str = ""
    """Checkpoint that the newest run starts from; all members of a gang carry the same."""
    blamed: set[str] = field(default_factory=set)
    """Workers on which it failed."""
    assignments: dict[int, Assignment] = field(default_factory=dict)
    """Assignments of the newest run that may still be in use, by index."""
    waiting_since: float = 0.0
    wait_logged: bool = False
    """Whether the log has a line about its present wait."""
    room_asked_at: float | None = None
    """When other work was last stopped to make room for it."""
    room_sought_at: float | None = None
    """When work to stop for it was last searched."""
    step: StepSpec = field(init=False, repr=False)
    """The step that it belongs to."""
    demand: Demand = field(init=False, repr=False)
    """Room of each of its tasks."""

    def __post_init__(self) -> None:
        step = self.step = self.job.steps[self.step_number]
        self.demand = Demand(step.cpu_millis, step.memory_mb, step.accelerators)

    @property
    def waiting(self) -> bool:
        """Whether it needs a place."""
        return not self.done and not self.assignments

    def record(self) -> UnitRecord:
        """Return the unit as the log keeps it."""
        assignments = tuple(
            AssignmentRecord(a.index, a.worker, a.incarnation) for a in self.assignments.values()
        )
        return UnitRecord(
            self.step_number,
            self.indexes[0],
            self.run,
            self.failures,
            self.done,
            self.checkpoint,
            assignments,
        )


class OwnedJob:
    """A job that the owner works on.

    Args:
        entry: The job as the log has it.
        now: Present time in seconds.
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
        self.cancelled = entry.cancelled
        self.failed = False
        self.ended_at: float | None = None
        self.units = [unit for n in range(len(self.steps)) for unit in self._units_of(n, now)]
        self.open_units = [0] * len(self.steps)
        for unit in self.units:
            self.open_units[unit.step_number] += 1
        if entry.progress is not None:
            self._restore(entry.progress, now)

    @property
    def state(self) -> JobState:
        """How far the job is."""
        if self.failed:
            return JobState.FAILED
        if not any(self.open_units):
            return JobState.COMPLETE
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if any(unit.run for unit in self.units) else JobState.QUEUED

    @property
    def closed(self) -> bool:
        """Whether nothing of it is to be started any more."""
        return self.failed or self.cancelled or not any(self.open_units)

    @property
    def assignments(self) -> Iterator[Assignment]:
        """All assignments that may still be in use."""
        return (assignment for unit in self.units for assignment in unit.assignments.values())

    def ready_units(self) -> Iterator[Unit]:
        """Return the units that need a place and whose earlier steps are done."""
        if self.closed:
            return iter(())
        ready = {n for n in range(len(self.steps)) if self._step_ready(n)}
        return (u for u in self.units if u.waiting and u.step_number in ready)

    def finish_unit(self, unit: Unit) -> None:
        """Mark a unit as done."""
        if not unit.done:
            unit.done = True
            self.open_units[unit.step_number] -= 1

    def progress(self) -> Progress:
        """Return the job as the log keeps it."""
        units = tuple(unit.record() for unit in self.units if unit.run)
        return Progress(job_id=self.job_id, state=self.state, units=units)

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

    def _restore(self, progress: Progress, now: float) -> None:
        by_place = {(unit.step_number, unit.indexes[0]): unit for unit in self.units}
        for record in progress.units:
            unit = by_place.get((record.step, record.first))
            if unit is None:
                continue
            unit.run, unit.failures, unit.checkpoint = (
                record.run,
                record.failures,
                record.checkpoint,
            )
            unit.assignments = {
                assignment.index: _inherit(unit, assignment, now)
                for assignment in record.assignments
            }
            unit.run_checkpoint = record.checkpoint
            if record.done:
                self.finish_unit(unit)
        self.failed = progress.state == JobState.FAILED
        if JobState(progress.state).ended:
            self.ended_at = now


def _inherit(unit: Unit, assignment: AssignmentRecord, now: float) -> Assignment:
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
