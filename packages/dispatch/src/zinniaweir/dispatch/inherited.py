"""Assignments of a previous owner on workers that are not in the fleet yet."""

from __future__ import annotations

from collections.abc import Iterator

from zinniaweir.dispatch.messages import TaskId
from zinniaweir.dispatch.units import Assignment


class InheritedAssignments:
    """Assignments that are kept until their worker is known or every lease has provably expired.

    Args:
        expires_at: When the last lease that a previous owner can have renewed expires, in seconds.
    """

    def __init__(self, *, expires_at: float) -> None:
        self._expires_at = expires_at
        self._assignments: dict[str, dict[tuple[TaskId, int], Assignment]] = {}

    def leases_expired(self, now: float) -> bool:
        """Return whether every lease of a previous owner has expired."""
        return now >= self._expires_at

    def __iter__(self) -> Iterator[Assignment]:
        return (found for group in self._assignments.values() for found in group.values())

    def add(self, assignment: Assignment) -> None:
        """Add an assignment."""
        self._assignments.setdefault(assignment.worker, {})[assignment.task, assignment.run] = (
            assignment
        )

    def pop_for_worker(self, worker: str) -> list[Assignment]:
        """Remove and return the assignments to all incarnations of a worker.

        Args:
            worker: Name of the worker.
        """
        return list(self._assignments.pop(worker, {}).values())

    def pop_expired(self, now: float) -> Iterator[list[Assignment]]:
        """Yield and remove the assignments of each worker once every lease has expired."""
        if not self.leases_expired(now):
            return
        assignments, self._assignments = self._assignments, {}
        for group in assignments.values():
            yield list(group.values())
