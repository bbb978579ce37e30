"""Progress of jobs that has to be recorded: whole, or the pages that changed."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from zinniaweir.dispatch.units import OwnedJob, Unit
from zinniaweir.workloads.progress_pages import MAX_WHOLE_PROGRESS_BYTES
from zinniaweir.workloads.records import Progress, ProgressPage, encode_record


@dataclass(kw_only=True)
class ProgressRecords:
    """Records of progress, to be written in this order."""

    ended: list[Progress] = field(default_factory=list)
    """Jobs in pages that have ended, so that no page of an earlier time starts a task."""
    pages: list[ProgressPage] = field(default_factory=list)
    """Pages that changed."""
    progress: list[Progress] = field(default_factory=list)
    """The other jobs; pages count from the time at which the record of their job says so."""

    @property
    def in_order(self) -> Iterable[Progress | ProgressPage]:
        """All records, in the order in which they are to be written."""
        return (*self.ended, *self.pages, *self.progress)


class ProgressChanges:
    """Jobs whose progress changed since it was last recorded.

    Args:
        max_whole_bytes: Size of a job's progress above which it is recorded in pages.
    """

    def __init__(self, *, max_whole_bytes: int = MAX_WHOLE_PROGRESS_BYTES) -> None:
        self._max_whole_bytes = max_whole_bytes
        self._jobs: dict[str, OwnedJob] = {}
        self._pages: dict[str, set[int]] = {}
        """Numbers of the pages that changed, by job id."""

    def mark(self, job: OwnedJob, unit: Unit | None = None, index: int | None = None) -> None:
        """Mark a job as changed.

        Args:
            job: The job.
            unit: The unit that changed, None if only the state of the job did.
            index: The task that changed, None if the whole unit did.
        """
        self._jobs[job.job_id] = job
        if unit is None or not job.paged:
            return
        indexes = unit.indexes if index is None else (unit.indexes[0], index)
        pages = self._pages.setdefault(job.job_id, set())
        pages.update(job.page_number(unit.step_number, index) for index in indexes)

    def take(self, *, now: float, pages_allowed: bool) -> ProgressRecords | None:
        """Return what is to be recorded, and forget the changes.

        Args:
            now: Current time in seconds.
            pages_allowed: Whether jobs may be recorded in pages that were not before.

        Returns:
            None if a job would have to be recorded in pages and may not.
        """
        records = ProgressRecords()
        for job in self._jobs.values():
            if not job.paged:
                for unit in job.units:
                    unit.forget_late_starts(now)
                progress = job.progress()
                if len(encode_record(progress)) <= self._max_whole_bytes:
                    records.progress.append(progress)
                    continue
                if not pages_allowed:
                    return None
                job.paged = True
                self._pages[job.job_id] = job.begun_pages() | job.recorded_pages
            self._add_paged(job, records, now=now)
        self._jobs, self._pages = {}, {}
        return records

    def _add_paged(self, job: OwnedJob, records: ProgressRecords, *, now: float) -> None:
        records.pages += [
            job.page(number, now=now) for number in sorted(self._pages.get(job.job_id, ()))
        ]
        if job.recorded_state is not job.state:
            job.recorded_state = job.state
            target = records.ended if job.state.ended else records.progress
            target.append(job.progress())
