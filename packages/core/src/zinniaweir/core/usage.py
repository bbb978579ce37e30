"""Decides what to do about tasks that use more than their job declared.

Two consecutive reports above the declaration throttle a task. If two reports from after the
throttle still exceed it, or if the excess is in memory, the gang is checkpointed or stopped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Literal, TypeAlias

from zinniaweir.core.events import UsageReported
from zinniaweir.core.shape import Shape

TOLERANCE: Final = 1.1
"""Allowed ratio of usage to declaration; a tenth above it is measurement noise."""
REPORTS_TO_ACT: Final = 2
"""Consecutive reports above the declaration before an action; one may catch a short peak."""
THROTTLE_EFFECT_SECONDS: Final = 10.0
"""Reports from less than this time after the throttle are ignored; it has no effect yet."""

UsageAction: TypeAlias = Literal["fine", "throttle", "end"]


@dataclass(slots=True)
class _Record:
    attempt: int
    consecutive_reports: int = 0
    throttled_at: float | None = None


class UsageMonitor:
    """Evaluate usage reports by job and member."""

    def __init__(self) -> None:
        self._records: dict[str, dict[int, _Record]] = {}

    def evaluate(self, report: UsageReported, shape: Shape, now: float) -> UsageAction:
        """Return the action for a report: none (`fine`), throttle the task or end the gang."""
        over_cores = report.cores > shape.cores * TOLERANCE
        over_memory = report.memory_bytes > shape.memory_bytes * TOLERANCE > 0
        members = self._records.setdefault(report.job_id, {})
        record = members.get(report.member)
        if record is None or record.attempt != report.attempt:
            record = members[report.member] = _Record(report.attempt)
        throttled = record.throttled_at
        if throttled is not None and report.measured_at < throttled + THROTTLE_EFFECT_SECONDS:
            return "fine"
        if not (over_cores or over_memory):
            record.consecutive_reports = 0
            return "fine"
        record.consecutive_reports += 1
        if record.consecutive_reports < REPORTS_TO_ACT:
            return "fine"
        record.consecutive_reports = 0
        if over_memory or throttled is not None:
            return "end"
        record.throttled_at = now
        return "throttle"

    def discard(self, job_id: str) -> None:
        """Remove the records of a job whose attempt ended."""
        self._records.pop(job_id, None)
