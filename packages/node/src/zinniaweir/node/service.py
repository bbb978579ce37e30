"""Serves callers on any VM: submissions, states, cancellations and counts."""

from __future__ import annotations

import asyncio
import time
from typing import Final

from zinniaweir.node.answers import (
    Accepted,
    OutcomeUnknown,
    Pending,
    Refusal,
    Refused,
    StateOf,
    UnknownJob,
)
from zinniaweir.node.patience import Patience
from zinniaweir.node.ports import KeyedRecord, Log, LogError, NoAnswerError, NothingDoneError
from zinniaweir.node.view import View
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import Customer, QueueTerms
from zinniaweir.workloads.records import (
    Cancellation,
    Submission,
    cancellation_key,
    encode_record,
    submission_key,
)
from zinniaweir.workloads.spec import JobSpec

STALE_SECONDS: Final = 2.0
"""An older view of settings serves nobody: keys may have been taken away meanwhile."""
REFUSE_SECONDS: Final = 1.2
"""How long an append that the log rejects is repeated; another VM may reach the log."""
ANSWER_MARGIN_SECONDS: Final = 0.25
"""An answer is sent this long before the caller stops waiting."""
ANSWER_MARGIN_SHARE: Final = 0.2
"""The same for a caller that waits only for a moment: a last try keeps most of its time."""
RETRY_SECONDS: Final = 0.05
SUSPECT_SECONDS: Final = 0.9
"""With an older view the log is asked by a read first: a read without an answer leaves nothing
behind, so that the refusal that follows is certain."""
LONG_OUTAGE_SECONDS: Final = 2.0
"""After this much of an outage callers are asked to come back later, as they try a few times."""
SOON_SECONDS: Final = 1
LATER_SECONDS: Final = 2


class Service:
    """Answer callers from the log.

    Args:
        view: What the VM knows.
        log_port: The platform's log.
        counters: Counts answers by reason.
    """

    def __init__(self, *, view: View, log_port: Log, counters: Counters) -> None:
        self._view = view
        self._log_port = log_port
        self._counters = counters
        self._patience = Patience()

    @property
    def ready(self) -> bool:
        """Whether callers can be served now."""
        return self._view.configuration is not None and self._view.age <= STALE_SECONDS

    def unfit(self) -> Refused | None:
        """Return a refusal if the VM knows too little to answer anything."""
        if self._view.configuration is None:
            return self.refuse(Refusal.NO_SETTINGS)
        if self._view.operators.age > STALE_SECONDS:
            return self.refuse(Refusal.VIEW_TOO_OLD)
        return None

    async def submit(
        self, customer: Customer | None, terms: QueueTerms, job_id: str, spec: JobSpec, *, by: float
    ) -> Accepted | Refused | OutcomeUnknown:
        """Accept a job and store it; an id that is known stays one job.

        Args:
            customer: Whose job it is, None for a queue that anybody may use.
            terms: The queue.
            job_id: The caller's id.
            spec: The job.
            by: When the caller stops waiting, in seconds of the steady clock.
        """
        if self._view.book.get(job_id) is not None:
            return Accepted()
        submission = Submission(
            job_id=job_id,
            customer=customer.name if customer else "",
            terms=terms,
            spec=spec,
            accepted_at=time.time(),
        )
        record = KeyedRecord(key=submission_key(job_id), value=encode_record(submission))
        answer = await self._store(record, job_id, by=by)
        log(
            "submission_answered",
            job_id=job_id,
            queue=terms.name,
            customer=submission.customer,
            answer=type(answer).__name__,
            reason=answer.reason if isinstance(answer, Refused) else "",
            settings_version=self._version,
        )
        return answer

    async def state(self, customer: Customer | None, job_id: str) -> StateOf | UnknownJob | Refused:
        """Return a job's state."""
        found = await self._find(customer, job_id)
        return StateOf(state=found.state) if isinstance(found, JobEntry) else found

    async def cancel(
        self, customer: Customer | None, job_id: str, *, by: float
    ) -> Accepted | UnknownJob | Refused | OutcomeUnknown:
        """Cancel a job; one that has ended is left as it is."""
        found = await self._find(customer, job_id)
        if not isinstance(found, JobEntry):
            return found
        if found.state.ended:
            return Accepted()
        record = KeyedRecord(
            key=cancellation_key(job_id),
            value=encode_record(Cancellation(job_id=job_id, at=time.time())),
        )
        answer = await self._store(record, job_id, by=by)
        log("cancellation_answered", job_id=job_id, answer=type(answer).__name__)
        return answer

    def pending(self, terms: QueueTerms) -> Pending | Refused:
        """Return how many jobs of a queue wait."""
        if self._view.age > STALE_SECONDS:
            return self.refuse(Refusal.VIEW_TOO_OLD)
        return Pending(count=self._view.book.queued_count(terms.name))

    def refuse(self, reason: Refusal) -> Refused:
        """Return a refusal, and when to come back."""
        self._counters.add("refusals", reason=reason)
        long = self._view.age > LONG_OUTAGE_SECONDS
        return Refused(reason=reason, retry_after_seconds=LATER_SECONDS if long else SOON_SECONDS)

    @property
    def _version(self) -> int:
        configuration = self._view.configuration
        return configuration.version if configuration else 0

    async def _find(
        self, customer: Customer | None, job_id: str
    ) -> JobEntry | UnknownJob | Refused:
        entry = self._view.book.get(job_id)
        if entry is None or self._view.jobs.age > STALE_SECONDS:
            # Another VM may have accepted the job a moment ago.
            try:
                await self._view.jobs.catch_up()
            except LogError:
                return self.refuse(Refusal.VIEW_TOO_OLD)
            entry = self._view.book.get(job_id)
        if entry is None or (customer and entry.submission.customer != customer.name):
            return UnknownJob()
        return entry

    async def _store(
        self, record: KeyedRecord, job_id: str, *, by: float
    ) -> Accepted | Refused | OutcomeUnknown:
        """Append a record; repeats do no harm, since the fold takes the first."""
        if self._view.jobs.age > SUSPECT_SECONDS:
            try:
                await self._view.jobs.catch_up()
            except LogError:
                return self.refuse(Refusal.LOG_UNAVAILABLE)
        margin = ANSWER_MARGIN_SHARE * max(by - time.monotonic(), 0.0)
        until = by - min(ANSWER_MARGIN_SECONDS, margin)
        refuse_at = min(until, time.monotonic() + REFUSE_SECONDS)
        unknown = False
        while True:
            try:
                sent_at = time.monotonic()
                async with asyncio.timeout(max(until - sent_at, 0.0)):
                    await self._log_port.append([record], patience_seconds=self._patience.seconds)
                self._patience.answered(time.monotonic() - sent_at)
                return Accepted()
            except (NoAnswerError, TimeoutError):
                unknown = True
                self._patience.unanswered()
                self._counters.add("append_retries", reason="no_answer")
            except NothingDoneError:
                self._counters.add("append_retries", reason="nothing_done")
            if record.key == submission_key(job_id) and self._view.book.get(job_id) is not None:
                return Accepted()
            now = time.monotonic()
            if now + RETRY_SECONDS >= (until if unknown else refuse_at):
                return self._unstored(unknown)
            await asyncio.sleep(RETRY_SECONDS)

    def _unstored(self, unknown: bool) -> Refused | OutcomeUnknown:
        if unknown:
            self._counters.add("unknown_outcomes", reason="append")
            return OutcomeUnknown()
        return self.refuse(Refusal.LOG_UNAVAILABLE)
