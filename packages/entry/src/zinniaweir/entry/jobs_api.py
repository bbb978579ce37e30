"""Operations on jobs: submit, status, wait, list, why and cancel."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final, Literal

import msgspec

from zinniaweir.entry.admission import corrected_from, refused_name
from zinniaweir.entry.answers import json_answer, not_run
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

LONGEST_WAIT_SECONDS: Final = 300.0
SUBMIT_SECONDS: Final = 8.0
"""A submission needs one append and its read-back; longer means that the log is not usable."""
BYTES_PER_GB: Final = 1024**3


class JobBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a job submission."""

    customer: str
    name: str
    key: str = ""
    priority: Literal["urgent", "normal", "batch"] = "normal"
    members: int = 1
    accelerators: int = 1
    cores: int = 1
    memory_gb: float = 0.0
    spread: Literal["worker", "rack", "failure_domain", "region"] = "failure_domain"
    declared_seconds: float = 60.0
    deadline_seconds: float | None = None
    checkpointable: bool = False
    idempotent: bool = True
    label: str = ""
    payload: dict[str, Any] = {}
    wait_seconds: float = 0.0


class CancelBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a cancellation."""

    job_ids: tuple[str, ...] = ()
    customer: str = ""
    label: str = ""


class JobsApi:
    """Pass operations on jobs to the scheduler process."""

    def __init__(self, *, link: SchedulerLink, admission: Admission) -> None:
        self._link = link
        self._admission = admission

    def register(self, api: Api) -> None:
        """Add the operations."""
        api.add("POST", r"/v1/jobs", self.submit)
        api.add("GET", r"/v1/jobs", self.list)
        api.add("GET", r"/v1/jobs/([\w.-]+)", self.status)
        api.add("DELETE", r"/v1/jobs/([\w.-]+)", self.cancel_one)
        api.add("GET", r"/v1/jobs/([\w.-]+)/why", self.why)
        api.add("POST", r"/v1/cancel", self.cancel)

    async def submit(self, call: Call) -> Answer:
        """Accept a job under its customer, and wait for its end if asked to."""
        body: JobBody = call.decode(JobBody)
        problem = _shape_problem(body)
        if problem:
            return not_run("invalid", problem)
        resolved = self._admission.resolve(body.customer, body.name, body.priority)
        if resolved.is_error():
            return refused_name(resolved.error)
        names = resolved.ok
        if refusal := self._admission.job_refusal(names.customer):
            return not_run(refusal.reason, refusal.detail)
        request = SubmitJobRequest(
            key=body.key,
            spec=_spec(body, names.customer, names.job),
            corrected_from=corrected_from(names),
        )
        try:
            reply = await self._link.call("SubmitJob", request, timeout=SUBMIT_SECONDS)
        except SchedulerUnavailableError as error:
            return _lost(error)
        if reply.job is None:
            return _refused(reply.refusal, reply.detail)
        if body.wait_seconds:
            wait = min(body.wait_seconds, LONGEST_WAIT_SECONDS)
            return await self._status(reply.job.job_id, wait)
        return _job_answer(reply.job, accepted=True)

    async def status(self, call: Call) -> Answer:
        """Return a job, waiting for its end if asked to."""
        wait = call.number("wait_seconds", 0.0, most=LONGEST_WAIT_SECONDS)
        return await self._status(call.argument, wait)

    async def list(self, call: Call) -> Answer:
        """Return jobs by customer and state."""
        request = ListJobsRequest(
            customer=call.query.get("customer", ""),
            state=call.query.get("state", ""),
            limit=int(call.number("limit", 200, most=10_000)),
        )
        return await self._pass("ListJobs", request)

    async def why(self, call: Call) -> Answer:
        """Return the recorded history of a job."""
        answer = await self._pass("Why", WhyRequest(job_id=call.argument))
        if answer.status == 200 and msgspec.json.decode(answer.body)["job"] is None:
            return not_run("unknown_job", call.argument)
        return answer

    async def cancel_one(self, call: Call) -> Answer:
        """Cancel one job."""
        return await self._pass("CancelJobs", CancelJobsRequest(job_ids=(call.argument,)))

    async def cancel(self, call: Call) -> Answer:
        """Cancel jobs by id, or those of a customer, optionally by label."""
        body: CancelBody = call.decode(CancelBody)
        if bool(body.job_ids) == bool(body.customer):
            return not_run("invalid", "name either job_ids or a customer")
        request = CancelJobsRequest(job_ids=body.job_ids, customer=body.customer, label=body.label)
        return await self._pass("CancelJobs", request)

    async def _status(self, job_id: str, wait_seconds: float) -> Answer:
        request = JobStatusRequest(job_id=job_id, wait_seconds=wait_seconds)
        try:
            reply = await self._link.call("JobStatus", request, timeout=wait_seconds + 5.0)
        except SchedulerUnavailableError as error:
            return json_answer(
                503, {"state": "unknown", "reason": "scheduler_unavailable", "detail": str(error)}
            )
        if reply.job is None:
            return not_run(reply.refusal, reply.detail)
        return _job_answer(reply.job)

    async def _pass(self, name: str, request: Any) -> Answer:
        try:
            reply = await self._link.call(name, request)
        except SchedulerUnavailableError as error:
            return _lost(error)
        refusal = getattr(reply, "refusal", "")
        if refusal:
            return _refused(refusal, "")
        return json_answer(200, reply)


def _shape_problem(body: JobBody) -> str:
    bounds = {
        "members": (body.members, 1, 10_000),
        "accelerators": (body.accelerators, 0, 1024),
        "cores": (body.cores, 0, 4096),
        "memory_gb": (body.memory_gb, 0, 65_536),
        "declared_seconds": (body.declared_seconds, 0, 366 * 86_400),
        "deadline_seconds": (body.deadline_seconds or 0, 0, 366 * 86_400),
        "wait_seconds": (body.wait_seconds, 0, LONGEST_WAIT_SECONDS),
    }
    for field, (value, least, most) in bounds.items():
        if not least <= value <= most:
            return f"{field}: expected {least} to {most}, got {value}"
    if body.accelerators == 0 and body.cores == 0:
        return "a member needs accelerators or cores"
    if len(body.key) > 200 or len(body.label) > 200:
        return "key and label hold at most 200 characters"
    return ""


def _spec(body: JobBody, customer: str, name: str) -> JobSpec:
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


def _refused(refusal: str, detail: str) -> Answer:
    # An append without a known outcome may still accept the job; the caller asks again by key.
    if refusal == "outcome_unknown":
        return json_answer(504, {"state": "unknown", "reason": refusal, "detail": detail})
    return not_run(refusal, detail)


def _lost(error: SchedulerUnavailableError) -> Answer:
    if error.is_unsent:
        return not_run("scheduler_unavailable", error.reason)
    return json_answer(
        504, {"state": "unknown", "reason": "scheduler_unavailable", "detail": error.reason}
    )
