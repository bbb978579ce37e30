"""Planning passes that are carried out in slices, so that a long one delays nothing else."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

SLICE_WORKERS: Final = 8_000
"""Number of workers that one slice examines.

A slice takes up to 10 ms of a core.
"""
SLICE_SECONDS: Final = 0.1
"""Time after which a slice ends in a fleet of any size, since a job may have many units.

Renewals, polls and callers wait for the end of a slice.
"""
MAX_PASS_SECONDS: Final = 0.8
"""Time after which a pass is dropped and a new one begins; what it knows of workers is old then."""


class PassSlices:
    """Carry out a planning pass in slices.

    The pass keeps its reservations, so the units that it tries later respect them.

    Args:
        clock: Returns the time in seconds, by which slices are limited.
    """

    def __init__(self, *, clock: Callable[[], float] = lambda: 0.0) -> None:
        self._clock = clock
        self._steps: Iterator[int] | None = None
        self._began_at = float("-inf")

    @property
    def unfinished(self) -> bool:
        """Whether a pass was begun and not carried out to its end."""
        return self._steps is not None

    def pending(self, now: float) -> bool:
        """Return whether a pass is unfinished and still recent enough to go on with.

        Args:
            now: Current time in seconds.
        """
        if now - self._began_at > MAX_PASS_SECONDS:
            self._steps = None
        return self._steps is not None

    def begin(self, steps: Iterator[int], now: float) -> None:
        """Begin a pass; nothing of it is carried out yet.

        Args:
            steps: Tries one unit with each step, and yields the number of workers that the pass
                has examined so far.
            now: Current time in seconds.
        """
        self._steps, self._began_at = steps, now

    def drop(self) -> None:
        """Drop the unfinished pass, since something that it relies on has changed."""
        self._steps = None

    def advance(self, *, sliced: bool) -> None:
        """Carry out one slice of the pass.

        Args:
            sliced: Whether the slice ends also after a number of workers.
        """
        steps = self._steps
        if steps is None:
            return
        until = self._clock() + SLICE_SECONDS
        before: int | None = None
        for examined in steps:
            before = examined if before is None else before
            if sliced and examined - before >= SLICE_WORKERS or self._clock() > until:
                return
        self._steps = None
