"""The job table: a fold of the log's records into jobs, VM addresses and the owner's claim."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TypeAlias

from zinniaweir.workloads.early_cancellations import (
    EARLY_CANCELLATION_SECONDS,
    EarlyCancellations,
)
from zinniaweir.workloads.progress_pages import merge_pages
from zinniaweir.workloads.records import (
    OWNER_KEY,
    Cancellation,
    EarlyCancellation,
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
    cancellation_recorded: bool = False
    """Whether the log has its `Cancellation`, and not only an early one."""
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

    @property
    def needs_cancellation(self) -> bool:
        """Whether only an early cancellation says that the job is not to run.

        An early one is removed after some time. Earlier versions cannot read it, and their owners
        start a job whose progress alone says that it is cancelled.
        """
        return self.state is JobState.CANCELLED and not self.cancellation_recorded


class JobTable:
    """Fold of the log's records, in log order, into the current state.

    Args:
        clock: Returns the time in seconds, by which early cancellations are kept.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._jobs: dict[str, JobEntry] = {}
        self._early_cancellations = EarlyCancellations(clock=clock)
        self._cancelled_early: dict[str, None] = {}
        """Ids of the jobs that an early cancellation has cancelled."""
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
    def early_cancellations(self) -> EarlyCancellations:
        """Cancellations that were recorded while the log did not have their jobs."""
        return self._early_cancellations

    @property
    def unconfirmed_cancellations(self) -> list[str]:
        """Ids of the jobs that only an early cancellation keeps from running."""
        return [job_id for job_id in self._cancelled_early if self._jobs[job_id].needs_cancellation]

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

    def removable_early_cancellations(self) -> Iterator[str]:
        """Return the keys of the early cancellations that no submission needs any more."""
        for key, record in self._early_cancellations.older_than(EARLY_CANCELLATION_SECONDS):
            entry = self._cancelled_by(record)
            if entry is None or not entry.needs_cancellation:
                yield key

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
            case EarlyCancellation():
                self._early_cancellations.add(key, record)
                if (entry := self._cancelled_by(record)) is not None:
                    self._cancel_early(entry)
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
        if self._early_cancellations.covers(record.job_id, record.customer):
            self._cancel_early(entry)

    def _cancelled_by(self, record: EarlyCancellation) -> JobEntry | None:
        """Return the job that an early cancellation cancels, None if the log does not have it."""
        entry = self._jobs.get(record.job_id)
        if entry is None or entry.submission.customer != record.customer:
            return None
        return entry

    def _cancel_early(self, entry: JobEntry) -> None:
        entry.cancelled = True
        self._cancelled_early[entry.submission.job_id] = None

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
            self._cancelled_early.pop(name, None)
        elif kind == "e":
            self._early_cancellations.discard(key)
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
            entry.cancelled = entry.cancellation_recorded = True
