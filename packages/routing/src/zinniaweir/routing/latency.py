"""Latencies learnt for each job name."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Final

from sortedcontainers import SortedList

WINDOW_SAMPLES: Final = 128
"""Recent answers of one job name that count."""
MIN_SAMPLES: Final = 20
"""With fewer answers nothing is learnt."""
MAX_JOB_NAMES: Final = 256
"""Job names that are remembered, the most recently used; names can be free text."""


class LatencyWindow:
    """Exact quantiles of the last answers."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: SortedList = SortedList()

    def record(self, seconds: float) -> None:
        """Add one latency."""
        self._recent.append(seconds)
        self._sorted.add(seconds)
        if len(self._recent) > WINDOW_SAMPLES:
            self._sorted.remove(self._recent.popleft())

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile in seconds, or nothing while too little is known."""
        if len(self._sorted) < MIN_SAMPLES:
            return None
        return self._sorted[min(len(self._sorted) - 1, int(fraction * len(self._sorted)))]


class Latencies:
    """Latencies of one service by job name."""

    def __init__(self) -> None:
        self._windows: OrderedDict[str, LatencyWindow] = OrderedDict()

    def record(self, name: str, seconds: float) -> None:
        """Add the latency of one answer."""
        if name not in self._windows:
            self._windows[name] = LatencyWindow()
            if len(self._windows) > MAX_JOB_NAMES:
                self._windows.popitem(last=False)
        self._windows.move_to_end(name)
        self._windows[name].record(seconds)

    def quantile(self, name: str, fraction: float) -> float | None:
        """Return a quantile in seconds, or nothing while too little is known of the name."""
        window = self._windows.get(name)
        return None if window is None else window.quantile(fraction)
