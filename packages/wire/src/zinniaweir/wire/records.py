"""Records of the platform's log and their encoding.

A stored record carries the class name of its body as the tag.
"""

from __future__ import annotations

import secrets
import time
from typing import Any, TypeAlias

import msgspec


class RecordError(Exception):
    """The bytes of a log entry are not a valid record."""


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Job as requested by a caller."""

    customer: str
    name: str
    priority: str = "normal"
    """One of `urgent`, `normal` or `batch`."""
    members: int = 1
    """Number of members of the gang."""
    accelerators: int = 1
    """Adjacent accelerators for each member."""
    cores: int = 1
    """Processor cores for each member."""
    memory_bytes: int = 0
    """Memory for each member."""
    spread: str = "failure_domain"
    """Unit that must contain all members: `worker`, `rack`, `failure_domain` or `region`."""
    declared_seconds: float = 60.0
    """Run time that the caller declares."""
    deadline: float | None = None
    """Wall-clock time in seconds by which the job should be done, or None."""
    checkpointable: bool = False
    """Whether the job can be checkpointed, so that a later attempt continues its work."""
    idempotent: bool = True
    """Whether work may run again after an attempt that failed, was stopped or was lost."""
    label: str = ""
    """Label that the caller gave, by which jobs can be cancelled."""
    payload: bytes = b""
    """Input of the job, which is passed to its workers."""


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Placement of one member of a gang."""

    member: int
    """Index of the member in its gang."""
    worker: str
    """Name of the worker."""
    accelerators: tuple[int, ...]
    """Indexes of the accelerators on the worker."""


class SettingsPut(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Change of the value at a settings path; a null value removes it."""

    path: str
    value: Any
    base_version: int
    """Version of the subtree on which the author based the change."""
    author: str = ""
    note: str = ""


class OwnershipClaimed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claim of a shard; the offset of a valid claim becomes the epoch of the shard."""

    shard: str
    incarnation: str
    """Incarnation of the claiming VM."""
    supersedes: int
    """Epoch of the previous claim; the claim is valid only if this is the current epoch."""


class OwnershipReleased(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Release of a shard by its owner."""

    shard: str
    epoch: int
    """Epoch of the claim that is released."""


class JobSubmitted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Acceptance of a job into a region."""

    job_id: str
    region: str
    key: str
    """Idempotency key of the caller, or empty."""
    spec: JobSpec
    submitted_at: float
    """Wall-clock time in seconds."""
    corrected_from: str = ""
    """Customer and job name as the caller wrote them, if they were corrected."""


class JobPlaced(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Placement of an attempt, recorded before its start."""

    job_id: str
    region: str
    epoch: int
    attempt: int
    members: tuple[Member, ...]


class JobStarted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Start of an attempt: all its members run."""

    job_id: str
    region: str
    epoch: int
    attempt: int
    started_at: float
    """Wall-clock time in seconds."""


class WorkerLoss(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An attempt that was lost with a worker, which it may have crashed."""

    attempt: int
    worker: str
    at: float
    """Time of the loss in seconds; with the worker, it identifies the loss among jobs."""
    sole: bool
    """Whether nothing else can explain the loss: no other job there, no wider failure."""
    explained: bool = False
    """Whether another job that was there turned out to crash workers."""
    members: tuple[int, ...] = ()
    """Members on lost workers, less those cleared since; unknown if it is empty."""
    lasted_seconds: float = 0.0
    """Time for which the attempt is known to have run before the loss."""


class JobRequeued(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """End of an attempt after which the job waits again."""

    job_id: str
    region: str
    epoch: int
    attempt: int
    reason: str
    checkpointed: bool = False
    done_fraction: float = 0.0
    """Fraction of the work that the checkpoint holds."""
    losses: tuple[WorkerLoss, ...] = ()
    """All attempts of the job so far that were lost with their workers."""


class JobFinished(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Final end of a job."""

    job_id: str
    region: str
    epoch: int
    state: str
    """One of `done`, `failed`, `not_run`, `unknown` or `cancelled`."""
    reason: str = ""
    finished_at: float = 0.0
    """Wall-clock time in seconds."""


class JobsCancelled(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Cancellation of jobs by id, or of all jobs of a customer, optionally by label."""

    job_ids: tuple[str, ...] = ()
    customer: str = ""
    label: str = ""


class RequestClaimed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claim of the only run of a non-idempotent request; the first claim of a key is valid."""

    key: str
    customer: str
    digest: bytes
    """Digest of the request, to detect a key that is used for another request."""
    claimed_at: float
    """Wall-clock time of the claiming VM in seconds."""


class RequestReleased(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Release of a claim whose request is proven never to have been sent."""

    key: str
    claim_id: str
    """Id of the record of the claim."""


class RequestFinished(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Outcome and answer of a claimed request."""

    key: str
    claim_id: str
    """Id of the record of the claim."""
    state: str
    reason: str = ""
    answer: bytes = b""


class SnapshotPart(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Part of a snapshot of the folded state."""

    snapshot_id: str
    epoch: int
    """Epoch of the shard `snapshot` under which the snapshot was written."""
    through_offset: int
    """Last offset that the state contains."""
    index: int
    """Position of this part in the snapshot, from 0."""
    count: int
    """Number of parts of the snapshot."""
    payload: bytes
    """This part of the compressed state."""


Body: TypeAlias = (
    SettingsPut
    | OwnershipClaimed
    | OwnershipReleased
    | JobSubmitted
    | JobPlaced
    | JobStarted
    | JobRequeued
    | JobFinished
    | JobsCancelled
    | RequestClaimed
    | RequestReleased
    | RequestFinished
    | SnapshotPart
)


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Envelope of a record."""

    id: str
    """Random id, by which copies of the record are recognized."""
    vm: str
    """Name of the VM that wrote the record."""
    at: float
    """Wall-clock time of the writer in seconds; shown to people, never used for decisions."""
    body: Body


_DECODER = msgspec.msgpack.Decoder(Record)
_ENCODER = msgspec.msgpack.Encoder()


def new_record(*, vm: str, body: Body) -> Record:
    """Return a record with a new random id and the current time."""
    return Record(id=secrets.token_hex(16), vm=vm, at=time.time(), body=body)


def encode_record(record: Record) -> bytes:
    """Encode a record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record.

    Raises:
        RecordError: If the bytes are not a valid record.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(str(error)) from error
