"""What the owner writes to the log, and what it may do once that is written."""

from __future__ import annotations

from dataclasses import dataclass, field

from zinniaweir.dispatch.messages import Acknowledgement
from zinniaweir.dispatch.units import Assignment
from zinniaweir.workloads.records import Progress


@dataclass(kw_only=True)
class Changes:
    """Records to write to the log, and the actions that are allowed once they are written."""

    progress: list[Progress] = field(default_factory=list)
    expired_job_ids: list[str] = field(default_factory=list)
    """Jobs past their retention, whose records are deleted."""
    placed: list[Assignment] = field(default_factory=list)
    """New assignments, to be started once they are recorded."""
    acknowledgements: list[Acknowledgement] = field(default_factory=list)
    """Ends of runs that workers may discard once they are recorded."""

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (self.progress or self.expired_job_ids or self.acknowledgements)
