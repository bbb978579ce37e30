"""Service times of recently finished requests."""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_SAMPLES: Final = 64
"""Number of recent requests of one priority whose times are kept."""
MIN_SAMPLES: Final = 8
"""Number of samples below which times count as zero; too few samples should drop no request."""


class ServiceTimes:
    """Service times of recent requests by priority."""

    def __init__(self) -> None:
        self._recent: dict[str, deque[float]] = {}

    def record(self, priority: str, seconds: float) -> None:
        """Record the service time of one request in seconds."""
        self._recent.setdefault(priority, deque(maxlen=MAX_SAMPLES)).append(seconds)

    def fastest(self, priority: str) -> float:
        """Return the shortest recent time of a priority in seconds, zero with too few samples."""
        recent = self._recent.get(priority, ())
        return min(recent) if len(recent) >= MIN_SAMPLES else 0.0

    def mean(self) -> float:
        """Return the mean of all recent times in seconds, zero with too few samples."""
        count = sum(map(len, self._recent.values()))
        if count < MIN_SAMPLES:
            return 0.0
        return sum(map(sum, self._recent.values())) / count
