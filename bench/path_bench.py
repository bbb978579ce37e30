"""Measures real processes: latency that a VM adds, its idle cost, and propagation of settings."""

from __future__ import annotations

import argparse
import asyncio
import http.client
import json
import random
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Final

import psutil

from zinniaweir.wire.service import ServiceClient
from zinniaweir.wire.upstream_service import UPSTREAM_SERVICE, UpstreamRequest
from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import HOST, make_layout

COMMAND: Final = "python -m bench path"
BODY: Final = "x" * 200
IDLE_SECONDS: Final = 20.0
SETTINGS_CHANGES: Final = 20


def run(arguments: list[str]) -> None:
    """Run the measurements and print one JSON object per line."""
    parser = argparse.ArgumentParser(prog=COMMAND)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=100.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args(arguments)
    with Cluster(layout=make_layout(vms=3, upstreams_per_domain=2)) as cluster:
        cluster.start()
        _print("idle", options.seed, _idle(cluster))
        _print("added_latency", options.seed, _added_latency(cluster, options))
        _print("settings_propagation", options.seed, _propagation(cluster))


def _print(measure: str, seed: int, results: dict[str, Any]) -> None:
    print(json.dumps({"bench": measure, "command": COMMAND, "seed": seed, **results}), flush=True)


def _idle(cluster: Cluster) -> dict[str, Any]:
    """Return processor time and memory of the control processes of one idle VM."""
    time.sleep(3.0)
    processes = {
        name: psutil.Process(cluster.processes[f"vm1-{name}"].pid)
        for name in ("entry", "scheduler")
    }
    before = {name: sum(process.cpu_times()[:2]) for name, process in processes.items()}
    time.sleep(IDLE_SECONDS)
    results: dict[str, Any] = {"idle_seconds": IDLE_SECONDS}
    for name, process in processes.items():
        spent = sum(process.cpu_times()[:2]) - before[name]
        results[f"{name}_core_percent"] = round(100 * spent / IDLE_SECONDS, 2)
        results[f"{name}_pss_mb"] = round(_pss_bytes(process.pid) / 2**20, 1)
    results["vm_core_percent"] = round(
        results["entry_core_percent"] + results["scheduler_core_percent"], 2
    )
    results["vm_pss_mb"] = round(results["entry_pss_mb"] + results["scheduler_pss_mb"], 1)
    return results


def _added_latency(cluster: Cluster, options: argparse.Namespace) -> dict[str, Any]:
    """Return the latency that one VM adds to requests, compared with direct calls to upstreams."""
    arrivals = _arrivals(options)
    direct_seconds = asyncio.run(_call_upstreams(cluster, arrivals))
    results: dict[str, Any] = {"requests": len(arrivals), "rate": options.rate}
    for kind, idempotent in (("idempotent", True), ("claimed", False)):
        vm_seconds, failures = _send_through_vm(cluster, arrivals, idempotent=idempotent)
        results[f"{kind}_failures"] = failures
        for share in (0.5, 0.99):
            added = _quantile(vm_seconds, share) - _quantile(direct_seconds, share)
            results[f"{kind}_added_ms_p{int(share * 100)}"] = round(1000 * added, 2)
    results["direct_ms_p50"] = round(1000 * _quantile(direct_seconds, 0.5), 2)
    results["direct_ms_p99"] = round(1000 * _quantile(direct_seconds, 0.99), 2)
    return results


def _arrivals(options: argparse.Namespace) -> list[float]:
    rng = random.Random(options.seed)
    now, times = 0.0, []
    while now < options.seconds:
        times.append(now)
        now += rng.expovariate(options.rate)
    return times


async def _call_upstreams(cluster: Cluster, arrivals: list[float]) -> list[float]:
    clients = [
        ServiceClient(service=UPSTREAM_SERVICE, host=HOST, port=node.port)
        for node in cluster.layout.upstreams
    ]
    started = time.monotonic()

    async def send(number: int, at: float) -> float:
        await asyncio.sleep(max(0.0, started + at - time.monotonic()))
        request = UpstreamRequest(
            request_id=str(number), customer="parish", name="sweep", body=BODY.encode()
        )
        sent = time.monotonic()
        await clients[number % len(clients)].call("Handle", request, timeout=10.0)
        return time.monotonic() - sent

    times = await asyncio.gather(*(send(number, at) for number, at in enumerate(arrivals)))
    for client in clients:
        client.close()
    return list(times)


def _send_through_vm(
    cluster: Cluster, arrivals: list[float], *, idempotent: bool
) -> tuple[list[float], int]:
    vm = cluster.vm("vm1")
    started = time.monotonic()
    idle: list[http.client.HTTPConnection] = []

    def send(number: int, at: float) -> tuple[float, bool]:
        time.sleep(max(0.0, started + at - time.monotonic()))
        body = {
            "customer": "parish",
            "name": "sweep",
            "idempotent": idempotent,
            "key": f"{started}-{number}",
            "body": BODY,
        }
        connection = idle.pop() if idle else http.client.HTTPConnection(HOST, vm.http, timeout=20)
        sent = time.monotonic()
        connection.request("POST", "/v1/requests", json.dumps(body))
        response = connection.getresponse()
        answer = json.loads(response.read())
        seconds = time.monotonic() - sent
        idle.append(connection)
        return seconds, answer["state"] == "done"

    with ThreadPoolExecutor(max_workers=32) as pool:
        results = list(pool.map(send, range(len(arrivals)), arrivals))
    return [seconds for seconds, _ in results], sum(not done for _, done in results)


def _propagation(cluster: Cluster) -> dict[str, Any]:
    """Return the time from the acceptance of a settings change to its use on the last VM."""
    times = []
    for number in range(SETTINGS_CHANGES):
        burst = 100 + number
        cluster.put("customers/catalogue/limits", {"requests_per_second": 100.0, "burst": burst})
        times.append(cluster.wait_settings())
    return {
        "changes": SETTINGS_CHANGES,
        "vms": len(cluster.layout.vms),
        "p50_ms": round(1000 * statistics.median(times), 1),
        "max_ms": round(1000 * max(times), 1),
    }


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _pss_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) * 1024
    return 0
