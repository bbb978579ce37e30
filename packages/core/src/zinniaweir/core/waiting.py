"""The queue of waiting jobs, grouped into classes.

If the first job of a class cannot start, no other job of the class can.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from zinniaweir.core.gangs import Gang
from zinniaweir.core.job import Priority
from zinniaweir.core.shape import Shape

ClassKey = tuple[str, Priority, Shape, bool, frozenset[str], str]
"""Customer, priority, shape, whether the job is reclaimable, and workers on which it failed.

A job that was lost with a worker is a class of its own, named by its id.
"""


@dataclass(slots=True, eq=False)
class WaitingClass:
    """Waiting jobs with the same key, in order of deadline and time of submission."""

    key: ClassKey
    entries: SortedList = field(default_factory=SortedList)
    """Deadline, time of submission, sequence and job id."""
    blocked_version: int = -1
    """Version of the capacity at which the first job could not start, or -1."""

    @property
    def head(self) -> str:
        """Job id of the first job."""
        return self.entries[0][3]


class WaitingQueue:
    """All waiting jobs, by class."""

    def __init__(self) -> None:
        self._classes: dict[ClassKey, WaitingClass] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, gang: Gang) -> WaitingClass:
        """Add a job and return its class."""
        key = class_key(gang)
        found = self._classes.get(key)
        if found is None:
            found = self._classes[key] = WaitingClass(key)
        found.entries.add(_entry(gang))
        self._count += 1
        return found

    def discard(self, gang: Gang) -> None:
        """Remove a job if it is in the queue."""
        key = class_key(gang)
        found = self._classes.get(key)
        if found is None or _entry(gang) not in found.entries:
            return
        found.entries.remove(_entry(gang))
        self._count -= 1
        if not found.entries:
            del self._classes[key]

    def classes(self) -> Iterator[WaitingClass]:
        """Return all classes that have a job."""
        return iter(self._classes.values())

    def unblocked(self, version: int, rank: Callable[[str], tuple]) -> list[tuple]:
        """Return rank, tie-breaker and class of the classes that may start a job, unsorted.

        Args:
            version: Version of the capacity; classes that were blocked at it are left out.
            rank: Returns the sort key of a job id.
        """
        return [
            (rank(found.head), number, found)
            for number, found in enumerate(self._classes.values())
            if found.blocked_version != version
        ]


def class_key(gang: Gang) -> ClassKey:
    """Return the key of the class of a job."""
    job = gang.job
    failed = frozenset(gang.failed_workers)
    own_class = job.job_id if gang.losses else ""
    return (job.customer, job.priority, job.shape, job.reclaimable, failed, own_class)


def _entry(gang: Gang) -> tuple[float, float, int, str]:
    job = gang.job
    deadline = math.inf if job.deadline is None else job.deadline
    return (deadline, job.submitted_at, gang.sequence, job.job_id)
