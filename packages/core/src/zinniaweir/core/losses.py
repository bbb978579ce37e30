"""Losses of workers: which work crashes the workers that start it, told by who else was there."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from zinniaweir.workloads.losses import MAX_RECENT_LOSSES, MIN_MASS_LOSS, SAME_TIME_SECONDS

if TYPE_CHECKING:
    from zinniaweir.core.gangs import Gang


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerLoss:
    """An attempt of a gang that was lost with a worker."""

    attempt: int
    worker: str
    at: float
    """Time of the loss in seconds; with the worker, it identifies the loss among gangs."""
    sole: bool
    explained: bool = False


class LossRecords:
    """Record the losses of gangs with their workers, and remove those with another explanation."""

    def __init__(self) -> None:
        self._recent: deque[tuple[str, float]] = deque(maxlen=MAX_RECENT_LOSSES)

    def record(self, worker: str, gangs: Sequence[Gang], *, now: float) -> bool:
        """Record that a worker is lost.

        Args:
            worker: The worker.
            gangs: The gangs of which a member may have run there.
            now: Current time in seconds.

        Returns:
            Whether so many workers are lost at the same time that a wider failure explains it.
        """
        others = {
            name for name, at in self._recent if name != worker and now - at <= SAME_TIME_SECONDS
        }
        if not any(gang.losses for gang in gangs):
            # Otherwise a gang that was lost before explains the loss.
            self._recent.append((worker, now))
        sole = len(gangs) == 1 and len(others) < MIN_MASS_LOSS
        for gang in gangs:
            # One loss for each attempt: a gang loses several workers if a failure domain fails.
            if all(loss.attempt != gang.attempt for loss in gang.losses):
                loss = WorkerLoss(attempt=gang.attempt, worker=worker, at=now, sole=sole)
                gang.losses = (*gang.losses, loss)
        return len(others) >= MIN_MASS_LOSS

    def mark_shared(self, gangs: Iterable[Gang], *, now: float) -> None:
        """Mark the losses of this time as shared, since workers are lost one after the other."""
        for gang in gangs:
            gang.losses = tuple(
                replace(loss, sole=False) if now - loss.at <= SAME_TIME_SECONDS else loss
                for loss in gang.losses
            )

    def clear(self, worker: str, gangs: Iterable[Gang]) -> None:
        """Remove the newest losses on a worker that ran on and answers again."""
        for gang in gangs:
            if gang.losses and gang.losses[-1].worker == worker:
                gang.losses = gang.losses[:-1]

    def explain(self, culprit: Gang, gangs: Iterable[Gang]) -> None:
        """Mark the losses that other gangs shared with one that is given up."""
        shared = {(loss.worker, loss.at) for loss in culprit.losses}
        for gang in gangs:
            if gang is not culprit and gang.losses:
                gang.losses = tuple(
                    replace(loss, explained=True) if (loss.worker, loss.at) in shared else loss
                    for loss in gang.losses
                )
