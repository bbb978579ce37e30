"""Counters by name and reason."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Count events by name and reason.

    There is no lock: use an object from one thread only.
    """

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, *, reason: str = "", amount: int = 1) -> None:
        """Add to a counter.

        Args:
            name: Name of the counter, such as `refusals`.
            reason: Reason of the event, such as `queue_full`.
            amount: Amount to add.
        """
        self._counts[name, reason] += amount

    def value(self, name: str, *, reason: str = "") -> int:
        """Return the value of a counter, zero if nothing was added to it."""
        return self._counts[name, reason]

    def items(self) -> list[tuple[str, str, int]]:
        """Return all counters as name, reason and value, sorted."""
        return sorted((name, reason, count) for (name, reason), count in self._counts.items())
