"""A small deployment: the project's programs as processes, and stand-ins for all around them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from standins.http import Reply, Server, call
from standins.runner import Ledger, Machine
from standins.store import Store

REPOSITORY: Final = Path(__file__).resolve().parents[2]
ZONES: Final = ("diliman", "los-banos", "baguio")
SERVICE: Final = "hourline-svc"
HOST: Final = "nony24.example"
KEY: Final = "key-parish"
RACK_SIZE: Final = 8
CALL_SECONDS: Final = 3.0
BOUNDS: Final = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxExtensionMs": 5000, "strictRevocation": False,
    "revokeMs": 5000, "coldOvershoot": 1.5, "coldSlack": 5, "evacuationMs": 5000,
    "recoveryS": 12, "holdMaxMs": 6000, "stopMs": 900, "gangMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 3,
    "checkpointS": 2, "restoreMs": 600, "noticeMs": 4500, "migrationS": 1.5,
    "maintenanceS": 2, "fencingRequired": True, "leaseMs": 3000, "thawSlackMs": 300,
    "paceMs": 100, "impactMs": 4000, "reclaimMs": 3400,
}  # fmt: skip
QUEUES: Final = (
    # name, path prefix, priority, attempts, slack, target latency in ms
    ("gnomon-check", "/check4/", 0, 4, 2.0, 300),
    ("dial-trace", "/trace7/", 1, 3, 2.0, 1000),
    ("analemma-sweep", "/sweep2/", 2, 2, 3.0, 3000),
)


class CannotRunError(Exception):
    """The case could not be run."""


@dataclass(kw_only=True, eq=False)
class Vm:
    """A VM with its process."""

    name: str
    zone: str
    host: str
    ports: dict[str, int]
    settings: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def frontend(self) -> str:
        """Address for clients."""
        return f"{self.host}:{self.ports['frontend']}"

    @property
    def ready(self) -> str:
        """Address for the balancer's probes."""
        return f"{self.host}:{self.ports['ready']}"


@dataclass(kw_only=True)
class Cluster:
    """The processes and stand-ins of a case; `open` first, `close` at the end."""

    ledger: Ledger
    vm_count: int = 3
    runner_count: int = 24
    vms: list[Vm] = field(default_factory=list)
    machines: list[Machine] = field(default_factory=list)
    version: int = 1
    _servers: list[Server] = field(default_factory=list)
    _subnet: str = field(
        default_factory=lambda: f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
    )

    def __post_init__(self) -> None:
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix="zinniaweir-review-"))

    async def open(self) -> None:
        """Start everything, and wait until all VMs are ready."""
        role = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["vm"]
        store_host = f"{self._subnet}.200"
        store_port = free_port(store_host)
        server = Server(handler=self.store.handle)
        await server.start(store_host, store_port)
        self._servers.append(server)
        await self.publish()
        for index in range(self.runner_count):
            await self._open_machine(index)
        for index in range(self.vm_count):
            self._prepare_vm(index, f"{store_host}:{store_port}")
        for vm in self.vms:
            self.start_vm(vm, role["run"])
        await self.wait_until(self._all_ready, 20.0, "the VMs did not become ready")
        self.ledger.write("ready", vms=len(self.vms), runners=len(self.machines))

    async def close(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        for machine in self.machines:
            machine.close()
        for server in self._servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def publish(self) -> None:
        """Write a version of the configuration."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": prefix,
                "service": SERVICE,
                "priority": priority,
                "maxAttempts": attempts,
                "slackFactor": slack,
                "targetLatencyMs": target,
            }
            for name, prefix, priority, attempts, slack, target in QUEUES
        ]
        tenants = [{"name": "parish", "apiKeys": [KEY], "guaranteed": {"gpu": 32}}]
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE}],
            "tenants": tenants,
            "limits": {"maxBodyBytes": 262_144},
        }
        await self.store.put("keyed.op", "config", config)

    def start_vm(self, vm: Vm, command: str = "python3 -m zinniaweir.platform.main") -> None:
        """Start a VM's process with the command of the deploy file."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self.folder / f"{vm.name}.log").open("ab") as output:
            vm.process = subprocess.Popen(
                shlex.split(command),
                cwd=REPOSITORY,
                env={
                    **kept,
                    "PYTHONPATH": str(REPOSITORY / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ZINNIAWEIR_SETTINGS": str(vm.settings),
                },
                stdout=output,
                stderr=output,
            )

    async def submit(
        self, queue: str, job_id: str, steps: list[dict[str, Any]], spec: dict[str, Any]
    ) -> int:
        """Hand in a job as a client does, and return the last status; 0 if there was no answer."""
        body = json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()
        for attempt in range(5):
            reply = await self.ask("POST", queue, job_id, body=body, vm=attempt)
            if reply is not None and reply.status not in (429, 502, 503, 504):
                return reply.status
            await asyncio.sleep(0.5)
        return reply.status if reply is not None else 0

    async def ask(
        self, method: str, queue: str, job_id: str = "", *, body: bytes = b"", vm: int = 0
    ) -> Reply | None:
        """Send one call of a client to a VM."""
        prefix = next(found for name, found, *_ in QUEUES if name == queue)
        target = self.vms[vm % len(self.vms)]
        reply = await call(
            target.frontend,
            method,
            prefix + job_id,
            body=body,
            headers={
                "Host": HOST,
                "Authorization": f"Bearer {KEY}",
                "Content-Type": "application/json",
                "X-Deadline-Ms": str(int(CALL_SECONDS * 1e3)),
            },
            timeout_seconds=CALL_SECONDS,
        )
        answer = f"{reply.status} {reply.body.decode()}" if reply else "none"
        self.ledger.write("call", method=method, path=prefix + job_id, vm=target.name, got=answer)
        return reply

    async def state(self, queue: str, job_id: str, *, vm: int = 0) -> str:
        """Return the state of a job as a client sees it, or the status of the answer."""
        reply = await self.ask("GET", queue, job_id, vm=vm)
        if reply is None:
            return "none"
        return reply.content["state"] if reply.status == 200 else str(reply.status)

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], seconds: float, failure: str
    ) -> None:
        """Wait for a condition.

        Raises:
            CannotRunError: If it does not come true in time.
        """
        until = self.ledger.now + seconds
        while not await condition():
            if self.ledger.now > until:
                raise CannotRunError(failure)
            await asyncio.sleep(0.1)

    def machine_of(self, task: str) -> Machine | None:
        """Return the machine on which a task is running."""
        for machine in self.machines:
            if machine.life and any(name == task for name, _ in machine.life.runs):
                return machine
        return None

    async def _all_ready(self) -> bool:
        replies = [await call(vm.ready, "GET", "/readyz", timeout_seconds=1.0) for vm in self.vms]
        return all(reply is not None and reply.status == 200 for reply in replies)

    async def _open_machine(self, index: int) -> None:
        host = f"{self._subnet}.{100 + index}"
        machine = Machine(
            name=f"m{index:02}",
            runner=f"i-{random.getrandbits(40):010x}",
            host=host,
            port=free_port(host),
            zone=ZONES[index // RACK_SIZE % len(ZONES)],
            rack=f"r{index // RACK_SIZE}-0",
            service=SERVICE,
            store=self.store,
            ledger=self.ledger,
        )
        self.machines.append(machine)
        await machine.start()

    def _prepare_vm(self, index: int, store: str) -> None:
        host = f"{self._subnet}.{10 + index}"
        zone = ZONES[index % len(ZONES)]
        name = f"frontend-{zone}-{index // len(ZONES) + 1}"
        ports = {part: free_port(host) for part in ("frontend", "ready", "internal")}
        settings = {
            "nodeName": name,
            "role": "vm",
            "machineClass": "frontend",
            "serves": ["frontend"],
            "ip": host,
            "zone": zone,
            "region": "luzon",
            "zones": dict.fromkeys(ZONES, "luzon"),
            "listen": {
                "frontend": f"{host}:{ports['frontend']}",
                "ready": f"{host}:{ports['ready']}",
            },
            "internalPorts": [ports["internal"], ports["internal"]],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": store, "form": "log", "writesPerS": 600, "readsPerS": 2000,
                "parts": 12, "appendMs": 2.0, "recordBytes": 262_144, "callBytes": 2_097_152,
                "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
            },
        }  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.vms.append(Vm(name=name, zone=zone, host=host, ports=ports, settings=path))


def free_port(host: str) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


def run_case(
    case: Callable[[Cluster, bool], Awaitable[bool]], *, folder: Path, **options: int
) -> int:
    """Run a case and return its exit code: 0 the rule held, 1 it was broken, 2 it could not run.

    Args:
        case: Returns whether the rule was broken; gets the cluster and whether to disrupt it.
        folder: Folder of the case, for its record.
        options: Sizes of the cluster.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    return asyncio.run(_run(case, folder, trouble, options))


async def _run(
    case: Callable[[Cluster, bool], Awaitable[bool]],
    folder: Path,
    trouble: bool,
    options: dict[str, int],
) -> int:
    ledger = Ledger(path=str(folder / "record.txt"))
    ledger.write("begin", trouble=int(trouble))
    cluster = Cluster(ledger=ledger, **options)
    try:
        await cluster.open()
        broken = await case(cluster, trouble)
    except Exception as error:
        # A fault of the case itself must not pass for a broken rule.
        ledger.write("cannot_run", error=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        return 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(cluster.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        await cluster.close()
    ledger.write("verdict", broken=int(broken))
    print("the rule was broken" if broken else "the rule held")
    return int(broken)
