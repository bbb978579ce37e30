"""Departing workers: which of their runs cannot end in time and are moved to other workers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Final

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.units import Assignment, Unit

DEPARTURE_MARGIN_SECONDS: Final = 0.5
"""A run that is expected to end this much after its worker's departure may still end in time.

A worker may stay a little longer than announced, and expected ends are estimates.
"""


def seconds_after_notice(assignment: Assignment, worker: Worker) -> float | None:
    """Return the longest time after its worker's notice after which a run can have begun.

    Args:
        assignment: A run of this owner.
        worker: Its worker.

    Returns:
        None if it began before the worker said that it drains, or if that is not known.
    """
    if worker.drain_reported_ms is None or assignment.started_at is None or assignment.inherited:
        return None
    began_ms = worker.clock.latest(assignment.started_at)
    if began_ms <= worker.drain_reported_ms:
        return None
    return (began_ms - worker.drain_reported_ms) / 1e3


def units_to_move(
    workers: Iterable[Worker], *, expected_end: Callable[[Assignment], float]
) -> Iterator[Unit]:
    """Yield the units that have a run on a departing worker which cannot end there.

    The run ends with its worker, and with it the whole gang, so whatever it works until then is
    lost. Moved at once, it ends earlier and less work is lost.

    Args:
        workers: All workers.
        expected_end: Returns when a run is expected to end, in seconds.
    """
    for worker in workers:
        if worker.departs_at is None:
            continue
        latest_end = worker.departs_at + DEPARTURE_MARGIN_SECONDS
        for assignment in list(worker.assignments.values()):
            if not assignment.stop_reason and expected_end(assignment) > latest_end:
                yield assignment.unit
