"""Restarted workers: what becomes of the runs and starts of the earlier incarnation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from zinniaweir.dispatch.fleet import Worker

if TYPE_CHECKING:
    from zinniaweir.dispatch.expiry import Expiry
    from zinniaweir.dispatch.fleet import Fleet
    from zinniaweir.dispatch.messages import Listing
    from zinniaweir.dispatch.reporting import Reporter
    from zinniaweir.dispatch.units import Assignment, LateStart


class Succession:
    """Replace an incarnation of a worker by the one that answers instead.

    Calls name a worker by its name, so the next incarnation carries out what was meant for the
    earlier one. Each run of the earlier one is either on the answer's list and goes on there, or
    proved to be gone, or its start may still arrive. In that case the task waits until the next
    incarnation has acknowledged a stop of the run.

    Args:
        fleet: The workers.
        expiry: Ends the runs of the earlier incarnation.
        reporter: Receives log events and counts.
    """

    def __init__(self, *, fleet: Fleet, expiry: Expiry, reporter: Reporter) -> None:
        self._fleet = fleet
        self._expiry = expiry
        self._log = reporter.log
        self._count = reporter.count

    def resolve(
        self, worker: Worker, listing: Listing, *, poll_sent_at: float, now: float
    ) -> Worker | None:
        """Return the incarnation that answered a poll, as known from now on.

        The incarnation that was polled had begun before the poll was sent, and incarnations of a
        worker follow each other. So another one that answers has begun later, whatever start times
        they tell.

        Args:
            worker: The incarnation that was polled.
            listing: The answer.
            poll_sent_at: When the poll was sent, in seconds.
            now: Current time in seconds.

        Returns:
            None if the incarnation that was polled has been replaced or removed meanwhile.
        """
        if self._fleet.get(worker.name) is not worker:
            return None
        if listing.incarnation == worker.incarnation:
            if poll_sent_at >= worker.announced_at:
                worker.withdraw_announcement()
            return worker
        return self._replace(worker, listing, poll_sent_at=poll_sent_at, now=now)

    def _replace(
        self, worker: Worker, listing: Listing, *, poll_sent_at: float, now: float
    ) -> Worker:
        fates = _fates(worker, listing, poll_sent_at=poll_sent_at)
        self._report(worker, listing, fates)
        successor = self._successor(worker, listing, poll_sent_at=poll_sent_at)
        for assignment in fates.moved:
            worker.unassign(assignment)
        self._expiry.end_worker(worker, "worker_born_again", now)
        worker.remove_orphan_runs()
        self._fleet.replace(successor)
        for assignment in fates.moved:
            successor.assign(assignment)
        successor.late_starts |= worker.late_starts
        for start in fates.late:
            successor.add_late_start(start)
        successor.forget_late_starts(now)
        for key, start in successor.late_starts.items():
            if key not in successor.assignments:
                successor.add_orphan_run(key, start.unit)
        return successor

    def _successor(self, worker: Worker, listing: Listing, *, poll_sent_at: float) -> Worker:
        successor = Worker(
            entry=worker.entry,
            unlisted_incarnation=listing.incarnation,
            # A clock that stepped back may give the number of an ended incarnation once more.
            ended_incarnations=(worker.ended_incarnations | {worker.incarnation})
            - {listing.incarnation},
            missing_since=worker.missing_since,
        )
        announced = worker.announced
        if announced is None:
            return successor
        if announced.incarnation == listing.incarnation:
            successor.entry, successor.unlisted_incarnation = announced, None
        elif poll_sent_at >= worker.announced_at:
            successor.ended_incarnations |= {announced.incarnation}
        else:
            successor.announced, successor.announced_at = announced, worker.announced_at
        return successor

    def _report(self, worker: Worker, listing: Listing, fates: _Fates) -> None:
        later = listing.incarnation > worker.incarnation
        self._count("other_incarnations", "later" if later else "earlier")
        self._log(
            "worker_born_again",
            worker=worker.name,
            life=listing.incarnation,
            listed_life=worker.incarnation,
            assigned=len(worker.assignments),
            accepted=len(fates.moved),
            may_arrive=len(fates.late),
            ends=len(listing.ended),
            acknowledged_end=worker.acknowledged_end,
        )


@dataclass(kw_only=True)
class _Fates:
    """What becomes of the assignments of an earlier incarnation; the others are lost with it."""

    moved: list[Assignment]
    """Those that the next incarnation has, or may have begun since the poll was sent.

    Also those whose end may be among the ends that its list leaves out.
    """
    late: list[LateStart]
    """Starts of lost ones that may still arrive at the next incarnation."""


def _fates(worker: Worker, listing: Listing, *, poll_sent_at: float) -> _Fates:
    listed = {(row.task, row.run) for row in (*listing.running, *listing.ended)}
    fates = _Fates(moved=[], late=[])
    for key, assignment in worker.assignments.items():
        settled_at = assignment.settled_at
        late_start = assignment.late_start
        if key in listed or assignment.task in listing.running_tasks:
            fates.moved.append(assignment)
        elif late_start is not None:
            fates.late.append(late_start)
        elif settled_at is not None and (settled_at >= poll_sent_at or listing.more_ends):
            fates.moved.append(assignment)
    return fates
