"""Losses of workers: which unit crashes the workers that start it, told by who else was there."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from zinniaweir.workloads.losses import (
    MAX_LOSSES,
    MAX_RECENT_LOSSES,
    MIN_MASS_LOSS,
    OWN_LOSSES_TO_GIVE_UP,
    SAME_TIME_SECONDS,
    cleared_losses,
    crashes_workers,
    is_seen_to_work,
    losses_at_start,
    unexplained_losses,
)
from zinniaweir.workloads.records import LossRecord

if TYPE_CHECKING:
    from zinniaweir.dispatch.fleet import Fleet, Worker
    from zinniaweir.dispatch.reporting import Reporter
    from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit

CULPRIT_FOUND: Final = "culprit_found"
"""Reason for which a loss does not count: a unit that was there too is given up."""
WORKER_RAN_ON: Final = "worker_ran_on"
"""Reason for which a loss does not count: the worker was cut off, and answers again."""
RUN_LASTED: Final = "run_lasted"
"""Reason for which a loss does not count: a later run lasts, and its worker with it."""


class _RecentLoss(NamedTuple):
    """A worker that was lost without a suspect on it."""

    worker: str
    incarnation: int
    at: float
    """When it last answered, in seconds."""


class CrashSuspects:
    """Remember the units that were on lost workers, and find those that crash them.

    A unit takes the innocent units on its worker along, so a single loss tells nothing. Units that
    were lost together are placed apart, a unit with several losses runs alone on its workers, and
    the losses of an innocent one are explained once a unit that shared them is given up, and do not
    count once it is seen to work. The losses are part of a job's progress, so that the next owner
    knows them.

    Args:
        on_changed: Called with each unit whose losses changed.
        reporter: Receives log events and counts.
    """

    def __init__(self, *, on_changed: Callable[[Unit], None], reporter: Reporter) -> None:
        self._on_changed = on_changed
        self._log = reporter.log
        self._count = reporter.count
        self._units: dict[tuple[str, int], dict[Unit, None]] = {}
        self._recent: deque[_RecentLoss] = deque(maxlen=MAX_RECENT_LOSSES)

    def add_job(self, job: OwnedJob) -> None:
        """Add the losses of a job that was read from the log."""
        for unit in job.units:
            for loss in unit.losses:
                self._units.setdefault((loss.worker, loss.incarnation), {})[unit] = None

    def remove_job(self, job: OwnedJob) -> None:
        """Remove the losses of a job that is not retained any more."""
        for unit in job.units:
            self._discard(unit, unit.losses)

    def record_worker(self, worker: Worker) -> None:
        """Record that a worker is lost, whether or not anything ran there."""
        if _hosts_suspect(worker):
            return
        self._recent.append(_RecentLoss(worker.name, worker.incarnation, at=worker.answered_at))

    def record(
        self, assignments: Sequence[Assignment], *, worker: Worker | None, fleet: Fleet
    ) -> list[Unit]:
        """Record the runs that are lost with one worker.

        Args:
            assignments: The runs on the worker, including starts that may have arrived.
            worker: The worker, None if this owner never knew it.
            fleet: All workers, which may have been lost at the same time.

        Returns:
            The units that are to be given up.
        """
        units: dict[Unit, list[Assignment]] = {}
        for assignment in assignments:
            if not assignment.unit.job.closed:
                units.setdefault(assignment.unit, []).append(assignment)
        if not units or (worker is not None and worker.entry.draining):
            return []
        others: set[str] = set()
        if worker is not None:
            # A gang crashes several workers at once.
            hosts = {a.worker for unit in units for a in unit.assignments.values()}
            others = self._lost_at_the_same_time(worker, fleet) - hosts
        # Without a list of its own, this owner cannot tell what else was there.
        listed = worker is not None and worker.listed_at is not None
        sole = listed and len(units) == 1 and len(others) < MIN_MASS_LOSS
        for unit, lost in units.items():
            members = tuple(assignment.index for assignment in lost)
            lasted = min(_lasted_seconds(assignment, worker) for assignment in lost)
            if any(loss.run == unit.run for loss in unit.losses):
                # One loss for each run: a gang loses several workers if a failure domain fails.
                self._add_members(unit, members, lasted)
                continue
            loss = LossRecord(
                unit.run,
                lost[0].worker,
                lost[0].incarnation,
                sole,
                members=members,
                lasted_seconds=lasted,
            )
            self._discard(unit, unit.losses[: 1 - MAX_LOSSES])
            unit.losses = (*unit.losses[1 - MAX_LOSSES :], loss)
            self._units.setdefault((loss.worker, loss.incarnation), {})[unit] = None
            self._on_changed(unit)
            self._count("losses", "sole_unit" if sole else "shared")
            self._log(
                "unit_lost",
                job_id=unit.job.job_id,
                step=unit.step_number,
                first=unit.indexes[0],
                members=members,
                run=unit.run,
                worker=loss.worker,
                lasted=round(lasted, 3),
                losses=len(unit.losses),
                units_there=len(units),
                lost_at_the_same_time=len(others),
            )
        return [
            unit
            for unit in units
            # Few losses prove nothing whatever the unit's siblings did, of which there may be many.
            if len(losses_at_start(unit.losses)) >= OWN_LOSSES_TO_GIVE_UP
            and crashes_workers(unit.losses, lost_by_alike=_lost_by_siblings(unit, fleet))
        ]

    def clear_survivor(self, assignment: Assignment, *, now: float) -> None:
        """Clear a task of the losses of its unit that its run speaks against.

        Args:
            assignment: The task's assignment, which its worker has.
            now: Time at which the worker had it, in seconds.
        """
        unit, index = assignment.unit, assignment.index
        if len(unit.assignments) < len(unit.indexes):
            # What is left of a gang waits for its end.
            return
        cleared = cleared_losses(
            unit.losses, member=index, seconds=_seconds_worked(unit, until=now)
        )
        if not cleared:
            return
        remaining = []
        for loss in unit.losses:
            if loss not in cleared:
                remaining.append(loss)
                continue
            members = tuple(member for member in loss.members if member != index)
            if members:
                remaining.append(msgspec.structs.replace(loss, members=members))
            else:
                self._discard(unit, [loss])
        self._change(unit, remaining, worker=assignment.worker, reason=RUN_LASTED)

    def clear_worker(self, worker: str, incarnation: int) -> None:
        """Remove the losses on a worker that ran on and answers again."""
        for unit in self._units.pop((worker, incarnation), ()):
            remaining = (loss for loss in unit.losses if not _is_on(loss, worker, incarnation))
            self._change(unit, remaining, worker=worker, reason=WORKER_RAN_ON)

    def explain(self, culprit: Unit) -> None:
        """Mark the losses that other units shared with a unit that is given up."""
        for worker, incarnation in {(loss.worker, loss.incarnation) for loss in culprit.losses}:
            for recent in list(self._recent):
                if (recent.worker, recent.incarnation) == (worker, incarnation):
                    self._recent.remove(recent)
            for unit in self._units.get((worker, incarnation), ()):
                if unit is culprit:
                    continue
                marked = (
                    msgspec.structs.replace(loss, explained=True)
                    if _is_on(loss, worker, incarnation)
                    else loss
                    for loss in unit.losses
                )
                self._change(unit, marked, worker=worker, reason=CULPRIT_FOUND)

    def forget(self, unit: Unit) -> None:
        """Remove all losses of a unit that is done, which shows that it crashes no worker."""
        self._discard(unit, unit.losses)
        unit.losses = ()

    def apart_from(self, unit: Unit) -> set[str]:
        """Return the workers of units of other jobs that were lost together with a unit."""
        workers: set[str] = set()
        for loss in unit.losses:
            for other in self._units.get((loss.worker, loss.incarnation), ()):
                if other.job is not unit.job:
                    workers.update(a.worker for a in other.assignments.values())
        return workers

    def _lost_at_the_same_time(self, worker: Worker, fleet: Iterable[Worker]) -> set[str]:
        """Return the workers that stopped answering at the same time as a lost one.

        Those with a unit that was lost before are left out, since that unit explains their loss.
        """
        lost = {loss.worker for loss in self._recent if _same_time(loss.at, worker.answered_at)}
        lost |= {
            other.name
            for other in fleet
            if other.unanswered
            and not _hosts_suspect(other)
            and _same_time(other.answered_at, worker.answered_at)
        }
        return lost - {worker.name}

    def _add_members(self, unit: Unit, members: tuple[int, ...], lasted: float) -> None:
        """Add tasks whose workers were lost in a run of which a worker was lost before."""
        unit.losses = tuple(
            msgspec.structs.replace(
                loss,
                members=tuple(dict.fromkeys((*loss.members, *members))),
                lasted_seconds=min(loss.lasted_seconds, lasted),
            )
            if loss.run == unit.run
            else loss
            for loss in unit.losses
        )
        self._on_changed(unit)

    def _change(
        self, unit: Unit, losses: Iterable[LossRecord], *, worker: str, reason: str
    ) -> None:
        """Replace the losses of a unit, since the one on a worker does not count any more."""
        unit.losses = tuple(losses)
        self._on_changed(unit)
        self._count("losses_cleared", reason)
        self._log(
            "unit_loss_cleared",
            job_id=unit.job.job_id,
            step=unit.step_number,
            first=unit.indexes[0],
            worker=worker,
            losses=unexplained_losses(unit.losses),
            reason=reason,
        )

    def _discard(self, unit: Unit, losses: Iterable[LossRecord]) -> None:
        for loss in losses:
            key = (loss.worker, loss.incarnation)
            units = self._units.get(key, {})
            units.pop(unit, None)
            if not units:
                self._units.pop(key, None)


def _is_on(loss: LossRecord, worker: str, incarnation: int) -> bool:
    return loss.worker == worker and loss.incarnation == incarnation


def _lasted_seconds(assignment: Assignment, worker: Worker | None) -> float:
    """Return for how long a run on a lost worker is known to have lasted."""
    if worker is None or worker.listed_at is None:
        return 0.0
    return _seconds_worked(assignment.unit, until=worker.alive_at)


def _seconds_worked(unit: Unit, *, until: float) -> float:
    """Return for how long the newest run of a unit is known to have worked at a time."""
    return 0.0 if unit.began_at is None else max(0.0, until - unit.began_at)


def _lost_by_siblings(unit: Unit, fleet: Fleet) -> int:
    """Return the number of other workers that were lost at a start of a unit's siblings.

    The units of a step are alike, so none counts if any of them was seen to work.
    """
    siblings = [other for other in unit.job.units if other.step_number == unit.step_number]
    if any(_works(other, fleet) for other in siblings):
        return 0
    own = {(loss.worker, loss.incarnation) for loss in unit.losses}
    lost = {
        (loss.worker, loss.incarnation)
        for other in siblings
        for loss in losses_at_start(other.losses)
        if not loss.explained
    }
    return len(lost - own)


def _works(unit: Unit, fleet: Fleet) -> bool:
    """Return whether a unit is done, or a run of it that is known now was seen to work."""
    workers = (fleet.get(assignment.worker) for assignment in unit.assignments.values())
    lasted = [loss.lasted_seconds for loss in unit.losses]
    lasted += [_seconds_worked(unit, until=w.alive_at) for w in workers if w is not None]
    return unit.done or any(is_seen_to_work(seconds) for seconds in lasted)


def _hosts_suspect(worker: Worker) -> bool:
    """Return whether a unit that was lost with another worker before may have run on a worker."""
    return any(a.unit.losses and a.may_have_run for a in worker.assignments.values())


def _same_time(first: float, second: float) -> bool:
    return abs(first - second) <= SAME_TIME_SECONDS
