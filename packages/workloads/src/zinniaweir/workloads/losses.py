"""Losses of workers: when work is given up, since it crashes the workers that start it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final, Protocol

LOSSES_TO_ISOLATE: Final = 2
"""Unexplained losses after which work runs alone on its workers.

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
SAME_TIME_SECONDS: Final = 2.0
"""Workers that are lost within this time of each other may have one cause."""
MIN_MASS_LOSS: Final = 2
"""Number of other workers that are lost at the same time, from which work is not suspected."""
MAX_RECENT_LOSSES: Final = 64
"""Number of lost workers that are remembered to recognize those of one time."""


class Loss(Protocol):
    """An attempt that was lost with its worker."""

    @property
    def sole(self) -> bool:
        """Whether nothing else can explain the loss: no other work there, no wider failure."""

    @property
    def explained(self) -> bool:
        """Whether other work that was there turned out to crash workers."""


def unexplained_losses(losses: Iterable[Loss]) -> int:
    """Return how many losses have no other known reason."""
    return sum(not loss.explained for loss in losses)


def crashes_workers(losses: Sequence[Loss]) -> bool:
    """Return whether work with these losses is given up, since it crashes its workers."""
    unexplained = unexplained_losses(losses)
    if len(losses) >= MAX_LOSSES:
        return unexplained >= MIN_UNEXPLAINED_LOSSES
    needed = SOLE_LOSSES_TO_GIVE_UP.get(unexplained)
    return needed is not None and sum(loss.sole for loss in losses) >= needed
