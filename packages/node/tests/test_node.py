"""Tests of several VMs on one log: accepting jobs, and ownership and its changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Hashable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from zinniaweir.dispatch.dispatcher import Dispatcher
from zinniaweir.dispatch.messages import (
    ActiveRun,
    EndedRun,
    Listing,
    RunEnd,
    StartAnswer,
    TaskId,
    WorkerEntry,
)
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment
from zinniaweir.node import owner as owner_module
from zinniaweir.node.answers import (
    Accepted,
    OutcomeUnknown,
    Refusal,
    Refused,
    StateOf,
    UnknownJob,
)
from zinniaweir.node.boottime import boottime
from zinniaweir.node.call_queue import Call, CallQueue
from zinniaweir.node.node import ANNOUNCE_RETRY_DELAY_SECONDS, Node
from zinniaweir.node.polling import FAULT_DELAY_SECONDS, INVALID_ROWS_DELAY_SECONDS
from zinniaweir.node.ports import (
    Fence,
    KeyedRecord,
    Log,
    RejectedError,
    Stream,
    SupersededError,
    WorkerClient,
)
from zinniaweir.node.recorder import DEFAULT_MAX_RECORD_BYTES, Recorder
from zinniaweir.node.service import VERIFY_LOG_AGE_SECONDS
from zinniaweir.node.view import REPLICA_READ_DELAY_SECONDS
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.timers import Timers
from zinniaweir.workloads.queues import ResourceLimit
from zinniaweir.workloads.records import (
    Cancellation,
    JobState,
    PagedOwnerClaim,
    Submission,
    VmAddress,
    cancellation_key,
    decode_record,
    encode_record,
)
from zinniaweir.workloads.spec import JobSpec, StepSpec

from .conftest import (
    PARISH,
    TERMS,
    MemoryDecoder,
    MemoryLog,
    MemoryPeers,
    MemoryWorkers,
    RefusingLog,
)

SPEC = JobSpec(payload="x", steps=(StepSpec(count=1, accelerators=1),))


def new_node(
    vm: str,
    log: Log,
    workers: WorkerClient,
    *,
    peers: dict[str, Log] | None = None,
    strong: bool = True,
    time_limits: TimeLimits | None = None,
    max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES,
) -> Node:
    return Node(
        vm=VmAddress(vm=vm, address=f"{vm}:1", failure_domain="diliman", strong=strong),
        log_port=log,
        peers=MemoryPeers(peers or {}),
        decoder=MemoryDecoder(),
        workers=workers,
        time_limits=time_limits or TimeLimits(),
        counters=Counters(),
        timers=Timers(),
        max_record_bytes=max_record_bytes,
    )


@asynccontextmanager
async def running(*nodes: Node) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(node.run()) for node in nodes]
    try:
        await until(lambda: all(node.service.ready for node in nodes))
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def until(condition: Callable[[], bool], *, seconds: float = 5.0) -> None:
    end = boottime() + seconds
    while not condition():
        assert boottime() < end, "the condition did not come true in time"
        await asyncio.sleep(0.01)


def run(work: Awaitable[None]) -> None:
    async def whole() -> None:
        async with asyncio.timeout(20):
            await work

    asyncio.run(whole())


def deadline() -> float:
    return boottime() + 3.0


def test_simultaneous_claims_give_one_owner(memory_log: MemoryLog) -> None:
    """Guards against two owners in one epoch.

    The log answers a repeated sequence number as it answered the first append, so two VMs that
    used the same number would both believe that they had won.
    """
    workers = MemoryWorkers()

    async def work() -> None:
        nodes = [new_node(f"v{n}", memory_log, workers) for n in range(5)]
        async with running(*nodes):
            await until(lambda: any(node.owner for node in nodes))
            await asyncio.sleep(0.6)
            assert sum(node.owner is not None for node in nodes) == 1

    run(work())


def test_a_job_is_accepted_on_one_vm_and_known_on_another(memory_log: MemoryLog) -> None:
    """Guards against an unknown job when the next request reaches a VM that has not read it yet."""
    workers = MemoryWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        first, second = (new_node(f"v{n}", memory_log, workers) for n in range(2))
        async with running(first, second):
            assert (
                await first.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
                == Accepted()
            )
            assert isinstance(await second.service.state(PARISH, "a1"), StateOf)
            assert await second.service.state(PARISH, "a2") == UnknownJob()
            await until(lambda: len(workers.started) == 1)
            assert await second.service.cancel(PARISH, "a1", deadline=deadline()) == Accepted()
            entry = first.view.job_table.get
            await until(lambda: (e := entry("a1")) is not None and e.cancelled)
            assert await first.service.state(PARISH, "a1") == StateOf(state=JobState.CANCELLED)

    run(work())


def test_known_jobs_are_reported_while_the_log_is_silent(memory_log: MemoryLog) -> None:
    """Guards against callers who are refused the state of a job that the VM knows.

    The log is silent, and the settings are still recent enough to accept the caller's key. Whether
    there is a job with an unknown id can't be said then.
    """

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            await until(lambda: node.view.job_table.get("a1") is not None)
            memory_log.down = True
            await asyncio.sleep(1.2)
            assert isinstance(await node.service.state(PARISH, "a1"), StateOf)
            assert isinstance(await node.service.state(PARISH, "a2"), Refused)

    run(work())


def test_vm_without_the_log_sends_callers_elsewhere_before_it_refuses_them(
    memory_log: MemoryLog,
) -> None:
    """Guards against new callers at a VM that cannot accept jobs while others can.

    The deployment allows older settings than that, so callers who are here are still served.
    """

    async def work() -> None:
        limits = TimeLimits(max_call_view_age_seconds=10.0)
        node = new_node("v1", memory_log, MemoryWorkers(), time_limits=limits)
        async with running(node):
            memory_log.down = True
            await until(lambda: not node.service.ready)
            assert node.service.readiness_refusal() is None

    run(work())


def test_small_vm_reports_the_newest_state_with_few_reads() -> None:
    """Guards against large fleets in which most calls to the log are those of idle VMs.

    A smaller VM reads the jobs seldom, so it has to read them when a caller asks for a state.
    """

    async def work() -> None:
        memory_log = MemoryLog()
        memory_log.put(Stream.OPERATORS, "config", b"1")
        large = new_node("v0", memory_log, MemoryWorkers())
        small = new_node("v1", memory_log, MemoryWorkers(), strong=False)
        async with running(large, small):
            await until(lambda: large.owner is not None)
            await small.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            await until(lambda: small.view.job_table.get("a1") is not None)
            await asyncio.sleep(0.2)
            cancellation = encode_record(Cancellation(job_id="a1", at=1.0))
            memory_log.put(Stream.JOBS, cancellation_key("a1"), cancellation)
            assert await small.service.state(PARISH, "a1") == StateOf(state=JobState.CANCELLED)
            assert small.view.jobs.read_delay_seconds > REPLICA_READ_DELAY_SECONDS

    run(work())


def test_lost_append_answer_is_retried_until_accepted(memory_log: MemoryLog) -> None:
    """Guards against refusing a job that is on the log because the append's answer was lost."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            await until(lambda: node.owner is not None)
            memory_log.lose_answers = 1
            assert (
                await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
                == Accepted()
            )

    run(work())


def test_job_is_refused_and_not_stored_when_log_rejects_appends(memory_log: MemoryLog) -> None:
    """Guards against a job that is refused but stored and run."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            memory_log.refuse = lambda: True
            answer = await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            assert isinstance(answer, Refused)
            assert answer.reason is Refusal.LOG_UNAVAILABLE
            keys = [record.key for record in memory_log.streams[Stream.JOBS]]
            assert "s/a1" not in keys

    run(work())


def test_silent_log_gives_unknown_outcome_only_for_sent_appends(memory_log: MemoryLog) -> None:
    """Guards against an unknown outcome for jobs that were never sent to the log.

    Once an outage is known, a job is refused before an append, so that its caller may retry.
    """

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            memory_log.down = True
            deadline_soon = boottime() + 0.8
            answer = await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline_soon)
            assert isinstance(answer, OutcomeUnknown)
            await asyncio.sleep(0.5)
            answer = await node.service.submit(PARISH, TERMS, "a2", SPEC, deadline=deadline())
            assert isinstance(answer, Refused)
            assert not node.ready or node.view.age < 2.0

    run(work())


def test_a_planned_stop_hands_over_at_once_even_while_a_renewal_is_in_flight(
    memory_log: MemoryLog,
) -> None:
    """Guards against a release that is lost to a renewal in flight.

    Nobody would schedule until the owner's timeout has passed.
    """
    workers = MemoryWorkers()

    async def work() -> None:
        nodes = [new_node(f"v{n}", memory_log, workers) for n in range(2)]
        async with running(*nodes):
            await until(lambda: any(node.owner for node in nodes))
            owner = next(node for node in nodes if node.owner)
            other = next(node for node in nodes if node is not owner)
            assert owner.owner is not None
            owner.owner.wake()
            await owner.stop()
            await until(lambda: other.owner is not None, seconds=1.0)

    run(work())


def test_a_superseded_owner_steps_down(memory_log: MemoryLog) -> None:
    """Guards against two VMs that command workers at the same time."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            await until(lambda: node.owner is not None)
            first = node.owner
            memory_log.epoch = 99
            await until(lambda: node.owner is not first)

    run(work())


@pytest.mark.parametrize(
    "action", ["plan", "handle_listing", "add_job", "prepare_start", "handle_start_answer"]
)
def test_an_unexpected_error_does_not_end_the_ownership(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch, action: str
) -> None:
    """Guards against an input that ends the ownership of one VM after the other."""
    workers = MemoryWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")
    original = getattr(Dispatcher, action)
    failures = 0

    def fail_once(self: Dispatcher, *args: Any, **options: Any) -> Any:
        nonlocal failures
        failures += 1
        if failures == 1:
            raise IndexError("unexpected")
        return original(self, *args, **options)

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await until(lambda: node.owner is not None)
            owner = node.owner
            monkeypatch.setattr(Dispatcher, action, fail_once)
            for job_id in ("a1", "a2"):
                await node.service.submit(PARISH, TERMS, job_id, SPEC, deadline=deadline())
            await until(lambda: "a2" in {task.job_id for _, task, _, _ in workers.started})
            assert node.owner is owner
            assert failures

    run(work())


class FaultyWorkers(MemoryWorkers):
    """Workers of which one causes an unexpected error in one kind of call."""

    def __init__(self, action: str, times: int) -> None:
        super().__init__()
        self._action = action
        self._times = times
        self.faults = 0
        self.stopped: list[TaskId] = []

    def _fail(self, action: str, worker: str) -> None:
        if action == self._action and worker == "w1" and self.faults < self._times:
            self.faults += 1
            raise OverflowError("unexpected")

    async def start(self, entry: WorkerEntry, task: TaskId, **options: Any) -> StartAnswer:
        self._fail("start", entry.worker)
        return await super().start(entry, task, **options)

    async def stop(self, entry: WorkerEntry, task: TaskId, **options: Any) -> None:
        self._fail("stop", entry.worker)
        self.stopped.append(task)

    async def poll(self, entry: WorkerEntry, **options: Any) -> Listing:
        self._fail("poll", entry.worker)
        listing = await super().poll(entry, **options)
        running = tuple(
            ActiveRun(task=task, run=run, checkpoint="", percent=1)
            for worker, task, run, _ in self.started
            if worker == entry.worker and task not in self.stopped
        )
        return replace(listing, running=running)


def test_worker_whose_polls_fail_unexpectedly_is_set_aside(memory_log: MemoryLog) -> None:
    """Guards against one worker that ends each ownership in turn, or is asked without a pause."""
    workers = FaultyWorkers("poll", times=1_000)
    for name in ("w1", "w2"):
        memory_log.put(Stream.WORKERS, name, b"ok")

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await until(lambda: workers.faults > 0)
            owner = node.owner
            await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            await until(lambda: [start[0] for start in workers.started] == ["w2"])
            await asyncio.sleep(2 * FAULT_DELAY_SECONDS)
            assert node.owner is owner is not None
            assert 2 <= workers.faults <= 6

    run(work())


@pytest.mark.parametrize("action", ["start", "stop"])
def test_command_that_fails_unexpectedly_is_sent_again(memory_log: MemoryLog, action: str) -> None:
    """Guards against one command that ends the ownership, or is never repeated."""
    workers = FaultyWorkers(action, times=2)
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await until(lambda: node.owner is not None)
            owner = node.owner
            await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            await until(lambda: len(workers.started) == 1)
            await node.service.cancel(PARISH, "a1", deadline=deadline())
            await until(lambda: [task.job_id for task in workers.stopped] == ["a1"])
            assert node.owner is owner is not None
            assert workers.faults == 2

    run(work())


def test_worker_with_an_end_that_cannot_be_acknowledged_is_polled_with_pauses(
    memory_log: MemoryLog,
) -> None:
    """Guards against polls without a pause: the worker answers each at once to list the end."""

    class OddWorkers(MemoryWorkers):
        async def poll(self, entry: WorkerEntry, **options: Any) -> Listing:
            return replace(await super().poll(entry, **options), invalid_rows=1)

    workers = OddWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        async with running(new_node("v1", memory_log, workers)):
            await until(lambda: bool(workers.leases))
            before = len(workers.leases)
            await asyncio.sleep(4 * INVALID_ROWS_DELAY_SECONDS)
            assert 2 <= len(workers.leases) - before <= 5

    run(work())


def test_polls_do_not_wait_while_a_worker_may_have_more_ends(memory_log: MemoryLog) -> None:
    """Guards against ends that are read late: a worker lists some, and the poll for more waits."""

    class EndingWorkers(MemoryWorkers):
        waits: list[float] = []
        more_ends = True

        async def poll(self, entry: WorkerEntry, **options: Any) -> Listing:
            self.waits.append(options["wait_seconds"])
            return replace(await super().poll(entry, **options), more_ends=self.more_ends)

    workers = EndingWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        async with running(new_node("v1", memory_log, workers)):
            await until(lambda: len(workers.waits) > 10)
            assert not any(workers.waits)
            workers.more_ends = False
            await until(lambda: workers.waits[-1] > 0)

    run(work())


def test_error_of_the_record_loop_ends_the_ownership(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an owner that records nothing any more and is not replaced."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            await until(lambda: node.owner is not None)
            owner = node.owner
            with monkeypatch.context() as patch:
                patch.setattr(Recorder, "write", fail)
                await until(lambda: node.owner is not owner)

    async def fail(*_args: Any) -> None:
        raise OverflowError("unexpected")

    run(work())


def test_a_worker_that_may_be_lost_gets_no_longer_lease(memory_log: MemoryLog) -> None:
    """Guards against tasks of a lost worker that wait for a lease that was renewed in vain."""
    workers = MemoryWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await until(lambda: any(workers.leases))
            workers.silent = True
            await until(lambda: workers.leases[-1] is None, seconds=0.5)
            workers.silent = False
            await until(lambda: workers.leases[-1] is not None)

    run(work())


class RestartingWorkers(MemoryWorkers):
    """A worker that has one end to report and may restart under its name."""

    def __init__(self) -> None:
        super().__init__()
        self.incarnation = 1
        self.acknowledged: list[tuple[int, int]] = []
        """Incarnation that received each poll, and the number of the end that it may discard."""

    async def poll(self, entry: WorkerEntry, *, acknowledged: int, **options: Any) -> Listing:
        self.acknowledged.append((self.incarnation, acknowledged))
        listing = await super().poll(entry, acknowledged=acknowledged, **options)
        end = EndedRun(number=1, task=None, run=1, end=RunEnd.DONE, checkpoint="")
        ended = () if (self.incarnation, 1) in self.acknowledged else (end,)
        return replace(listing, incarnation=self.incarnation, ended=ended)


def test_restarted_worker_is_not_told_to_discard_what_the_earlier_incarnation_reported(
    memory_log: MemoryLog,
) -> None:
    """Guards against TWICE: an end that nobody has read is discarded, and the task runs again.

    The platform's list shows the earlier incarnation all the while.
    """
    workers = RestartingWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        async with running(new_node("v1", memory_log, workers)):
            await until(lambda: (1, 1) in workers.acknowledged)
            workers.silent = True
            await asyncio.sleep(0.2)
            workers.incarnation, workers.silent = 2, False
            await until(lambda: (2, 1) in workers.acknowledged)

    run(work())
    sent = [number for incarnation, number in workers.acknowledged if incarnation == 2]
    # The first poll that the new incarnation answers tells its end, which is then recorded.
    assert sent.index(1) > 0


def test_invalid_records_are_ignored(memory_log: MemoryLog) -> None:
    """Guards against a crash of the process on an invalid record of another writer."""
    memory_log.put(Stream.WORKERS, "w0", b"broken")
    memory_log.put(Stream.OPERATORS, "strange", b"\x00")
    memory_log.put(Stream.JOBS, "s/zz", b"\xff\xff")
    memory_log.put(Stream.WORKERS, "w1", b"ok")
    workers = MemoryWorkers()

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            assert (
                await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
                == Accepted()
            )
            await until(lambda: len(workers.started) == 1)

    run(work())


def test_vm_refused_by_log_serves_and_owns_through_a_peer(memory_log: MemoryLog) -> None:
    """Guards against refused callers and a change of owner while other VMs still reach the log."""
    workers = MemoryWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        mine = RefusingLog(memory_log)
        node = new_node("v1", mine, workers, peers={"v2:1": memory_log})
        other = new_node("v2", memory_log, MemoryWorkers())
        async with running(node):
            await until(lambda: node.owner is not None)
            async with running(other):
                await until(lambda: "v2" in node.view.job_table.vms)
                first = node.owner
                mine.refusing = True
                await asyncio.sleep(2.5)
                assert node.owner is first
                assert node.ready
                answer = await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
                assert answer == Accepted()
                await until(lambda: len(workers.started) >= 1)

    run(work())


def test_ownership_is_claimed_while_a_slow_log_takes_other_records(memory_log: MemoryLog) -> None:
    """Guards against claims that never succeed because callers' records keep arriving first."""

    async def write() -> None:
        while True:
            memory_log.put(Stream.JOBS, "v/other", None)
            await asyncio.sleep(0.02)

    async def work() -> None:
        nodes = [new_node(f"v{n}", memory_log, MemoryWorkers()) for n in range(3)]
        memory_log.append_seconds = 0.1
        writing = asyncio.create_task(write())
        async with running(*nodes):
            await until(lambda: any(node.owner for node in nodes), seconds=2.0)
            await asyncio.sleep(0.3)
            assert sum(node.owner is not None for node in nodes) == 1
        writing.cancel()

    run(work())


def test_submission_with_short_deadline_is_accepted(memory_log: MemoryLog) -> None:
    """Guards against refusing callers with a short deadline without trying an append.

    They come back when an outage ends, with little time left.
    """
    memory_log.append_seconds = 0.05

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            short_deadline = boottime() + 0.25
            assert (
                await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=short_deadline)
                == Accepted()
            )

    run(work())


@pytest.mark.parametrize("second_ends", ["releases", "restarts"])
@pytest.mark.parametrize("grace_seconds", [20.0, 0.3])
def test_last_owners_end_does_not_hide_an_earlier_owner_that_is_cut_off(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch, second_ends: str, grace_seconds: float
) -> None:
    """Guards against a second run of a task while the owner before the last renews its lease.

    The first owner is cut off from the log, and the second ends at once: within the first one's
    grace, unless that is short.
    """
    began: list[bool] = []

    class RecordingDispatcher(Dispatcher):
        def __init__(self, *, predecessor_ended: bool, **options: Any) -> None:
            began.append(predecessor_ended)
            super().__init__(predecessor_ended=predecessor_ended, **options)

    monkeypatch.setattr(owner_module, "Dispatcher", RecordingDispatcher)
    limits = TimeLimits(renewal_grace_seconds=grace_seconds)
    logs = [RefusingLog(memory_log), RefusingLog(memory_log)]

    async def work() -> None:
        first, second = (
            new_node(f"v{n}", log, MemoryWorkers(), time_limits=limits)
            for n, log in enumerate(logs)
        )
        async with running(first):
            await until(lambda: first.owner is not None)
            async with running(second):
                logs[0].refusing = True
                await until(lambda: second.owner is not None)
                await asyncio.sleep(0.7)
                if second_ends == "releases":
                    await second.stop()
                logs[1].refusing = True
            vm = "v2" if second_ends == "releases" else "v1"
            third = new_node(vm, memory_log, MemoryWorkers(), time_limits=limits)
            async with running(third):
                await until(lambda: third.owner is not None, seconds=1.0)
        assert began == [True, False, grace_seconds < 1.0]

    run(work())


def test_claim_that_is_read_back_late_renews_no_lease_before_it_is_confirmed() -> None:
    """Guards against a second run of a task while a former owner still renews its lease.

    Its claim took effect long ago, so another VM may have claimed since.
    """

    class SilentAfterClaimLog(MemoryLog):
        async def append(
            self, records: list[KeyedRecord], *, fence: Fence | None = None, **options: Any
        ) -> int:
            offset = await super().append(records, fence=fence, **options)
            if fence is not None:
                self.down, self.refuse = True, lambda: True
            return offset

    memory_log, workers = SilentAfterClaimLog(), MemoryWorkers()
    memory_log.put(Stream.OPERATORS, "config", b"1")
    memory_log.put(Stream.WORKERS, "w1", b"ok")
    limits = TimeLimits(renewal_grace_seconds=0.3)

    async def work() -> None:
        node = new_node("v1", memory_log, workers, time_limits=limits)
        async with running(node):
            await until(lambda: memory_log.down)
            await asyncio.sleep(0.4)
            memory_log.down = False
            await until(lambda: len(workers.leases) > 3)
            assert not any(workers.leases)

    run(work())


def test_owner_that_releases_renews_no_lease_and_starts_nothing(memory_log: MemoryLog) -> None:
    """Guards against a second run of a task on a worker that the next owner does not reach.

    The next owner waits for one lease from its beginning, which may come before the answer to the
    record of the release.
    """
    workers = MemoryWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await until(lambda: any(workers.leases))
            memory_log.append_seconds = 0.3
            await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            await until(lambda: node.view.job_table.get("a1") is not None)
            await asyncio.sleep(0.05)
            stopping = asyncio.create_task(node.stop())
            await asyncio.sleep(0)
            started, polled = len(workers.started), len(workers.leases)
            await stopping
            assert workers.started[started:] == []
            assert len(workers.leases) > polled + 3
            assert not any(workers.leases[polled:])

    run(work())


def test_lease_ends_one_lease_after_its_poll_was_sent_at_the_latest(memory_log: MemoryLog) -> None:
    """Guards against a second run of a task because a former owner's poll was carried out late.

    Its deadline is all that bounds the lease then. The worker's clock is known only with the
    error of a slow answer.
    """

    class SlowWorkers(MemoryWorkers):
        async def poll(
            self, entry: WorkerEntry, *, lease_until_ms: int | None, **options: Any
        ) -> Listing:
            if lease_until_ms is not None:
                clock_ms = asyncio.get_running_loop().time() * 1e3
                leases_ms.append(lease_until_ms - clock_ms)
            await asyncio.sleep(0.3)
            return await super().poll(entry, lease_until_ms=lease_until_ms, **options)

    leases_ms: list[float] = []
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        async with running(new_node("v1", memory_log, SlowWorkers())):
            await until(lambda: len(leases_ms) > 2)
        assert max(leases_ms) <= TimeLimits().lease_seconds * 1e3

    run(work())


def test_gang_that_exceeds_its_customers_quota_is_refused_and_not_stored(
    memory_log: MemoryLog,
) -> None:
    """Guards against a gang that is accepted although it can never run."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            customer = replace(PARISH, quota=ResourceLimit(accelerators=8))
            gang = JobSpec(payload="x", steps=(StepSpec(count=4, accelerators=4, gang=True),))
            answer = await node.service.submit(customer, TERMS, "j1", gang, deadline=deadline())
            assert isinstance(answer, Refused)
            assert answer.reason is Refusal.EXCEEDS_QUOTA
            tasks = JobSpec(payload="x", steps=(StepSpec(count=4, accelerators=4),))
            answer = await node.service.submit(customer, TERMS, "j2", tasks, deadline=deadline())
            assert isinstance(answer, Accepted)
            await until(lambda: node.view.job_table.get("j2") is not None)
            assert node.view.job_table.get("j1") is None

    run(work())


def test_job_whose_progress_the_log_does_not_take_stops_no_other(memory_log: MemoryLog) -> None:
    """Guards against LOST: one record that the log rejects stops the jobs of all customers."""

    class PickyLog(MemoryLog):
        async def append(self, records: list[KeyedRecord], **options: Any) -> int:
            for record in records:
                if record.key == "p/job1" and len(record.value or b"") > 60:
                    raise RejectedError("400")
            return await super().append(records, **options)

    log = PickyLog(streams=memory_log.streams)
    log.put(Stream.WORKERS, "w1", b"ok")
    workers = MemoryWorkers()

    async def work() -> None:
        node = new_node("v1", log, workers)
        async with running(node):
            await node.service.submit(PARISH, TERMS, "job1", SPEC, deadline=deadline())
            await until(lambda: node.view.job_table.get("job1") is not None)
            await node.service.submit(PARISH, TERMS, "job2", SPEC, deadline=deadline())
            await until(lambda: any(task.job_id == "job2" for _, task, _, _ in workers.started))
            entry = node.view.job_table.get("job1")
            assert entry is not None
            await until(lambda: entry.state is JobState.FAILED)
            owner = node.owner
            assert owner is not None
            assert owner.epoch == 1
        assert not any(task.job_id == "job1" for _, task, _, _ in workers.started)

    run(work())


def test_wide_job_runs_under_a_claim_that_earlier_versions_cannot_follow(
    memory_log: MemoryLog,
) -> None:
    """Guards against progress over the size limit, and against an owner that reads no pages.

    A VM that cannot read the claim makes the next one after the last that it has read.
    """
    memory_log.put(Stream.WORKERS, "w1", b"ok")
    workers = MemoryWorkers()
    wide = JobSpec(payload="x", steps=(StepSpec(count=100),))

    async def work() -> None:
        node = new_node("v1", memory_log, workers, max_record_bytes=600)
        async with running(node):
            await until(lambda: node.owner is not None)
            await node.service.submit(PARISH, TERMS, "job1", wide, deadline=deadline())
            await until(lambda: len({task for _, task, _, _ in workers.started}) == 100)
            assert node.owner is not None
            assert node.owner.epoch == 3
        plain = [r for r in memory_log.streams[Stream.JOBS] if r.key == "owner" and r.value]
        claims = [decode_record(r.value) for r in plain if r.value]
        assert {c.epoch for c in claims if not isinstance(c, PagedOwnerClaim)} == {1}
        assert {epoch for _, _, _, epoch in workers.started} == {3}
        with pytest.raises(SupersededError):
            await memory_log.append([], fence=Fence(epoch=2, sequence=7))
        sizes = [len(r.value or b"") for r in memory_log.streams[Stream.JOBS]]
        assert max(sizes) <= 600

    run(work())


def test_callers_and_renewals_come_between_the_jobs_that_a_new_owner_loads(
    memory_log: MemoryLog,
) -> None:
    """Guards against owners that replace each other, since loading the jobs outlasts a renewal."""
    wide = JobSpec(payload="x", steps=(StepSpec(count=1_000, required_label="nowhere"),))
    jobs = 20
    for number in range(jobs):
        submission = Submission(
            job_id=f"job{number}", customer="parish", terms=TERMS, spec=wide, accepted_at=0.0
        )
        memory_log.put(Stream.JOBS, f"s/job{number}", encode_record(submission))

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        seen = {0}
        async with running(node):
            while jobs not in seen:
                await asyncio.sleep(0)
                if node.owner is not None:
                    seen.add(len(node.owner.dispatcher.jobs))
        assert len(seen) >= jobs / 2

    run(work())


def test_vm_whose_address_the_log_does_not_take_serves_callers(memory_log: MemoryLog) -> None:
    """Guards against a process that ends at each start, or asks for ever."""

    class PickyLog(MemoryLog):
        announced = 0

        async def append(self, records: list[KeyedRecord], **options: Any) -> int:
            if any(record.key.startswith("v/") for record in records):
                self.announced += 1
                raise RejectedError("400")
            return await super().append(records, **options)

    log = PickyLog(streams=memory_log.streams)

    async def work() -> None:
        node = new_node("v1", log, MemoryWorkers())
        async with running(node):
            await until(lambda: log.announced > 0)
            await asyncio.sleep(2 * ANNOUNCE_RETRY_DELAY_SECONDS)
            assert log.announced == 1
            answer = await node.service.submit(PARISH, TERMS, "job1", SPEC, deadline=deadline())
            assert answer == Accepted()
            await until(lambda: node.view.job_table.get("job1") is not None)

    run(work())


def test_stop_that_its_queue_ignores_does_not_count_as_sent(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against UNASKED: a stop that counts as in flight and never was, so none follows.

    A queue ignores a call while the one before it, which had no answer, is just ending.
    """

    class BusyQueue(CallQueue):
        ignored = 0

        def put(self, key: Hashable, begin: Callable[[], Call | None]) -> None:
            if isinstance(key, Assignment) and key.stop_reason and self.ignored < 3:
                self.ignored += 1
                return
            super().put(key, begin)

    class StoppedWorkers(MemoryWorkers):
        stops = 0

        async def stop(self, *_args: Any, **_options: Any) -> None:
            self.stops += 1

        async def poll(self, entry: WorkerEntry, **options: Any) -> Listing:
            rows = tuple(
                ActiveRun(task=task, run=run, checkpoint="", percent=1)
                for _, task, run, _ in self.started
            )
            return replace(await super().poll(entry, **options), running=rows)

    monkeypatch.setattr(owner_module, "CallQueue", BusyQueue)
    workers = StoppedWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await node.service.submit(PARISH, TERMS, "job1", SPEC, deadline=deadline())
            await until(lambda: bool(workers.started))
            await node.service.cancel(PARISH, "job1", deadline=deadline())
            await until(lambda: workers.stops > 0)

    run(work())


def test_owner_sends_no_more_starts_once_it_has_ended(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts of a superseded owner that waited for others to be answered."""

    class SilentWorkers(MemoryWorkers):
        async def start(self, *arguments: Any, **options: Any) -> StartAnswer:
            await super().start(*arguments, **options)
            await asyncio.Event().wait()
            return StartAnswer.UNKNOWN

    monkeypatch.setattr(owner_module, "MAX_STARTS_IN_FLIGHT", 1)
    workers = SilentWorkers()
    memory_log.put(Stream.WORKERS, "w1", b"ok")
    wide = JobSpec(payload="x", steps=(StepSpec(count=5),))

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await node.service.submit(PARISH, TERMS, "job1", wide, deadline=deadline())
            await until(lambda: bool(workers.started))
            owner = node.owner
            assert owner is not None
            owner.step_down()
            await until(lambda: node.owner is not owner)
            await asyncio.sleep(0.05)
            assert len({task for _, task, _, epoch in workers.started if epoch == 1}) == 1

    run(work())


def test_job_that_fits_into_no_record_is_refused_at_once_for_good(memory_log: MemoryLog) -> None:
    """Guards against a caller that is told to come back with a job that can never be stored."""
    large = JobSpec(payload="x" * 300_000, steps=SPEC.steps)

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            sent_at = boottime()
            answer = await node.service.submit(PARISH, TERMS, "job1", large, deadline=deadline())
            assert isinstance(answer, Refused)
            assert answer.reason is Refusal.TOO_LARGE
            assert boottime() - sent_at < 0.5
            assert not memory_log.appended or node.view.job_table.get("job1") is None

    run(work())


def test_submission_in_a_known_outage_is_refused_without_a_further_read(
    memory_log: MemoryLog,
) -> None:
    """Guards against callers that wait for a read although the last one has just failed."""

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            memory_log.down = True
            await until(lambda: node.view.jobs.age > VERIFY_LOG_AGE_SECONDS)
            await until(lambda: node.view.jobs.failed_at > 0)
            reads = 0

            async def count_read() -> None:
                nonlocal reads
                reads += 1

            node.view.jobs.catch_up = count_read  # type: ignore[method-assign]
            answer = await node.service.submit(PARISH, TERMS, "j1", SPEC, deadline=deadline())
            assert isinstance(answer, Refused)
            assert answer.reason is Refusal.LOG_UNAVAILABLE
            assert reads == 0

    run(work())
