"""Stand-in of the platform's runners: machines, and one life after the other on each."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any, Final

from standins.http import Reply, Request, Server
from standins.store import Store

HOLD_MAX_MS: Final = 6_000
GANG_MS: Final = 3_000
STOP_MS: Final = 300
HEARTBEAT_SECONDS: Final = 1.5
EXPIRY_SECONDS: Final = 3 * HEARTBEAT_SECONDS
"""Silence after which the platform removes a runner's entry."""
TICK_SECONDS: Final = 0.02
ENDS_PER_LISTING: Final = 500


@dataclass(kw_only=True, eq=False)
class Run:
    """One run of a task."""

    task: str
    number: int
    machine: str
    born: int
    started_at: float
    """Start, in seconds of the record."""
    work_seconds: float
    fails: bool
    gang: int = 0
    """Number of the gang's members, 0 for a task that runs by itself."""
    working_since: float | None = None
    stop_at: float | None = None
    ended_at: float | None = None
    how: str = ""
    noted_at: float | None = None
    """When `lastSeen` reached its end."""
    lapsed: bool = False
    """Whether the runner's lease lapsed between its end and then."""


class Ledger:
    """Everything that clients and runners saw, in the order of events.

    Args:
        path: File that receives a line for each event.
    """

    def __init__(self, *, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()
        self.runs: list[Run] = []
        self.members: dict[tuple[str, int], list[tuple[Life, Run]]] = {}
        """Present members of each gang, by step and run number."""

    @property
    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, event: str, **fields: object) -> None:
        """Write an event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {event} {text}\n")
        self._file.flush()

    def runs_of(self, job_id: str) -> list[Run]:
        """Return the runs of a job's tasks."""
        return [run for run in self.runs if run.task.partition(".")[0] == job_id]


class Life:
    """One life of a runner; it keeps nothing of an earlier one.

    Args:
        machine: The machine that it runs on.
        born: Its start in Unix milliseconds.
    """

    def __init__(self, *, machine: Machine, born: int) -> None:
        self.machine = machine
        self.born = born
        self.sequence = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self._ledger = machine.ledger
        self._began = time.monotonic()
        self._token = 0
        self._lease_until = 0.0
        self._lapsed_at = -1.0
        self._last_end = 0
        self._ends: list[tuple[int, Run, str]] = []
        self._highest: dict[str, int] = {}
        self._ended = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Its own steady clock."""
        return int((time.monotonic() - self._began) * 1e3)

    async def handle(self, request: Request) -> Reply:
        """Carry out an order."""
        body = json.loads(request.body)
        if request.headers.get("x-expect-instance") != self.machine.runner:
            return self._reply(421)
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._reply(409, reason="fence")
        self._token = token
        match request.path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                return self._stop(body)
            case "/hold":
                return await self._hold(body)
        return self._reply(404)

    def tick(self) -> None:
        """End what is due."""
        now = time.monotonic()
        if self.clock_ms > self._lease_until:
            self._lapsed_at = self._ledger.now
        for run in list(self.runs.values()):
            if self.clock_ms > self._lease_until:
                self._end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(run, "stopped")
            elif run.working_since is not None and now - run.working_since >= run.work_seconds:
                self._finish(run)
            elif run.working_since is None and self._ledger.now - run.started_at > GANG_MS / 1e3:
                self._end(run, "alone")

    def vanish(self) -> None:
        """Drop everything, as a crash does."""
        lost = list(self.runs.values())
        self.runs.clear()
        for run in lost:
            members = self._forget(run, "lost")
            for life, member in members:
                if life is not self:
                    life._end(member, "broken")

    def _start(self, body: dict[str, Any]) -> Reply:
        key = body["task"], body["run"]
        if body["deadlineMs"] < self.clock_ms:
            return self._reply(409, reason="late")
        self._extend(body["deadlineMs"])
        if key in self.runs:
            return self._reply(200)
        if body["run"] <= self._highest.get(body["task"], 0):
            return self._reply(409, reason="old")
        work = json.loads(body["spec"])
        run = Run(
            task=body["task"],
            number=body["run"],
            machine=self.machine.name,
            born=self.born,
            started_at=self._ledger.now,
            work_seconds=work["seconds"],
            fails=work.get("fails", False),
            gang=work.get("gang", {}).get(body["task"].split(".")[2], 0),
        )
        self.runs[key] = run
        self._ledger.runs.append(run)
        self._ledger.write("start", task=run.task, run=run.number, machine=run.machine)
        if run.gang:
            members = self._ledger.members.setdefault(_gang_of(run), [])
            members.append((self, run))
            if len(members) == run.gang:
                for _, member in members:
                    member.working_since = time.monotonic()
        else:
            run.working_since = time.monotonic()
        return self._reply(200)

    def _stop(self, body: dict[str, Any]) -> Reply:
        self._highest[body["task"]] = max(self._highest.get(body["task"], 0), body["run"])
        run = self.runs.get((body["task"], body["run"]))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_MS / 1e3
        return self._reply(200)

    async def _hold(self, body: dict[str, Any]) -> Reply:
        for number, run, _ in self._ends:
            if number <= body["lastSeen"] and run.noted_at is None:
                run.noted_at = self._ledger.now
                run.lapsed = self._lapsed_at >= (run.ended_at or 0.0)
                self._ledger.write("end_noted", task=run.task, run=run.number, how=run.how)
        self._ends = [row for row in self._ends if row[0] > body["lastSeen"]]
        self._extend(body.get("deadlineMs", 0))
        if not self._ends and body.get("waitMs"):
            self._ended.clear()
            try:
                async with asyncio.timeout(body["waitMs"] / 1e3):
                    await self._ended.wait()
            except TimeoutError:
                pass
        running = [[run.task, run.number, "", self._percent(run), 0] for run in self.runs.values()]
        ends = self._ends[:ENDS_PER_LISTING]
        finished = [[number, run.task, run.number, how, ""] for number, run, how in ends]
        return self._reply(200, running=running, finished=finished)

    def _percent(self, run: Run) -> int:
        if run.working_since is None:
            return 0
        share = (time.monotonic() - run.working_since) / run.work_seconds
        return max(1, min(99, int(100 * share)))

    def _extend(self, deadline_ms: float) -> None:
        self._lease_until = max(self._lease_until, min(deadline_ms, self.clock_ms + HOLD_MAX_MS))

    def _finish(self, run: Run) -> None:
        how = "failed" if run.fails else "done"
        members = list(self._ledger.members.get(_gang_of(run), ())) if run.gang else [(self, run)]
        for life, member in members:
            life._end(member, how)

    def _end(self, run: Run, how: str) -> None:
        if (run.task, run.number) not in self.runs:
            return
        del self.runs[run.task, run.number]
        members = self._forget(run, how)
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._last_end += 1
        self._ends.append((self._last_end, run, how))
        self._ended.set()
        if how not in ("done", "failed"):
            for life, member in members:
                life._end(member, "broken")

    def _forget(self, run: Run, how: str) -> list[tuple[Life, Run]]:
        """Record the end of a run, and return the other members of its gang."""
        run.ended_at, run.how = self._ledger.now, how
        self._ledger.write("end", task=run.task, run=run.number, machine=run.machine, how=how)
        members = self._ledger.members.get(_gang_of(run), []) if run.gang else []
        members[:] = [pair for pair in members if pair[1] is not run]
        return list(members)

    def _reply(self, status: int, **content: object) -> Reply:
        full = {"clockMs": self.clock_ms, "born": self.born, **content}
        return Reply(status=status, body=json.dumps(full).encode())


def _gang_of(run: Run) -> tuple[str, int]:
    return run.task.rpartition(".")[0], run.number


@dataclass(kw_only=True, eq=False)
class Machine:
    """A machine with its present runner, which keeps its id over its lives."""

    name: str
    runner: str
    """Id of the runner."""
    host: str
    port: int
    zone: str
    rack: str
    service: str
    store: Store
    ledger: Ledger
    labels: tuple[str, ...] = ("a",)
    reaches_store: bool = True
    busy: bool = False
    """Whether it rejects each start with 503, though its reports are good."""
    clock_offset_ms: int = 0
    """Error of its time of day."""
    life: Life | None = None
    _server: Server | None = None
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _watch: asyncio.Task[None] | None = None
    _written_at: float | None = None
    """When its entry was last written, None if there is none."""

    async def start(self) -> None:
        """Start a life of the runner."""
        self.life = Life(machine=self, born=int(time.time() * 1e3) + self.clock_offset_ms)
        self._server = Server(handler=self._handle)
        await self._server.start(self.host, self.port)
        self.ledger.write("runner_up", machine=self.name, born=self.life.born)
        await self.heartbeat()
        self._tasks = [asyncio.create_task(self._tick()), asyncio.create_task(self._beat())]
        if self._watch is None:
            self._watch = asyncio.create_task(self._expire())

    def crash(self) -> None:
        """End the present life without a word."""
        self.ledger.write("runner_crashes", machine=self.name)
        self._stop_tasks()
        if self.life is not None:
            self.life.vanish()
        self.life = None

    def close(self) -> None:
        """End everything."""
        self._stop_tasks()
        if self._watch is not None:
            self._watch.cancel()

    def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def heartbeat(self) -> None:
        """Write the runner's entry to the store."""
        life = self.life
        if life is None or not self.reaches_store:
            return
        life.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": life.sequence,
            "born": life.born,
            "clockMs": life.clock_ms,
            "capacity": {"cpu": 64_000, "memMb": 262_144, "gpu": 8},
            "labels": [*self.labels, self.rack],
        }
        self._written_at = time.monotonic()
        await self.store.put("keyed.servers", self.runner, entry)

    async def _handle(self, request: Request) -> Reply | None:
        if self.life is None:
            return None
        if self.busy and request.path == "/run-start":
            self.ledger.write("start_rejected", machine=self.name, status=503)
            return Reply(status=503)
        return await self.life.handle(request)

    async def _tick(self) -> None:
        while self.life is not None:
            self.life.tick()
            await asyncio.sleep(TICK_SECONDS)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self.heartbeat()

    async def _expire(self) -> None:
        """Remove the entry after a silence, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            silent = self._written_at is not None
            if silent and time.monotonic() - self._written_at > EXPIRY_SECONDS:
                self._written_at = None
                self.ledger.write("entry_expired", machine=self.name)
                await self.store.put("keyed.servers", self.runner, None)
