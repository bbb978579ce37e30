"""How long to wait for an answer of the log, try by try."""

from __future__ import annotations

from typing import Final

SHORT_SECONDS: Final = 0.6
"""Some ten times the usual, and enough for a log that is sixty times as slow; a lost answer or a
silent connection costs no more."""
LONG_SECONDS: Final = 1.4
"""Each third try waits this long, so that a log that is slow can still answer."""
TRIES: Final = 3


class Patience:
    """Alternate short and long waits, so that neither silence nor slowness lasts."""

    def __init__(self) -> None:
        self._failed = 0

    @property
    def seconds(self) -> float:
        """Time for the next answer."""
        return LONG_SECONDS if self._failed % TRIES == TRIES - 1 else SHORT_SECONDS

    @property
    def calm(self) -> bool:
        """Whether the last try was answered."""
        return not self._failed

    def answered(self) -> None:
        """Note an answer."""
        self._failed = 0

    def unanswered(self) -> None:
        """Note a try without an answer."""
        self._failed += 1
