"""Service times learnt from finished requests."""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_SAMPLES: Final = 64
"""Recent requests of one priority that are remembered."""
MIN_SAMPLES: Final = 8
"""With fewer samples nothing is predicted, so that no request is dropped on a guess."""


class ServiceTimes:
    """Remember how long recent requests of each priority took."""

    def __init__(self) -> None:
        self._recent: dict[str, deque[float]] = {}

    def record(self, priority: str, seconds: float) -> None:
        """Remember one request."""
        self._recent.setdefault(priority, deque(maxlen=MAX_SAMPLES)).append(seconds)

    def fastest(self, priority: str) -> float:
        """Return the shortest recent time in seconds, zero while too little is known."""
        recent = self._recent.get(priority, ())
        return min(recent) if len(recent) >= MIN_SAMPLES else 0.0

    def mean(self) -> float:
        """Return the mean of all recent times in seconds, zero while too little is known."""
        count = sum(map(len, self._recent.values()))
        if count < MIN_SAMPLES:
            return 0.0
        return sum(map(sum, self._recent.values())) / count
