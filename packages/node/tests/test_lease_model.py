"""Seeded faults of real VMs in virtual time: cuts, kills, releases and calls carried out late.

Workers check fences, deadlines, leases and run numbers as the platform's do.
"""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any, TypeVar

import pytest

import zinniaweir.node.boottime as boottime_module
from zinniaweir.dispatch.messages import ActiveRun, Listing, StartAnswer, TaskId, WorkerEntry
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.node.node import Node
from zinniaweir.node.ports import StaleEpochError, Stream, Tail, WorkerCallError
from zinniaweir.workloads.records import Submission, encode_record, submission_key

from .conftest import TERMS, MemoryLog, RefusingLog
from .test_node import SPEC, new_node

MAX_LEASE_MS = TimeLimits().max_lease_seconds * 1e3
CALL_SECONDS, CALL_TIMEOUT_SECONDS = 0.005, 0.6
READ_STEP_SECONDS = 0.1
STEP_SECONDS = 1e-5
"""Time of a step of the event loop, as timers may fire earlier by the clock's resolution."""
LATE_SHARE = 0.15
"""Share of the calls to workers that have no answer and are carried out late."""
MAX_LATE_SECONDS = 4.0
FAULTY_SECONDS = 12.0
"""Time after the faults of a round; all leases that they can leave end within it."""
HEALTHY_SECONDS = 8.0
VMS = ("v0", "v1", "v2")

T = TypeVar("T")


class VirtualSelector(selectors.DefaultSelector):
    """A selector that advances the time instead of waiting."""

    now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now += max(timeout or 0.0, STEP_SECONDS)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        super().__init__(VirtualSelector())

    def time(self) -> float:
        return self._selector.now


class CoarseLog(MemoryLog):
    """A log whose waiting reads take few steps."""

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        while len(self.streams[stream]) <= start and wait_seconds > 0:
            await asyncio.sleep(READ_STEP_SECONDS)
            wait_seconds -= READ_STEP_SECONDS
        return await super().read(stream, start, wait_seconds=0.0, timeout_seconds=0.0)


class Worker:
    """A worker with a slow clock; what it runs ends only by a stop or with its lease."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.fence = 0
        self.lease_ms = 0.0
        self.running: dict[TaskId, int] = {}
        self.newest_run: dict[TaskId, int] = {}
        self.reached_by = set(VMS)

    @property
    def clock_ms(self) -> int:
        return int(self.world.loop.time() * 980)

    def expire(self) -> None:
        if self.clock_ms >= self.lease_ms:
            self.running.clear()

    def hold(self, epoch: int, deadline_ms: int | None) -> None:
        self.expire()
        if epoch < self.fence:
            raise StaleEpochError("fence")
        self.fence = epoch
        if deadline_ms is not None:
            self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms + MAX_LEASE_MS))

    def start(self, task: TaskId, run: int, epoch: int, deadline_ms: int) -> StartAnswer:
        if self.clock_ms >= deadline_ms:
            return StartAnswer.TOO_LATE
        self.hold(epoch, deadline_ms)
        if self.running.get(task) != run:
            if run <= self.newest_run.get(task, 0):
                return StartAnswer.OLD_RUN
            self.running[task] = self.newest_run[task] = run
            self.world.check(task)
        return StartAnswer.STARTED

    def stop(self, task: TaskId, run: int, epoch: int) -> None:
        self.hold(epoch, None)
        if self.running.get(task) == run:
            del self.running[task]
        self.newest_run[task] = max(self.newest_run.get(task, 0), run)


class Client:
    """The calls of one VM to the workers."""

    def __init__(self, world: World, vm: str) -> None:
        self.world, self.vm = world, vm

    async def call(self, entry: WorkerEntry, action: Callable[[Worker], T]) -> T:
        worker, rng = self.world.workers[entry.worker], self.world.rng
        await asyncio.sleep(CALL_SECONDS)
        late = rng.random() < LATE_SHARE
        if late:
            self.world.loop.call_later(rng.uniform(0.0, MAX_LATE_SECONDS), action, worker)
        if late or self.vm not in worker.reached_by:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise WorkerCallError("no answer")
        return action(worker)

    async def start(
        self, entry: WorkerEntry, task: TaskId, *, run: int, deadline_ms: int, epoch: int, **_: Any
    ) -> StartAnswer:
        try:
            return await self.call(entry, lambda w: w.start(task, run, epoch, deadline_ms))
        except StaleEpochError:
            return StartAnswer.STALE_EPOCH
        except WorkerCallError:
            return StartAnswer.UNKNOWN

    async def stop(self, entry: WorkerEntry, task: TaskId, *, run: int, epoch: int) -> None:
        await self.call(entry, lambda w: w.stop(task, run, epoch))

    async def poll(
        self, entry: WorkerEntry, *, epoch: int, lease_until_ms: int | None, **options: Any
    ) -> Listing:
        await self.call(entry, lambda w: w.hold(epoch, lease_until_ms))
        worker = self.world.workers[entry.worker]
        await asyncio.sleep(options["wait_seconds"])
        if self.vm not in worker.reached_by:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise WorkerCallError("lost answer")
        worker.expire()
        runs = tuple(
            ActiveRun(task=task, run=run, checkpoint="", percent=50)
            for task, run in worker.running.items()
        )
        return Listing(incarnation=1, clock_ms=worker.clock_ms, running=runs, ended=())


class World:
    """VMs, their log, and workers."""

    def __init__(self, rng: Random, loop: VirtualLoop) -> None:
        self.rng, self.loop = rng, loop
        self.log = CoarseLog()
        self.log.put(Stream.OPERATORS, "config", b"1")
        self.workers = {f"w{n}": Worker(self) for n in range(2)}
        for name in self.workers:
            self.log.put(Stream.WORKERS, name, b"ok")
        self.logs = {vm: RefusingLog(self.log) for vm in VMS}
        self.nodes: dict[str, Node] = {}
        self.processes: dict[str, asyncio.Task[None]] = {}
        self.second_runs_at: list[float] = []

    def check(self, task: TaskId) -> None:
        for worker in self.workers.values():
            worker.expire()
        if sum(task in worker.running for worker in self.workers.values()) > 1:
            self.second_runs_at.append(self.loop.time())

    def boot(self, vm: str) -> None:
        self.nodes[vm] = new_node(vm, self.logs[vm], Client(self, vm))
        self.processes[vm] = self.loop.create_task(self.nodes[vm].run())

    async def disturb(self) -> None:
        """Inject one fault, mostly at the owner or the worker that has the task."""
        rng = self.rng
        owners = [vm for vm in VMS if self.nodes[vm].owner is not None]
        vm = rng.choice(owners or VMS)
        match rng.randrange(6):
            case 0:
                self.logs[vm].refusing = True
            case 1 | 2:
                # A cut failure domain: the owner and the worker that has the task, or that alone.
                for worker in self.workers.values():
                    worker.reached_by = set(VMS) - {vm}
                    if worker.running:
                        worker.reached_by = {vm} if rng.random() < 0.8 else set()
                self.logs[vm].refusing = rng.random() < 0.8
            case 3:
                self.log.lose_answers += 1
            case _:
                if rng.random() < 0.5:
                    await self.nodes[vm].stop()
                self.processes[vm].cancel()
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                self.boot(vm)
        await asyncio.sleep(rng.uniform(0.0, 2.0))

    async def play(self) -> None:
        job = Submission(job_id="a1", customer="parish", terms=TERMS, spec=SPEC, accepted_at=0.0)
        self.log.put(Stream.JOBS, submission_key("a1"), encode_record(job))
        for vm in VMS:
            self.boot(vm)
        await asyncio.sleep(3.0)
        for _ in range(3):
            for _ in range(self.rng.randrange(2, 6)):
                await self.disturb()
            await asyncio.sleep(FAULTY_SECONDS)
            for log in self.logs.values():
                log.refusing = False
            for worker in self.workers.values():
                worker.reached_by = set(VMS)
            await asyncio.sleep(HEALTHY_SECONDS)
            assert sum(len(worker.running) for worker in self.workers.values()) == 1


@pytest.mark.parametrize("seed", [*range(8), 13, 18, 38, 73])
def test_no_second_run_while_a_lease_may_be_in_force(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against two runs of a task around several changes of owner in a row."""
    random.seed(seed)
    loop = VirtualLoop()
    loop.set_exception_handler(lambda *_: None)  # The fence rejects some of the late calls.
    clock = SimpleNamespace(CLOCK_BOOTTIME=0, clock_gettime=lambda _: loop.time())
    monkeypatch.setattr(boottime_module, "time", clock)
    world = World(Random(seed), loop)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(world.play())
    assert world.second_runs_at == []
