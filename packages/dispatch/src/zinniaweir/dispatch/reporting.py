"""Interface through which decisions report log events, counters and durations."""

from __future__ import annotations

from typing import Any, Protocol


class Reporter(Protocol):
    """Receiver of reports; its methods must not block."""

    def log(self, event: str, **fields: Any) -> None:
        """Write a log event.

        Args:
            event: Name of the event.
            **fields: Fields of the event.
        """

    def count(self, name: str, reason: str) -> None:
        """Increment a counter."""

    def measure(self, name: str, seconds: float, label: str) -> None:
        """Record a duration in seconds."""
