"""Losses of workers: which work crashes the workers that start it, told by who else was there."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from zinniaweir.workloads.losses import (
    MAX_RECENT_LOSSES,
    MIN_MASS_LOSS,
    SAME_TIME_SECONDS,
    cleared_losses,
    crashes_workers,
)

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
    members: tuple[int, ...] = ()
    """Numbers of the members on the worker, less those cleared since; unknown if it is empty."""
    lasted_seconds: float = 0.0
    """Time for which the attempt is known to have run before the loss."""


class LossRecords:
    """Record the losses of gangs with their workers, and remove those with another explanation."""

    def __init__(self) -> None:
        self._recent: deque[tuple[str, float]] = deque(maxlen=MAX_RECENT_LOSSES)

    def crashes_workers(self, gang: Gang) -> bool:
        """Return whether a gang is given up, since it crashes its workers.

        Once a worker is lost the other members are stopped, so nobody learns whether they would
        have crashed theirs. A loss at a start counts for all of them.
        """
        return crashes_workers([replace(loss, members=()) for loss in gang.losses])

    def record(
        self,
        worker: str,
        gangs: Sequence[tuple[Gang, Sequence[int]]],
        *,
        now: float,
        alive_at: float,
    ) -> bool:
        """Record that a worker is lost.

        Args:
            worker: The worker.
            gangs: The gangs of which members may have run there, with the numbers of these members.
            now: Current time in seconds.
            alive_at: When the worker was last known to be alive, in seconds.

        Returns:
            Whether so many workers are lost at the same time that a wider failure explains it.
        """
        others = {
            name for name, at in self._recent if name != worker and now - at <= SAME_TIME_SECONDS
        }
        if not any(gang.losses for gang, _ in gangs):
            # Otherwise a gang that was lost before explains the loss.
            self._recent.append((worker, now))
        sole = len(gangs) == 1 and len(others) < MIN_MASS_LOSS
        for gang, members in gangs:
            lasted = gang.seconds_run(alive_at)
            self.clear_members(gang, seconds=lasted)
            loss = WorkerLoss(
                attempt=gang.attempt,
                worker=worker,
                at=now,
                sole=sole,
                members=tuple(members),
                lasted_seconds=lasted,
            )
            gang.losses = _add_loss(gang.losses, loss)
        return len(others) >= MIN_MASS_LOSS

    def clear_members(self, gang: Gang, *, seconds: float) -> None:
        """Clear the members of earlier losses that the newest attempt speaks against.

        Args:
            gang: The gang, whose newest attempt has no loss yet.
            seconds: Time for which the attempt is known to have run.
        """
        for member in range(gang.job.shape.members):
            cleared = cleared_losses(gang.losses, member=member, seconds=seconds)
            gang.losses = tuple(
                replace(loss, members=tuple(m for m in loss.members if m != member))
                if loss in cleared
                else loss
                for loss in gang.losses
                if loss not in cleared or len(loss.members) > 1
            )

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


def _add_loss(losses: tuple[WorkerLoss, ...], new: WorkerLoss) -> tuple[WorkerLoss, ...]:
    """Add a loss; an attempt has one, also if it loses several workers in a wider failure."""
    if all(loss.attempt != new.attempt for loss in losses):
        return (*losses, new)
    return tuple(
        replace(
            loss,
            members=tuple(dict.fromkeys((*loss.members, *new.members))),
            lasted_seconds=min(loss.lasted_seconds, new.lasted_seconds),
        )
        if loss.attempt == new.attempt
        else loss
        for loss in losses
    )
