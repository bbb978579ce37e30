"""Records that are stored in the log, and their keys."""

from __future__ import annotations

from enum import StrEnum
from typing import Final, TypeAlias

import msgspec

from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.spec import JobSpec, SpecError, check_spec

OWNER_KEY: Final = "owner"
"""Key of the newest ownership claim."""


class RecordError(Exception):
    """The bytes under a key cannot be decoded as a record."""


class JobState(StrEnum):
    """State of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)


class Submission(msgspec.Struct, frozen=True, kw_only=True, tag="submission"):
    """An accepted job."""

    job_id: str
    customer: str
    terms: QueueTerms
    spec: JobSpec
    accepted_at: float
    """Wall-clock time in seconds; only informational where the clocks of VMs differ."""


class Cancellation(msgspec.Struct, frozen=True, kw_only=True, tag="cancellation"):
    """The cancellation of a job."""

    job_id: str
    at: float
    """Wall-clock time in seconds."""


class EarlyCancellation(msgspec.Struct, frozen=True, kw_only=True, tag="early_cancellation"):
    """The cancellation of a job that the log did not have, whose submission may still arrive.

    It cancels only a job of the customer that it names. Earlier versions cannot read it.
    """

    job_id: str
    customer: str
    """Customer that cancelled, empty for a caller without a key."""
    at: float
    """Wall-clock time in seconds; only informational."""


class AssignmentRecord(msgspec.Struct, frozen=True, array_like=True):
    """The worker on which one task of a run may be running."""

    index: int
    worker: str
    incarnation: int
    """Start time of the worker's incarnation, which distinguishes incarnations with one name."""


class LateStartRecord(msgspec.Struct, frozen=True, array_like=True):
    """A start without an answer, which its worker may carry out late, also after a restart."""

    index: int
    run: int
    worker: str


class LossRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that was lost with its worker, which it may have crashed."""

    run: int
    worker: str
    incarnation: int
    sole: bool
    """Whether nothing else can explain the loss: no other unit there, no wider failure."""
    explained: bool = False
    """Whether another unit that was there turned out to crash workers."""
    members: tuple[int, ...] = ()
    """Indexes of the tasks on lost workers, less those cleared since; unknown if it is empty."""
    lasted_seconds: float = 0.0
    """Time for which these tasks are known to have run before the loss."""


class UnitRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a unit: one task, or a gang as a whole."""

    step: int
    first_index: int
    """Index of the first task."""
    run: int
    """Number of the newest run; runs of one task are numbered upwards."""
    failures: int
    done: bool
    checkpoint: str = ""
    assignments: tuple[AssignmentRecord, ...] = ()
    """Assignments of the newest run whose end is not known yet."""
    losses: tuple[LossRecord, ...] = ()
    """Runs that were lost with their workers."""
    late_starts: tuple[LateStartRecord, ...] = ()
    """Starts that may still arrive."""
    failed_run: int = 0
    """Run of the last failure, which the ends of its other members do not count again."""


class Progress(msgspec.Struct, frozen=True, kw_only=True, tag="progress", omit_defaults=True):
    """State of a job and its units, written by the owner."""

    job_id: str
    state: str
    units: tuple[UnitRecord, ...] = ()
    """Units that were started at least once; empty if they are stored in pages."""
    page_tasks: int = 0
    """Number of tasks of each page, 0 if the units are stored here.

    Earlier versions know no pages.
    """


class ProgressPage(msgspec.Struct, frozen=True, kw_only=True, tag="page", omit_defaults=True):
    """State of a part of the units of a job whose progress is too large for one record.

    Pages hold consecutive tasks of the job. A gang is on each page that holds a task of it, with
    what concerns these tasks.
    """

    job_id: str
    number: int
    units: tuple[UnitRecord, ...] = ()
    """Units that were started at least once."""


class OwnerClaim(msgspec.Struct, frozen=True, kw_only=True, tag="claim", omit_defaults=True):
    """Claim, renewal or release of the ownership of scheduling."""

    vm: str
    incarnation: str
    """Random identifier of the VM's process."""
    epoch: int
    """Fencing token of the owner; it increases with each claim."""
    beat: int = 0
    """Sequence number of the renewal."""
    released: bool = False
    sole: bool = False
    """Whether every earlier owner has provably renewed its last lease.

    Owners of earlier versions do not set it.
    """


class PagedOwnerClaim(OwnerClaim, frozen=True, kw_only=True, tag="paged_claim", omit_defaults=True):
    """Claim, renewal or release of an owner that may store progress in pages.

    Earlier versions cannot read it, so their VMs do not own scheduling while it is the newest one:
    they would start again what the pages hold.
    """


class VmAddress(msgspec.Struct, frozen=True, kw_only=True, tag="vm"):
    """Address at which other VMs reach a VM."""

    vm: str
    address: str
    """As `host:port`."""
    failure_domain: str
    strong: bool = True
    """Whether it has enough processor time to be preferred as the owner."""


Record: TypeAlias = (
    Submission
    | Cancellation
    | EarlyCancellation
    | Progress
    | ProgressPage
    | OwnerClaim
    | PagedOwnerClaim
    | VmAddress
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def submission_key(job_id: str) -> str:
    """Return the key of a job's submission."""
    return f"s/{job_id}"


def cancellation_key(job_id: str) -> str:
    """Return the key of a job's cancellation."""
    return f"c/{job_id}"


def early_cancellation_key(job_id: str, number: str) -> str:
    """Return the key of an early cancellation.

    Args:
        job_id: The job.
        number: Random number that distinguishes it from others of the same job.
    """
    return f"e/{job_id}/{number}"


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"p/{job_id}"


def progress_page_key(job_id: str, number: int) -> str:
    """Return the key of a page of a job's progress."""
    return f"{progress_key(job_id)}/{number}"


def vm_key(vm: str) -> str:
    """Return the key of a VM's address."""
    return f"v/{vm}"


def encode_record(record: Record) -> bytes:
    """Encode a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record.

    Raises:
        RecordError: If the bytes are not a valid record.
    """
    try:
        record = _decoder.decode(data)
        if isinstance(record, Submission):
            check_spec(record.spec)
        elif isinstance(record, Progress):
            JobState(record.state)
    except (msgspec.DecodeError, SpecError, ValueError) as error:
        raise RecordError(str(error)) from error
    return record
