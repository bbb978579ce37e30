"""The job table: a fold of the log's records into jobs, VM addresses and the owner's claim."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from zinniaweir.workloads.progress_pages import merge_pages
from zinniaweir.workloads.records import (
    OWNER_KEY,
    Cancellation,
    JobState,
    OwnerClaim,
    Progress,
    ProgressPage,
    Record,
    Submission,
    UnitRecord,
    VmAddress,
)

JobUpdate: TypeAlias = Progress | ProgressPage | Cancellation
"""Records that change the entry of a job."""


@dataclass(kw_only=True)
class JobEntry:
    """The state of one job, as read from the log."""

    submission: Submission
    cancelled: bool = False
    progress: Progress | None = None
    pages: dict[int, ProgressPage] = field(default_factory=dict)
    """Pages of the progress by number; they count only if `progress` says so."""

    @property
    def paged(self) -> bool:
        """Whether its progress is stored in pages."""
        return self.progress is not None and self.progress.page_tasks > 0

    @property
    def units(self) -> list[UnitRecord]:
        """Its units that were started at least once."""
        if self.progress is None:
            return []
        return merge_pages(self.pages.values()) if self.paged else list(self.progress.units)

    @property
    def state(self) -> JobState:
        """Current state of the job."""
        state = JobState(self.progress.state) if self.progress else JobState.QUEUED
        if self.cancelled and not state.ended:
            return JobState.CANCELLED
        return state


class JobTable:
    """Fold of the log's records, in log order, into the current state."""

    def __init__(self) -> None:
        self._jobs: dict[str, JobEntry] = {}
        self._unmatched: dict[str, dict[str, JobUpdate]] = {}
        """Records of jobs whose submission was not read yet, by job id and key."""
        self._claim: OwnerClaim | None = None
        self._vms: dict[str, VmAddress] = {}

    @property
    def vms(self) -> Mapping[str, VmAddress]:
        """Addresses by name of the VM; some VMs may no longer exist."""
        return self._vms

    @property
    def claim(self) -> OwnerClaim | None:
        """The newest claim of ownership."""
        return self._claim

    @property
    def jobs(self) -> Iterator[JobEntry]:
        """All jobs whose records have not been deleted."""
        return iter(self._jobs.values())

    def get(self, job_id: str) -> JobEntry | None:
        """Return a job, or None if the log has none with this id."""
        return self._jobs.get(job_id)

    @property
    def has_pages(self) -> bool:
        """Whether the progress of any job is stored in pages."""
        return any(entry.paged for entry in self._jobs.values())

    def queued_count(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not started."""
        return sum(
            entry.submission.terms.name == queue and entry.state is JobState.QUEUED
            for entry in self._jobs.values()
        )

    def apply(self, key: str, record: Record | None) -> None:
        """Apply one record.

        Pages of the newest records are not a consistent snapshot, so a job's progress or
        cancellation may be read before its submission. It is kept until the submission is read.

        Args:
            key: The key of the record.
            record: The record, or None if the key was deleted.
        """
        match record:
            case Submission():
                self._add_job(record)
            case Progress() | ProgressPage() | Cancellation():
                if (entry := self._jobs.get(record.job_id)) is None:
                    self._unmatched.setdefault(record.job_id, {})[key] = record
                else:
                    _update_entry(entry, record)
            case VmAddress():
                self._vms[record.vm] = record
            case OwnerClaim():
                if self._claim is None or record.epoch >= self._claim.epoch:
                    self._claim = record
            case None:
                self._delete(key)

    def _add_job(self, record: Submission) -> None:
        if record.job_id in self._jobs:
            return
        entry = self._jobs[record.job_id] = JobEntry(submission=record)
        for update in self._unmatched.pop(record.job_id, {}).values():
            _update_entry(entry, update)

    def _delete(self, key: str) -> None:
        kind, _, name = key.partition("/")
        job_id, _, page = name.partition("/")
        unmatched = self._unmatched.get(job_id)
        if unmatched is not None:
            unmatched.pop(key, None)
            if not unmatched:
                del self._unmatched[job_id]
        if kind == "s":
            self._jobs.pop(name, None)
        elif kind == "p" and page.isdecimal() and job_id in self._jobs:
            self._jobs[job_id].pages.pop(int(page), None)
        elif kind == "v":
            self._vms.pop(name, None)
        elif key == OWNER_KEY:
            self._claim = None


def _update_entry(entry: JobEntry, record: JobUpdate) -> None:
    match record:
        case Progress():
            entry.progress = record
        case ProgressPage():
            entry.pages[record.number] = record
        case Cancellation():
            entry.cancelled = True
