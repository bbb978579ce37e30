"""The fold of the system's log: which jobs there are, and who owns scheduling."""

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
    """One job as the log tells it."""

    submission: Submission
    cancelled: bool = False
    progress: Progress | None = None

    @property
    def state(self) -> JobState:
        """How far the job is."""
        state = JobState(self.progress.state) if self.progress else JobState.QUEUED
        if self.cancelled and not state.ended:
            return JobState.CANCELLED
        return state


class JobTable:
    """Fold records in the order of the log."""

    def __init__(self) -> None:
        self._jobs: dict[str, JobEntry] = {}
        self._early: dict[str, Progress | Cancellation] = {}
        self._claim: OwnerClaim | None = None
        self._vms: dict[str, VmAddress] = {}

    @property
    def vms(self) -> Mapping[str, VmAddress]:
        """Addresses of VMs, by name; some may be gone."""
        return self._vms

    @property
    def claim(self) -> OwnerClaim | None:
        """The newest claim of ownership."""
        return self._claim

    @property
    def jobs(self) -> Iterator[JobEntry]:
        """All jobs that are kept."""
        return iter(self._jobs.values())

    def get(self, job_id: str) -> JobEntry | None:
        """Return a job, None if the log has none of this id."""
        return self._jobs.get(job_id)

    def queued_count(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return sum(
            entry.submission.terms.name == queue and entry.state is JobState.QUEUED
            for entry in self._jobs.values()
        )

    def apply(self, key: str, record: Record | None) -> None:
        """Fold one record.

        Pages of the newest records are no snapshot, so a job's progress may be read before its
        acceptance; it waits for it.

        Args:
            key: The key of the record.
            record: The record, None where its key was dropped.
        """
        match record:
            case Submission():
                self._accept(record)
            case Progress() | Cancellation():
                if (entry := self._jobs.get(record.job_id)) is None:
                    self._early[key] = record
                else:
                    _advance(entry, record)
            case VmAddress():
                self._vms[record.vm] = record
            case OwnerClaim():
                if self._claim is None or record.epoch >= self._claim.epoch:
                    self._claim = record
            case None:
                self._drop(key)

    def _accept(self, record: Submission) -> None:
        if record.job_id in self._jobs:
            return
        entry = self._jobs[record.job_id] = JobEntry(submission=record)
        for prefix in ("c", "p"):
            early = self._early.pop(f"{prefix}/{record.job_id}", None)
            if early is not None:
                _advance(entry, early)

    def _drop(self, key: str) -> None:
        self._early.pop(key, None)
        kind, _, name = key.partition("/")
        if kind == "s":
            self._jobs.pop(name, None)
        elif kind == "v":
            self._vms.pop(name, None)
        elif key == OWNER_KEY:
            self._claim = None


def _advance(entry: JobEntry, record: Progress | Cancellation) -> None:
    if isinstance(record, Progress):
        entry.progress = record
    else:
        entry.cancelled = True
