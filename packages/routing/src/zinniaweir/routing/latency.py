"""Recent latencies by job name."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Final

from sortedcontainers import SortedList

WINDOW_SAMPLES: Final = 128
"""Number of recent answers of one job name in its quantiles."""
MIN_SAMPLES: Final = 20
"""Number of answers below which a job name has no quantiles."""
MAX_JOB_NAMES: Final = 256
"""Number of job names that are kept, the most recently used ones; names can be free text."""


class LatencyWindow:
    """Exact quantiles of the most recent latencies."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: SortedList = SortedList()

    def record(self, seconds: float) -> None:
        """Add one latency in seconds."""
        self._recent.append(seconds)
        self._sorted.add(seconds)
        if len(self._recent) > WINDOW_SAMPLES:
            self._sorted.remove(self._recent.popleft())

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile in seconds, or None with fewer than `MIN_SAMPLES` latencies.

        Args:
            fraction: Fraction of latencies below the quantile, from 0 to 1.
        """
        if len(self._sorted) < MIN_SAMPLES:
            return None
        return self._sorted[min(len(self._sorted) - 1, int(fraction * len(self._sorted)))]


class Latencies:
    """Latencies of one service by job name."""

    def __init__(self) -> None:
        self._windows: OrderedDict[str, LatencyWindow] = OrderedDict()

    def record(self, name: str, seconds: float) -> None:
        """Add the latency in seconds of one answer."""
        if name not in self._windows:
            self._windows[name] = LatencyWindow()
            if len(self._windows) > MAX_JOB_NAMES:
                self._windows.popitem(last=False)
        self._windows.move_to_end(name)
        self._windows[name].record(seconds)

    def quantile(self, name: str, fraction: float) -> float | None:
        """Return a quantile in seconds of one job name, or None with too few latencies.

        Args:
            name: Name of the job.
            fraction: Fraction of latencies below the quantile, from 0 to 1.
        """
        window = self._windows.get(name)
        return None if window is None else window.quantile(fraction)
