"""The owner's view of the workers, with the assignments of each."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final, TypeVar

from zinniaweir.dispatch.clock import WorkerClock
from zinniaweir.dispatch.messages import TaskId, WorkerEntry
from zinniaweir.dispatch.units import Assignment, Demand, LateStart, Unit
from zinniaweir.workloads.spec import MAX_TASKS

Key = TypeVar("Key", bound=Hashable)

LARGE_FLEET_WORKERS: Final = 600
"""Number of workers above which a fleet is large.

Polls are paced there, and planning passes examine a part of the workers for each unit. An owner
of 600 idle workers spends about a tenth of a core (docs/design/large-fleets.md).
"""
MAX_SILENCE_SECONDS: Final = 2.0
"""A worker without an answer for this long gets no work.

Must be longer than the longest wait of a poll, which a worker without a new end uses up.
"""
MAX_CONFIRMED_LEASE_AGE_SECONDS: Final = 3.0
"""A worker whose lease was last confirmed longer ago gets no work.

The deadline of a start does not last until the next renewal, so what is started lives on the lease
that the worker already has. Longer than two polls in a row that wait for an end.
"""
REMOVE_MISSING_SECONDS: Final = 2.5
"""Time after which a silent worker that is missing from the platform's list is removed.

Entries that expired in an outage of the store are listed again within about two seconds of its end.
"""


@dataclass(kw_only=True, eq=False)
class OrphanRun:
    """A run without an assignment, or a start for an earlier incarnation that may still arrive."""

    unit: Unit | None = None
    """The unit, which is not placed again before this run has ended; None if it is unknown."""
    stop_sent_at: float | None = None
    settled_at: float | None = None
    """When a stop was acknowledged, after which the worker rejects starts of the run."""


@dataclass(kw_only=True, eq=False)
class Worker:
    """One incarnation of a worker."""

    entry: WorkerEntry
    """Its entry, or that of an earlier incarnation while the list does not show this one."""
    unlisted_incarnation: int | None = None
    """This incarnation, if only its own answers tell of it; None if its entry was listed."""
    ended_incarnations: frozenset[int] = frozenset()
    """Earlier incarnations, which a later one has answered for; their entries are outdated."""
    announced: WorkerEntry | None = None
    """Entry of another incarnation, which holds once that one has answered."""
    announced_at: float = float("-inf")
    """When that entry was read, in seconds."""
    clock: WorkerClock = field(default_factory=WorkerClock)
    listed_at: float | None = None
    """When the last answered poll of this epoch was sent."""
    answered_at: float = float("-inf")
    """When the last answer to a poll arrived."""
    alive_at: float = float("-inf")
    """When it gave that answer at the earliest, in seconds."""
    unanswered_poll_sent_at: float = float("-inf")
    """When the newest poll without an answer was sent, in seconds."""
    lease_until_ms: int = 0
    """The latest lease end that was sent, on the worker's clock."""
    lease_confirmed_at: float = float("-inf")
    """When the newest answered poll that renewed the lease was sent, in seconds."""
    acknowledged_end: int = 0
    """Number of the newest end of a run that is recorded in the log."""
    discarded_end: int = 0
    """Number of the newest end that the worker has discarded, as an answered poll told it to."""
    applied_end: int = 0
    """Number of the newest end of a run that was applied to the owner's state."""
    more_ends: bool = False
    """Whether it may have more ends than its newest list holds."""
    assignments: dict[tuple[TaskId, int], Assignment] = field(default_factory=dict)
    """Assignments whose end is not known yet, by task and run."""
    orphan_runs: dict[tuple[TaskId, int], OrphanRun] = field(default_factory=dict)
    """Runs without an assignment that may use resources; while there are any, it gets no work."""
    late_starts: dict[tuple[TaskId, int], LateStart] = field(default_factory=dict)
    """Starts that may still arrive after the worker restarts, by task and run."""
    departs_at: float | None = None
    """Earliest departure of a draining worker in seconds, None if it is unknown or stays."""
    drain_reported_ms: int | None = None
    """Its own clock when it first reported that it drains; None if it stays or does not tell."""
    missing_since: float | None = None
    """Since when it is missing from the platform's list."""
    used_cpu: int = 0
    """Processor time of all assignments, in thousandths of a core."""
    used_memory: int = 0
    """Memory of all assignments, in MB."""
    used_accelerators: int = 0
    """Number of accelerators of all assignments."""
    step_tasks: dict[tuple[str, int], int] = field(default_factory=dict)
    """Number of assignments, by job id and step."""
    queue_tasks: dict[str, int] = field(default_factory=dict)
    """Number of assignments, by queue."""
    started_queue_tasks: dict[str, int] = field(default_factory=dict)
    """Number of assignments that have started, by queue."""
    _fits: dict[Demand, int] = field(default_factory=dict, repr=False)
    """Cache of `fits`, cleared when the assignments or the entry change."""
    _fits_empty: dict[Demand, int] = field(default_factory=dict, repr=False)
    """Cache of `fits_empty`, cleared when the entry changes."""
    _exclusive: bool | None = field(default=False, repr=False)
    """Cache of `exclusive`, None if it has to be computed."""

    @property
    def name(self) -> str:
        """The worker's name."""
        return self.entry.worker

    @property
    def incarnation(self) -> int:
        """The incarnation that all of this is about."""
        if self.unlisted_incarnation is not None:
            return self.unlisted_incarnation
        return self.entry.incarnation

    @property
    def entry_outdated(self) -> bool:
        """Whether its entry may be that of another incarnation."""
        return self.announced is not None or self.entry.incarnation != self.incarnation

    @property
    def idle(self) -> bool:
        """Whether nothing of the owner's can be running there or on its way."""
        return not (self.assignments or self.orphan_runs or self.late_starts)

    @property
    def acknowledgement_to_send(self) -> int:
        """Number of the newest end that the worker may discard and has not, 0 if there is none.

        A later incarnation numbers its ends anew, and would discard ends that nobody has read.
        """
        return self.acknowledged_end if self.acknowledged_end > self.discarded_end else 0

    @property
    def unanswered(self) -> bool:
        """Whether the newest poll that ended had no answer."""
        return self.unanswered_poll_sent_at > self.answered_at

    @property
    def exclusive(self) -> bool:
        """Whether it is kept for a unit that may crash it."""
        if self._exclusive is None:
            self._exclusive = any(a.unit.isolated for a in self.assignments.values())
        return self._exclusive

    @property
    def overcommitted(self) -> bool:
        """Whether its assignments take more than the capacity that it has left."""
        return (
            self.used_cpu > self.entry.cpu_millis
            or self.used_memory > self.entry.memory_mb
            or self.used_accelerators > self.entry.accelerators
        )

    @property
    def free_accelerators(self) -> int:
        """Number of accelerators that are not in use."""
        return self.entry.accelerators - self.used_accelerators

    def fits(self, demand: Demand) -> int:
        """Return how many tasks of a size fit in addition to the current assignments."""
        found = self._fits.get(demand)
        if found is None:
            found = 0
            if not self.exclusive:
                found = fit_count(
                    demand,
                    cpu=self.entry.cpu_millis - self.used_cpu,
                    memory=self.entry.memory_mb - self.used_memory,
                    accelerators=self.entry.accelerators - self.used_accelerators,
                )
            self._fits[demand] = found
        return found

    def fits_empty(self, demand: Demand) -> int:
        """Return how many tasks of a size would fit if the worker were empty."""
        found = self._fits_empty.get(demand)
        if found is None:
            found = self._fits_empty[demand] = fit_count(
                demand,
                cpu=self.entry.cpu_millis,
                memory=self.entry.memory_mb,
                accelerators=self.entry.accelerators,
            )
        return found

    def recompute_fits(self) -> None:
        """Discard what is cached, since a unit on it may have become isolated, or cleared."""
        self._fits.clear()
        self._exclusive = None

    def assign(self, assignment: Assignment) -> None:
        """Add an assignment and reserve its resources."""
        step = assignment.unit.step
        self.assignments[assignment.task, assignment.run] = assignment
        self.used_cpu += step.cpu_millis
        self.used_memory += step.memory_mb
        self.used_accelerators += step.accelerators
        self._fits.clear()
        if assignment.unit.isolated:
            self._exclusive = True
        self._count_tasks(assignment, 1)

    def unassign(self, assignment: Assignment) -> None:
        """Remove an assignment and release its resources."""
        if self.assignments.pop((assignment.task, assignment.run), None) is None:
            return
        step = assignment.unit.step
        self.used_cpu -= step.cpu_millis
        self.used_memory -= step.memory_mb
        self.used_accelerators -= step.accelerators
        self._fits.clear()
        if self._exclusive:
            self._exclusive = None
        self._count_tasks(assignment, -1)

    def count_started(self, assignment: Assignment, change: int = 1) -> None:
        """Count an assignment that has started.

        Args:
            assignment: One of its assignments.
            change: 1 when it starts, -1 when it is removed.
        """
        _add(self.started_queue_tasks, assignment.unit.job.terms.name, change)

    def _count_tasks(self, assignment: Assignment, change: int) -> None:
        job = assignment.unit.job
        _add(self.step_tasks, (job.job_id, assignment.unit.step_number), change)
        _add(self.queue_tasks, job.terms.name, change)
        if assignment.started:
            self.count_started(assignment, change)

    def add_orphan_run(self, key: tuple[TaskId, int], unit: Unit | None) -> None:
        """Add a run without an assignment; its unit waits until the run has ended.

        Args:
            key: Task and run.
            unit: The unit, None if it is unknown.
        """
        if key in self.orphan_runs:
            return
        orphan_run = self.orphan_runs[key] = OrphanRun(unit=unit)
        if unit is not None:
            unit.orphan_runs[orphan_run] = None

    def remove_orphan_run(self, key: tuple[TaskId, int]) -> None:
        """Remove a run that has ended."""
        orphan_run = self.orphan_runs.pop(key)
        if orphan_run.unit is not None:
            orphan_run.unit.orphan_runs.pop(orphan_run, None)

    def remove_orphan_runs(self) -> None:
        """Remove all runs without an assignment, since everything on the worker has ended."""
        for key in list(self.orphan_runs):
            self.remove_orphan_run(key)

    def forget_late_starts(self, now: float) -> None:
        """Remove the starts that cannot arrive any more."""
        for key, start in list(self.late_starts.items()):
            if not start.may_arrive(now):
                del self.late_starts[key]

    def add_late_start(self, start: LateStart) -> None:
        """Add a start that may still arrive after the worker restarts."""
        self.late_starts[start.key] = start
        start.unit.late_starts[start.key] = start

    def announce(self, entry: WorkerEntry, *, now: float) -> None:
        """Apply an entry of another incarnation, which is asked before it counts."""
        if entry.incarnation in self.ended_incarnations:
            return
        if self.announced is None or self.announced.incarnation != entry.incarnation:
            self.announced_at = now
        self.announced = entry
        self.missing_since = None

    def withdraw_announcement(self) -> None:
        """Drop the entry of another incarnation, since this one has outlived that one."""
        if self.announced is not None:
            self.ended_incarnations |= {self.announced.incarnation}
            self.announced = None

    def update_entry(self, entry: WorkerEntry, *, now: float) -> None:
        """Apply a newer entry of the same incarnation."""
        if entry is not self.entry or (entry.draining and self.departs_at is None):
            self.departs_at = (
                now + entry.remaining_seconds
                if entry.draining and entry.remaining_seconds is not None
                else None
            )
        if entry.draining and not self.entry.draining:
            self.drain_reported_ms = entry.reported_ms
        if entry is not self.entry:
            self.entry = entry
            self.unlisted_incarnation = None
            self._fits.clear()
            self._fits_empty.clear()
        self.missing_since = None

    @property
    def startable_until(self) -> float:
        """Time until which its last answer and its lease allow a start, in seconds."""
        return min(
            self.answered_at + MAX_SILENCE_SECONDS,
            self.lease_confirmed_at + MAX_CONFIRMED_LEASE_AGE_SECONDS,
        )

    def leased(self, now: float) -> bool:
        """Return whether it surely has a lease on which what is started now can live."""
        return now - self.lease_confirmed_at <= MAX_CONFIRMED_LEASE_AGE_SECONDS

    def leases_expired(self, now: float) -> bool:
        """Return whether every lease that was sent has provably expired."""
        return self.clock.known and self.clock.earliest(now) > self.lease_until_ms


def _add(counts: dict[Key, int], key: Key, change: int) -> None:
    """Change a count; one of zero is removed."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)


def fit_count(demand: Demand, *, cpu: int, memory: int, accelerators: int) -> int:
    """Return how many tasks of a size fit into the given resources.

    Args:
        demand: Resources of each task.
        cpu: Processor time in thousandths of a core.
        memory: Memory in MB.
        accelerators: Number of accelerators.
    """
    max_count = MAX_TASKS
    if demand.cpu_millis:
        max_count = cpu // demand.cpu_millis
    if demand.memory_mb:
        max_count = min(max_count, memory // demand.memory_mb)
    if demand.accelerators:
        max_count = min(max_count, accelerators // demand.accelerators)
    return max(max_count, 0)


class Fleet:
    """The newest incarnation of each worker, by name."""

    def __init__(self) -> None:
        self._workers: dict[str, Worker] = {}

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers.values())

    def __len__(self) -> int:
        return len(self._workers)

    def get(self, name: str) -> Worker | None:
        """Return a worker, or None if it is unknown."""
        return self._workers.get(name)

    def update(self, entries: Iterable[WorkerEntry], *, now: float) -> list[Worker]:
        """Apply the platform's list of workers.

        An entry of another incarnation is asked first if work may be running on the known one:
        clocks of workers step and entries are stored late, so only an answer orders the two.

        Returns:
            Idle incarnations that were replaced, since their worker is listed with another one.
        """
        replaced: list[Worker] = []
        present = set()
        for entry in entries:
            present.add(entry.worker)
            worker = self._workers.get(entry.worker)
            if worker is None:
                self._workers[entry.worker] = Worker(entry=entry)
            elif entry.incarnation == worker.incarnation:
                # A list that was read anew may hold an older report; a newer drain still holds.
                newest = worker.entry if entry.is_older_than(worker.entry) else entry
                worker.update_entry(newest, now=now)
            elif worker.idle and entry.incarnation not in worker.ended_incarnations:
                replaced.append(worker)
                self._workers[entry.worker] = Worker(
                    entry=entry, ended_incarnations=worker.ended_incarnations
                )
            else:
                worker.announce(entry, now=now)
        for name, worker in self._workers.items():
            worker.forget_late_starts(now)
            if name not in present and worker.missing_since is None:
                worker.missing_since = now
        return replaced

    def replace(self, worker: Worker) -> None:
        """Replace an incarnation by another one of the same worker."""
        self._workers[worker.name] = worker

    def remove(self, worker: Worker) -> None:
        """Remove a worker, unless another incarnation has replaced it."""
        if self._workers.get(worker.name) is worker:
            worker.remove_orphan_runs()
            del self._workers[worker.name]
