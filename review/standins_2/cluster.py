"""VMs as separate processes, with stand-ins of the store, the runners, the operator and clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins_2.http import Server, call
from standins_2.runners import TICK_SECONDS, Ledger, Runner
from standins_2.store import CALL_BYTES, RECORD_BYTES, Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
KEY = "d4a3hwrr6x73d3zji9n7"
SERVICE = "rendering"
HEARTBEAT_SECONDS = 1.5
MEMORY_MB = 300
DEADLINE_MS = 3_000
RETRIES = 4
PREFIX = "/lohu930/"
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000,
    "revokeMs": 5000, "evacuationMs": 5000, "holdMaxMs": 6000, "stopMs": 900, "gangMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "leaseMs": 3000,
}  # fmt: skip


@dataclass(kw_only=True)
class Vm:
    """One VM: a process of the deploy file's program."""

    name: str
    zone: str
    front: int
    ready: int
    internal: int
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def peak_mb(self) -> float:
        """Return the largest memory that the process had, in MB of 1,000,000 bytes."""
        return self._status_mb("VmHWM")

    def memory_mb(self) -> float:
        """Return the memory of the process."""
        return self._status_mb("VmRSS")

    @property
    def lives(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, which this script started."""
        if self.lives:
            assert self.process is not None
            os.kill(self.process.pid, number)

    def _status_mb(self, name: str) -> float:
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0


@dataclass(kw_only=True)
class Cluster:
    """A small deployment on loopback addresses."""

    vm_count: int = 3
    runners: list[Runner] = field(default_factory=list)
    max_attempts: int = 4
    ledger: Ledger = field(default_factory=Ledger)
    store: Store = field(init=False)
    vms: list[Vm] = field(default_factory=list)
    _servers: list[Server] = field(default_factory=list)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def add_runner(self, **fields: Any) -> Runner:
        """Add a runner before the cluster is opened."""
        name = f"i-{len(self.runners):08x}"
        runner = Runner(name=name, port=free_port(), ledger=self.ledger, **fields)
        self.runners.append(runner)
        return runner

    async def open(self) -> None:
        """Start the stand-ins and the VMs, and wait until all VMs are ready."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        store_port = free_port()
        await self._serve(self.store.handle, store_port)
        await self.store.put("keyed.op", "config", json.dumps(self._configuration()).encode())
        for runner in self.runners:
            runner.start()
            await self._serve(runner.handle, runner.port)
            await self.announce(runner)
        for index in range(self.vm_count):
            self.vms.append(self._vm(index, store_port))
        self._tasks = [asyncio.create_task(self._tick()), asyncio.create_task(self._beat())]
        for vm in self.vms:
            self.start_vm(vm)
        for _ in range(200):
            statuses = [(await call(vm.ready, "GET", "/readyz", seconds=1))[0] for vm in self.vms]
            if all(status == 200 for status in statuses):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the VMs are not ready after 20 s")

    async def close(self) -> None:
        """End the processes and the stand-ins, and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    vm.process.kill()
                vm.process.wait()
        for server in self._servers:
            await server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_vm(self, vm: Vm) -> None:
        """Start a VM's process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["vm"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ZINNIAWEIR_SETTINGS"] = str(vm.settings)
        with vm.log.open("ab") as output:
            vm.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    async def announce(self, runner: Runner) -> None:
        """Write a runner's entry to the store, which does not accept it while it is down."""
        if runner.up and not self.store.down:
            value = json.dumps(runner.entry(SERVICE)).encode()
            await self.store.put("keyed.servers", runner.name, value)

    async def submit(self, job_id: str, job: dict[str, Any], *, first_vm: int = 0) -> bool:
        """Hand a job in as a client does, with retries at other VMs; return whether it is taken."""
        body = json.dumps(job).encode()
        for attempt in range(1 + RETRIES):
            vm = self.vms[(first_vm + attempt) % len(self.vms)]
            status, _ = await self.ask(vm, "POST", PREFIX + job_id, body=body)
            self.ledger.write(f"client: POST {job_id} at {vm.name}: {status}")
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(1.0 if status in (429, 503) else 0.1)
        return False

    async def state(self, job_id: str, *, first_vm: int = 0) -> str | None:
        """Ask for a job's state as a client does; None without an answer of any VM."""
        for attempt in range(1 + RETRIES):
            vm = self.vms[(first_vm + attempt) % len(self.vms)]
            status, body = await self.ask(vm, "GET", PREFIX + job_id)
            if status == 200:
                return str(json.loads(body)["state"])
            if status == 410:
                return "410"
        return None

    async def ask(
        self, vm: Vm, method: str, path: str, *, body: bytes = b"", seconds: float = 3.0
    ) -> tuple[int | None, bytes]:
        """Send one call of a client with its key."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Content-Type": "application/json",
        }
        return await call(vm.front, method, path, body=body, headers=headers, seconds=seconds)

    def _configuration(self) -> dict[str, Any]:
        return {
            "version": 3,
            "routes": [
                {
                    "name": "r-ce7ejsm", "host": HOST, "pathPrefix": PREFIX,
                    "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000,
                    "priority": 1, "service": SERVICE, "maxAttempts": self.max_attempts,
                    "slackFactor": 3.0, "anonymous": False,
                }
            ],
            "services": [
                {
                    "name": SERVICE, "healthPath": "/healthz", "maxConnections": 64,
                    "protocol": "h1", "tlsEnabled": False, "coldStartS": 0.0, "coldPerS": 0.0,
                    "enforcesCapacity": False, "standby": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [
                {"name": "kaje80", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpu": 0}}
            ],
        }  # fmt: skip

    def _vm(self, index: int, store_port: int) -> Vm:
        zone = ("north", "centre", "south")[index % 3]
        ports = free_ports(3)
        vm = Vm(
            name=f"frontend-{zone}-{index + 1}",
            zone=zone,
            front=ports[0],
            ready=ports[1],
            internal=ports[2],
            settings=self.folder / f"vm-{index}.json",
            log=self.folder / f"vm-{index}.log",
        )
        settings = {
            "nodeName": vm.name, "role": "vm", "machineClass": "frontend", "serves": ["frontend"],
            "ip": "127.0.0.1", "zone": zone, "region": "region",
            "zones": {"north": "region", "centre": "region", "south": "region"},
            "listen": {"frontend": f"127.0.0.1:{vm.front}", "ready": f"127.0.0.1:{vm.ready}"},
            "internalPorts": [vm.internal, vm.internal], "seeds": [], "bootstrap": True,
            "limits": {
                "cpuShare": 0.537, "cores": 2, "memoryMb": MEMORY_MB, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "bounds": BOUNDS, "orders": "call",
            "platform": {
                "address": f"127.0.0.1:{store_port}", "form": "log", "writesPerS": 600,
                "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "recordBytes": RECORD_BYTES,
                "callBytes": CALL_BYTES, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
            },
        }  # fmt: skip
        vm.settings.write_text(json.dumps(settings))
        return vm

    async def _serve(self, handler: Any, port: int) -> None:
        server = Server(handler=handler, port=port)
        await server.open()
        self._servers.append(server)

    async def _tick(self) -> None:
        while True:
            for runner in self.runners:
                runner.tick()
            await asyncio.sleep(TICK_SECONDS)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for runner in self.runners:
                await self.announce(runner)


def free_port() -> int:
    """Return a free port of the loopback address."""
    return free_ports(1)[0]


def free_ports(count: int) -> list[int]:
    """Return different free ports of the loopback address."""
    with contextlib.ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in found:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in found]


def run_case(
    folder: Path, cluster: Cluster, case: Callable[[Cluster, bool], Awaitable[list[str]]]
) -> int:
    """Run a case, write its record, and return the exit code of its script.

    Args:
        folder: Folder of the case.
        cluster: The deployment, which is not open yet.
        case: Plays the case with or without its disruption, and returns what breaks the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> list[str]:
        try:
            await cluster.open()
            return await case(cluster, trouble)
        finally:
            for vm in cluster.vms:
                if vm.process is not None:
                    state = "lives" if vm.lives else f"ended with {vm.process.returncode}"
                    cluster.ledger.write(f"{vm.name}: {state}, peak {vm.peak_mb():.0f} MB")
            if os.environ.get("KEEP_LOGS"):
                for vm in cluster.vms:
                    shutil.copy(vm.log, Path(os.environ["KEEP_LOGS"]) / vm.log.name)
            await cluster.close()

    began_at = time.monotonic()
    try:
        broken = asyncio.run(play())
        code = 1 if broken else 0
    except Exception as error:
        broken, code = [f"the case could not run: {error!r}"], 2
    summary = [
        f"TROUBLE={int(trouble)}: exit code {code} after {time.monotonic() - began_at:.1f} s",
        *broken[:20],
        *([f"... and {len(broken) - 20} more"] if len(broken) > 20 else []),
    ]
    text = "\n".join([*summary, "", *cluster.ledger.lines]) + "\n"
    (folder / "record.txt").write_text(text)
    print("\n".join(summary), file=sys.stderr)
    return code
