"""Reporter of scheduling decisions to the process's logs, counters and timers."""

from __future__ import annotations

from typing import Any

from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.telemetry.timers import Timers


class OwnerReporter:
    """Send an owner's reports to the process's telemetry, with its epoch on each log line.

    Args:
        epoch: The owner's epoch.
        counters: The process's counters.
        timers: The process's timers.
    """

    def __init__(self, *, epoch: int, counters: Counters, timers: Timers) -> None:
        self._epoch = epoch
        self._counters = counters
        self._timers = timers

    def log(self, event: str, **fields: Any) -> None:
        """Write one log line."""
        log(event, epoch=self._epoch, **fields)

    def count(self, name: str, reason: str) -> None:
        """Add one to a counter."""
        self._counters.add(name, reason=reason)

    def measure(self, name: str, seconds: float, label: str) -> None:
        """Record a duration."""
        self._timers.record(name, seconds, label=label)
