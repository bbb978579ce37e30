"""State of each job, folded from the job records on the log."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import msgspec
import xxhash

from zinniaweir.wire.records import (
    JobFinished,
    JobPlaced,
    JobRequeued,
    JobsCancelled,
    JobSpec,
    JobStarted,
    JobSubmitted,
    Member,
    Record,
    WorkerLoss,
)
from zinniaweir.wire.scheduler_service import JobView, WhyEntry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


ENDED_STATES: Final = frozenset({"done", "failed", "not_run", "unknown", "cancelled"})
MAX_ENDED_JOBS: Final = 2_000
"""Maximum number of ended jobs kept in full, two days' worth at 970 jobs a day."""
MAX_RETIRED_JOBS: Final = 20_000
"""Maximum number of older ended jobs of which only key and outcome are kept.

A late resubmission under the key of one of them does not run again.
"""
MAX_ACCELERATORS: Final = 64
"""Maximum number of accelerators of a worker; they are numbered from 0."""
MAX_HISTORY_PER_JOB: Final = 60
"""Maximum number of history entries per job; bounds a job that is requeued again and again."""


class RetiredJob(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """Key and outcome of a job that ended long ago."""

    job_id: str
    customer: str
    key: str
    """Idempotency key of the submission."""
    digest: bytes
    """Digest of the submission, see `spec_digest`."""
    state: str
    """Final state."""
    finished_at: float
    """Time of the end in seconds."""

    def view(self) -> JobView:
        """Return the job as callers see it."""
        return JobView(
            job_id=self.job_id,
            customer=self.customer,
            name="",
            priority="",
            state=self.state,
            reason="retired",
            finished_at=self.finished_at,
        )


@dataclass(kw_only=True)
class JobEntry:
    """State of one job."""

    job_id: str
    region: str
    """Region that schedules the job."""
    key: str
    """Idempotency key of the submission, or empty."""
    spec: JobSpec
    submitted_at: float
    corrected_from: str = ""
    """Customer and job name as the caller wrote them, if they were corrected."""
    state: str = "waiting"
    """One of `waiting`, `starting`, `running` and the final states in `ENDED_STATES`."""
    reason: str = ""
    """Why the job was requeued or ended."""
    attempt: int = 0
    """Number of the latest recorded attempt, 0 before the first."""
    members: tuple[Member, ...] = ()
    """Placement of the current attempt, empty unless the job is starting or running."""
    started_at: float = 0.0
    """Time of the first start in seconds, 0 before it."""
    finished_at: float = 0.0
    """Time of the end in seconds, 0 before it."""
    done_fraction: float = 0.0
    """Largest share of the work that a checkpoint holds."""
    losses: tuple[WorkerLoss, ...] = ()
    """Attempts that were lost with their workers."""
    has_run: bool = False
    """Whether a placement was recorded, so that an attempt may have started."""
    cancel_requested: bool = False
    """Whether a cancellation of the job is on the log."""
    history: list[WhyEntry] = field(default_factory=list)
    """Submission and most recent events, oldest first."""

    @property
    def is_ended(self) -> bool:
        """Whether the job is in a final state."""
        return self.state in ENDED_STATES

    @property
    def digest(self) -> bytes:
        """Digest of the submission, see `spec_digest`."""
        return spec_digest(self.spec)

    def retired(self) -> RetiredJob:
        """Return the short form that is kept after the full job is dropped."""
        return RetiredJob(
            job_id=self.job_id,
            customer=self.spec.customer,
            key=self.key,
            digest=self.digest,
            state=self.state,
            finished_at=self.finished_at,
        )

    def view(self) -> JobView:
        """Return the job as callers see it."""
        return JobView(
            job_id=self.job_id,
            customer=self.spec.customer,
            name=self.spec.name,
            priority=self.spec.priority,
            state=self.state,
            reason=self.reason,
            attempt=self.attempt,
            region=self.region,
            members=self.members,
            submitted_at=self.submitted_at,
            started_at=self.started_at,
            finished_at=self.finished_at,
            label=self.spec.label,
            corrected_from=self.corrected_from,
        )


class JobTable:
    """All jobs, folded from job records in log order.

    Records written by a region owner are ignored unless their epoch is the current epoch of the
    job's region. So are records with numbers that would raise an error in each owner in turn.

    Args:
        epoch_of: Returns the current epoch of a region.
    """

    def __init__(self, *, epoch_of: Callable[[str], int]) -> None:
        self._epoch_of = epoch_of
        self._jobs: dict[str, JobEntry] = {}
        self._by_key: dict[tuple[str, str], str] = {}
        self._ended: dict[str, None] = {}
        self._retired: dict[tuple[str, str], RetiredJob] = {}
        self._active: dict[str, set[str]] = defaultdict(set)

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, job_id: str) -> JobEntry | None:
        """Return a job, or None if it is unknown or no longer kept in full."""
        return self._jobs.get(job_id)

    def by_key(self, customer: str, key: str) -> JobEntry | RetiredJob | None:
        """Return the job that a customer submitted under a key, or None if there is none."""
        customer_key = (customer, key)
        return self._jobs.get(self._by_key.get(customer_key, "")) or self._retired.get(customer_key)

    def active(self, region: str) -> list[JobEntry]:
        """Return the jobs of a region that have not ended, oldest first."""
        jobs = [self._jobs[job_id] for job_id in self._active[region]]
        return sorted(jobs, key=lambda job: (job.submitted_at, job.job_id))

    def active_count(self, customer: str) -> int:
        """Return the number of jobs of a customer that have not ended."""
        return sum(
            self._jobs[job_id].spec.customer == customer
            for job_ids in self._active.values()
            for job_id in job_ids
        )

    def newest_first(self) -> list[JobEntry]:
        """Return all jobs that are kept in full, newest first."""
        return list(reversed(self._jobs.values()))

    def newest(self, *, customer: str, state: str, limit: int) -> list[JobEntry]:
        """Return jobs of a customer in a state, newest first.

        Args:
            customer: Name of the customer; empty for all.
            state: State of the jobs; empty for all.
            limit: Maximum number of jobs.
        """
        return list(self._filter(customer, state, limit))

    def count_by_state(self) -> dict[str, int]:
        """Return the number of jobs in each state."""
        counts: dict[str, int] = defaultdict(int)
        for job in self._jobs.values():
            counts[job.state] += 1
        return dict(counts)

    def matching(self, record: JobsCancelled) -> list[JobEntry]:
        """Return the jobs that a cancellation applies to and that have not ended."""
        if record.job_ids:
            named = [self._jobs.get(job_id) for job_id in record.job_ids]
            return [job for job in named if job is not None and not job.is_ended]
        return [
            job
            for job_ids in self._active.values()
            for job in (self._jobs[job_id] for job_id in job_ids)
            if job.spec.customer == record.customer
            and (not record.label or job.spec.label == record.label)
        ]

    def apply(self, offset: int, record: Record) -> list[JobEntry]:
        """Apply a record and return the jobs that it changed."""
        return self._apply(record.body, offset, record)

    def snapshot(self) -> dict[str, Any]:
        """Return all jobs as data for msgpack; encode it before the next record is applied."""
        return {
            "ended": list(self._ended),
            "jobs": list(self._jobs.values()),
            "retired": list(self._retired.values()),
        }

    def restore(self, data: dict[str, Any]) -> None:
        """Replace all jobs with those of a decoded snapshot."""
        self._jobs.clear()
        self._by_key.clear()
        self._ended.clear()
        self._active.clear()
        for job in msgspec.convert(data["jobs"], list[JobEntry]):
            self._index(job)
        # Jobs are retired in the order in which they ended, so every VM must restore this order.
        self._ended = dict.fromkeys(data["ended"])
        retired = msgspec.convert(data["retired"], list[RetiredJob])
        self._retired = {(job.customer, job.key): job for job in retired}

    @singledispatchmethod
    def _apply(self, body: Any, offset: int, record: Record) -> list[JobEntry]:
        return []

    @_apply.register
    def _(self, body: JobSubmitted, offset: int, record: Record) -> list[JobEntry]:
        customer = body.spec.customer
        if not math.isfinite(body.submitted_at):
            return []
        if body.job_id in self._jobs or (body.key and self.by_key(customer, body.key)):
            return []
        job = JobEntry(
            job_id=body.job_id,
            region=body.region,
            key=body.key,
            spec=body.spec,
            submitted_at=body.submitted_at,
            corrected_from=body.corrected_from,
        )
        self._index(job)
        _append_history(job, offset, record, "submitted", body.corrected_from)
        return [job]

    @_apply.register
    def _(self, body: JobPlaced, offset: int, record: Record) -> list[JobEntry]:
        job = self._owned_job(body)
        if job is None or body.attempt <= job.attempt or not _is_placeable(body.members):
            return []
        job.attempt = body.attempt
        job.members = body.members
        job.has_run = True
        job.state = "starting"
        job.reason = ""
        workers = ", ".join(sorted({member.worker for member in body.members})[:4])
        _append_history(job, offset, record, "placed", workers)
        return [job]

    @_apply.register
    def _(self, body: JobStarted, offset: int, record: Record) -> list[JobEntry]:
        job = self._owned_job(body)
        if job is None or body.attempt != job.attempt or job.state != "starting":
            return []
        job.state = "running"
        job.started_at = job.started_at or body.started_at
        _append_history(job, offset, record, "started")
        return [job]

    @_apply.register
    def _(self, body: JobRequeued, offset: int, record: Record) -> list[JobEntry]:
        job = self._owned_job(body)
        if job is None or body.attempt != job.attempt:
            return []
        job.state = "waiting"
        job.reason = body.reason
        job.members = ()
        job.done_fraction = max(job.done_fraction, body.done_fraction)
        # An owner that did not see the losses, or an earlier version, records none.
        job.losses = body.losses or job.losses
        _append_history(job, offset, record, "requeued", body.reason)
        return [job]

    @_apply.register
    def _(self, body: JobFinished, offset: int, record: Record) -> list[JobEntry]:
        job = self._owned_job(body)
        if job is None:
            return []
        job.state = body.state
        job.reason = body.reason
        job.finished_at = body.finished_at
        job.members = ()
        _append_history(job, offset, record, body.state, body.reason)
        self._end(job)
        return [job]

    @_apply.register
    def _(self, body: JobsCancelled, offset: int, record: Record) -> list[JobEntry]:
        jobs = [job for job in self.matching(body) if not job.cancel_requested]
        for job in jobs:
            job.cancel_requested = True
            _append_history(job, offset, record, "cancel requested")
        return jobs

    def _owned_job(self, body: Any) -> JobEntry | None:
        job = self._jobs.get(body.job_id)
        if job is None or job.is_ended:
            return None
        if body.region != job.region or body.epoch != self._epoch_of(job.region):
            return None
        return job

    def _index(self, job: JobEntry) -> None:
        self._jobs[job.job_id] = job
        if job.key:
            self._by_key[job.spec.customer, job.key] = job.job_id
        if job.is_ended:
            self._ended[job.job_id] = None
        else:
            self._active[job.region].add(job.job_id)

    def _end(self, job: JobEntry) -> None:
        self._active[job.region].discard(job.job_id)
        self._ended[job.job_id] = None
        while len(self._ended) > MAX_ENDED_JOBS:
            oldest = next(iter(self._ended))
            del self._ended[oldest]
            dropped_job = self._jobs.pop(oldest)
            if dropped_job.key:
                self._by_key.pop((dropped_job.spec.customer, dropped_job.key), None)
                self._retired[dropped_job.spec.customer, dropped_job.key] = dropped_job.retired()
        while len(self._retired) > MAX_RETIRED_JOBS:
            del self._retired[next(iter(self._retired))]

    def _filter(self, customer: str, state: str, limit: int) -> Iterator[JobEntry]:
        remaining = limit
        for job in reversed(self._jobs.values()):
            if remaining <= 0:
                return
            if (not customer or job.spec.customer == customer) and (
                not state or job.state == state
            ):
                remaining -= 1
                yield job


def spec_digest(spec: JobSpec) -> bytes:
    """Return a digest of name, priority, members and payload.

    Submissions under one key are the same if their digests are equal. The deadline is left out,
    because a resubmission may state a new one.
    """
    return xxhash.xxh3_128_digest(
        f"{spec.name}\0{spec.priority}\0{spec.members}".encode() + spec.payload
    )


def _is_placeable(members: tuple[Member, ...]) -> bool:
    return all(0 <= n < MAX_ACCELERATORS for member in members for n in member.accelerators)


def _append_history(
    job: JobEntry, offset: int, record: Record, event: str, reason: str = ""
) -> None:
    job.history.append(WhyEntry(at=record.at, offset=offset, event=event, reason=reason))
    if len(job.history) > MAX_HISTORY_PER_JOB:
        del job.history[1]
