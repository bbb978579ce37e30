"""Records that the system keeps under keys of its log."""

from __future__ import annotations

from enum import StrEnum
from typing import Final, TypeAlias

import msgspec

from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.spec import JobSpec

OWNER_KEY: Final = "owner"
"""Key of the newest claim of ownership."""


class RecordError(Exception):
    """The bytes under a key are not a record of the system."""


class JobState(StrEnum):
    """How far a job is, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether nothing more will happen to the job."""
        return self in (JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED)


class Submission(msgspec.Struct, frozen=True, kw_only=True, tag="submission"):
    """Accepts a job."""

    job_id: str
    customer: str
    terms: QueueTerms
    spec: JobSpec
    accepted_at: float
    """Wall-clock time in seconds, informational where clocks differ."""


class Cancellation(msgspec.Struct, frozen=True, kw_only=True, tag="cancellation"):
    """Cancels a job."""

    job_id: str
    at: float


class AssignmentRecord(msgspec.Struct, frozen=True, array_like=True):
    """Where one task of a run may be."""

    index: int
    worker: str
    incarnation: int
    """Start time of the worker's life, which tells lives under one name apart."""


class UnitRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one task, or of a gang as a whole."""

    step: int
    first: int
    """Index of the first task."""
    run: int
    """Number of the newest run; runs of one task are numbered upwards."""
    failures: int
    done: bool
    checkpoint: str = ""
    assignments: tuple[AssignmentRecord, ...] = ()
    """Seats of the newest run that may still be in use."""


class Progress(msgspec.Struct, frozen=True, kw_only=True, tag="progress", omit_defaults=True):
    """All that has happened to a job's tasks, written by the owner."""

    job_id: str
    state: str
    units: tuple[UnitRecord, ...] = ()
    """Units that were started at least once."""


class OwnerClaim(msgspec.Struct, frozen=True, kw_only=True, tag="claim", omit_defaults=True):
    """Claims, renews or releases the right to schedule."""

    vm: str
    incarnation: str
    epoch: int
    """Fencing token of the owner; it rises with each claim."""
    beat: int = 0
    """Number of the renewal."""
    released: bool = False


class VmAddress(msgspec.Struct, frozen=True, kw_only=True, tag="vm"):
    """Where other VMs reach a VM."""

    vm: str
    address: str
    """As `host:port`."""
    failure_domain: str
    strong: bool = True
    """Whether it has the processor time to own scheduling well."""


Record: TypeAlias = Submission | Cancellation | Progress | OwnerClaim | VmAddress

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def submission_key(job_id: str) -> str:
    """Return the key of a job's acceptance."""
    return f"s/{job_id}"


def cancellation_key(job_id: str) -> str:
    """Return the key of a job's cancellation."""
    return f"c/{job_id}"


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return f"p/{job_id}"


def vm_key(vm: str) -> str:
    """Return the key of a VM's address."""
    return f"v/{vm}"


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record:
    """Return the record in some bytes.

    Raises:
        RecordError: If there is none.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise RecordError(str(error)) from error
