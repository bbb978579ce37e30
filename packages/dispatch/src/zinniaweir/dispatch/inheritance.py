"""Seats of a former owner on workers that this owner has not met."""

from __future__ import annotations

from collections.abc import Iterator

from zinniaweir.dispatch.messages import TaskId
from zinniaweir.dispatch.units import Assignment


class Inheritance:
    """Keep seats until their worker is met, or until every lease has certainly lapsed.

    Args:
        until: When the last lease that a former owner can have renewed has lapsed, in seconds.
    """

    def __init__(self, *, until: float) -> None:
        self._until = until
        self._assignments: dict[str, dict[tuple[TaskId, int], Assignment]] = {}

    def lapsed(self, now: float) -> bool:
        """Return whether no lease of a former owner is left."""
        return now >= self._until

    def add(self, assignment: Assignment) -> None:
        """Keep a seat."""
        self._assignments.setdefault(assignment.worker, {})[assignment.task, assignment.run] = (
            assignment
        )

    def take(self, worker: str, incarnation: int) -> Iterator[Assignment]:
        """Return and drop the seats on a worker's present life and on its earlier ones.

        Args:
            worker: The worker.
            incarnation: Its present life.
        """
        assignments = self._assignments.get(worker)
        if assignments is None:
            return
        for key, assignment in list(assignments.items()):
            if assignment.incarnation <= incarnation:
                del assignments[key]
                yield assignment
        if not assignments:
            del self._assignments[worker]

    def take_lapsed(self, now: float) -> Iterator[Assignment]:
        """Return and drop all seats once every lease has lapsed."""
        if not self.lapsed(now):
            return
        assignments, self._assignments = self._assignments, {}
        for group in assignments.values():
            yield from group.values()
