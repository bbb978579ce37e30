"""The events that the core handles."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

from zinniaweir.core.job import Job
from zinniaweir.core.losses import WorkerLoss
from zinniaweir.core.settings import Settings
from zinniaweir.core.topology import Topology, Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class JobArrived:
    """A job was accepted.

    After a change of the region's owner, the event also has the results of earlier attempts.
    """

    job: Job
    attempt: int = 0
    """Number of attempts so far."""
    done_fraction: float = 0.0
    """Share of the work that the last checkpoint holds, from 0 to 1."""
    losses: tuple[WorkerLoss, ...] = ()
    """Attempts that were lost with their workers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled:
    """Jobs were cancelled: they must not start again and are stopped if they run."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class GangStarted:
    """All members of the attempt run."""

    job_id: str
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GangStartFailed:
    """The attempt did not start; no member of it runs any more."""

    job_id: str
    attempt: int
    worker: str | None
    """The worker on which the start failed, or None if the failure is not one of a worker."""
    reason: str = ""
    may_have_run: bool = False
    """Whether a member may have run; a non-idempotent job is then not started again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskExited:
    """A member ended, or the whole gang if `member` is None."""

    job_id: str
    attempt: int
    outcome: Literal["done", "failed", "stopped", "lease_lapsed"]
    member: int | None = None
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class GangStopped:
    """No member of the attempt runs any more, after StopGang or the loss of its workers."""

    job_id: str
    attempt: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointFinished:
    """All members wrote their checkpoint and ended."""

    job_id: str
    attempt: int
    done_fraction: float


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReported:
    """The resources that a member used at the time of a measurement."""

    job_id: str
    attempt: int
    member: int
    cores: float
    """Processor usage in cores."""
    memory_bytes: int
    measured_at: float
    """Time of the measurement, in seconds of the core's time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerJoined:
    """A worker became live, for the first time or again."""

    worker: Worker
    ran_on: bool = False
    """Whether it is known to have run on while it could not be reached."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerLost:
    """A worker ended or cannot be reached."""

    worker: str
    silent_seconds: float = 0.0
    """For how long it has not answered; work that was placed meanwhile is not suspected."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureDomainOut:
    """Operators took a failure domain out."""

    failure_domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureDomainIn:
    """Operators brought a failure domain back."""

    failure_domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsChanged:
    """New settings were accepted, and a new topology if one is given."""

    settings: Settings
    topology: Topology | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time passed; to be sent at the time that `Scheduler.next_wakeup` returns."""


Event: TypeAlias = (
    JobArrived
    | JobCancelled
    | GangStarted
    | GangStartFailed
    | TaskExited
    | GangStopped
    | CheckpointFinished
    | UsageReported
    | WorkerJoined
    | WorkerLost
    | FailureDomainOut
    | FailureDomainIn
    | SettingsChanged
    | Tick
)
