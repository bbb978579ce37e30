"""How long to wait for an answer of the log, try by try."""

from __future__ import annotations

from typing import Final

SHORT_SECONDS: Final = 0.5
"""Some ten times the usual; a lost answer or a silent connection costs no more."""
LONG_SECONDS: Final = 1.4
"""Each third try waits this long, so that a log that has turned slow can answer."""
TRIES: Final = 3
TYPICAL_FACTOR: Final = 3.0
"""Once it has answered, this many times its typical answer is waited for."""
MOST_SECONDS: Final = 3.0
WEIGHT: Final = 0.4
"""Weight of a new answer in the typical time."""


class Patience:
    """Alternate short and long waits, so that neither silence nor slowness lasts.

    Repeating calls to a log that is merely slow makes it slower, so the waits grow with the time
    that its answers take.
    """

    def __init__(self) -> None:
        self._failed = 0
        self._typical = 0.0

    @property
    def seconds(self) -> float:
        """Time for the next answer."""
        pattern = LONG_SECONDS if self._failed % TRIES == TRIES - 1 else SHORT_SECONDS
        return max(pattern, min(TYPICAL_FACTOR * self._typical, MOST_SECONDS))

    @property
    def calm(self) -> bool:
        """Whether the last try was answered."""
        return not self._failed

    def answered(self, seconds: float) -> None:
        """Note an answer.

        Args:
            seconds: How long it took, without the time that the log was told to wait.
        """
        self._failed = 0
        self._typical += WEIGHT * (seconds - self._typical)

    def unanswered(self) -> None:
        """Note a try without an answer."""
        self._failed += 1
