"""Losses of workers: when work is given up, since it crashes the workers that start it."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import Final, Protocol

LOSSES_TO_ISOLATE: Final = 2
"""Unexplained losses of one member after which work runs alone on its workers.

The next loss then tells whether it is at fault, and takes nothing else along.
"""
SOLE_LOSSES_TO_GIVE_UP: Final = {3: 2, 4: 1}
"""By the number of unexplained losses: how many of them have to be sole ones to give work up."""
MAX_LOSSES: Final = 5
"""Losses with which work is given up even if other explanations are possible.

Two starts after the third crash are still allowed on the users' platform.
"""
MIN_UNEXPLAINED_LOSSES: Final = 2
"""Work with fewer unexplained losses is not given up, however many there are."""
MAX_CHANCE: Final = 1e-5
"""Work is not given up if its losses are at least this likely for work that harms no worker."""
EARLY_LOSS_SECONDS: Final = 1.0
"""A run that is not known to have lasted longer was lost at its start, which it may have caused."""
SURVIVAL_FACTOR: Final = 2.0
"""A member is cleared by a run that lasts this many times as long as its lost ones, and longer."""
SURVIVAL_MARGIN_SECONDS: Final = 5.0
"""Time by which a run must last longer, since crashes are not equally late each time."""
SAME_TIME_SECONDS: Final = 2.0
"""Workers that are lost within this time of each other may have one cause."""
MIN_MASS_LOSS: Final = 2
"""Number of other workers that are lost at the same time, from which work is not suspected."""
MAX_RECENT_LOSSES: Final = 64
"""Number of lost workers that are remembered to recognize those of one time."""
PRIOR_CRASHES: Final = 0.1
"""Crashes that are assumed before any worker was watched."""
PRIOR_WORKER_SECONDS: Final = 360.0
"""Time over which these crashes are assumed, in seconds of one worker."""


class Loss(Protocol):
    """An attempt that was lost with a worker."""

    @property
    def sole(self) -> bool:
        """Whether nothing else can explain the loss: no other work there, no wider failure."""

    @property
    def explained(self) -> bool:
        """Whether other work that was there turned out to crash workers."""

    @property
    def members(self) -> Sequence[int]:
        """Members whose workers were lost, less those cleared since; empty if they are unknown."""

    @property
    def lasted_seconds(self) -> float:
        """Time for which the attempt is known to have run before the loss."""


class CrashRate:
    """Estimate how often workers crash by themselves."""

    def __init__(self) -> None:
        self._watched_until: float | None = None
        self._worker_seconds = PRIOR_WORKER_SECONDS
        self._crashes = PRIOR_CRASHES

    def per_second(self, *, without: int = 0) -> float:
        """Return the number of crashes in a second of one worker.

        Args:
            without: Crashes to leave out, since the work that is judged was there.
        """
        return max(PRIOR_CRASHES, self._crashes - without) / self._worker_seconds

    def watch(self, workers: int, *, now: float) -> None:
        """Add the time since the last call, in which a number of workers was watched."""
        if self._watched_until is not None:
            self._worker_seconds += workers * max(0.0, now - self._watched_until)
        self._watched_until = now

    def add_crash(self) -> None:
        """Add the crash of a worker on which nothing was suspected, or at its start."""
        self._crashes += 1.0

    def remove_crash(self) -> None:
        """Remove a crash that turned out to be the fault of work."""
        self._crashes = max(PRIOR_CRASHES, self._crashes - 1.0)


def unexplained_losses(losses: Iterable[Loss]) -> int:
    """Return the largest number of losses without a known reason that have one cause in the work.

    The cause is one member, which had them all, or the start of a gang.
    """
    unexplained = [loss for loss in losses if not loss.explained]
    by_member = max(len(_losses_of(member, unexplained)) for member in _members(unexplained))
    return max(by_member, len(_losses_at_start(unexplained)))


def crashes_workers(losses: Sequence[Loss], *, members: int, crash_rate: float) -> bool:
    """Return whether work with these losses is given up, since it crashes its workers.

    A task that crashes workers crashes each one that starts it. So the losses of a gang count only
    if one member can explain them, and they have to be too many for the time that its runs lasted.

    Args:
        losses: The losses of the work.
        members: Number of its members.
        crash_rate: Crashes of workers in general, per second of one worker.
    """
    return any(
        _is_culprit(_losses_of(member, losses), members=members, crash_rate=crash_rate)
        for member in _members(losses)
    ) or _fails_at_its_start(losses, members=members, crash_rate=crash_rate)


def survives(losses: Iterable[Loss], *, member: int, seconds: float) -> bool:
    """Return whether a run clears a member, since it lasts well beyond those that were lost.

    Args:
        losses: The losses of the member's work.
        member: The member.
        seconds: Time for which the run is known to have lasted.
    """
    longest = max((loss.lasted_seconds for loss in _losses_of(member, losses)), default=0.0)
    return seconds >= SURVIVAL_FACTOR * longest + SURVIVAL_MARGIN_SECONDS


def _members(losses: Iterable[Loss]) -> set[int]:
    """Return the members that may be at fault; any one stands for all if none is known."""
    return {member for loss in losses for member in loss.members} or {0}


def _losses_of(member: int, losses: Iterable[Loss]) -> list[Loss]:
    """Return the losses that a member can explain."""
    return [loss for loss in losses if member in loss.members or not loss.members]


def _losses_at_start(losses: Iterable[Loss]) -> list[Loss]:
    """Return the losses at the start of a run, whichever member they were of."""
    return [loss for loss in losses if loss.lasted_seconds <= EARLY_LOSS_SECONDS]


def _is_culprit(losses: Sequence[Loss], *, members: int, crash_rate: float) -> bool:
    """Return whether losses that one member can explain are proof against it."""
    unexplained = [loss for loss in losses if not loss.explained]
    count = len(unexplained)
    if len(losses) >= MAX_LOSSES:
        enough = count >= MIN_UNEXPLAINED_LOSSES
    else:
        needed = SOLE_LOSSES_TO_GIVE_UP.get(count)
        enough = needed is not None and sum(loss.sole for loss in losses) >= needed
    seconds = sum(loss.lasted_seconds for loss in unexplained)
    # Any of the members could have had as many.
    return enough and members * _chance(count, crash_rate * seconds) < MAX_CHANCE


def _fails_at_its_start(losses: Sequence[Loss], *, members: int, crash_rate: float) -> bool:
    """Return whether work lost a worker at each of its starts, if not always of one member."""
    at_start = _losses_at_start(losses)
    count = sum(not loss.explained for loss in at_start)
    if len(at_start) < max(MAX_LOSSES, len(losses)) or count < MIN_UNEXPLAINED_LOSSES:
        return False
    return _chance(count, crash_rate * count * members * EARLY_LOSS_SECONDS) < MAX_CHANCE


def _chance(count: int, expected: float) -> float:
    """Return an upper bound on the probability of that many events, by a Poisson distribution."""
    return expected**count / math.factorial(count)
