"""Rate limit of the append calls of one VM."""

from __future__ import annotations

from typing import Final

APPENDS_PER_SECOND: Final = 38.0
APPEND_BURST: Final = 4
"""All VMs share the log's limit of 300 appends per second.

7 VMs make at most 7 * (38 + 4) = 294 appends in any second.
"""


class AppendRateLimiter:
    """Token bucket for append calls.

    Args:
        now: Monotonic time in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._tokens = float(APPEND_BURST)
        self._updated_at = now

    def acquire(self, now: float) -> float:
        """Take one token and return the seconds to wait before the append call.

        Args:
            now: Monotonic time in seconds.
        """
        refilled = max(0.0, now - self._updated_at) * APPENDS_PER_SECOND
        self._tokens = min(float(APPEND_BURST), self._tokens + refilled) - 1.0
        self._updated_at = now
        return max(0.0, -self._tokens / APPENDS_PER_SECOND)
