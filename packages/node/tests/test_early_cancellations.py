"""Tests of cancellations that come before the submissions that they cancel."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from msgspec import structs

from zinniaweir.node import service as service_module
from zinniaweir.node.answers import (
    Accepted,
    OutcomeUnknown,
    Refusal,
    Refused,
    StateOf,
    UnknownJob,
)
from zinniaweir.node.boottime import boottime
from zinniaweir.node.node import Node
from zinniaweir.node.ports import Fence, KeyedRecord, NoAnswerError, Stream
from zinniaweir.workloads import early_cancellations, job_table
from zinniaweir.workloads.queues import Customer
from zinniaweir.workloads.records import (
    JobState,
    Submission,
    cancellation_key,
    encode_record,
    submission_key,
)

from .conftest import PARISH, TERMS, MemoryLog, MemoryWorkers, RefusingLog
from .test_node import SPEC, deadline, new_node, run, running, until

DEPOTS = Customer(name="depots", api_keys=frozenset({"key-2"}))


class LateLog(RefusingLog):
    """A log that does not answer one VM's submissions, and may carry them out later."""

    def __init__(self, log: MemoryLog) -> None:
        super().__init__(log)
        self.late = True
        self.held: list[list[KeyedRecord]] = []

    async def append(
        self,
        records: list[KeyedRecord],
        *,
        fence: Fence | None = None,
        timeout_seconds: float | None = None,
    ) -> int:
        if not (self.late and records[0].key.startswith("s/")):
            return await self._log.append(records, fence=fence, timeout_seconds=timeout_seconds)
        self.held.append(records)
        await asyncio.sleep(timeout_seconds or 0.5)
        raise NoAnswerError("silent")

    async def carry_out(self) -> None:
        """Carry out the calls that were not answered."""
        while self.held:
            await self._log.append(self.held.pop())


def submission(job_id: str = "a1", customer: str = PARISH.name) -> bytes:
    return encode_record(
        Submission(job_id=job_id, customer=customer, terms=TERMS, spec=SPEC, accepted_at=1.0)
    )


def keys_on_log(log: MemoryLog, kind: str) -> set[str]:
    """Return the keys of a kind whose newest record has a value."""
    newest = {record.key: record for record in log.streams[Stream.JOBS]}
    return {k for k, r in newest.items() if k.startswith(f"{kind}/") and r.value is not None}


def shorten_retention(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    monkeypatch.setattr(job_table, "EARLY_CANCELLATION_SECONDS", seconds)


def state_in(node: Node, job_id: str = "a1") -> JobState | None:
    entry = node.view.job_table.get(job_id)
    return None if entry is None else entry.state


@pytest.mark.parametrize("late", [False, True], ids=["repeated", "carried-out-late"])
def test_submission_that_arrives_after_its_cancellation_does_not_run(
    memory_log: MemoryLog, late: bool
) -> None:
    """Guards against a job that runs after a DELETE for it was answered with 410.

    The answer of its append was lost, so the log did not have it yet.
    """
    workers = MemoryWorkers()
    late_log = LateLog(memory_log)
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        first = new_node("v1", late_log, workers)
        second = new_node("v2", memory_log, workers)
        async with running(first, second):
            submitting = asyncio.create_task(
                first.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            )
            await until(lambda: bool(late_log.held))
            answer = await second.service.cancel(PARISH, "a1", deadline=deadline())
            assert answer == UnknownJob()
            if late:
                await submitting
                await late_log.carry_out()
            else:
                memory_log.put(Stream.JOBS, submission_key("a1"), submission())
                late_log.late = False
                assert await submitting in (Accepted(), refused_as_cancelled())
            await until(lambda: state_in(second) is JobState.CANCELLED)
            await asyncio.sleep(0.3)
            assert workers.started == []
            state = await second.service.state(PARISH, "a1")
            assert state == StateOf(state=JobState.CANCELLED)

    run(work())


def refused_as_cancelled() -> Refused:
    return Refused(reason=Refusal.CANCELLED, retry_after_seconds=120)


def test_submission_of_a_cancelled_id_is_refused_and_not_stored(memory_log: MemoryLog) -> None:
    """Guards against a repeated submission that is accepted although it can never run."""

    async def work() -> None:
        nodes = [new_node(f"v{n}", memory_log, MemoryWorkers()) for n in range(2)]
        async with running(*nodes):
            await nodes[0].service.cancel(PARISH, "a1", deadline=deadline())
            await until(lambda: all(len(early_of(node)) == 1 for node in nodes))
            for node in nodes:
                answer = await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
                assert answer == refused_as_cancelled()
            assert keys_on_log(memory_log, "s") == set()

    run(work())


def early_of(node: Node) -> early_cancellations.EarlyCancellations:
    return node.view.job_table.early_cancellations


@pytest.mark.parametrize("stranger", [DEPOTS, None], ids=["other-customer", "without-key"])
def test_only_its_customer_cancels_a_job_that_is_not_on_the_log(
    memory_log: MemoryLog, stranger: Customer | None
) -> None:
    """Guards against a caller that keeps another customer's job from running by naming its id."""
    workers = MemoryWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await until(lambda: node.owner is not None)
            for customer, job_id in ((stranger, "a1"), (PARISH, "a2"), (stranger, "a2")):
                answer = await node.service.cancel(customer, job_id, deadline=deadline())
                assert answer == UnknownJob()
            answer = await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            assert answer == Accepted()
            memory_log.put(Stream.JOBS, submission_key("a2"), submission("a2"))
            await until(lambda: len(workers.started) == 1)
            assert workers.started[0][1].job_id == "a1"
            await until(lambda: state_in(node, "a2") is JobState.CANCELLED)

    run(work())


def test_early_cancellation_outlives_all_vms(memory_log: MemoryLog) -> None:
    """Guards against a cancelled job that runs since each VM that knew of it has died."""
    workers = MemoryWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        before, after = (new_node(f"v{n}", memory_log, workers) for n in range(2))
        async with running(before):
            await before.service.cancel(PARISH, "a1", deadline=deadline())
        memory_log.put(Stream.JOBS, submission_key("a1"), submission())
        async with running(after):
            await until(lambda: after.owner is not None)
            await until(lambda: state_in(after) is JobState.CANCELLED)
            await asyncio.sleep(0.3)
            assert workers.started == []

    run(work())


def test_early_cancellation_without_a_submission_is_removed(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cancellations of unknown jobs that stay on the log for good."""
    shorten_retention(monkeypatch, 0.8)

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            await until(lambda: node.owner is not None)
            await node.service.cancel(PARISH, "a1", deadline=deadline())
            assert len(keys_on_log(memory_log, "e")) == 1
            await until(lambda: not keys_on_log(memory_log, "e"))
            await until(lambda: len(early_of(node)) == 0)
            answer = await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            assert answer == Accepted()

    run(work())


def test_repeated_cancellation_is_kept_when_the_earlier_one_is_removed(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second DELETE that relies on a record which is just being removed."""
    shorten_retention(monkeypatch, 1.5)

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            await until(lambda: node.owner is not None)
            await node.service.cancel(PARISH, "a1", deadline=deadline())
            first = keys_on_log(memory_log, "e")
            await asyncio.sleep(1.0)
            await node.service.cancel(PARISH, "a1", deadline=deadline())
            await until(lambda: not keys_on_log(memory_log, "e") & first)
            memory_log.put(Stream.JOBS, submission_key("a1"), submission())
            await until(lambda: state_in(node) is JobState.CANCELLED)

    run(work())


def test_cancelled_job_stays_cancelled_after_its_early_cancellation_is_removed(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a job that runs on a VM which boots after the early record is gone."""
    shorten_retention(monkeypatch, 0.8)
    workers = MemoryWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        before, after = (new_node(f"v{n}", memory_log, workers) for n in range(2))
        async with running(before):
            await before.service.cancel(PARISH, "a1", deadline=deadline())
            memory_log.put(Stream.JOBS, submission_key("a1"), submission())
            await until(lambda: not keys_on_log(memory_log, "e"))
        async with running(after):
            await until(lambda: after.owner is not None)
            assert state_in(after) is JobState.CANCELLED
            await asyncio.sleep(0.3)
            assert workers.started == []

    run(work())


def test_owner_of_an_earlier_version_learns_of_the_cancellation(memory_log: MemoryLog) -> None:
    """Guards against an owner that runs the job, since it cannot read early cancellations."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            await until(lambda: node.owner is not None)
            # Another owner, which does nothing, keeps this VM from recording the job's end.
            memory_log.put(Stream.JOBS, "owner", foreign_claim(node))
            await until(lambda: node.owner is None)
            await node.service.cancel(PARISH, "a1", deadline=deadline())
            memory_log.put(Stream.JOBS, submission_key("a1"), submission())
            await until(lambda: cancellation_key("a1") in keys_on_log(memory_log, "c"))

    run(work())


def foreign_claim(node: Node) -> bytes:
    claim = node.view.job_table.claim
    assert claim is not None
    return encode_record(
        structs.replace(claim, vm="v9", incarnation="other", epoch=claim.epoch + 1)
    )


def test_crowd_of_cancellations_of_unknown_jobs_is_bounded(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against DELETEs of unknown ids that fill the log and the memory of the VMs.

    One customer's crowd does not keep another one from cancelling.
    """
    monkeypatch.setattr(early_cancellations, "MAX_EARLY_CANCELLATIONS_PER_CUSTOMER", 20)

    async def work() -> None:
        nodes = [new_node(f"v{n}", memory_log, MemoryWorkers()) for n in range(2)]
        async with running(*nodes):
            answers: list[Any] = await asyncio.gather(
                *(
                    nodes[n % 2].service.cancel(None, f"b{n}", deadline=deadline())
                    for n in range(200)
                )
            )
            recorded = len(keys_on_log(memory_log, "e"))
            assert recorded == answers.count(UnknownJob())
            # Each VM counts what it records, and reads what the others have recorded.
            assert recorded <= 40
            refused = [answer for answer in answers if isinstance(answer, Refused)]
            assert {answer.reason for answer in refused} == {Refusal.TOO_MANY_CANCELLATIONS}
            answer = await nodes[0].service.cancel(PARISH, "a1", deadline=deadline())
            assert answer == UnknownJob()

    run(work())


def test_cancellation_beside_a_silent_log_is_not_acknowledged(memory_log: MemoryLog) -> None:
    """Guards against a 410 that rests on no read, and against waits after the caller has left."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            memory_log.down = True
            began_at = boottime()
            answer = await node.service.cancel(PARISH, "a1", deadline=boottime() + 0.6)
            assert isinstance(answer, (Refused, OutcomeUnknown))
            assert boottime() - began_at < 0.7
            await until(lambda: node.view.jobs.age > service_module.VERIFY_LOG_AGE_SECONDS)
            await asyncio.sleep(0.1)
            began_at = boottime()
            answer = await node.service.cancel(PARISH, "a1", deadline=deadline())
            assert isinstance(answer, Refused)
            assert boottime() - began_at < 0.2

    run(work())


def test_lost_answer_of_an_early_cancellation_is_retried(memory_log: MemoryLog) -> None:
    """Guards against a DELETE that is answered although its record may not be on the log."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            await until(lambda: node.owner is not None)
            memory_log.lose_answers = 1
            answer = await node.service.cancel(PARISH, "a1", deadline=deadline())
            assert answer == UnknownJob()
            assert len(keys_on_log(memory_log, "e")) == 1

    run(work())
