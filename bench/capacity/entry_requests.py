"""Processor time of requests in both processes of a VM, and their total duration."""

from __future__ import annotations

import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import psutil

from bench.capacity.fit import print_fit
from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import HOST, default_customers, make_layout

REQUESTS: Final = (200, 400, 800, 1_600)
CALLERS: Final = 16
BODY: Final = "x" * 200
KINDS: Final = (("idempotent", True), ("claimed", False))


def measure(seed: int) -> None:
    """Print the cost of requests by their number, on one VM with 6 upstreams of 8 slots each."""
    customers = default_customers()
    customers["parish"]["limits"] = {"requests_per_second": 100_000, "burst": 100_000}
    layout = make_layout(vms=1, upstreams_per_domain=2, customers=customers)
    with Cluster(layout=layout) as cluster:
        cluster.start()
        _send(cluster, REQUESTS[0], idempotent=False, run=0)
        for kind, idempotent in KINDS:
            points: dict[str, list[tuple[float, float]]] = {}
            for run, count in enumerate(REQUESTS, start=1):
                for name, value in _measure(cluster, count, idempotent, run).items():
                    points.setdefault(name, []).append((count, value))
            for name, pairs in points.items():
                unit = name.split()[-1]
                print_fit(f"{kind} {name}", unit=unit, per="requests", seed=seed, points=pairs)


def _measure(cluster: Cluster, count: int, idempotent: bool, run: int) -> dict[str, float]:
    processes = {
        name: psutil.Process(cluster.processes[f"vm1-{name}"].pid)
        for name in ("entry", "scheduler")
    }
    before = {name: sum(process.cpu_times()[:2]) for name, process in processes.items()}
    started = time.monotonic()
    failures = _send(cluster, count, idempotent=idempotent, run=run)
    seconds = time.monotonic() - started
    if failures:
        raise RuntimeError(f"{failures} of {count} requests failed")
    # The outcome of a claimed request is recorded after its answer; that cost counts too.
    time.sleep(1.0)
    spent = {
        f"{name} processor ms": 1e3 * (sum(process.cpu_times()[:2]) - before[name])
        for name, process in processes.items()
    }
    return {**spent, "duration s": seconds}


def _send(cluster: Cluster, count: int, *, idempotent: bool, run: int) -> int:
    """Send requests from several callers and return the number that failed."""

    def caller(number: int) -> int:
        connection = http.client.HTTPConnection(HOST, cluster.vm("vm1").http, timeout=20)
        failures = 0
        for request in range(number, count, CALLERS):
            body = {
                "customer": "parish",
                "name": "sweep",
                "idempotent": idempotent,
                "key": f"{idempotent}-{run}-{request}",
                "body": BODY,
            }
            connection.request("POST", "/v1/requests", json.dumps(body))
            answer = json.loads(connection.getresponse().read())
            failures += answer["state"] != "done"
        connection.close()
        return failures

    with ThreadPoolExecutor(max_workers=CALLERS) as pool:
        return sum(pool.map(caller, range(CALLERS)))
