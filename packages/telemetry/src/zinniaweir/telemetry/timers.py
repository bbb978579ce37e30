"""Histograms of durations."""

from __future__ import annotations

from typing import Final

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS: Final = 10
"""Minimum duration in a histogram; a shorter one is recorded as this."""
HIGHEST_MICROSECONDS: Final = 24 * 3600 * 1_000_000
"""Maximum duration in a histogram; a longer one is recorded as this."""
SIGNIFICANT_FIGURES: Final = 2
"""Precision in decimal digits.

Two keep a histogram near 20 KB, which bounds the memory if there are many timers.
"""


class Timers:
    """Record durations by name and label."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._sums: dict[tuple[str, str], float] = {}

    def record(self, name: str, seconds: float, *, label: str = "") -> None:
        """Record one duration.

        Args:
            name: Name of the timer.
            seconds: The duration in seconds.
            label: Value by which durations are distinguished, such as a priority.
        """
        key = (name, label)
        if key not in self._histograms:
            self._histograms[key] = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES
            )
        microseconds = min(max(int(seconds * 1e6), LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self._histograms[key].record_value(microseconds)
        self._sums[key] = self._sums.get(key, 0.0) + seconds

    def quantile(self, name: str, level: float, *, label: str = "") -> float:
        """Return a quantile in seconds, zero if nothing was recorded.

        Args:
            name: Name of the timer.
            level: Level of the quantile, between 0 and 1.
            label: The label of the timer.
        """
        histogram = self._histograms.get((name, label))
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(level * 100) / 1e6

    def items(self) -> list[tuple[str, str, int, float]]:
        """Return all timers as name, label, count and sum in seconds, sorted."""
        return sorted(
            (name, label, histogram.get_total_count(), self._sums[name, label])
            for (name, label), histogram in self._histograms.items()
        )
