from __future__ import annotations

import asyncio
from typing import Any

import pytest

from zinniaweir.scheduler import worker_link as module
from zinniaweir.scheduler.jobs import JobEntry
from zinniaweir.scheduler.leases import LeaseSettings
from zinniaweir.scheduler.takeover import collect_inventory
from zinniaweir.scheduler.worker_link import (
    EpochSuperseded,
    StaleEpochError,
    WorkerLink,
    WorkerReachable,
    WorkerReport,
    WorkerUnreachable,
    WorkerUnreachableError,
)
from zinniaweir.wire.records import JobSpec
from zinniaweir.wire.service import RemoteError, snake_case
from zinniaweir.wire.worker_service import (
    ListReply,
    ReserveRequest,
    StartRequest,
    SyncReply,
    TaskStatus,
    WorkerEvent,
)
from zinniaweir_standins.worker import WorkerStandin

TIMEOUT = RemoteError(method="Sync", reason="timeout")
HANG = object()


class FakeClient:
    """Client that answers calls from a list; further calls hang."""

    def __init__(self, *replies: Any) -> None:
        self.replies = list(replies)
        self.requests: list[Any] = []

    async def call(self, name: str, request: Any, *, timeout: float) -> Any:
        self.requests.append(request)
        reply = self.replies.pop(0) if self.replies else HANG
        if reply is HANG:
            await asyncio.sleep(60)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def close(self) -> None:
        pass


class RestartingWorker:
    """Client of a stand-in worker; calls on their way break when it restarts."""

    def __init__(self) -> None:
        self.standin = WorkerStandin(name="w0", accelerators=2)
        self._restarted = asyncio.Event()

    async def call(self, name: str, request: Any, *, timeout: float) -> Any:
        answer = asyncio.ensure_future(getattr(self.standin, snake_case(name))(request))
        restart = asyncio.ensure_future(self._restarted.wait())
        try:
            await asyncio.wait({answer, restart}, return_when=asyncio.FIRST_COMPLETED)
            if restart.done():
                raise RemoteError(method=name, reason="broken")
            return answer.result()
        finally:
            answer.cancel()
            restart.cancel()

    async def start(self, link: WorkerLink, attempt: int = 1) -> str:
        await link.command("Reserve", reserve(attempt))
        return await link.command(
            "Start", StartRequest(epoch=7, job_id="j", attempt=attempt, name="s", lease_seconds=5.0)
        )

    def end_tasks(self) -> None:
        for running in list(self.standin._tasks.values()):
            self.standin._end_task(running, "done", "")

    def restart(self) -> None:
        self.standin._kill()
        self._restarted.set()
        self._restarted = asyncio.Event()

    def close(self) -> None:
        pass


def reserve(attempt: int, member: int = 0) -> ReserveRequest:
    return ReserveRequest(
        epoch=7,
        job_id="j",
        attempt=attempt,
        member=member,
        accelerators=(member,),
        cores=1,
        memory_bytes=1,
        ttl_seconds=5.0,
    )


def make(client: Any, posted: list[Any], name: str = "w0", **fields: Any) -> WorkerLink:
    leases = LeaseSettings()
    link = WorkerLink(
        worker=name, host="h", port=1, epoch=7, leases=leases, post=posted.append, **fields
    )
    link._client.close()
    link._client = client
    return link


def run_link(client: FakeClient, seconds: float, action: Any = None) -> list[Any]:
    posted: list[Any] = []

    async def run() -> None:
        link = make(client, posted)
        task = asyncio.create_task(link.run())
        await asyncio.sleep(seconds)
        if action:
            action(link)
            await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())
    return posted


def event(sequence: int, member: int = 0, kind: str = "done") -> WorkerEvent:
    return WorkerEvent(sequence=sequence, kind=kind, job_id="j", attempt=1, member=member)


def test_events_are_reported_once_and_acknowledged() -> None:
    """Guards against events that are reported again by the next long poll.

    They are repeated if the link does not acknowledge their sequence.
    """
    client = FakeClient(SyncReply(ok=True, sequence=3, events=[event(3)]))
    posted = run_link(client, 0.05)
    assert [type(message) for message in posted] == [WorkerReachable, WorkerReport]
    assert client.requests[1].after_sequence == 3


def test_new_gang_interrupts_the_long_poll() -> None:
    """Guards against a first lease that expires during a long poll that began without the gang."""
    client = FakeClient(SyncReply(ok=True))
    run_link(client, 0.05, lambda link: link.start_renewing("j", 1))
    assert [len(request.gangs) for request in client.requests] == [0, 0, 1]


def test_unreachable_worker_is_lost_once_and_found_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a dead worker that stays in use, and against repeated reports of one loss.

    Also guards against a worker that stays lost after it answers again.
    """
    monkeypatch.setattr(module, "LOST_AFTER_SECONDS", 0.03)
    monkeypatch.setattr(module, "RETRY_DELAY_SECONDS", 0.02)
    # After a failed call the link lists tasks and past events before it syncs again.
    back = [ListReply(ok=True), SyncReply(ok=True), SyncReply(ok=True)]
    client = FakeClient(SyncReply(ok=True), *[TIMEOUT] * 6, *back)
    posted = run_link(client, 0.4)
    kinds = [type(message) for message in posted]
    assert kinds == [WorkerReachable, WorkerUnreachable, WorkerReachable]


def test_worker_that_never_answers_a_sync_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an adopted gang that counts as running for ever.

    Its worker answered the inventory of the new owner and died before the first long poll.
    """
    monkeypatch.setattr(module, "LOST_AFTER_SECONDS", 0.03)
    monkeypatch.setattr(module, "RETRY_DELAY_SECONDS", 0.02)
    posted = run_link(FakeClient(*[TIMEOUT] * 6), 0.2)
    assert [type(message) for message in posted] == [WorkerUnreachable]


def test_event_before_a_list_is_still_reported() -> None:
    """Guards against a job that never ends.

    Its end falls between a sync and a list of tasks, whose sequence must not be adopted.
    """
    posted: list[Any] = []

    async def run() -> None:
        client = FakeClient(
            ListReply(ok=True, sequence=3), SyncReply(ok=True, sequence=3, events=[event(3)])
        )
        link = make(client, posted)
        await link.list()
        task = asyncio.create_task(link.run())
        await asyncio.sleep(0.05)
        task.cancel()
        assert client.requests[1].after_sequence == 0

    asyncio.run(run())
    assert [type(message) for message in posted] == [WorkerReachable, WorkerReport]


def test_end_on_an_idle_worker_that_restarted_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a job that never ends after its worker restarted while it was idle.

    The numbers of the worker's events start anew, below those that were already reported.
    """
    monkeypatch.setattr(module, "RETRY_DELAY_SECONDS", 0.005)
    posted: list[Any] = []

    async def run() -> None:
        worker = RestartingWorker()
        link = make(worker, posted)
        task = asyncio.create_task(link.run())
        for attempt in (1, 2):
            await asyncio.sleep(0.02)
            await worker.start(link, attempt)
            worker.end_tasks()
            await asyncio.sleep(0.02)
            worker.restart()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())
    ends = [e.attempt for m in posted if isinstance(m, WorkerReport) for e in m.events]
    assert ends == [1, 2]


@pytest.mark.parametrize("is_adopted", [False, True])
def test_gang_of_a_former_incarnation_is_lost(
    is_adopted: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a gang that counts as running for ever though a worker of it restarted.

    The restart comes before the link renews the gang: while other workers have not answered the
    start, or between the inventory of a new owner and its first long poll.
    """
    monkeypatch.setattr(module, "RETRY_DELAY_SECONDS", 0.005)
    posted: list[Any] = []

    async def run() -> None:
        worker = RestartingWorker()
        link = make(worker, posted)
        await worker.start(link)
        if is_adopted:
            link = make(worker, posted)
            await link.list()
            worker.restart()
            link.start_renewing("j", 1)
        task = asyncio.create_task(link.run())
        await asyncio.sleep(0.02)
        if not is_adopted:
            worker.restart()
            await asyncio.sleep(0.02)
            link.start_renewing("j", 1)
            await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())
    assert [m.worker for m in posted if isinstance(m, WorkerUnreachable)] == ["w0"]
    assert isinstance(posted[-1], WorkerReachable)


@pytest.mark.parametrize("is_replaced", [False, True])
def test_gangs_are_taken_over_by_the_link_to_a_new_address(is_replaced: bool) -> None:
    """Guards against another machine at the new address that is taken for the former worker.

    Also guards against the end of gangs whose worker only changed its address.
    """
    posted: list[Any] = []

    async def run() -> WorkerLink:
        worker = RestartingWorker()
        former = make(worker, posted)
        await former.list()
        await worker.start(former)
        former.start_renewing("j", 1)
        link = make(RestartingWorker() if is_replaced else worker, posted, former=former)
        task = asyncio.create_task(link.run())
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return link

    link = asyncio.run(run())
    assert (WorkerUnreachable in [type(message) for message in posted]) is is_replaced
    assert bool(link._gangs) is not is_replaced


def test_start_after_a_restart_between_two_reservations_is_refused() -> None:
    """Guards against a part of a gang that runs: the worker forgot the other members it reserved.

    Also guards against a restart that keeps later attempts from starting on the same worker.
    """

    async def run() -> list[str]:
        worker = RestartingWorker()
        link = make(worker, [])
        await link.command("Reserve", reserve(1, member=1))
        worker.restart()
        first = await worker.start(link)
        link.stop_renewing("j", 1)
        worker.standin._tasks.clear()
        return [first, await worker.start(link)]

    assert asyncio.run(run()) == ["other_incarnation", ""]


def test_refused_epoch_ends_the_link() -> None:
    """Guards against an owner that goes on after another VM took over the region."""
    posted = run_link(FakeClient(SyncReply(ok=False, refusal="stale_epoch")), 0.05)
    assert posted == [EpochSuperseded(epoch=7)]


def test_lost_command_is_an_error_and_not_a_refusal() -> None:
    """Guards against a lost start command that counts as refused, which would prove "not run"."""

    async def run() -> None:
        link = make(FakeClient(TIMEOUT), [])
        with pytest.raises(WorkerUnreachableError) as error:
            await link.command("Start", None)
        assert not error.value.is_unsent

    asyncio.run(run())


def task(member: int, state: str = "running") -> TaskStatus:
    return TaskStatus(
        job_id="j", attempt=1, member=member, accelerators=(0,), state=state, lease_left_seconds=1
    )


def job(members: int) -> JobEntry:
    spec = JobSpec(customer="parish", name="sweep", members=members)
    return JobEntry(job_id="j", region="r", key="", spec=spec, submitted_at=0.0, attempt=1)


@pytest.mark.parametrize(
    ("replies", "is_complete"),
    [
        ([([], [task(0)]), ([], [task(1)])], True),
        ([([], [task(0)]), ([event(1, 1)], [])], True),
        ([([], [task(0)]), ([event(1, 1, "failed")], [])], False),
        ([([], [task(0)]), ([], [task(1, "reserved")])], False),
        ([([], [task(0)]), ([], [])], False),
    ],
)
def test_inventory_tells_complete_gangs_from_partial_ones(
    replies: list[Any], is_complete: bool
) -> None:
    """Guards against a new owner that adopts a partial gang, or stops a complete one."""

    async def run() -> bool:
        links = [
            make(FakeClient(ListReply(ok=True, tasks=t), SyncReply(ok=True, events=e)), [], name)
            for name, (e, t) in zip(("w0", "w1"), replies, strict=True)
        ]
        inventory = await collect_inventory(links)
        return inventory.gangs["j", 1].is_complete(job(2))

    assert asyncio.run(run()) is is_complete


def test_inventory_polls_again_and_names_unreachable_workers() -> None:
    """Guards against a worker that is lost with all its gangs because of one lost call.

    Also guards against an owner that goes on after a worker refused its epoch.
    """

    async def run() -> None:
        flaky = make(FakeClient(TIMEOUT, ListReply(ok=True), SyncReply(ok=True)), [], "flaky")
        dead = make(FakeClient(TIMEOUT, TIMEOUT), [], "dead")
        assert (await collect_inventory([flaky, dead])).unreachable == ("dead",)
        stale = make(FakeClient(ListReply(ok=False, refusal="stale_epoch")), [], "stale")
        with pytest.raises(StaleEpochError):
            await collect_inventory([stale])

    asyncio.run(run())
