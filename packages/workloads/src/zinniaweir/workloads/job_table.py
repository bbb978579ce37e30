"""The job table: a fold of the log's records into jobs, VM addresses and the owner's claim."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from zinniaweir.workloads.records import (
    OWNER_KEY,
    Cancellation,
    JobState,
    OwnerClaim,
    Progress,
    Record,
    Submission,
    VmAddress,
)


@dataclass(kw_only=True)
class JobEntry:
    """The state of one job, as read from the log."""

    submission: Submission
    cancelled: bool = False
    progress: Progress | None = None

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
        self._unmatched: dict[str, Progress | Cancellation] = {}
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
            case Progress() | Cancellation():
                if (entry := self._jobs.get(record.job_id)) is None:
                    self._unmatched[key] = record
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
        for prefix in ("c", "p"):
            unmatched = self._unmatched.pop(f"{prefix}/{record.job_id}", None)
            if unmatched is not None:
                _update_entry(entry, unmatched)

    def _delete(self, key: str) -> None:
        self._unmatched.pop(key, None)
        kind, _, name = key.partition("/")
        if kind == "s":
            self._jobs.pop(name, None)
        elif kind == "v":
            self._vms.pop(name, None)
        elif key == OWNER_KEY:
            self._claim = None


def _update_entry(entry: JobEntry, record: Progress | Cancellation) -> None:
    if isinstance(record, Progress):
        entry.progress = record
    else:
        entry.cancelled = True
