"""Messages and service of workers: commands, leases and events."""

from __future__ import annotations

import msgspec

from zinniaweir.wire.service import Method, Service


class GangRef(msgspec.Struct, frozen=True, kw_only=True):
    """Reference to an attempt of a job."""

    job_id: str
    attempt: int


class TaskStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a task or reservation on a worker."""

    job_id: str
    attempt: int
    member: int
    accelerators: tuple[int, ...]
    state: str
    """One of `reserved`, `running` or `checkpointing`."""
    lease_left_seconds: float
    """Time until the lease or the reservation ends."""


class ReserveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to reserve accelerators for one member of a gang for a limited time."""

    epoch: int
    """Epoch of the sender; a worker refuses a command below the highest epoch it has received."""
    job_id: str
    attempt: int
    member: int
    accelerators: tuple[int, ...]
    cores: int
    memory_bytes: int
    ttl_seconds: float
    """Time after which an unused reservation ends."""


class StartRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to start all reserved members of an attempt on the worker."""

    epoch: int
    job_id: str
    attempt: int
    name: str
    """Name of the job."""
    lease_seconds: float
    """Time for which the members run unless their lease is renewed."""
    start_fraction: float = 0.0
    """Fraction of the work that an earlier checkpoint holds."""
    payload: bytes = b""
    max_reservation_age_seconds: float = 0.0
    """Age of the newest reservation here above which the start is too late; 0 for no limit."""
    incarnation: str = ""
    """Incarnation of the worker that reserved the members; empty for any."""


class GangRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to stop or checkpoint all members of an attempt on the worker."""

    epoch: int
    job_id: str
    attempt: int


class ThrottleRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to limit the processor time of the members of an attempt."""

    epoch: int
    job_id: str
    attempt: int
    share: float
    """Fraction of their processor time that the members may use."""


class CommandReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply of a worker to a command."""

    ok: bool
    """Whether the command was carried out."""
    refusal: str = ""
    """Reason of the refusal, or empty.

    One of `stale_epoch`, `other_incarnation`, `busy`, `unknown_gang`, `too_late` or `start_failed`.
    """
    epoch: int = 0
    """Highest epoch that the worker has received."""
    incarnation: str = ""
    """Incarnation of the worker."""


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to renew the leases of gangs and to wait for events."""

    epoch: int
    lease_seconds: float
    gangs: list[GangRef]
    """Attempts whose leases are renewed."""
    after_sequence: int
    """Sequence number after which events are returned."""
    wait_seconds: float
    """Maximum time to wait for an event."""
    incarnation: str = ""
    """Incarnation of the worker to which `after_sequence` belongs; empty for any."""


class WorkerEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Event of a task on a worker."""

    sequence: int
    kind: str
    """One of `done`, `failed`, `checkpointed`, `stopped` or `lease_lapsed`."""
    job_id: str
    attempt: int
    member: int
    reason: str = ""
    done_fraction: float = 0.0
    """Fraction of the work that the checkpoint holds."""


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Resource usage of a task at an earlier time."""

    job_id: str
    attempt: int
    member: int
    cores: float
    memory_bytes: int
    age_seconds: float
    """Time since the usage was sampled."""


class SyncReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `SyncRequest`."""

    ok: bool
    refusal: str = ""
    """One of `stale_epoch`, `other_incarnation` or empty."""
    epoch: int = 0
    """Highest epoch that the worker has received."""
    incarnation: str = ""
    """Incarnation of the worker; compared for equality only."""
    sequence: int = 0
    """Sequence number of the newest event; a restart begins anew."""
    events: list[WorkerEvent] = []
    usage: list[Usage] = []


class ListRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for all tasks, which also raises the epoch of the worker."""

    epoch: int


class ListReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `ListRequest`: all tasks and reservations on the worker."""

    ok: bool
    refusal: str = ""
    """Either `stale_epoch` or empty."""
    epoch: int = 0
    """Highest epoch that the worker has received."""
    incarnation: str = ""
    """Incarnation of the worker."""
    sequence: int = 0
    """Sequence number of the newest event."""
    tasks: list[TaskStatus] = []


WORKER_SERVICE = Service(
    name="Worker",
    methods=(
        Method(name="Reserve", request=ReserveRequest, reply=CommandReply),
        Method(name="Start", request=StartRequest, reply=CommandReply),
        Method(name="Stop", request=GangRequest, reply=CommandReply),
        Method(name="Checkpoint", request=GangRequest, reply=CommandReply),
        Method(name="Throttle", request=ThrottleRequest, reply=CommandReply),
        Method(name="Sync", request=SyncRequest, reply=SyncReply),
        Method(name="List", request=ListRequest, reply=ListReply),
    ),
)
