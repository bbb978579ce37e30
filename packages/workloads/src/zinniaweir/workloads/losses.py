"""Losses of workers: which work crashes the workers that start it, and which is seen to work."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final, Protocol, TypeVar

LOSSES_TO_ISOLATE: Final = 2
"""Unexplained losses of one member after which work runs alone on its workers.

The next loss then tells whether it is at fault, and takes nothing else along.
"""
STARTS_TO_ISOLATE: Final = 3
"""Losses at the start of one member, explained or not, after which work runs alone too."""
LOSSES_TO_GIVE_UP: Final = 5
"""Losses at the start of one member with which work is given up.

Two starts after the third crash are the last ones that the users' platform allows.
"""
OWN_LOSSES_TO_GIVE_UP: Final = 3
"""The same, if work that is alike lost the other workers and none of it was seen to work."""
MIN_UNEXPLAINED_LOSSES: Final = 2
"""Work with fewer unexplained losses is not given up, however many there are."""
START_SECONDS: Final = 1.0
"""A run that is not known to have lasted longer was lost at its start, which it may have caused."""
SURVIVAL_FACTOR: Final = 2.0
"""A member is cleared by a run that lasts this many times as long as its lost ones, and longer."""
SURVIVAL_MARGIN_SECONDS: Final = 5.0
"""Time by which a run must last longer, since crashes are not equally late each time."""
SAME_TIME_SECONDS: Final = 2.0
"""Workers that are lost within this time of each other may have one cause."""
MIN_MASS_LOSS: Final = 2
"""Number of other workers lost at the same time, from which a wider failure may explain a loss."""
MAX_LOSSES: Final = 32
"""Number of losses that are remembered of one task or gang, so that its record stays small.

Work is given up after far fewer, and losses of sound work do not count for that.
"""
MAX_RECENT_LOSSES: Final = 64
"""Number of lost workers that are remembered to recognize those of one time."""


class Loss(Protocol):
    """An attempt that was lost with a worker."""

    @property
    def explained(self) -> bool:
        """Whether other work that was there turned out to crash workers."""

    @property
    def members(self) -> Sequence[int]:
        """Members whose workers were lost, less those cleared since; empty if they are unknown."""

    @property
    def lasted_seconds(self) -> float:
        """Time for which the attempt is known to have run before the loss."""


LossT = TypeVar("LossT", bound=Loss)


def is_seen_to_work(seconds: float) -> bool:
    """Return whether a run of a known duration shows that its start crashes no worker."""
    return seconds > START_SECONDS


def losses_at_start(losses: Iterable[LossT]) -> list[LossT]:
    """Return the losses at the start of a run, whichever member they were of."""
    return [loss for loss in losses if not is_seen_to_work(loss.lasted_seconds)]


def unexplained_losses(losses: Iterable[Loss]) -> int:
    """Return the largest number of losses without a known reason that have one cause in the work.

    The cause is one member, which had them all, or the start of a gang.
    """
    unexplained = [loss for loss in losses if not loss.explained]
    by_member = max(len(_losses_of(member, unexplained)) for member in _members(unexplained))
    return max(by_member, len(losses_at_start(unexplained)))


def needs_isolation(losses: Sequence[Loss]) -> bool:
    """Return whether work runs where nothing else does, since it may crash its workers."""
    at_start = losses_at_start(losses)
    lost_starts = max(len(_losses_of(member, at_start)) for member in _members(at_start))
    return unexplained_losses(losses) >= LOSSES_TO_ISOLATE or lost_starts >= STARTS_TO_ISOLATE


def crashes_workers(losses: Iterable[Loss], *, lost_by_alike: int = 0) -> bool:
    """Return whether work with these losses is given up, since it crashes its workers.

    A task that crashes workers crashes each one that starts it. So losses count together only if
    one member can explain them all, and only if no run of that member was seen to work: workers
    crash under sound work too, any number of times.

    Args:
        losses: The losses of the work.
        lost_by_alike: Number of other workers that were lost at a start of work that is alike,
            0 if any of it was seen to work.
    """
    at_start = losses_at_start(losses)
    return any(
        _is_culprit(_losses_of(member, at_start), lost_by_alike) for member in _members(at_start)
    )


def cleared_losses(losses: Iterable[LossT], *, member: int, seconds: float) -> list[LossT]:
    """Return the losses of which a run clears a member.

    Those at a start do not count once the member is seen to work, and the others once it runs well
    beyond them.

    Args:
        losses: The losses of the member's work.
        member: The member.
        seconds: Time for which the run is known to have lasted.
    """
    own = [loss for loss in losses if member in loss.members]
    longest = max((loss.lasted_seconds for loss in own), default=0.0)
    if seconds >= SURVIVAL_FACTOR * longest + SURVIVAL_MARGIN_SECONDS:
        return own
    return losses_at_start(own) if is_seen_to_work(seconds) else []


def _members(losses: Iterable[Loss]) -> set[int]:
    """Return the members that may be at fault; any one stands for all if none is known."""
    return {member for loss in losses for member in loss.members} or {0}


def _losses_of(member: int, losses: Iterable[LossT]) -> list[LossT]:
    """Return the losses that a member can explain."""
    return [loss for loss in losses if member in loss.members or not loss.members]


def _is_culprit(losses: Sequence[Loss], lost_by_alike: int) -> bool:
    """Return whether losses at its start that one member can explain are proof against it."""
    unexplained = sum(not loss.explained for loss in losses)
    if len(losses) >= LOSSES_TO_GIVE_UP:
        return unexplained >= MIN_UNEXPLAINED_LOSSES
    return unexplained >= OWN_LOSSES_TO_GIVE_UP and unexplained + lost_by_alike >= LOSSES_TO_GIVE_UP
