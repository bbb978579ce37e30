"""Stand-in for the platform's workers.

One process serves several workers, each on its own port.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
from cyclopts import App
from grpclib.utils import graceful_exit

from zinniaweir.wire.service import ServiceHandler, make_server
from zinniaweir.wire.worker_service import (
    WORKER_SERVICE,
    CommandReply,
    GangRequest,
    ListReply,
    ListRequest,
    ReserveRequest,
    StartRequest,
    SyncReply,
    SyncRequest,
    TaskStatus,
    ThrottleRequest,
    Usage,
    WorkerEvent,
)
from zinniaweir_standins.faults import (
    CONTROL_SERVICE,
    FactsRequest,
    FaultReply,
    FaultRequest,
    Faults,
)

app = App(name="worker", help="Stand-in for workers.")

TICK_INTERVAL_SECONDS = 0.05
"""Interval at which tasks advance and leases are checked."""
USAGE_LAG_SECONDS = 2.0
"""Reported age of usage; a task that runs for less time reports none."""


class TaskPayload(msgspec.Struct, frozen=True):
    """Payload of a task, as far as the stand-in reads it."""

    seconds: float = 1.0
    """Run time of the whole work, when the task is not throttled."""
    checkpoint_seconds: float = 0.2
    """Duration of a checkpoint."""
    fail: bool = False
    """Whether the task fails at its first tick."""
    cores: float = 1.0
    """Cores that the task uses when it is not throttled."""


@dataclass
class Task:
    """One reservation or running task."""

    request: ReserveRequest
    state: str
    """`reserved`, `running` or `checkpointing`."""
    lease_until: float
    """Monotonic time at which the lease or the reservation lapses."""
    reserved_at: float
    """Monotonic time at which it was reserved."""
    payload: TaskPayload = field(default_factory=TaskPayload)
    started_at: float = 0.0
    """Monotonic time at which the task started."""
    progress: float = 0.0
    """Fraction of the work that is done."""
    share: float = 1.0
    """Share of the processor time that the task gets."""
    checkpoint_until: float = 0.0
    """Monotonic time at which the checkpoint ends."""


class WorkerStandin:
    """Simulate a worker: run tasks under leases and refuse commands of a stale epoch.

    Faults:
        fail_all: Every running task fails.
        fail_starts: Starts are refused.
        ignore_checkpoint: Checkpoint commands have no effect.
        killed: The worker loses its tasks, events and epoch, and begins another incarnation, as
            after a crash; the recorded history is kept.
    """

    def __init__(self, *, name: str, accelerators: int) -> None:
        self._name = name
        self._accelerators = accelerators
        self._epoch = 0
        self._incarnation = _new_incarnation()
        self._tasks: dict[tuple[str, int, int], Task] = {}
        self._events: list[WorkerEvent] = []
        self._changed = asyncio.Event()
        self._starts: list[dict[str, Any]] = []
        self._history: list[dict[str, Any]] = []
        self.faults = Faults()
        """Faults that are switched on."""

    async def reserve(self, request: ReserveRequest) -> CommandReply:
        """Reserve accelerators for a member of a gang."""
        await self.faults.before("reserve")
        if refusal := self._check_epoch(request.epoch):
            return refusal
        wanted = set(request.accelerators)
        key = (request.job_id, request.attempt, request.member)
        for other, task in self._tasks.items():
            if other != key and wanted & set(task.request.accelerators):
                return self._refuse("busy")
        if any(not 0 <= index < self._accelerators for index in wanted):
            return self._refuse("busy")
        if key not in self._tasks:
            now = time.monotonic()
            self._tasks[key] = Task(
                request=request,
                state="reserved",
                lease_until=now + request.ttl_seconds,
                reserved_at=now,
            )
        self.faults.after("reserve")
        return CommandReply(ok=True, epoch=self._epoch, incarnation=self._incarnation)

    async def start(self, request: StartRequest) -> CommandReply:
        """Start the reserved members of an attempt and set the leases of all its members."""
        await self.faults.before("start")
        if refusal := self._check_epoch(request.epoch):
            return refusal
        if request.incarnation not in ("", self._incarnation):
            return self._refuse("other_incarnation")
        tasks = self._gang_tasks(request.job_id, request.attempt)
        if not tasks:
            return self._refuse("unknown_gang")
        if self.faults.value("fail_starts", False):
            return self._refuse("start_failed")
        now = time.monotonic()
        max_age = request.max_reservation_age_seconds
        if max_age and now - max(task.reserved_at for task in tasks) > max_age:
            return self._refuse("too_late")
        payload = _decode_payload(request.payload)
        for task in tasks:
            if task.state == "reserved":
                task.state = "running"
                task.payload = payload
                task.started_at = now
                task.progress = request.start_fraction
                self._starts.append(
                    {"job_id": request.job_id, "attempt": request.attempt, "at": time.time()}
                )
                self._record(task, "start")
            task.lease_until = now + request.lease_seconds
        self.faults.after("start")
        return CommandReply(ok=True, epoch=self._epoch, incarnation=self._incarnation)

    async def stop(self, request: GangRequest) -> CommandReply:
        """Stop the members of an attempt."""
        await self.faults.before("stop")
        if refusal := self._check_epoch(request.epoch):
            return refusal
        for task in self._gang_tasks(request.job_id, request.attempt):
            self._end_task(task, "stopped", "stop")
        self.faults.after("stop")
        return CommandReply(ok=True, epoch=self._epoch, incarnation=self._incarnation)

    async def checkpoint(self, request: GangRequest) -> CommandReply:
        """Start a checkpoint; the members of an attempt end after it."""
        await self.faults.before("checkpoint")
        if refusal := self._check_epoch(request.epoch):
            return refusal
        now = time.monotonic()
        if not self.faults.value("ignore_checkpoint", False):
            for task in self._gang_tasks(request.job_id, request.attempt):
                if task.state == "running":
                    task.state = "checkpointing"
                    task.checkpoint_until = now + task.payload.checkpoint_seconds
        self.faults.after("checkpoint")
        return CommandReply(ok=True, epoch=self._epoch, incarnation=self._incarnation)

    async def throttle(self, request: ThrottleRequest) -> CommandReply:
        """Limit the members of an attempt to a share of their processor time."""
        await self.faults.before("throttle")
        if refusal := self._check_epoch(request.epoch):
            return refusal
        for task in self._gang_tasks(request.job_id, request.attempt):
            task.share = request.share
        return CommandReply(ok=True, epoch=self._epoch, incarnation=self._incarnation)

    async def sync(self, request: SyncRequest) -> SyncReply:
        """Renew the leases of gangs and return events, waiting for new ones if asked to."""
        await self.faults.before("sync")
        if refusal := self._check_sync(request):
            return refusal
        self._epoch = request.epoch
        until = time.monotonic() + request.lease_seconds
        for gang in request.gangs:
            for task in self._gang_tasks(gang.job_id, gang.attempt):
                task.lease_until = max(task.lease_until, until)
        if self._sequence <= request.after_sequence and request.wait_seconds > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), request.wait_seconds)
            await self.faults.before("sync")
            if refusal := self._check_sync(request):
                return refusal
        self.faults.after("sync")
        return SyncReply(
            ok=True,
            epoch=self._epoch,
            incarnation=self._incarnation,
            sequence=self._sequence,
            events=[event for event in self._events if event.sequence > request.after_sequence],
            usage=self._usage(),
        )

    async def list(self, request: ListRequest) -> ListReply:
        """Return all tasks and adopt the epoch of the request."""
        await self.faults.before("list")
        if request.epoch < self._epoch:
            return ListReply(ok=False, refusal="stale_epoch", epoch=self._epoch)
        self._epoch = request.epoch
        now = time.monotonic()
        return ListReply(
            ok=True,
            epoch=self._epoch,
            incarnation=self._incarnation,
            sequence=self._sequence,
            tasks=[
                TaskStatus(
                    job_id=task.request.job_id,
                    attempt=task.request.attempt,
                    member=task.request.member,
                    accelerators=task.request.accelerators,
                    state=task.state,
                    lease_left_seconds=task.lease_until - now,
                )
                for task in self._tasks.values()
            ],
        )

    async def set_faults(self, request: FaultRequest) -> FaultReply:
        """Replace the faults and return the facts."""
        self.faults.set(request)
        if self.faults.value("killed", False):
            self._kill()
        return FaultReply(facts=self._facts())

    async def get_facts(self, request: FactsRequest) -> FaultReply:
        """Return the facts with the rest of the history and the calls that were held."""
        history = self._history[request.history_from :]
        return FaultReply(facts={**self._facts(), "history": history, "held": self.faults.held})

    def _facts(self) -> dict[str, Any]:
        return {
            "name": self._name,
            "epoch": self._epoch,
            "running": sum(t.state != "reserved" for t in self._tasks.values()),
            "starts": self._starts,
            "history": self._history,
        }

    def _kill(self) -> None:
        for task in self._tasks.values():
            if task.state != "reserved":
                self._record(task, "killed")
        self._tasks.clear()
        self._events.clear()
        self._epoch = 0
        self._incarnation = _new_incarnation()
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Advance tasks and check leases until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            now = time.monotonic()
            for task in list(self._tasks.values()):
                self._advance(task, now)

    @property
    def _sequence(self) -> int:
        return self._events[-1].sequence if self._events else 0

    def _advance(self, task: Task, now: float) -> None:
        if now >= task.lease_until:
            if task.state == "reserved":
                self._tasks.pop(_task_key(task), None)
            else:
                self._end_task(task, "lease_lapsed", "lease lapsed")
            return
        if task.state == "checkpointing" and now >= task.checkpoint_until:
            self._end_task(task, "checkpointed", "")
        elif task.state == "running":
            task.progress += (
                TICK_INTERVAL_SECONDS
                * task.share
                / max(task.payload.seconds, TICK_INTERVAL_SECONDS)
            )
            if task.payload.fail or self.faults.value("fail_all", False):
                self._end_task(task, "failed", "task failed")
            elif task.progress >= 1.0:
                self._end_task(task, "done", "")

    def _end_task(self, task: Task, kind: str, reason: str) -> None:
        self._tasks.pop(_task_key(task), None)
        if task.state == "reserved":
            return
        self._record(task, kind)
        self._events.append(
            WorkerEvent(
                sequence=self._sequence + 1,
                kind=kind,
                job_id=task.request.job_id,
                attempt=task.request.attempt,
                member=task.request.member,
                reason=reason,
                done_fraction=min(task.progress, 1.0),
            )
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def _record(self, task: Task, what: str) -> None:
        self._history.append(
            {
                "at": time.time(),
                "what": what,
                "job_id": task.request.job_id,
                "attempt": task.request.attempt,
                "member": task.request.member,
            }
        )

    def _gang_tasks(self, job_id: str, attempt: int) -> list[Task]:
        return [task for key, task in self._tasks.items() if key[:2] == (job_id, attempt)]

    def _check_epoch(self, epoch: int) -> CommandReply | None:
        if epoch < self._epoch:
            return self._refuse("stale_epoch")
        self._epoch = epoch
        return None

    def _check_sync(self, request: SyncRequest) -> SyncReply | None:
        refusal = ""
        if request.epoch < self._epoch:
            refusal = "stale_epoch"
        elif request.incarnation not in ("", self._incarnation):
            refusal = "other_incarnation"
        if not refusal:
            return None
        return SyncReply(
            ok=False, refusal=refusal, epoch=self._epoch, incarnation=self._incarnation
        )

    def _refuse(self, refusal: str) -> CommandReply:
        return CommandReply(
            ok=False, refusal=refusal, epoch=self._epoch, incarnation=self._incarnation
        )

    def _usage(self) -> list[Usage]:
        return [
            Usage(
                job_id=task.request.job_id,
                attempt=task.request.attempt,
                member=task.request.member,
                cores=task.payload.cores * task.share,
                memory_bytes=task.request.memory_bytes,
                age_seconds=USAGE_LAG_SECONDS,
            )
            for task in self._tasks.values()
            if task.state == "running" and time.monotonic() - task.started_at >= USAGE_LAG_SECONDS
        ]


def _new_incarnation() -> str:
    return secrets.token_hex(8)


def _task_key(task: Task) -> tuple[str, int, int]:
    return (task.request.job_id, task.request.attempt, task.request.member)


def _decode_payload(data: bytes) -> TaskPayload:
    try:
        return msgspec.json.decode(data, type=TaskPayload)
    except msgspec.MsgspecError:
        return TaskPayload()


@app.default
def run(
    *,
    host: str = "127.0.0.1",
    ports: list[int],
    names: list[str],
    accelerators: int = 8,
) -> None:
    """Serve one worker on each port until a signal comes."""

    async def start() -> None:
        servers = []
        for port, name in zip(ports, names, strict=True):
            standin = WorkerStandin(name=name, accelerators=accelerators)
            server = make_server(
                [
                    ServiceHandler(service=WORKER_SERVICE, implementation=standin),
                    ServiceHandler(service=CONTROL_SERVICE, implementation=standin),
                ]
            )
            await server.start(host, port)
            servers.append((server, asyncio.create_task(standin.run())))
        with graceful_exit([server for server, _ in servers]):
            for server, _ in servers:
                await server.wait_closed()

    asyncio.run(start())


if __name__ == "__main__":
    app()
