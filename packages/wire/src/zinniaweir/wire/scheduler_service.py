"""Messages and service between the entry process and the scheduler process of a VM."""

from __future__ import annotations

from typing import Any

import msgspec

from zinniaweir.wire.records import JobSpec, Member
from zinniaweir.wire.service import Method, Service


class SubmitJobRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to submit a job; the same key and customer return the same job."""

    key: str
    """Idempotency key of the caller, or empty."""
    spec: JobSpec
    corrected_from: str = ""
    """Customer and job name as the caller wrote them, if they were corrected."""


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """State of a job for callers and operators."""

    job_id: str
    customer: str
    name: str
    priority: str
    state: str
    """`waiting`, `starting`, `running`, `done`, `failed`, `not_run`, `unknown` or `cancelled`."""
    reason: str = ""
    attempt: int = 0
    region: str = ""
    members: tuple[Member, ...] = ()
    submitted_at: float = 0.0
    """Wall-clock time in seconds, like the two following times."""
    started_at: float = 0.0
    """First start of the job; 0 before."""
    finished_at: float = 0.0
    """Final end of the job; 0 before."""
    label: str = ""
    corrected_from: str = ""


class JobReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply with a job, or with the reason of a refusal."""

    job: JobView | None = None
    refusal: str = ""
    detail: str = ""


class JobStatusRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a job; the reply waits until the job ended or the time is over."""

    job_id: str
    wait_seconds: float = 0.0
    """Maximum time to wait for the end of the job."""


class CancelJobsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to cancel jobs by id, or all jobs of a customer, optionally by label."""

    job_ids: tuple[str, ...] = ()
    customer: str = ""
    label: str = ""


class CancelJobsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `CancelJobsRequest`."""

    matched: int
    """Number of jobs to which the cancellation applies."""
    refusal: str = ""


class ListJobsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for jobs by customer and state; an empty field matches all."""

    customer: str = ""
    state: str = ""
    limit: int = 200


class ListJobsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `ListJobsRequest`: jobs, newest first."""

    jobs: list[JobView]


class WhyRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the recorded history of a job."""

    job_id: str


class WhyEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Event in the recorded history of a job."""

    at: float
    """Wall-clock time of the record in seconds."""
    offset: int
    """Offset of the record."""
    event: str
    reason: str = ""


class WhyReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `WhyRequest`: the history of a job and why it waits now."""

    job: JobView | None
    history: list[WhyEntry] = []
    waiting_for: str = ""


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a claim of the only run of a non-idempotent request."""

    key: str
    customer: str
    digest: bytes
    """Digest of the request, to detect a key that is used for another request."""
    wait_seconds: float
    """Maximum time to wait for the answer if the request was already claimed."""


class ClaimReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `ClaimRequest`: a granted claim, or the state of the earlier run."""

    granted: bool
    claim_id: str = ""
    state: str = ""
    """State of the earlier run if the claim is refused.

    One of `done`, `failed`, `not_run` or `unknown`.
    """
    reason: str = ""
    answer: bytes = b""


class FinishRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to store the outcome of a claim, or to release one whose request was never sent."""

    key: str
    claim_id: str
    state: str
    """One of `done`, `failed`, `unknown` or `released`."""
    reason: str = ""
    answer: bytes = b""


class FinishReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `FinishRequest`."""

    durable: bool
    """Whether the outcome was read back from the log."""


class PutSettingsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to replace the value at a settings path, or to review that change."""

    path: str
    value: Any
    """The new value; null removes the path."""
    base_version: int
    """Version of the subtree on which the author based the change."""
    author: str = ""
    note: str = ""
    review_only: bool = False
    """Whether the change is only checked, not made."""


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Rule that a settings value violates."""

    path: str
    value: str
    rule: str


class PutSettingsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `PutSettingsRequest`: the outcome of the change."""

    state: str
    """One of `accepted`, `conflict`, `invalid`, `reviewed`, `not_run` or `unknown`."""
    version: int = 0
    problems: list[Problem] = []
    reason: str = ""
    diff: list[str] = []
    preempts: list[str] = []
    """Jobs that the change would preempt."""


class GetSettingsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the value at a settings path."""

    path: str


class GetSettingsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `GetSettingsRequest`: the value and the version of its subtree."""

    found: bool
    version: int = 0
    value: Any = None


class HistoryRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the changes below a settings path."""

    path: str
    limit: int = 100


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Published settings change, which was accepted or refused."""

    offset: int
    """Offset of the record."""
    at: float
    """Wall-clock time of the record in seconds."""
    path: str
    author: str
    note: str
    accepted: bool
    reason: str = ""


class HistoryReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `HistoryRequest`: changes, newest first."""

    changes: list[Change]


class Surroundings(msgspec.Struct, frozen=True, kw_only=True):
    """Facts about other VMs that the entry process needs."""

    leaving_upstreams: tuple[str, ...] | None = None
    """Names of upstreams that are leaving according to the VM list; None before it was read."""
    live_vms: int = 1
    """Number of live system VMs, over which the limits of customers are divided."""


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request that waits until the settings, the state or the surroundings change.

    The fields hold what the entry process knows.
    """

    settings_version: int
    state: str
    surroundings: Surroundings
    wait_seconds: float
    """Maximum time to wait for a change."""


class WatchReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `WatchRequest`: the current settings, state and surroundings of the VM."""

    settings_version: int
    settings: Any
    """The whole settings tree, or null if the entry process already has this version."""
    state: str
    """One of `starting`, `ready`, `log_unavailable`, `isolated` or `no_state`."""
    surroundings: Surroundings


class VmStatusRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the state of the VM."""


class VmStatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `VmStatusRequest`: the state of one scheduler process."""

    vm: str
    state: str
    log_offset: int
    """First offset that the VM has not folded."""
    fresh_age_seconds: float
    """Age of the VM's knowledge of the end of the log."""
    settings_version: int
    shards: dict[str, str]
    """VM that owns each shard; empty for a shard without an owner."""
    peers: dict[str, str]
    """State of each other VM."""
    counters: dict[str, int]
    jobs: dict[str, int]
    """Number of jobs by state."""


SCHEDULER_SERVICE = Service(
    name="Scheduler",
    methods=(
        Method(name="SubmitJob", request=SubmitJobRequest, reply=JobReply),
        Method(name="JobStatus", request=JobStatusRequest, reply=JobReply),
        Method(name="CancelJobs", request=CancelJobsRequest, reply=CancelJobsReply),
        Method(name="ListJobs", request=ListJobsRequest, reply=ListJobsReply),
        Method(name="Why", request=WhyRequest, reply=WhyReply),
        Method(name="Claim", request=ClaimRequest, reply=ClaimReply),
        Method(name="Finish", request=FinishRequest, reply=FinishReply),
        Method(name="PutSettings", request=PutSettingsRequest, reply=PutSettingsReply),
        Method(name="GetSettings", request=GetSettingsRequest, reply=GetSettingsReply),
        Method(name="History", request=HistoryRequest, reply=HistoryReply),
        Method(name="Watch", request=WatchRequest, reply=WatchReply),
        Method(name="VmStatus", request=VmStatusRequest, reply=VmStatusReply),
    ),
)
