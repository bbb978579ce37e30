"""Units of a job that run first, to show that the others crash no worker."""

from __future__ import annotations

from collections.abc import Iterable

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.units import OwnedJob, Unit
from zinniaweir.workloads.losses import is_seen_to_work


class Canaries:
    """One unit of each job that lost workers, chosen for one planning pass.

    Units of a job are alike. If one was lost with its worker, and none has run well since, the one
    with the most losses runs first.

    Args:
        workers: Workers that may receive work now.
    """

    def __init__(self, workers: Iterable[Worker]) -> None:
        self._workers = {worker.name: worker for worker in workers}
        self._chosen: dict[str, Unit | None] = {}
        self._running_well: dict[str, bool] = {}

    def holds_back(self, unit: Unit) -> bool:
        """Return whether a unit waits until another of its job shows that they crash no worker."""
        job = unit.job
        if job.job_id not in self._chosen:
            self._chosen[job.job_id] = _choose_canary(job)
        canary = self._chosen[job.job_id]
        if canary is None or canary is unit:
            return False
        return unit.isolated or not self._runs_well(job)

    def _runs_well(self, job: OwnedJob) -> bool:
        """Return whether a unit of a job is done, or has run without harm to its workers."""
        found = self._running_well.get(job.job_id)
        if found is None:
            found = self._running_well[job.job_id] = self._find_running_well(job)
        return found

    def _find_running_well(self, job: OwnedJob) -> bool:
        if any(unit.done for unit in job.units):
            return True
        for assignment in job.assignments:
            worker = self._workers.get(assignment.worker)
            if (
                worker is not None
                and assignment.started_at is not None
                and is_seen_to_work(worker.alive_at - assignment.started_at)
            ):
                return True
        return False


def _choose_canary(job: OwnedJob) -> Unit | None:
    """Return the unit of a job that was lost with its workers most often, None if none was."""
    lost = [unit for unit in job.units if unit.losses and not unit.done]
    return max(lost, key=lambda unit: len(unit.losses), default=None)
