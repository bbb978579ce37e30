"""A small deployment: processes of the real program, and stand-ins of all that they speak to."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from zinniaweir.platform.http_client import HttpClient, HttpError
from zinniaweir.platform.http_server import HttpServer, Reply, Request, ServerLimits
from zinniaweir.telemetry.counters import Counters
from zinniaweir_soak.store import StoreStandIn
from zinniaweir_soak.workers import (
    WORKER_CAPACITY,
    InvariantChecker,
    JobSpec,
    Run,
    Slot,
    WorkerStandIn,
)
from zinniaweir_testkit.ports import free_ports
from zinniaweir_testkit.relay import Link, TcpRelay

ROOT: Final = Path(__file__).resolve().parents[3]
LOOPBACK: Final = "127.0.0.1"
DOMAINS: Final = ("north", "centre", "south")
RACK_SIZE: Final = 8
HEARTBEAT_SECONDS: Final = 1.5
TICK_SECONDS: Final = 0.02
DEADLINE_SECONDS: Final = 3.0
HOST: Final = LOOPBACK
"""Clients name the address that they call as the host."""
SERVICE: Final = "permits"
KEYS: Final = {"parish": "key-of-parish", "depots": "key-of-depots"}
"""API key of each customer."""
QUEUES: Final = {"bulk": (1, 4), "counter": (0, 3), "fees": (2, 3)}
"""Priority and `maxAttempts` of each queue."""
BOUNDS: Final = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxExtensionMs": 5000, "strictRevocation": False, "revokeMs": 5000,
    "evacuationMs": 5000, "recoveryS": 12, "holdMaxMs": 6000, "stopMs": 200, "gangMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "remoteFactor": 3, "checkpointS": 1, "restoreMs": 600, "noticeMs": 4500,
    "fencingRequired": True, "leaseMs": 3000,
}  # fmt: skip
"""The bounds of the small deployments."""


class Worker(WorkerStandIn):
    """A worker that tells the progress of its runs in whole percent, rounded down."""

    def _progress_percent(self, run: Run) -> int:
        if run.ends_at is None:
            return 0
        whole = max(run.ends_at - run.started_at, 1e-3)
        return min(99, int(100 * (time.monotonic() - run.started_at) / whole))


class Store(StoreStandIn):
    """A store that carries out some appends late, and does not answer them.

    Args:
        rng: Passed on.
    """

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng)
        self.late_by: Callable[[bytes], float] = lambda _body: 0.0
        """Returns by how many seconds an append is late, 0 for one that is done and answered."""
        self.writes = 0
        self.late_writes = 0

    async def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write a record as an operator or a worker does."""
        self.writes += 1
        await super().put(topic, key, value)

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        if request.path != "/log-append":
            return await super().handle(request)
        self.writes += 1
        seconds = self.late_by(request.body)
        if not seconds:
            return await super().handle(request)
        self.late_writes += 1
        await asyncio.sleep(seconds)
        await super().handle(request)
        # The client has left long ago; a connection on which an answer is lost stays silent.
        await asyncio.sleep(60.0)
        return Reply(status=503)


class CannotRunError(Exception):
    """The case could not be played to its end."""


class Record:
    """The file in which a script notes what was sent, answered and run.

    Args:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the beginning."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Observer(InvariantChecker):
    """Notes all starts and ends of runs in the record.

    Args:
        record: The record.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.starts: list[tuple[float, str, int, str]] = []
        """Time on the monotonic clock, task, run and worker of each start."""
        self.running: dict[tuple[str, int], str] = {}
        """Worker of each present run, by task and number."""

    def on_start(self, worker: Worker, run: Run) -> None:
        """Note a start."""
        self._record.write(f"run    start {run.task} run {run.number} on {worker.name}")
        self.starts.append((time.monotonic(), run.task, run.number, worker.name))
        self.running[run.task, run.number] = worker.name
        super().on_start(worker, run)

    def on_end(self, run: Run) -> None:
        """Note an end; a lost run ends with its worker."""
        worker = self.running.pop((run.task, run.number), "?")
        self._record.write(f"run    gone  {run.task} run {run.number} on {worker}")
        super().on_end(run)

    def on_end_acknowledged(self, task: str) -> None:
        """Note that the end of a task that is done was taken note of."""
        self._record.write(f"run    acknowledged {task}")
        super().on_end_acknowledged(task)

    def record_violation(self, text: str) -> None:
        """Note a violation of an invariant of the project's own stand-ins."""
        self._record.write(f"check  {text}")
        super().record_violation(text)


@dataclass(kw_only=True)
class Vm:
    """One process of the program."""

    name: str
    domain: str
    front: str
    ready: str
    settings: Path
    log: Path
    store_link: Link
    store_relay: TcpRelay
    process: asyncio.subprocess.Process | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)


@dataclass(kw_only=True)
class Answer:
    """What a client saw: a status, or None without an answer."""

    status: int | None
    body: dict[str, Any] = field(default_factory=dict)


class World:
    """The deployment.

    Args:
        record: Receives what is sent, answered and run.
        folder: Folder for settings and logs.
        vms: Number of VMs.
        workers: Number of workers.
        routes: Routes of the configuration; the three queues by default.
    """

    def __init__(
        self,
        *,
        record: Record,
        folder: Path,
        vms: int = 3,
        workers: int = 24,
        routes: list[dict[str, Any]] | None = None,
    ) -> None:
        self.record = record
        self.folder = folder
        self.rng = random.Random(0)
        self.observer = Observer(record)
        self.store = Store(rng=self.rng)
        self.vms: list[Vm] = []
        self.slots: list[Slot] = []
        self.links: list[Link] = []
        self.relays: list[TcpRelay] = []
        self.routes = routes if routes is not None else default_routes()
        self.service_of: Callable[[int], str] = lambda _index: SERVICE
        """Returns the service of a worker."""
        self.kind_of: Callable[[int], str] = lambda _index: "a"
        """Returns the kind of a worker."""
        self.down: set[int] = set()
        """Indexes of the workers that are down."""
        self._vm_count = vms
        self._worker_count = workers
        self._version = 0
        self._servers: list[HttpServer] = []
        self._client = HttpClient()
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Start everything and wait until all VMs are ready."""
        count = self._worker_count
        store_port, *ports = free_ports(1 + 2 * count + 4 * self._vm_count)
        await self._serve(self.store.handle, store_port)
        await self.configure()
        for index in range(count):
            await self._open_worker(index, ports.pop(), ports.pop())
        for index in range(self._vm_count):
            await self._open_vm(index, [ports.pop() for _ in range(4)], store_port)
        self.spawn(self._tick())
        self.spawn(self._beat())
        until = time.monotonic() + 20.0
        for vm in self.vms:
            while (await self.call(vm.ready, "GET", "/readyz")).status != 200:
                if time.monotonic() > until:
                    raise CannotRunError(f"{vm.name} is not ready after 20 s")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def close(self) -> None:
        """End all processes and servers."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGKILL)
            if vm.process is not None:
                await vm.process.wait()
        for relay in [*self.relays, *(vm.store_relay for vm in self.vms)]:
            relay.close()
        for server in self._servers:
            server.close_after_next_reply()
            await server.close()

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Run work until the end."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        tenants = [
            {"name": name, "apiKeys": [key], "guaranteed": {"gpu": 8}} for name, key in KEYS.items()
        ]
        config = {"version": self._version, "routes": self.routes, "tenants": tenants}
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.write(f"config version {self._version}")

    # Clients.

    async def call(
        self, address: str, method: str, path: str, *, key: str = "", body: bytes = b""
    ) -> Answer:
        """Send a request and return its answer."""
        headers = [("Content-Type", "application/json")]
        headers.append(("X-Deadline-Ms", str(int(DEADLINE_SECONDS * 1e3))))
        if key:
            headers.append(("Authorization", f"Bearer {key}"))
        try:
            response = await self._client.call(
                address, method, path, body=body, headers=tuple(headers),
                timeout_seconds=DEADLINE_SECONDS,
            )  # fmt: skip
        except HttpError:
            return Answer(status=None)
        try:
            content = json.loads(response.body or b"{}")
        except ValueError:
            content = {}
        return Answer(status=response.status, body=content)

    def new_id(self) -> str:
        """Return the id of a new job."""
        return f"{self.rng.getrandbits(64):016x}"

    async def submit(
        self,
        queue: str,
        spec: JobSpec,
        *,
        vm: Vm | None = None,
        job_id: str = "",
        attempts: int = 5,
        **extra: Any,
    ) -> tuple[str, int | None]:
        """Hand a job in, at one VM or at each in turn, until it is accepted."""
        job_id = job_id or self.new_id()
        self.observer.specs[job_id] = spec
        steps = extra.pop("steps", None) or [step_of(spec) | extra]
        body = json.dumps({"spec": "x", "steps": steps}).encode()
        answer = Answer(status=None)
        for attempt in range(attempts):
            target = vm or self.vms[attempt % len(self.vms)]
            answer = await self.ask(target, "POST", queue, job_id, body, customer=spec.customer)
            if answer.status is not None and 200 <= answer.status < 300:
                break
            await asyncio.sleep(0.5)
        return job_id, answer.status

    async def ask(
        self,
        vm: Vm,
        method: str,
        queue: str,
        job_id: str,
        body: bytes = b"",
        *,
        customer: str = "parish",
    ) -> Answer:
        """Send a call on a job and note it with its answer."""
        self.record.write(f"sent   {method} {queue} {job_id} to {vm.name}")
        key = KEYS.get(customer, "")
        answer = await self.call(vm.front, method, f"/{queue}/{job_id}", key=key, body=body)
        told = f"{answer.status or 'nothing'} {json.dumps(answer.body)}"
        self.record.write(f"answer {method} {queue} {job_id} from {vm.name}: {told}")
        return answer

    async def state(self, queue: str, job_id: str, *, customer: str = "parish") -> str:
        """Return a job's state, empty if no VM tells it; an unknown job is `unknown`."""
        for vm in self.vms:
            answer = await self.ask(vm, "GET", queue, job_id, customer=customer)
            if answer.status == 200:
                return str(answer.body.get("state", ""))
            if answer.status == 410:
                return "unknown"
        return ""

    # VMs.

    async def start_vm(self, vm: Vm) -> None:
        """Start a process with the command of the deploy file."""
        kept = {n: v for n in ("PATH", "HOME", "LANG") if (v := os.environ.get(n))}
        with vm.log.open("ab") as output:
            vm.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "zinniaweir.platform.main",
                stdout=output, stderr=output, cwd=ROOT,
                env=kept | {
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ZINNIAWEIR_SETTINGS": str(vm.settings),
                },
            )  # fmt: skip

    def owner(self) -> Vm:
        """Return the VM that owned scheduling last, by the logs."""
        newest = (-1, self.vms[0])
        for vm in self.vms:
            for line in vm.log.read_text(errors="replace").splitlines():
                if "owner_began" in line:
                    newest = max(newest, (_epoch(line), vm), key=lambda pair: pair[0])
        return newest[1]

    async def _open_vm(self, index: int, ports: list[int], store_port: int) -> None:
        front, ready, inner, relay_port = ports
        link = Link()
        relay = TcpRelay(port=relay_port, target=store_port, link=link)
        await relay.open()
        name = f"vm-{index}"
        vm = Vm(
            name=name,
            domain=DOMAINS[index % 3],
            front=f"{LOOPBACK}:{front}",
            ready=f"{LOOPBACK}:{ready}",
            settings=self.folder / f"{name}.json",
            log=self.folder / f"{name}.log",
            store_link=link,
            store_relay=relay,
        )
        settings = {
            "nodeName": name,
            "role": "vm",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": LOOPBACK,
            "zone": vm.domain,
            "listen": {"frontend": vm.front, "ready": vm.ready},
            "internalPorts": [inner, inner],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": int(HEARTBEAT_SECONDS * 1e3),
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": f"{LOOPBACK}:{relay_port}", "form": "log", "writesPerS": 600,
                "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "recordBytes": 262144,
                "callBytes": 2097152, "keep_s": 20,
            },
        }  # fmt: skip
        vm.settings.write_text(json.dumps(settings))
        self.vms.append(vm)
        await self.start_vm(vm)

    # Workers.

    async def crash(self, index: int) -> None:
        """Crash a worker: everything on it is gone, and it does not answer any more."""
        slot = self.slots[index]
        self.down.add(index)
        self.links[index].cut()
        self.relays[index].drop_connections()
        if slot.worker is not None:
            self.record.write(f"fault  {slot.worker.name} goes down")
            slot.worker.crash()

    async def restart(self, index: int) -> None:
        """Start a worker again under its id; it knows nothing of before."""
        slot = self.slots[index]
        self.relays[index].drop_connections()
        name = slot.worker.name if slot.worker is not None else f"worker-{index:02d}"
        slot.worker = Worker(name=name, checker=self.observer, rng=self.rng)
        slot.incarnations += 1
        self.down.discard(index)
        self.links[index].heal()
        self.record.write(f"fault  {name} is up again")
        await self.publish(index)

    async def leave(self, index: int, *, seconds: float) -> None:
        """Let a worker report that it drains, and leave for good some seconds later."""
        slot = self.slots[index]
        slot.draining = True
        assert slot.worker is not None
        self.record.write(f"fault  {slot.worker.name} drains, and leaves in {seconds:g} s")
        await self.publish(index, remaining_ms=int(seconds * 1e3))
        await asyncio.sleep(seconds)
        await self.crash(index)
        await self.store.put("keyed.servers", slot.worker.name, None)

    async def publish(self, index: int, *, remaining_ms: int | None = None) -> None:
        """Write a worker's entry into the store; with the time that is left, it drains."""
        slot = self.slots[index]
        worker = slot.worker
        if worker is None:
            return
        worker.report_count += 1
        entry = {
            "service": self.service_of(index),
            "address": f"{LOOPBACK}:{slot.port}",
            "zone": slot.failure_domain,
            "version": "1",
            "slots": 8,
            "state": "ready" if remaining_ms is None else "draining",
            "coldRemainingMs": 0,
            "sequence": worker.report_count,
            "born": worker.incarnation,
            "capacity": WORKER_CAPACITY,
            "labels": [self.kind_of(index), f"r{index // RACK_SIZE}-0"],
            "clockMs": worker.clock_ms,
        }
        if remaining_ms is not None:
            entry["remainingMs"] = remaining_ms
        await self.store.put("keyed.servers", worker.name, json.dumps(entry).encode())

    async def _open_worker(self, index: int, port: int, inner_port: int) -> None:
        domain = DOMAINS[index // RACK_SIZE % 3]
        slot = Slot(index=index, port=port, failure_domain=domain, rng=self.rng)
        await self._serve(slot.handle, inner_port)
        link = Link()
        relay = TcpRelay(port=port, target=inner_port, link=link)
        await relay.open()
        self.slots.append(slot)
        self.links.append(link)
        self.relays.append(relay)
        slot.worker = Worker(name=f"worker-{index:02d}", checker=self.observer, rng=self.rng)
        await self.publish(index)

    async def _serve(self, handler: Any, port: int) -> None:
        limits = ServerLimits(body_bytes=4_000_000, idle_seconds=60.0)
        server = HttpServer(handler=handler, limits=limits, counters=Counters())
        await server.start(f"{LOOPBACK}:{port}")
        self._servers.append(server)

    async def _tick(self) -> None:
        while True:
            for slot in self.slots:
                if slot.worker is not None and slot.index not in self.down:
                    slot.worker.tick()
            await asyncio.sleep(TICK_SECONDS)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for slot in self.slots:
                if slot.index not in self.down and not slot.draining:
                    await self.publish(slot.index)


def step_of(spec: JobSpec) -> dict[str, Any]:
    """Return a step as it is sent."""
    step = {"count": spec.count, "estimateMs": int(spec.seconds * 1e3), **spec.resources}
    return step | ({"gang": True} if spec.gang else {})


def default_routes() -> list[dict[str, Any]]:
    """Return the routes of the three queues."""
    return [
        {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "service": SERVICE,
            "priority": priority,
            "maxAttempts": attempts,
            "slackFactor": 3.0,
            "targetLatencyMs": 1000,
        }
        for name, (priority, attempts) in QUEUES.items()
    ]


def trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(
    case: Callable[[World], Awaitable[bool]],
    *,
    prepare: Callable[[World], None] = lambda _: None,
    **options: Any,
) -> int:
    """Play a case and return the exit status of its script.

    Args:
        case: Returns whether the rule held.
        prepare: Called before anything starts.
        options: Options of the world.
    """
    return asyncio.run(_play(case, prepare, options))


async def _play(
    case: Callable[[World], Awaitable[bool]],
    prepare: Callable[[World], None],
    options: dict[str, Any],
) -> int:
    record = Record(Path(sys.argv[1]))
    folder = Path(tempfile.mkdtemp(prefix="review-3-"))
    kept = os.environ.get("KEEP_LOGS")
    world = World(record=record, folder=Path(kept) if kept else folder, **options)
    prepare(world)
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(110.0):
            await world.open()
            held = await case(world)
        record.write("held" if held else "BROKEN")
        return 0 if held else 1
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write(f"cannot run: {error!r}")
        return 2
    finally:
        await world.close()
        record.close()
        with contextlib.suppress(OSError):
            for path in folder.iterdir():
                path.unlink()
            folder.rmdir()


def _epoch(line: str) -> int:
    try:
        return int(json.loads(line)["epoch"])
    except (ValueError, KeyError):
        return -1
