"""In-memory log, workers and peers for tests of a VM's process without a network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from zinniaweir.dispatch.messages import Listing, StartAnswer, TaskId, WorkerEntry
from zinniaweir.node.ports import (
    Evacuation,
    Fence,
    KeyedRecord,
    Log,
    NoAnswerError,
    NothingDoneError,
    Page,
    Stream,
    SupersededError,
    Tail,
    WorkerCallError,
)
from zinniaweir.workloads.queues import Configuration, Customer, QueueTerms, Route

TERMS = QueueTerms(name="traces", service="rendering")
PARISH = Customer(name="parish", api_keys=frozenset({"key-1"}))
SETTINGS = Configuration(
    version=1,
    routes=(Route(host="a.example", prefix="/traces/", terms=TERMS),),
    customers=(PARISH,),
)


@dataclass
class MemoryLog:
    """An in-memory log with faults that a test switches on."""

    streams: dict[Stream, list[KeyedRecord]] = field(
        default_factory=lambda: {stream: [] for stream in Stream}
    )
    down: bool = False
    lose_answers: int = 0
    """Number of next appends that take effect without an answer."""
    refuse: Callable[[], bool] = lambda: False
    """Returns whether the next append is rejected."""
    epoch: int = 0
    sequence: int = 0
    answered: dict[tuple[int, int], int] = field(default_factory=dict)
    """Offset of each fenced append, by epoch and sequence number."""
    appended: int = 0
    append_seconds: float = 0.0
    """How long an append takes."""

    def put(self, stream: Stream, key: str, value: bytes | None) -> None:
        records = self.streams[stream]
        records.append(KeyedRecord(key=key, value=value, offset=len(records)))

    async def newest(self, stream: Stream, *, after: str = "") -> Page:
        await self._check_reachable()
        latest = {record.key: record for record in self.streams[stream]}
        records = tuple(r for k, r in sorted(latest.items()) if k > after and r.value is not None)
        return Page(records=records, more=False, end=len(self.streams[stream]))

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        await self._check_reachable()
        waited = 0.0
        while len(self.streams[stream]) <= start and waited < wait_seconds:
            await asyncio.sleep(0.01)
            waited += 0.01
            await self._check_reachable()
        records = tuple(self.streams[stream][start:])
        end = start + len(records)
        return Tail(records=records, next_offset=end, end=end)

    async def append(
        self,
        records: list[KeyedRecord],
        *,
        fence: Fence | None = None,
        timeout_seconds: float | None = None,
    ) -> int:
        await self._check_reachable()
        await asyncio.sleep(self.append_seconds)
        if self.refuse():
            raise NothingDoneError("refused")
        stream = self.streams[Stream.JOBS]
        if fence is not None:
            known = self.answered.get((fence.epoch, fence.sequence))
            if known is not None:
                return known
            if fence.epoch < self.epoch:
                raise SupersededError("fenced")
            if fence.epoch == self.epoch and fence.sequence != self.sequence + 1:
                raise SupersededError("sequence")
        offset = len(stream)
        for record in records:
            stream.append(replace(record, offset=len(stream)))
        self.appended += 1
        if fence is not None:
            self.epoch, self.sequence = fence.epoch, fence.sequence
            self.answered[fence.epoch, fence.sequence] = offset
        if self.lose_answers:
            self.lose_answers -= 1
            raise NoAnswerError("lost")
        return offset

    async def _check_reachable(self) -> None:
        await asyncio.sleep(0)
        if self.down:
            raise NoAnswerError("down")


class MemoryDecoder:
    """A decoder that knows the keys of settings and evacuations, and any worker by its name."""

    def operators(self, record: KeyedRecord) -> Configuration | Evacuation | None:
        if record.key == "config":
            return replace(SETTINGS, version=int(record.value or b"1"))
        if record.key.startswith("evacuate/"):
            return Evacuation(failure_domain=record.key.removeprefix("evacuate/"))
        return None

    def worker(self, record: KeyedRecord) -> WorkerEntry | None:
        if record.value == b"broken":
            return None
        state, _, number = (record.value or b"").partition(b" ")
        return WorkerEntry(
            worker=record.key,
            service="rendering",
            address="none",
            failure_domain="diliman",
            rack="r1-1",
            labels=frozenset(),
            incarnation=1,
            draining=state == b"draining",
            report_number=int(number or 0),
            cpu_millis=8_000,
            memory_mb=8_000,
            accelerators=8,
        )


class MemoryWorkers:
    """Workers that accept every start and never list a run."""

    def __init__(self) -> None:
        self.started: list[tuple[str, TaskId, int, int]] = []
        self.silent = False
        """Whether polls are not answered."""
        self.leases: list[int | None] = []
        """Leases of the polls that were sent, None for polls without one."""

    async def start(
        self,
        entry: WorkerEntry,
        task: TaskId,
        *,
        run: int,
        payload: str,
        checkpoint: str,
        deadline_ms: int,
        epoch: int,
        send_until: float,
    ) -> StartAnswer:
        self.started.append((entry.worker, task, run, epoch))
        return StartAnswer.STARTED

    async def stop(self, entry: WorkerEntry, task: TaskId, *, run: int, epoch: int) -> None:
        await asyncio.sleep(0)

    async def poll(
        self,
        entry: WorkerEntry,
        *,
        epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> Listing:
        self.leases.append(lease_until_ms)
        await asyncio.sleep(0.02)
        if self.silent:
            raise WorkerCallError("silent")
        clock = int(asyncio.get_running_loop().time() * 1e3)
        return Listing(incarnation=1, clock_ms=clock, running=(), ended=())


@pytest.fixture
def memory_log() -> MemoryLog:
    log = MemoryLog()
    log.put(Stream.OPERATORS, "config", b"1")
    return log


class RefusingLog:
    """A log that can reject the calls of one VM while it serves the others."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.refusing = False

    def __getattr__(self, name: str) -> Any:
        if self.refusing and name in ("newest", "read", "append"):
            return self._refuse
        return getattr(self._log, name)

    async def _refuse(self, *_args: Any, **_options: Any) -> Any:
        await asyncio.sleep(0)
        raise NothingDoneError("refused")


class MemoryPeers:
    """The logs of other VMs, by address."""

    def __init__(self, logs: dict[str, Log]) -> None:
        self._logs = logs

    def log_at(self, address: str) -> Log:
        return self._logs.get(address) or UnreachableLog()


class UnreachableLog(RefusingLog):
    """The log of a VM that cannot be reached."""

    def __init__(self) -> None:
        super().__init__(MemoryLog())
        self.refusing = True
