"""Operations on jobs: submit, status, list, why and cancel."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final, Literal

import msgspec

from zinniaweir.entry.admission import corrected_from, name_problem_answer
from zinniaweir.entry.answers import json_answer, not_run, unknown_job
from zinniaweir.entry.scheduler_link import SchedulerUnavailableError
from zinniaweir.wire.records import JobSpec
from zinniaweir.wire.scheduler_service import (
    CancelJobsRequest,
    JobStatusRequest,
    JobView,
    ListJobsRequest,
    SubmitJobRequest,
    WhyRequest,
)

if TYPE_CHECKING:
    from zinniaweir.entry.admission import Admission
    from zinniaweir.entry.answers import Answer
    from zinniaweir.entry.api import Api, Call
    from zinniaweir.entry.scheduler_link import SchedulerLink

MAX_WAIT_SECONDS: Final = 300.0
"""Maximum time that a call waits for the end of a job."""
SUBMIT_TIMEOUT_SECONDS: Final = 8.0
"""Timeout of a submission.

A submission takes one append to the log and its read-back; if they take longer, the log is not
usable.
"""
BYTES_PER_GB: Final = 1024**3


class JobBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """JSON body of a job submission."""

    customer: str
    name: str
    key: str = ""
    priority: Literal["urgent", "normal", "batch"] = "normal"
    members: int = 1
    """Number of members of the gang."""
    accelerators: int = 1
    """Accelerators for each member."""
    cores: int = 1
    """Processor cores for each member."""
    memory_gb: float = 0.0
    """Memory for each member, in units of 1024**3 bytes."""
    spread: Literal["worker", "rack", "failure_domain", "region"] = "failure_domain"
    """Unit that must contain all members."""
    declared_seconds: float = 60.0
    """Run time that the caller declares."""
    deadline_seconds: float | None = None
    """Time from the submission to the deadline, or None."""
    checkpointable: bool = False
    """Whether the job can be checkpointed."""
    idempotent: bool = True
    """Whether work may run again after an attempt that failed, was stopped or was lost."""
    label: str = ""
    """Label by which jobs can be cancelled."""
    payload: dict[str, Any] = {}
    """Input of the job, which is passed to its workers as JSON."""
    wait_seconds: float = 0.0
    """Time to wait for the end of the job; 0 answers as soon as the job is accepted."""


class CancelBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """JSON body of a cancellation."""

    job_ids: tuple[str, ...] = ()
    customer: str = ""
    label: str = ""


class JobsApi:
    """Forward operations on jobs to the scheduler process."""

    def __init__(self, *, link: SchedulerLink, admission: Admission) -> None:
        self._link = link
        self._admission = admission

    def register(self, api: Api) -> None:
        """Register the operations with the API."""
        api.add("POST", r"/v1/jobs", self.submit)
        api.add("GET", r"/v1/jobs", self.list)
        api.add("GET", r"/v1/jobs/([\w.-]+)", self.status)
        api.add("DELETE", r"/v1/jobs/([\w.-]+)", self.cancel_one)
        api.add("GET", r"/v1/jobs/([\w.-]+)/why", self.why)
        api.add("POST", r"/v1/cancel", self.cancel)

    async def submit(self, call: Call) -> Answer:
        """Submit a job, and wait for its end if the body sets `wait_seconds`."""
        body: JobBody = call.decode(JobBody)
        problem = _validation_error(body)
        if problem:
            return not_run("invalid", problem)
        resolved = self._admission.resolve(body.customer, body.name, body.priority)
        if resolved.is_error():
            return name_problem_answer(resolved.error)
        names = resolved.ok
        if refusal := self._admission.job_refusal(names.customer):
            return not_run(refusal.reason, refusal.detail)
        request = SubmitJobRequest(
            key=body.key,
            spec=_job_spec(body, names.customer, names.job),
            corrected_from=corrected_from(names),
        )
        try:
            reply = await self._link.call("SubmitJob", request, timeout=SUBMIT_TIMEOUT_SECONDS)
        except SchedulerUnavailableError as error:
            return _unavailable_answer(error)
        if reply.job is None:
            return _refusal_answer(reply.refusal, reply.detail)
        if body.wait_seconds:
            wait = min(body.wait_seconds, MAX_WAIT_SECONDS)
            return await self._status(reply.job.job_id, wait)
        return _job_answer(reply.job, accepted=True)

    async def status(self, call: Call) -> Answer:
        """Return a job, after waiting for its end if the query sets `wait_seconds`."""
        wait = call.number("wait_seconds", 0.0, maximum=MAX_WAIT_SECONDS)
        return await self._status(call.argument, wait)

    async def list(self, call: Call) -> Answer:
        """Return jobs, optionally filtered by customer and state."""
        request = ListJobsRequest(
            customer=call.query.get("customer", ""),
            state=call.query.get("state", ""),
            limit=int(call.number("limit", 200, maximum=10_000)),
        )
        return await self._forward("ListJobs", request)

    async def why(self, call: Call) -> Answer:
        """Return the recorded history of a job."""
        answer = await self._forward("Why", WhyRequest(job_id=call.argument))
        if answer.status == 200 and msgspec.json.decode(answer.body)["job"] is None:
            return unknown_job(call.argument)
        return answer

    async def cancel_one(self, call: Call) -> Answer:
        """Cancel one job."""
        return await self._forward("CancelJobs", CancelJobsRequest(job_ids=(call.argument,)))

    async def cancel(self, call: Call) -> Answer:
        """Cancel jobs by id, or the jobs of a customer, optionally filtered by label."""
        body: CancelBody = call.decode(CancelBody)
        if bool(body.job_ids) == bool(body.customer):
            return not_run("invalid", "name either job_ids or a customer")
        request = CancelJobsRequest(job_ids=body.job_ids, customer=body.customer, label=body.label)
        return await self._forward("CancelJobs", request)

    async def _status(self, job_id: str, wait_seconds: float) -> Answer:
        request = JobStatusRequest(job_id=job_id, wait_seconds=wait_seconds)
        try:
            reply = await self._link.call("JobStatus", request, timeout=wait_seconds + 5.0)
        except SchedulerUnavailableError as error:
            return json_answer(
                503, {"state": "unknown", "reason": "scheduler_unavailable", "detail": str(error)}
            )
        if reply.job is None:
            return unknown_job(job_id)
        return _job_answer(reply.job)

    async def _forward(self, name: str, request: Any) -> Answer:
        try:
            reply = await self._link.call(name, request)
        except SchedulerUnavailableError as error:
            return _unavailable_answer(error)
        refusal = getattr(reply, "refusal", "")
        if refusal:
            return _refusal_answer(refusal, "")
        return json_answer(200, reply)


def _validation_error(body: JobBody) -> str:
    """Return what is wrong with a body, or an empty string."""
    bounds = {
        "members": (body.members, 1, 10_000),
        "accelerators": (body.accelerators, 0, 1024),
        "cores": (body.cores, 0, 4096),
        "memory_gb": (body.memory_gb, 0, 65_536),
        "declared_seconds": (body.declared_seconds, 0, 366 * 86_400),
        "deadline_seconds": (body.deadline_seconds or 0, 0, 366 * 86_400),
        "wait_seconds": (body.wait_seconds, 0, MAX_WAIT_SECONDS),
    }
    for field, (value, minimum, maximum) in bounds.items():
        if not minimum <= value <= maximum:
            return f"{field}: expected {minimum} to {maximum}, got {value}"
    if body.accelerators == 0 and body.cores == 0:
        return "a member needs accelerators or cores"
    if len(body.key) > 200 or len(body.label) > 200:
        return "key and label hold at most 200 characters"
    return ""


def _job_spec(body: JobBody, customer: str, name: str) -> JobSpec:
    deadline = None if body.deadline_seconds is None else time.time() + body.deadline_seconds
    return JobSpec(
        customer=customer,
        name=name,
        priority=body.priority,
        members=body.members,
        accelerators=body.accelerators,
        cores=body.cores,
        memory_bytes=int(body.memory_gb * BYTES_PER_GB),
        spread=body.spread,
        declared_seconds=body.declared_seconds,
        deadline=deadline,
        checkpointable=body.checkpointable,
        idempotent=body.idempotent,
        label=body.label,
        payload=msgspec.json.encode(body.payload),
    )


def _job_answer(job: JobView, *, accepted: bool = False) -> Answer:
    return json_answer(202 if accepted else 200, {"job": job})


def _refusal_answer(refusal: str, detail: str) -> Answer:
    # The append has no known outcome, so the job may still be accepted. The caller can repeat
    # the submission with the same key to find out.
    if refusal == "outcome_unknown":
        return json_answer(504, {"state": "unknown", "reason": refusal, "detail": detail})
    return not_run(refusal, detail)


def _unavailable_answer(error: SchedulerUnavailableError) -> Answer:
    if error.is_unsent:
        return not_run("scheduler_unavailable", error.reason)
    return json_answer(
        504, {"state": "unknown", "reason": "scheduler_unavailable", "detail": error.reason}
    )
