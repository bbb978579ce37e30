"""Claims of non-idempotent requests, called by the entry process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from zinniaweir.journal.journal import PublishError
from zinniaweir.scheduler.vm_state import READY
from zinniaweir.telemetry.logs import log
from zinniaweir.wire.records import RequestClaimed, RequestFinished, RequestReleased
from zinniaweir.wire.scheduler_service import ClaimReply, FinishReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.journal.journal import Journal
    from zinniaweir.ledger.ledger import Ledger, LedgerEntry
    from zinniaweir.scheduler.vm_state import VmState
    from zinniaweir.scheduler.waiters import Waiters
    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.wire.scheduler_service import ClaimRequest, FinishRequest

CLAIM_TIMEOUT_SECONDS: Final = 3.0
FINISH_TIMEOUT_SECONDS: Final = 2.0
RETRY_DELAY_SECONDS: Final = 1.0


class ClaimService:
    """Grant each non-idempotent request to at most one caller, through the log.

    Args:
        ledger: Claims folded from the log.
        journal: Journal on which claims and outcomes are published.
        vm_state: State of the VM; claims are granted only while it is `ready`.
        waiters: Wakes callers that wait for the outcome of an earlier claim.
        counters: Counters of the process.
        wall_clock: Returns the wall clock time in seconds.
    """

    def __init__(
        self,
        *,
        ledger: Ledger,
        journal: Journal,
        vm_state: VmState,
        waiters: Waiters,
        counters: Counters,
        wall_clock: Callable[[], float],
    ) -> None:
        self._ledger = ledger
        self._journal = journal
        self._vm_state = vm_state
        self._waiters = waiters
        self._counters = counters
        self._wall_clock = wall_clock
        self._pending: set[asyncio.Task[None]] = set()

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Grant a claim, or return the state of an earlier claim of the same key."""
        entry = self._ledger.status(request.key, customer=request.customer)
        if entry is not None:
            return await self._reply_to_repeat(request, entry)
        vm_state = self._vm_state.current()
        if vm_state != READY:
            return self._refuse(vm_state)
        body = RequestClaimed(
            key=request.key,
            customer=request.customer,
            digest=request.digest,
            claimed_at=self._wall_clock(),
        )
        try:
            published = await self._journal.publish(body, timeout=CLAIM_TIMEOUT_SECONDS)
        except PublishError as error:
            if error.may_appear:
                # The claim may still appear on the log. Its request is not sent upstream, so the
                # claim is released.
                self._publish_later(RequestReleased(key=request.key, claim_id=error.record_id))
            return self._refuse("log_unavailable")
        entry = self._ledger.status(request.key, customer=request.customer)
        if entry is not None and entry.claim_id == published.record_id:
            return ClaimReply(granted=True, claim_id=published.record_id)
        if entry is None:
            return self._refuse("claim_lost")
        return await self._reply_to_repeat(request, entry)

    async def finish(self, request: FinishRequest) -> FinishReply:
        """Publish the outcome of a granted claim, in the background if the log does not answer."""
        body = self._outcome_record(request)
        try:
            await self._journal.publish(body, timeout=FINISH_TIMEOUT_SECONDS)
        except PublishError:
            self._counters.add("retries", reason="finish_not_durable")
            self._publish_later(body)
            return FinishReply(durable=False)
        return FinishReply(durable=True)

    async def wait_until_published(self, *, timeout: float) -> None:
        """Wait for outcomes and releases that are not on the log yet.

        Args:
            timeout: Maximum time to wait in seconds.
        """
        if self._pending:
            await asyncio.wait(self._pending, timeout=timeout)

    async def _reply_to_repeat(self, request: ClaimRequest, entry: LedgerEntry) -> ClaimReply:
        if entry.digest != request.digest:
            return self._refuse("key_reused")
        self._counters.add("claims_repeated")
        await self._waiters.wait_until(
            f"request/{request.key}",
            lambda: self._is_settled(request),
            timeout=request.wait_seconds,
        )
        entry = self._ledger.status(request.key, customer=request.customer)
        if entry is None:
            return self._refuse("released")
        if entry.state == "claimed":
            return ClaimReply(granted=False, state="unknown", reason="in_progress")
        return ClaimReply(
            granted=False, state=entry.state, reason=entry.reason, answer=entry.answer
        )

    def _is_settled(self, request: ClaimRequest) -> bool:
        entry = self._ledger.status(request.key, customer=request.customer)
        return entry is None or entry.state != "claimed"

    def _outcome_record(self, request: FinishRequest) -> RequestFinished | RequestReleased:
        if request.state == "released":
            return RequestReleased(key=request.key, claim_id=request.claim_id)
        return RequestFinished(
            key=request.key,
            claim_id=request.claim_id,
            state=request.state,
            reason=request.reason,
            answer=request.answer,
        )

    def _publish_later(self, body: RequestFinished | RequestReleased) -> None:
        task = asyncio.create_task(self._publish_until_durable(body))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _publish_until_durable(self, body: RequestFinished | RequestReleased) -> None:
        while True:
            try:
                await self._journal.publish(body, timeout=CLAIM_TIMEOUT_SECONDS)
                return
            except PublishError as error:
                log("outcome_not_durable", key=body.key, reason=error.reason)
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _refuse(self, reason: str) -> ClaimReply:
        self._counters.add("refusals", reason=reason)
        return ClaimReply(granted=False, state="not_run", reason=reason)
