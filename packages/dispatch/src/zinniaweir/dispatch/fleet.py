"""The owner's view of the workers, with the assignments of each."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from zinniaweir.dispatch.clock import WorkerClock
from zinniaweir.dispatch.messages import TaskId, WorkerEntry
from zinniaweir.dispatch.units import Assignment, Demand
from zinniaweir.workloads.spec import MAX_TASKS

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

    stop_sent_at: float | None = None
    settled_at: float | None = None
    """When a stop was acknowledged, after which the worker rejects starts of the run."""


@dataclass(kw_only=True, eq=False)
class Worker:
    """One incarnation of a worker."""

    entry: WorkerEntry
    clock: WorkerClock = field(default_factory=WorkerClock)
    listed_at: float | None = None
    """When the last answered poll of this epoch was sent."""
    answered_at: float = float("-inf")
    """When the last answer to a poll arrived."""
    unanswered_poll_sent_at: float = float("-inf")
    """When the newest poll without an answer was sent, in seconds."""
    lease_until_ms: int = 0
    """The latest lease end that was sent, on the worker's clock."""
    lease_confirmed_at: float = float("-inf")
    """When the newest answered poll that renewed the lease was sent, in seconds."""
    acknowledged_end: int = 0
    """Number of the newest end of a run that is recorded in the log."""
    applied_end: int = 0
    """Number of the newest end of a run that was applied to the owner's state."""
    assignments: dict[tuple[TaskId, int], Assignment] = field(default_factory=dict)
    """Assignments whose end is not known yet, by task and run."""
    orphan_runs: dict[tuple[TaskId, int], OrphanRun] = field(default_factory=dict)
    """Runs without an assignment that may use resources; while there are any, it gets no work."""
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
    _fits: dict[Demand, int] = field(default_factory=dict, repr=False)
    """Cache of `fits`, cleared when the assignments or the entry change."""
    _fits_empty: dict[Demand, int] = field(default_factory=dict, repr=False)
    """Cache of `fits_empty`, cleared when the entry changes."""

    @property
    def name(self) -> str:
        """The worker's name."""
        return self.entry.worker

    @property
    def unanswered(self) -> bool:
        """Whether the newest poll that ended had no answer."""
        return self.unanswered_poll_sent_at > self.answered_at

    @property
    def exclusive(self) -> bool:
        """Whether it is kept for a unit that may crash it."""
        return any(assignment.unit.isolated for assignment in self.assignments.values())

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

    def assign(self, assignment: Assignment) -> None:
        """Add an assignment and reserve its resources."""
        step = assignment.unit.step
        self.assignments[assignment.task, assignment.run] = assignment
        self.used_cpu += step.cpu_millis
        self.used_memory += step.memory_mb
        self.used_accelerators += step.accelerators
        self._fits.clear()

    def unassign(self, assignment: Assignment) -> None:
        """Remove an assignment and release its resources."""
        if self.assignments.pop((assignment.task, assignment.run), None) is None:
            return
        step = assignment.unit.step
        self.used_cpu -= step.cpu_millis
        self.used_memory -= step.memory_mb
        self.used_accelerators -= step.accelerators
        self._fits.clear()

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
            self._fits.clear()
            self._fits_empty.clear()
        self.missing_since = None

    def leased(self, now: float) -> bool:
        """Return whether it surely has a lease on which what is started now can live."""
        return now - self.lease_confirmed_at <= MAX_CONFIRMED_LEASE_AGE_SECONDS

    def leases_expired(self, now: float) -> bool:
        """Return whether every lease that was sent has provably expired."""
        return self.clock.known and self.clock.earliest(now) > self.lease_until_ms


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

        Returns:
            Incarnations that ended because their worker restarted.
        """
        ended: list[Worker] = []
        present = set()
        for entry in entries:
            present.add(entry.worker)
            worker = self._workers.get(entry.worker)
            if worker is None:
                self._workers[entry.worker] = Worker(entry=entry)
            elif entry.incarnation > worker.entry.incarnation:
                ended.append(worker)
                self._workers[entry.worker] = Worker(entry=entry)
            elif entry.incarnation == worker.entry.incarnation:
                # A list that was read anew may hold an older report; a newer drain still holds.
                newest = worker.entry if entry.is_older_than(worker.entry) else entry
                worker.update_entry(newest, now=now)
        for name, worker in self._workers.items():
            if name not in present and worker.missing_since is None:
                worker.missing_since = now
        return ended

    def remove(self, worker: Worker) -> None:
        """Remove a worker, unless a newer incarnation has replaced it."""
        if self._workers.get(worker.name) is worker:
            del self._workers[worker.name]
