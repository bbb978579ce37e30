"""Where decisions report to: log lines, counters and durations."""

from __future__ import annotations

from typing import Any, Protocol


class Reporter(Protocol):
    """Takes reports; it must never wait."""

    def log(self, event: str, **fields: Any) -> None:
        """Write one log line.

        Args:
            event: Name of the event.
            **fields: Facts about it.
        """

    def count(self, name: str, reason: str) -> None:
        """Add one to a counter."""

    def measure(self, name: str, seconds: float, label: str) -> None:
        """Record a duration."""
