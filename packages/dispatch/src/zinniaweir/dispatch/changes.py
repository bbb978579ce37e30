"""What the owner writes to the log, and what it may do once that is written."""

from __future__ import annotations

from dataclasses import dataclass, field

from zinniaweir.dispatch.messages import Acknowledgement
from zinniaweir.dispatch.progress import ProgressRecords
from zinniaweir.dispatch.units import Assignment, OwnedJob
from zinniaweir.workloads.records import Progress


@dataclass(kw_only=True)
class Changes:
    """Records to write to the log, and the actions that are allowed once they are written."""

    records: ProgressRecords = field(default_factory=ProgressRecords)
    """Progress of jobs."""
    expired_jobs: list[OwnedJob] = field(default_factory=list)
    """Jobs past their retention, whose records are deleted."""
    placed: list[Assignment] = field(default_factory=list)
    """New assignments, to be started once they are recorded."""
    acknowledgements: list[Acknowledgement] = field(default_factory=list)
    """Ends of runs that workers may discard once they are recorded."""

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (any(self.records.in_order) or self.expired_jobs or self.acknowledgements)

    @property
    def progress(self) -> list[Progress]:
        """Progress of jobs, without the pages."""
        return [*self.records.ended, *self.records.progress]
