"""Timeout of calls that adapts to how long the log takes to answer."""

from __future__ import annotations

from typing import Final

MAX_TIMEOUT_SECONDS: Final = 6.0
"""Maximum timeout of a call while the log is slow.

After a network fault that dropped packets, a call waits at most this long on the old connection.
"""
TIMEOUT_FACTOR: Final = 2.0
"""Ratio of a timeout to the duration of the previous call, or to its timeout if it expired."""


class AdaptiveTimeout:
    """Timeout that follows the duration of earlier calls.

    With a fixed timeout, every call to a log that answers more slowly would fail.

    Args:
        minimum: Minimum timeout in seconds, which holds while the log answers fast.
        maximum: Maximum timeout in seconds.
    """

    def __init__(self, *, minimum: float, maximum: float) -> None:
        self._minimum = minimum
        self._maximum = maximum
        self._seconds = minimum

    @property
    def seconds(self) -> float:
        """Timeout of the next call."""
        return self._seconds

    def record_answer(self, elapsed: float) -> None:
        """Adapt the timeout to a call that was answered after `elapsed` seconds."""
        self._set(TIMEOUT_FACTOR * elapsed)

    def record_timeout(self) -> None:
        """Raise the timeout after a call that timed out."""
        self._set(TIMEOUT_FACTOR * self._seconds)

    def _set(self, seconds: float) -> None:
        self._seconds = min(self._maximum, max(self._minimum, seconds))
