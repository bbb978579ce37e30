from __future__ import annotations

import asyncio
from typing import Any

import pytest

from zinniaweir.journal.journal import Published, PublishError
from zinniaweir.ledger.ledger import Ledger
from zinniaweir.scheduler.claim_service import ClaimService
from zinniaweir.scheduler.waiters import Waiters
from zinniaweir.telemetry.counters import Counters
from zinniaweir.wire.records import Record, RequestReleased
from zinniaweir.wire.scheduler_service import ClaimReply, ClaimRequest, FinishRequest


class Log:
    """In-memory journal and VM state; a publication that fails may still take effect."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.waiters = Waiters()
        self.errors: list[tuple[bool, bool]] = []
        """For each next publication: whether the error says it may appear, and whether it does."""
        self.bodies: list[Any] = []
        self.offset = 0
        self.state = "ready"
        self.service = ClaimService(
            ledger=self.ledger,
            journal=self,
            vm_state=self,
            waiters=self.waiters,
            counters=Counters(),
            wall_clock=lambda: 1_800_000_000.0,
        )

    def current(self) -> str:
        return self.state

    def fold(self, body: Any, vm: str = "vm1") -> str:
        self.offset += 1
        record = Record(id=f"{self.offset:032x}", vm=vm, at=1_800_000_000.0, body=body)
        self.ledger.apply(self.offset, record)
        self.waiters.wake(f"request/{body.key}")
        return record.id

    async def publish(self, body: Any, *, timeout: float) -> Published:
        may_appear, appears = self.errors.pop(0) if self.errors else (False, True)
        self.bodies.append(body)
        record_id = self.fold(body) if appears else "f" * 32
        if may_appear:
            raise PublishError(reason="log_unavailable", may_appear=True, record_id=record_id)
        if not appears:
            raise PublishError(reason="log_unavailable", may_appear=False, record_id=record_id)
        return Published(offset=self.offset, record_id=record_id)

    async def claim(self, digest: bytes = b"d", wait: float = 0.05) -> ClaimReply:
        request = ClaimRequest(key="k", customer="parish", digest=digest, wait_seconds=wait)
        return await self.service.claim(request)

    async def finish(self, claim: ClaimReply, state: str, answer: bytes = b"") -> bool:
        request = FinishRequest(key="k", claim_id=claim.claim_id, state=state, answer=answer)
        return (await self.service.finish(request)).durable


def test_first_claim_is_granted_and_others_wait_for_its_answer() -> None:
    """Guards against a second run of the same key.

    Also guards against a repeat that does not get the answer of the first run.
    """

    async def run() -> None:
        log = Log()
        first = await log.claim()
        assert first.granted
        early = await log.claim()
        assert (early.granted, early.state, early.reason) == (False, "unknown", "in_progress")
        waiting = asyncio.create_task(log.claim(wait=5.0))
        await asyncio.sleep(0)
        assert await log.finish(first, "done", b"answer")
        late = await waiting
        assert (late.granted, late.state, late.answer) == (False, "done", b"answer")
        assert (await log.claim(digest=b"other")).reason == "key_reused"

    asyncio.run(run())


@pytest.mark.parametrize("state", ["starting", "log_unavailable", "isolated", "no_state"])
def test_vm_that_is_not_ready_grants_nothing(state: str) -> None:
    """Guards against claims that a VM grants while it cannot read or write the log."""
    log = Log()
    log.state = state
    reply = asyncio.run(log.claim())
    assert (reply.granted, reply.state, reply.reason) == (False, "not_run", state)
    assert not log.bodies


@pytest.mark.parametrize("appears", [False, True])
def test_claim_that_may_appear_later_is_released(appears: bool) -> None:
    """Guards against a key that stays claimed although its request was refused as not run.

    The claim can appear on the log after its publication got no answer.
    """

    async def run() -> None:
        log = Log()
        log.errors = [(True, appears)]
        reply = await log.claim()
        assert (reply.granted, reply.state, reply.reason) == (False, "not_run", "log_unavailable")
        await log.service.wait_until_published(timeout=1.0)
        assert isinstance(log.bodies[-1], RequestReleased)
        assert (await log.claim()).granted

    asyncio.run(run())


def test_claim_that_cannot_appear_is_not_released() -> None:
    """Guards against a release that frees another VM's claim after a publication that failed."""

    async def run() -> None:
        log = Log()
        log.errors = [(False, False)]
        assert (await log.claim()).reason == "log_unavailable"
        await log.service.wait_until_published(timeout=0.1)
        assert len(log.bodies) == 1

    asyncio.run(run())


def test_outcome_is_published_until_the_log_has_it() -> None:
    """Guards against an answer that is lost in an outage of the log."""

    async def run() -> None:
        log = Log()
        claim = await log.claim()
        log.errors = [(False, False)]
        assert not await log.finish(claim, "done", b"answer")
        await log.service.wait_until_published(timeout=3.0)
        assert (await log.claim()).answer == b"answer"

    asyncio.run(run())


def test_key_can_be_claimed_again_after_its_release() -> None:
    """Guards against a key that stays blocked after work that is proven not to have run."""

    async def run() -> None:
        log = Log()
        first = await log.claim()
        waiting = asyncio.create_task(log.claim(wait=5.0))
        await asyncio.sleep(0)
        await log.finish(first, "released")
        assert (await waiting).reason == "released"
        assert (await log.claim()).granted

    asyncio.run(run())
