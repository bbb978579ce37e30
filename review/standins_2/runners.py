"""Stand-ins of the platform's runners, and what is known of each run on them."""

from __future__ import annotations

import asyncio
import json
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from standins_2.http import RESET, Reply, Request, json_reply

HOLD_MAX_MS = 6_000
"""`holdMaxMs`: a longer lease is shortened to it."""
LISTED_ENDS = 500
"""An answer to `/hold` returns this many ends at a time."""
STOP_SECONDS = 0.1
"""A stop takes at most `stopMs` (900)."""
GANG_SECONDS = 3.0
"""`gangMs`."""
TICK_SECONDS = 0.01


@dataclass(kw_only=True, eq=False)
class Run:
    """One run of a task on one incarnation of a runner."""

    task: str
    number: int
    runner: str
    born: int
    started_at: float
    work_seconds: float
    members: int = 1
    ends_at: float | None = None
    stop_at: float | None = None
    ended_at: float | None = None
    how: str = ""
    """How it ended; `gone` if its runner went down."""
    noted_at: float | None = None
    """When `lastSeen` reached its end, unless the lease lapsed between the two."""
    lapsed: bool = False
    """Whether the runner's lease lapsed between its end and that."""


class Ledger:
    """All runs of all runners, and a log of what happened."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.runs: list[Run] = []
        self.by_task: dict[str, list[Run]] = defaultdict(list)
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began_at:8.3f} {text}")

    def add(self, run: Run) -> None:
        """Add a run that begins."""
        self.runs.append(run)
        self.by_task[run.task].append(run)

    def twice(self) -> list[str]:
        """Return where TWICE is broken: two runs at one time, or a start after a noted end."""
        found = []
        for task, runs in self.by_task.items():
            for later in runs:
                for earlier in runs:
                    if earlier is later or earlier.started_at > later.started_at:
                        continue
                    end = earlier.ended_at
                    if end is None or later.started_at < end:
                        found.append(
                            f"{task}: run {later.number} began beside run {earlier.number}"
                        )
                    elif earlier.how == "done" and earlier.noted_at is not None:
                        found.append(
                            f"{task}: run {later.number} began on {later.runner} "
                            f"{later.started_at - end:.3f} s after run {earlier.number} had ended "
                            f"done on {earlier.runner}; that end was taken note of at "
                            f"{earlier.noted_at - self.began_at:.3f}"
                        )
        return found


@dataclass(kw_only=True)
class Runner:
    """A runner: a name and port, and its present incarnation while it is up."""

    name: str
    port: int
    ledger: Ledger
    zone: str = "north"
    labels: tuple[str, ...] = ("a", "r1-1")
    capacity: dict[str, int] = field(
        default_factory=lambda: {"cpu": 64_000, "memMb": 262_144, "gpu": 8}
    )
    up: bool = False
    incarnations: int = 0

    def start(self) -> None:
        """Begin a new incarnation, which knows nothing of the one before."""
        self.up = True
        self.incarnations += 1
        self.born = int(time.time() * 1e3)
        self._zero = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self.sequence = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self._highest: dict[str, int] = defaultdict(int)
        self._ends: list[tuple[int, Run]] = []
        self._count = 0
        self._ended = asyncio.Event()
        self.ledger.write(f"{self.name} is up, born {self.born}")

    def crash(self) -> None:
        """Go down; everything on it ends."""
        self.up = False
        now = time.monotonic()
        for run in self.runs.values():
            run.ended_at, run.how = now, "gone"
            self.ledger.write(f"{self.name}: {run.task} run {run.number} ends with the runner")
        self.runs = {}
        self.ledger.write(f"{self.name} is down")

    @property
    def clock_ms(self) -> int:
        """Its own steady clock."""
        return int((time.monotonic() - self._zero) * 1e3)

    def entry(self, service: str) -> dict[str, Any]:
        """Return its entry in the store."""
        self.sequence += 1
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": list(self.labels),
            "clockMs": self.clock_ms,
            "sequence": self.sequence,
            "born": self.born,
        }

    def tick(self) -> None:
        """End the runs whose time has come, and all of them if the lease has lapsed."""
        if not self.up:
            return
        now = time.monotonic()
        if self.clock_ms > self._lease_ms:
            for _, run in self._ends:
                run.lapsed = True
            for run in list(self.runs.values()):
                self._end(run, "lapsed", now)
        for run in list(self.runs.values()):
            if run.stop_at is not None and now >= run.stop_at:
                self._end(run, "stopped", now)
            elif run.ends_at is not None and now >= run.ends_at:
                self._end(run, "done", now)
            elif run.ends_at is None and now - run.started_at > GANG_SECONDS:
                self._end(run, "alone", now)

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        if not self.up:
            return RESET
        if request.path == "/healthz":
            return json_reply(200, {})
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return self._reply(421, {})
        body = json.loads(request.body)
        if body.get("fencingToken", 0) < self._fence:
            return self._reply(409, {"reason": "fence"})
        if body.get("fencingToken", 0) > self._fence:
            self._fence = body["fencingToken"]
            self.ledger.write(f"{self.name}: fencing token {self._fence}")
        match request.path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                return self._stop(body)
            case "/hold":
                return await self._hold(body)
        return json_reply(404, {})

    def _start(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        if body["deadlineMs"] < self.clock_ms:
            return self._reply(409, {"reason": "late"})
        self._extend(body["deadlineMs"])
        if (task, number) in self.runs:
            return self._reply(200, {})
        if number <= self._highest[task]:
            return self._reply(409, {"reason": "old"})
        self._highest[task] = number
        work = json.loads(body["spec"])
        now = time.monotonic()
        run = Run(
            task=task,
            number=number,
            runner=self.name,
            born=self.born,
            started_at=now,
            work_seconds=work["ms"] / 1e3,
            members=work.get("gang", 1),
        )
        if run.members == 1:
            run.ends_at = now + run.work_seconds
        self.runs[task, number] = run
        self.ledger.add(run)
        self.ledger.write(f"{self.name}: {task} run {number} begins")
        if run.members > 1:
            self._complete_gang(run, now)
        return self._reply(200, {})

    def _complete_gang(self, run: Run, now: float) -> None:
        step = run.task.rpartition(".")[0]
        gang = [
            other
            for other in self.ledger.runs
            if other.number == run.number
            and other.ended_at is None
            and other.task.rpartition(".")[0] == step
        ]
        if len(gang) == run.members:
            for other in gang:
                other.ends_at = now + run.work_seconds

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest[task], number)
        run = self.runs.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_SECONDS
            self.ledger.write(f"{self.name}: {task} run {number} is told to stop")
        return self._reply(200, {})

    async def _hold(self, body: dict[str, Any]) -> Reply:
        born = self.born
        seen = body.get("lastSeen", 0)
        now = time.monotonic()
        for number, run in self._ends:
            if number <= seen and run.noted_at is None and not run.lapsed:
                run.noted_at = now
        self._ends = [row for row in self._ends if row[0] > seen]
        self._extend(body.get("deadlineMs", 0))
        if not self._ends and body.get("waitMs"):
            self._ended.clear()
            try:
                async with asyncio.timeout(min(body["waitMs"], 2_000) / 1e3):
                    await self._ended.wait()
            except TimeoutError:
                pass
        if not self.up or self.born != born:
            return RESET
        running = [[run.task, run.number, "", self._percent(run), 0] for run in self.runs.values()]
        finished = [
            [number, run.task, run.number, run.how, ""] for number, run in self._ends[:LISTED_ENDS]
        ]
        return self._reply(200, {"running": running, "finished": finished})

    @property
    def unseen_ends(self) -> int:
        """Number of ends that nobody has acknowledged."""
        return len(self._ends) if self.up else 0

    def _percent(self, run: Run) -> int:
        if run.ends_at is None:
            return 0
        passed = time.monotonic() - (run.ends_at - run.work_seconds)
        return max(0, min(99, int(100 * passed / max(run.work_seconds, 1e-3))))

    def _extend(self, deadline_ms: int) -> None:
        self._lease_ms = max(self._lease_ms, min(deadline_ms, self.clock_ms + HOLD_MAX_MS))

    def _end(self, run: Run, how: str, now: float) -> None:
        if self.runs.pop((run.task, run.number), None) is None:
            return
        run.ended_at, run.how = now, how
        self._count += 1
        self._ends.append((self._count, run))
        self._ended.set()
        self.ledger.write(f"{self.name}: {run.task} run {run.number} ends {how}")

    def _reply(self, status: int, content: dict[str, Any]) -> Reply:
        return json_reply(status, {"clockMs": self.clock_ms, "born": self.born, **content})
