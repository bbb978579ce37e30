"""Decisions of the core for its process to carry out, with typed reasons."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal, TypeAlias

from zinniaweir.core.losses import WorkerLoss
from zinniaweir.core.shape import Member


class Reason(StrEnum):
    """Why a decision was taken or why a job waits."""

    GUARANTEED = "guaranteed"
    """Started within its customer's guarantee."""
    FREE_CAPACITY = "free_capacity"
    """Started on capacity that no guarantee covers."""
    BORROWED = "borrowed"
    """Started on capacity borrowed from a guarantee."""
    BACKFILLED = "backfilled"
    """Started before an earlier waiting job, without delaying it."""
    GUARANTEE_RECLAIMED = "guarantee_reclaimed"
    """Ended because a job needs the capacity within its customer's guarantee."""
    PRIORITY_PREEMPTED = "priority_preempted"
    """Ended for a job of a higher priority."""
    DEFRAGMENTED = "defragmented"
    """Ended so that a larger job of the same priority fits."""
    FAILURE_DOMAIN_OUT = "failure_domain_out"
    WORKER_LOST = "worker_lost"
    MEMBER_FAILED = "member_failed"
    START_FAILED = "start_failed"
    START_TIMED_OUT = "start_timed_out"
    CHECKPOINT_TIMED_OUT = "checkpoint_timed_out"
    CHECKPOINTED = "checkpointed"
    """Wrote a checkpoint and ended although the core had not asked for it."""
    CANCELLED = "cancelled"
    DONE = "done"
    FAILS_EVERYWHERE = "fails_everywhere"
    CRASHES_WORKERS = "crashes_workers"
    """Workers were lost under it again and again, and nothing else explains that."""
    MAY_HAVE_RUN = "may_have_run"
    """An attempt of a non-idempotent job ended without a known outcome; it is not run again."""
    EXCEEDS_DECLARATION = "exceeds_declaration"
    SHAPE_EXCEEDS_TOPOLOGY = "shape_exceeds_topology"
    NOT_RECLAIMABLE = "not_reclaimable"
    """Fits only on capacity of guarantees, which only reclaimable jobs may borrow."""
    EXCEEDS_QUOTA = "exceeds_quota"
    """Larger than the customer's quota."""
    PRIORITY_NOT_PERMITTED = "priority_not_permitted"
    WORKER_FAILS_ALL = "worker_fails_all"
    """The worker is quarantined after several failures without a success."""
    PROBE_DUE = "probe_due"
    """The quarantine of the worker ended, and it is on probation."""
    QUOTA_REACHED = "quota_reached"
    """Waits because it would exceed its customer's quota at the moment."""
    NO_CAPACITY = "no_capacity"
    FRAGMENTED = "fragmented"
    """Enough accelerators are free, but not adjacent or not close enough together."""
    RESERVED_FOR_EARLIER = "reserved_for_earlier"
    RETURN_RAMP = "return_ramp"
    """Waits while the rate of starts in a returned failure domain is limited."""
    WAITING_FOR_RECLAIM = "waiting_for_reclaim"
    """Waits for the gangs on the capacity that it claims to end."""
    QUEUED = "queued"
    RUNNING = "running"
    STARTING = "starting"
    STOPPING = "stopping"
    UNKNOWN_JOB = "unknown_job"


@dataclass(frozen=True, kw_only=True, slots=True)
class StartGang:
    """Start all members or none; the answer is GangStarted or GangStartFailed."""

    job_id: str
    attempt: int
    members: tuple[Member, ...]
    reason: Reason
    done_fraction: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointGang:
    """Checkpoint and end all members; the answer is CheckpointFinished or TaskExited."""

    job_id: str
    attempt: int
    reason: Reason
    time_limit: float
    """Time in seconds of `now` at which the core stops the gang if it has not ended."""
    claimant: str | None = None
    """The job that claims the capacity, or None if no job does."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopGang:
    """Stop all members; the answer is GangStopped or TaskExited."""

    job_id: str
    attempt: int
    reason: Reason
    claimant: str | None = None
    """The job that claims the capacity, or None if no job does."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseJob:
    """Report that a job cannot run under the current settings and topology."""

    job_id: str
    reason: Reason
    detail: str = ""
    kept_waiting: bool = False
    """Whether the job is kept until a change of settings or topology may let it run.

    Such a refusal ends with a StartGang, a JobCancelled, or a later RefuseJob with false.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class RequeueJob:
    """Report that an attempt ended and the job waits again."""

    job_id: str
    attempt: int
    reason: Reason
    checkpointed: bool = False
    done_fraction: float = 0.0
    losses: tuple[WorkerLoss, ...] = ()
    """All attempts that were lost with their workers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FinishJob:
    """Report that a job ended for good."""

    job_id: str
    state: Literal["done", "failed", "not_run", "unknown", "cancelled"]
    reason: Reason
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask:
    """Limit a member to a share of its processor time."""

    job_id: str
    attempt: int
    member: int
    share: float
    reason: Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineWorker:
    """Report that no gang starts on a worker until it is released."""

    worker: str
    reason: Reason
    until: float
    """End of the quarantine, in seconds of the core's time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseWorker:
    """Report that a worker leaves quarantine and runs one gang at a time on probation."""

    worker: str
    reason: Reason


Decision: TypeAlias = (
    StartGang
    | CheckpointGang
    | StopGang
    | RefuseJob
    | RequeueJob
    | FinishJob
    | ThrottleTask
    | QuarantineWorker
    | ReleaseWorker
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Why a job waits, or the phase that it is in."""

    job_id: str
    reason: Reason
    detail: str = ""
