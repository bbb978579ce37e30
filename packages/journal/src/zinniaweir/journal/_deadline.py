"""Timeout of calls that adapts to how long the log takes to answer."""

from __future__ import annotations

from typing import Final

LONGEST_TIMEOUT_SECONDS: Final = 6.0
"""Maximum timeout of a call while the log is slow.

After a network fault that dropped packets, a call waits at most this long on the old connection.
"""
HEADROOM: Final = 2.0
"""Ratio of a timeout to the duration of the previous call, or to its timeout if it expired."""


class AdaptiveDeadline:
    """Timeout that follows the duration of earlier calls.

    With a fixed timeout, every call to a log that answers more slowly would fail.

    Args:
        shortest: Minimum timeout in seconds, which holds while the log answers fast.
        longest: Maximum timeout in seconds.
    """

    def __init__(self, *, shortest: float, longest: float) -> None:
        self._shortest = shortest
        self._longest = longest
        self._seconds = shortest

    @property
    def seconds(self) -> float:
        """Timeout of the next call."""
        return self._seconds

    def note_answer(self, elapsed: float) -> None:
        """Adapt the timeout to a call that was answered after `elapsed` seconds."""
        self._set(HEADROOM * elapsed)

    def note_timeout(self) -> None:
        """Raise the timeout after a call that timed out."""
        self._set(HEADROOM * self._seconds)

    def _set(self, seconds: float) -> None:
        self._seconds = min(self._longest, max(self._shortest, seconds))
