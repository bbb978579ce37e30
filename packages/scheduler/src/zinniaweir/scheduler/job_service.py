"""Job operations, called by the entry process."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Final

from zinniaweir.journal.journal import PublishError
from zinniaweir.scheduler.core_inputs import choose_region
from zinniaweir.scheduler.jobs import spec_digest
from zinniaweir.scheduler.vm_state import READY
from zinniaweir.wire.records import JobsCancelled, JobSubmitted
from zinniaweir.wire.scheduler_service import (
    CancelJobsReply,
    JobReply,
    ListJobsReply,
    WhyReply,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from zinniaweir.journal.journal import Journal
    from zinniaweir.scheduler.jobs import JobEntry
    from zinniaweir.scheduler.state import ClusterState
    from zinniaweir.scheduler.vm_state import VmState
    from zinniaweir.scheduler.waiters import Waiters
    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.wire.records import JobSpec
    from zinniaweir.wire.scheduler_service import (
        CancelJobsRequest,
        JobStatusRequest,
        ListJobsRequest,
        SubmitJobRequest,
        WhyRequest,
    )

PUBLISH_TIMEOUT_SECONDS: Final = 5.0


class JobService:
    """Accept, show and cancel jobs through the log.

    Args:
        region: Region of this VM.
        state: Cluster state that this VM folds from the log.
        journal: Journal on which submissions and cancellations are published.
        vm_state: State of the VM; jobs are accepted only while it is `ready`.
        waiters: Wakes callers that wait for the end of a job.
        counters: Counters of the process.
        explain: Returns why a job waits.
    """

    def __init__(
        self,
        *,
        region: str,
        state: ClusterState,
        journal: Journal,
        vm_state: VmState,
        waiters: Waiters,
        counters: Counters,
        explain: Callable[[JobEntry], Awaitable[str]],
    ) -> None:
        self._region = region
        self._state = state
        self._journal = journal
        self._vm_state = vm_state
        self._waiters = waiters
        self._counters = counters
        self._explain = explain

    async def submit_job(self, request: SubmitJobRequest) -> JobReply:
        """Publish a new job and return it, or return the earlier job with the same key."""
        earlier = self._reply_to_repeat(request)
        if earlier is not None:
            return earlier
        vm_state = self._vm_state.current()
        if vm_state != READY:
            return self._refuse(vm_state)
        if refusal := self._limit_refusal(request.spec):
            return self._refuse(refusal)
        job_id = f"job-{secrets.token_hex(8)}"
        body = JobSubmitted(
            job_id=job_id,
            region=choose_region(self._state.settings.model, request.spec, self._region),
            key=request.key,
            spec=request.spec,
            submitted_at=time.time(),
            corrected_from=request.corrected_from,
        )
        try:
            await self._journal.publish(body, timeout=PUBLISH_TIMEOUT_SECONDS)
        except PublishError as error:
            if error.may_appear:
                return JobReply(
                    refusal="outcome_unknown", detail=f"submit again with the key; {job_id}"
                )
            return self._refuse("log_unavailable", error.reason)
        return self._reply_to_submission(request, job_id)

    async def job_status(self, request: JobStatusRequest) -> JobReply:
        """Return a job, waiting for its end if the request asks for it."""
        job = self._state.jobs.get(request.job_id)
        if job is None:
            return JobReply(refusal="unknown_job", detail=request.job_id)
        if request.wait_seconds > 0:
            await self._waiters.wait_until(
                f"job/{job.job_id}", lambda: job.is_ended, timeout=request.wait_seconds
            )
        return JobReply(job=job.view())

    async def cancel_jobs(self, request: CancelJobsRequest) -> CancelJobsReply:
        """Publish a cancellation and return the number of jobs that match it."""
        body = JobsCancelled(
            job_ids=request.job_ids, customer=request.customer, label=request.label
        )
        matched = len(self._state.jobs.matching(body))
        if not matched:
            return CancelJobsReply(matched=0)
        try:
            await self._journal.publish(body, timeout=PUBLISH_TIMEOUT_SECONDS)
        except PublishError as error:
            self._counters.add("refusals", reason="cancel_log_unavailable")
            refusal = "outcome_unknown" if error.may_appear else "log_unavailable"
            return CancelJobsReply(matched=0, refusal=refusal)
        return CancelJobsReply(matched=matched)

    async def list_jobs(self, request: ListJobsRequest) -> ListJobsReply:
        """Return jobs of a customer in a state, newest first."""
        jobs = self._state.jobs.newest(
            customer=request.customer, state=request.state, limit=request.limit
        )
        return ListJobsReply(jobs=[job.view() for job in jobs])

    async def why(self, request: WhyRequest) -> WhyReply:
        """Return the recorded history of a job and what it waits for."""
        job = self._state.jobs.get(request.job_id)
        if job is None:
            return WhyReply(job=None)
        waiting_for = "" if job.is_ended else await self._explain(job)
        return WhyReply(job=job.view(), history=list(job.history), waiting_for=waiting_for)

    def _reply_to_repeat(self, request: SubmitJobRequest) -> JobReply | None:
        if not request.key:
            return None
        job = self._state.jobs.by_key(request.spec.customer, request.key)
        if job is None:
            return None
        if job.digest != spec_digest(request.spec):
            return self._refuse("key_reused", job.job_id)
        self._counters.add("submissions_repeated")
        return JobReply(job=job.view())

    def _reply_to_submission(self, request: SubmitJobRequest, job_id: str) -> JobReply:
        job = self._state.jobs.get(job_id)
        if job is not None:
            self._counters.add("jobs_accepted")
            return JobReply(job=job.view())
        # Another submission with the same key precedes this one on the log.
        earlier = self._reply_to_repeat(request)
        return earlier if earlier is not None else self._refuse("key_reused")

    def _limit_refusal(self, spec: JobSpec) -> str:
        model = self._state.settings.model
        customer = model.customers.get(spec.customer)
        if customer is None:
            return "unknown_customer"
        limit = customer.limits.queued_jobs
        if limit is not None and self._state.jobs.active_count(spec.customer) >= limit:
            return "queue_full"
        return ""

    def _refuse(self, reason: str, detail: str = "") -> JobReply:
        self._counters.add("refusals", reason=reason)
        return JobReply(refusal=reason, detail=detail)
