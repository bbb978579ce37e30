"""Losses of workers: which work crashes the workers that start it, told by who else was there."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from zinniaweir.workloads.losses import (
    EARLY_LOSS_SECONDS,
    MAX_RECENT_LOSSES,
    MIN_MASS_LOSS,
    SAME_TIME_SECONDS,
    CrashRate,
    crashes_workers,
    survives,
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
        self._by_themselves: deque[tuple[str, float]] = deque(maxlen=MAX_RECENT_LOSSES)
        """Those of the recent losses that count as crashes by themselves."""
        self._crash_rate = CrashRate()

    def watch(self, workers: int, *, now: float) -> None:
        """Record that a number of workers is watched, to learn how often they crash."""
        self._crash_rate.watch(workers, now=now)

    def crashes_workers(self, gang: Gang) -> bool:
        """Return whether a gang is given up, since it crashes its workers."""
        lost = {(loss.worker, loss.at) for loss in gang.losses}
        own = sum(loss in lost for loss in self._by_themselves)
        return crashes_workers(
            gang.losses,
            members=gang.job.shape.members,
            crash_rate=self._crash_rate.per_second(without=own),
        )

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
            if all(gang.seconds_run(alive_at) > EARLY_LOSS_SECONDS for gang, _ in gangs):
                self._crash_rate.add_crash()
                self._by_themselves.append((worker, now))
        sole = len(gangs) == 1 and len(others) < MIN_MASS_LOSS
        for gang, members in gangs:
            lasted = gang.seconds_run(alive_at)
            self.clear_survivors(
                gang, set(range(gang.job.shape.members)) - set(members), seconds=lasted
            )
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

    def clear_survivors(self, gang: Gang, members: Iterable[int], *, seconds: float) -> None:
        """Clear members of earlier losses if their attempt lasted well beyond the lost ones.

        Args:
            gang: The gang, whose newest attempt has no loss yet.
            members: Members whose workers lived on.
            seconds: Time for which the attempt is known to have run.
        """
        cleared = {
            member for member in members if survives(gang.losses, member=member, seconds=seconds)
        }
        gang.losses = tuple(
            replace(loss, members=tuple(m for m in loss.members if m not in cleared))
            for loss in gang.losses
            if not loss.members or not cleared.issuperset(loss.members)
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
        for loss in shared & set(self._by_themselves):
            self._by_themselves.remove(loss)
            self._crash_rate.remove_crash()
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
            lasted_seconds=max(loss.lasted_seconds, new.lasted_seconds),
        )
        if loss.attempt == new.attempt
        else loss
        for loss in losses
    )
