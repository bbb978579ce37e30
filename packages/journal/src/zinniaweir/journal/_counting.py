"""Interface of the counters that the library increments."""

from __future__ import annotations

from typing import Protocol


class CounterSink(Protocol):
    """Counters by name and reason."""

    def add(self, name: str, *, reason: str = "", amount: int = 1) -> None:
        """Increase a counter by an amount."""
