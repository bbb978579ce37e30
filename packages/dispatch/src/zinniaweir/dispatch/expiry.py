"""What ends by time: leases of lost workers, and gangs whose members did not all start."""

from __future__ import annotations

from typing import Final

from zinniaweir.dispatch.fleet import (
    MAX_SILENCE_SECONDS,
    REMOVE_MISSING_SECONDS,
    Fleet,
    Worker,
)
from zinniaweir.dispatch.health import WorkerHealth
from zinniaweir.dispatch.inherited import InheritedAssignments
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.runs import Runs

GANG_START_TIMEOUT_SECONDS: Final = 2.0
"""Time for all members of a gang to start, after which the dispatcher stops the gang.

Workers end an incomplete gang by themselves one second later.
"""


class Expiry:
    """End the runs of lost workers, and stop incomplete gangs.

    Args:
        fleet: The workers.
        inherited: Assignments of a previous owner on workers that are not in the fleet yet.
        runs: The runs.
        health: Health of the workers.
        reporter: Receives log events.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        inherited: InheritedAssignments,
        runs: Runs,
        health: WorkerHealth,
        reporter: Reporter,
    ) -> None:
        self._fleet = fleet
        self._inherited = inherited
        self._runs = runs
        self._health = health
        self._log = reporter.log

    def apply(self, now: float) -> None:
        """End what has expired.

        Args:
            now: Current time in seconds.
        """
        for assignments in self._inherited.pop_expired(now):
            self._runs.end_lost(assignments, worker=None, cause="lease_over", now=now)
        for worker in list(self._fleet):
            self._expire_worker(worker, now)
            self._stop_partial_gangs(worker, now)

    def _expire_worker(self, worker: Worker, now: float) -> None:
        silent = now - worker.answered_at > MAX_SILENCE_SECONDS
        # An owner that was paused asks first: the worker may have ends to report.
        asked_at = worker.unanswered_poll_sent_at
        occupied = worker.assignments or worker.orphan_runs
        if silent and occupied and self._leases_expired(worker, asked_at):
            worker.remove_orphan_runs()
            self._runs.end_lost(
                list(worker.assignments.values()), worker=worker, cause="lease_over", now=now
            )
        missing = (
            worker.missing_since is not None and now - worker.missing_since > REMOVE_MISSING_SECONDS
        )
        if missing and silent and worker.idle:
            self.end_worker(worker, "missing_and_silent", now)
            self._fleet.remove(worker)

    def _leases_expired(self, worker: Worker, now: float) -> bool:
        """Return whether every lease of a worker has expired, including a previous owner's."""
        # An orphan run may be on a lease of a previous owner.
        inherited = bool(worker.orphan_runs) or any(
            assignment.inherited for assignment in worker.assignments.values()
        )
        if worker.listed_at is None or inherited:
            if not self._inherited.leases_expired(now):
                return False
            return not worker.clock.known or worker.leases_expired(now)
        return worker.leases_expired(now)

    def _stop_partial_gangs(self, worker: Worker, now: float) -> None:
        """Stop the gangs on a worker whose members have not all started in time."""
        for assignment in list(worker.assignments.values()):
            late = (
                assignment.first_sent_at is not None
                and now - assignment.first_sent_at > GANG_START_TIMEOUT_SECONDS
            )
            if (
                late
                and not (assignment.started or assignment.stop_reason)
                and len(assignment.unit.indexes) > 1
            ):
                self._runs.stop_unit(assignment.unit, "gang_incomplete", now)

    def end_worker(self, worker: Worker, cause: str, now: float) -> None:
        """End all runs of a worker's incarnation that has ended.

        Args:
            worker: The incarnation.
            cause: How its end is known, for the log.
            now: Current time in seconds.
        """
        self._log("worker_lost", worker=worker.name, cause=cause, seats=len(worker.assignments))
        self._health.discard(worker.name)
        self._runs.end_lost(list(worker.assignments.values()), worker=worker, cause=cause, now=now)
