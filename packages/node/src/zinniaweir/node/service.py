"""Answers to callers on any VM: submissions, states, cancellations and queue lengths."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

from zinniaweir.node.adaptive_timeout import AdaptiveTimeout
from zinniaweir.node.answers import (
    Accepted,
    OutcomeUnknown,
    Pending,
    Refusal,
    Refused,
    StateOf,
    UnknownJob,
)
from zinniaweir.node.boottime import boottime
from zinniaweir.node.ports import (
    KeyedRecord,
    Log,
    LogError,
    NoAnswerError,
    NothingDoneError,
    RejectedError,
)
from zinniaweir.node.recorder import DEFAULT_MAX_RECORD_BYTES, record_bytes
from zinniaweir.node.retry_after import retry_after_seconds
from zinniaweir.node.view import View
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.workloads.early_cancellations import EARLY_CANCELLATION_SECONDS
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import Customer, QueueTerms, ResourceLimit
from zinniaweir.workloads.quotas import fits_quota
from zinniaweir.workloads.records import (
    Cancellation,
    EarlyCancellation,
    Submission,
    cancellation_key,
    early_cancellation_key,
    encode_record,
    submission_key,
)
from zinniaweir.workloads.spec import JobSpec

READY_VIEW_AGE_SECONDS: Final = 2.0
"""A VM with an older view is not ready: it cannot accept jobs, and other VMs may be able to."""
RECENT_VIEW_AGE_SECONDS: Final = 0.15
"""The state of an open job is read from the log unless the view is at most this old."""
OUTAGE_VIEW_AGE_SECONDS: Final = 1.0
"""With an older view the log does not answer, and an open job's last known state is reported."""
STATE_READ_TIMEOUT_SECONDS: Final = 0.3
"""Timeout of a read for an open job's state, after which its last known state is reported."""
REJECTED_APPEND_TIMEOUT_SECONDS: Final = 1.2
"""How long an append that the log rejects is retried.

The caller is then refused early, because it may retry on another VM that reaches the log.
"""
ANSWER_MARGIN_SECONDS: Final = 0.25
"""An answer is sent this long before the caller's deadline."""
ANSWER_MARGIN_SHARE: Final = 0.2
"""Limit of the answer margin as a share of the remaining time, for callers with short deadlines."""
MAX_APPEND_SECONDS: Final = 30.0
"""How long a record is appended again, however late the caller's deadline is.

A submission that arrived after its early cancellation was removed would run.
"""
APPEND_RETRY_DELAY_SECONDS: Final = 0.05
SETTINGS_RETRY_AFTER_SECONDS: Final = 60
"""Delay that is stated where only a change of the operators' settings can help."""
VERIFY_LOG_AGE_SECONDS: Final = 0.9
"""With an older view, the log is read before an append.

A failed read has no effect, so the job can be refused with a known outcome.
"""
RECENT_FAILURE_SECONDS: Final = 0.6
"""If the follower's read failed this recently, a further read would only delay the refusal.

The follower reads again within a tenth of a second after each failure.
"""


class JobService:
    """Accept, cancel and report jobs.

    Args:
        view: State of the platform as read from the log.
        log_port: The platform's log.
        max_view_age_seconds: Maximum age of the settings with which callers are served.
        counters: Receives counts of refusals and retries by reason.
        max_record_bytes: Size limit of a record on the log.
    """

    def __init__(
        self,
        *,
        view: View,
        log_port: Log,
        max_view_age_seconds: float,
        counters: Counters,
        max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES,
    ) -> None:
        self._view = view
        self._log_port = log_port
        self._max_view_age_seconds = max_view_age_seconds
        self._counters = counters
        self._max_record_bytes = max_record_bytes
        self._timeout = AdaptiveTimeout()
        self._early_in_flight: Counter[str] = Counter()
        """Number of early cancellations that are being recorded, by customer."""

    @property
    def ready(self) -> bool:
        """Whether new callers should come to this VM."""
        max_age = min(READY_VIEW_AGE_SECONDS, self._max_view_age_seconds)
        return self._view.configuration is not None and self._view.age <= max_age

    def readiness_refusal(self) -> Refused | None:
        """Return a refusal if this VM's settings are missing or too old, else None."""
        if self._view.configuration is None:
            return self.refuse(Refusal.NO_SETTINGS)
        if self._view.operators.age > self._max_view_age_seconds:
            return self.refuse(Refusal.VIEW_TOO_OLD)
        return None

    async def submit(
        self,
        customer: Customer | None,
        terms: QueueTerms,
        job_id: str,
        spec: JobSpec,
        *,
        deadline: float,
    ) -> Accepted | Refused | OutcomeUnknown:
        """Accept a job and append it to the log.

        A submission with a known id is accepted without effect.

        Args:
            customer: Customer that submits the job, None on a queue without authentication.
            terms: The queue.
            job_id: The caller's id for the job.
            spec: The job.
            deadline: When the caller stops waiting, in seconds of `boottime`.
        """
        if (settled := self._settled(customer, job_id)) is not None:
            return settled
        submission = Submission(
            job_id=job_id,
            customer=_name_of(customer),
            terms=terms,
            spec=spec,
            accepted_at=time.time(),
        )
        quota = customer.quota if customer else ResourceLimit()
        if all(fits_quota(step, quota) for step in spec.steps):
            record = KeyedRecord(key=submission_key(job_id), value=encode_record(submission))
            answer = await self._store(
                record, deadline=deadline, settled=lambda: self._settled(customer, job_id)
            )
        else:
            answer = await self._refuse_unless_accepted(job_id)
        log(
            "submission_answered",
            job_id=job_id,
            queue=terms.name,
            customer=submission.customer,
            answer=type(answer).__name__,
            reason=answer.reason if isinstance(answer, Refused) else "",
            settings_version=self._settings_version,
        )
        return answer

    def _settled(self, customer: Customer | None, job_id: str) -> Accepted | Refused | None:
        """Return the answer to a submission whose outcome the log tells, None if it does not."""
        if self._view.job_table.get(job_id) is not None:
            return Accepted()
        if self._view.job_table.early_cancellations.covers(job_id, _name_of(customer)):
            # An earlier copy may still arrive; it is cancelled too.
            self._counters.add("refusals", reason=Refusal.CANCELLED)
            return Refused(
                reason=Refusal.CANCELLED, retry_after_seconds=int(EARLY_CANCELLATION_SECONDS)
            )
        return None

    async def _refuse_unless_accepted(self, job_id: str) -> Accepted | Refused:
        """Refuse a job that can never run, unless it was accepted before.

        Another VM may have accepted it while the quota was higher, and the caller repeats it.
        """
        try:
            await self._view.jobs.catch_up()
        except LogError:
            return self.refuse(Refusal.LOG_UNAVAILABLE)
        if self._view.job_table.get(job_id) is not None:
            return Accepted()
        self._counters.add("refusals", reason=Refusal.EXCEEDS_QUOTA)
        return Refused(
            reason=Refusal.EXCEEDS_QUOTA, retry_after_seconds=SETTINGS_RETRY_AFTER_SECONDS
        )

    async def state(self, customer: Customer | None, job_id: str) -> StateOf | UnknownJob | Refused:
        """Return the state of a job."""
        found = await self._find(customer, job_id)
        return StateOf(state=found.state) if isinstance(found, JobEntry) else found

    async def cancel(
        self, customer: Customer | None, job_id: str, *, deadline: float
    ) -> Accepted | UnknownJob | Refused | OutcomeUnknown:
        """Cancel a job; a job that has ended keeps its state.

        A job that the log does not have is cancelled as well, since its submission may be on its
        way. The answer is then that it is not known, as for a job of another customer.
        """
        try:
            async with asyncio.timeout(max(_answer_time(deadline) - boottime(), 0.0)):
                found = await self._find(customer, job_id)
        except TimeoutError:
            return self.refuse(Refusal.LOG_UNAVAILABLE)
        if isinstance(found, Refused):
            return found
        if isinstance(found, UnknownJob):
            if self._view.job_table.get(job_id) is not None:
                return found
            return await self._cancel_early(customer, job_id, deadline=deadline)
        if found.state.ended:
            return Accepted()
        record = KeyedRecord(
            key=cancellation_key(job_id),
            value=encode_record(Cancellation(job_id=job_id, at=time.time())),
        )
        answer = await self._store(record, deadline=deadline)
        log("cancellation_answered", job_id=job_id, answer=type(answer).__name__)
        return answer

    async def _cancel_early(
        self, customer: Customer | None, job_id: str, *, deadline: float
    ) -> UnknownJob | Refused | OutcomeUnknown:
        """Record the cancellation of a job that is not on the log."""
        name = _name_of(customer)
        cancellations = self._view.job_table.early_cancellations
        if not cancellations.has_room(name, pending=self._early_in_flight):
            return self.refuse(Refusal.TOO_MANY_CANCELLATIONS)
        cancellation = EarlyCancellation(job_id=job_id, customer=name, at=time.time())
        record = KeyedRecord(
            key=early_cancellation_key(job_id, secrets.token_hex(4)),
            value=encode_record(cancellation),
        )
        self._early_in_flight[name] += 1
        try:
            answer = await self._store(record, deadline=deadline)
        finally:
            self._early_in_flight[name] -= 1
        log("early_cancellation_answered", job_id=job_id, answer=type(answer).__name__)
        return UnknownJob() if isinstance(answer, Accepted) else answer

    def pending(self, terms: QueueTerms) -> Pending | Refused:
        """Return how many jobs of a queue have not started."""
        if self._view.age > self._max_view_age_seconds:
            return self.refuse(Refusal.VIEW_TOO_OLD)
        return Pending(count=self._view.job_table.queued_count(terms.name))

    def refuse(self, reason: Refusal) -> Refused:
        """Return a refusal with the delay after which the caller may retry."""
        self._counters.add("refusals", reason=reason)
        delay = retry_after_seconds(self._view.age, spread=random.random())
        return Refused(reason=reason, retry_after_seconds=delay)

    @property
    def _settings_version(self) -> int:
        configuration = self._view.configuration
        return configuration.version if configuration else 0

    async def _find(
        self, customer: Customer | None, job_id: str
    ) -> JobEntry | UnknownJob | Refused:
        entry = self._view.job_table.get(job_id)
        if entry is None:
            # Another VM may have accepted the job since the last read.
            if self._outage_known:
                return self.refuse(Refusal.LOG_UNAVAILABLE)
            try:
                await self._view.jobs.catch_up()
            except LogError:
                return self.refuse(Refusal.VIEW_TOO_OLD)
            entry = self._view.job_table.get(job_id)
        elif not entry.state.ended:
            await self._refresh()
            entry = self._view.job_table.get(job_id) or entry
        if entry is None or (customer and entry.submission.customer != customer.name):
            return UnknownJob()
        return entry

    async def _refresh(self) -> None:
        """Read the log if the view is not recent and the log answers."""
        if RECENT_VIEW_AGE_SECONDS < self._view.jobs.age <= OUTAGE_VIEW_AGE_SECONDS:
            with contextlib.suppress(LogError, TimeoutError):
                async with asyncio.timeout(STATE_READ_TIMEOUT_SECONDS):
                    await self._view.jobs.catch_up()

    @property
    def _outage_known(self) -> bool:
        """Whether a read of the log has just failed, so that another one would only take time."""
        jobs = self._view.jobs
        recently_failed = boottime() - jobs.failed_at < RECENT_FAILURE_SECONDS
        return recently_failed and jobs.age > VERIFY_LOG_AGE_SECONDS

    async def _store(
        self,
        record: KeyedRecord,
        *,
        deadline: float,
        settled: Callable[[], Accepted | Refused | None] = lambda: None,
    ) -> Accepted | Refused | OutcomeUnknown:
        """Append a record, and retry until the deadline.

        Appending a record twice is harmless, because only the first one takes effect.

        Args:
            record: The record.
            deadline: When the caller stops waiting, in seconds of `boottime`.
            settled: Returns the answer if the log tells it, so that the record is not needed.
        """
        if record_bytes(record) > self._max_record_bytes:
            return self._refuse_record()
        until = min(_answer_time(deadline), boottime() + MAX_APPEND_SECONDS)
        if self._view.jobs.age > VERIFY_LOG_AGE_SECONDS:
            if self._outage_known:
                return self.refuse(Refusal.LOG_UNAVAILABLE)
            try:
                await self._view.jobs.catch_up()
            except LogError:
                return self.refuse(Refusal.LOG_UNAVAILABLE)
            if (answer := settled()) is not None:
                return answer
        refuse_at = min(until, boottime() + REJECTED_APPEND_TIMEOUT_SECONDS)
        outcome_unknown = False
        while True:
            sent_at = boottime()
            if sent_at >= until:
                # The VM may have been suspended, and the caller has left.
                return self._append_failure(outcome_unknown)
            try:
                async with asyncio.timeout(until - sent_at):
                    await self._log_port.append([record], timeout_seconds=self._timeout.seconds)
                self._timeout.record_answer(boottime() - sent_at)
                return Accepted()
            except (NoAnswerError, TimeoutError):
                outcome_unknown = True
                self._timeout.record_timeout()
                self._counters.add("append_retries", reason="no_answer")
            except NothingDoneError:
                self._counters.add("append_retries", reason="nothing_done")
            except RejectedError:
                return self._refuse_record()
            if (answer := settled()) is not None:
                return answer
            now = boottime()
            if now + APPEND_RETRY_DELAY_SECONDS >= (until if outcome_unknown else refuse_at):
                return self._append_failure(outcome_unknown)
            await asyncio.sleep(APPEND_RETRY_DELAY_SECONDS)

    def _refuse_record(self) -> Refused:
        """Refuse a call whose record the log does not take; a repetition does not help."""
        self._counters.add("refusals", reason=Refusal.TOO_LARGE)
        return Refused(reason=Refusal.TOO_LARGE)

    def _append_failure(self, outcome_unknown: bool) -> Refused | OutcomeUnknown:
        if outcome_unknown:
            self._counters.add("unknown_outcomes", reason="append")
            return OutcomeUnknown()
        return self.refuse(Refusal.LOG_UNAVAILABLE)


def _name_of(customer: Customer | None) -> str:
    """Return the name under which a caller's jobs are recorded, empty for one without a key."""
    return customer.name if customer else ""


def _answer_time(deadline: float) -> float:
    """Return when a caller is answered at the latest, in seconds of `boottime`."""
    margin = ANSWER_MARGIN_SHARE * max(deadline - boottime(), 0.0)
    return deadline - min(ANSWER_MARGIN_SECONDS, margin)
