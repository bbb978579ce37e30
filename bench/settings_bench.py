"""Benchmark of settings: time of a change, snapshot size and memory, by customers and workers."""

from __future__ import annotations

import argparse
import gc
import json
import statistics
import sys
import time
import tracemalloc
from typing import Any

import msgspec

from zinniaweir.settings.checks import no_guarantee_check
from zinniaweir.settings.fold import SettingsFold
from zinniaweir.wire.records import SettingsPut

CUSTOMER_COUNTS = (4, 50, 150)
WORKER_COUNTS = (24, 400, 1_600)
FAILURE_DOMAIN_COUNT = 11
RACK_SIZE = 8


def tree(customers: int, workers: int) -> dict[str, Any]:
    """Return a settings tree with numbers of customers and workers."""
    domains = {
        f"fd{i}": {"region": f"region{i % 3}", "state": "in"} for i in range(FAILURE_DOMAIN_COUNT)
    }
    count = (workers + RACK_SIZE - 1) // RACK_SIZE
    racks = {
        f"fd{i % FAILURE_DOMAIN_COUNT}-r{i}": {"failure_domain": f"fd{i % FAILURE_DOMAIN_COUNT}"}
        for i in range(count)
    }
    names = list(racks)
    members = {
        f"{names[i // RACK_SIZE]}-w{i}": {
            "rack": names[i // RACK_SIZE],
            "host": f"10.{i // 65_536}.{i // 256 % 256}.{i % 256}",
            "port": 7101,
            "cores": 64,
            "memory_gb": 256,
            "accelerators": 8,
        }
        for i in range(workers)
    }
    upstream = {
        f"u{i}": {
            "host": f"10.9.0.{i}",
            "port": 7201,
            "failure_domain": f"fd{i % FAILURE_DOMAIN_COUNT}",
        }
        for i in range(24)
    }
    return {
        "topology": {"failure_domains": domains, "racks": racks, "workers": members},
        "services": {"rendering": {"order": 1, "upstreams": upstream}},
        "customers": {f"customer{i}": customer_tree(i, 0) for i in range(customers)},
        "policy": {"services_for_jobs": {"ray-trace": ["rendering"]}},
    }


def customer_tree(index: int, iteration: int) -> dict[str, Any]:
    """Return the settings of a customer, which differ for each iteration."""
    return {
        "aliases": [f"alias{index}a", f"alias{index}b"],
        "name_correction": True,
        "jobs": {f"job{i}": {"aliases": [f"j{i}"]} for i in range(8)},
        "guarantees": [
            {"members": 2, "accelerators": 8, "cores": 8, "memory_gb": 16 + iteration % 2}
        ],
        "limits": {"requests_per_second": 200, "burst": 400 + iteration, "queued_jobs": 2_000},
        "quota": {"accelerators": 64, "running_jobs": 500},
        "priorities": ["urgent", "normal", "batch"],
    }


def change(kind: str, iteration: int, customers: int) -> tuple[str, Any]:
    """Return the path and value of a change of a kind."""
    index = iteration % customers
    if kind == "customer":
        return f"customers/customer{index}", customer_tree(index, iteration)
    if kind == "limit":
        return f"customers/customer{index}/limits/burst", 400 + iteration
    if kind == "drain":
        domain = f"fd{iteration % FAILURE_DOMAIN_COUNT}"
        return f"topology/failure_domains/{domain}/state", ("out", "in")[
            iteration // FAILURE_DOMAIN_COUNT % 2
        ]
    return "topology/workers/fd0-r0-w0/cores", 32 + iteration % 32


def measure(customers: int, workers: int, changes: int) -> list[dict[str, Any]]:
    """Return the results for one size of the settings tree."""
    size = {"customers": customers, "workers": workers}
    data = msgspec.msgpack.encode(tree(customers, workers))
    gc.collect()
    tracemalloc.start()
    fold = SettingsFold(check_guarantees=no_guarantee_check)
    apply_accepted(fold, 1, "", msgspec.msgpack.decode(data))
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rows = [{**size, "measure": "memory_bytes_of_tree_and_model", "value": memory}]
    offset = 1
    for kind in ("customer", "limit", "drain", "worker"):
        times = []
        for iteration in range(changes):
            path, value = change(kind, iteration, customers)
            offset += 1
            start = time.perf_counter()
            apply_accepted(fold, offset, path, value)
            times.append((time.perf_counter() - start) * 1_000_000)
        quantiles = statistics.quantiles(times, n=100)
        rows.append({**size, "measure": f"{kind}_change_p50_us", "value": round(quantiles[49])})
        rows.append({**size, "measure": f"{kind}_change_p99_us", "value": round(quantiles[98])})
    start = time.perf_counter()
    snapshot = msgspec.msgpack.encode(fold.snapshot())
    middle = time.perf_counter()
    SettingsFold.restore(msgspec.msgpack.decode(snapshot), check_guarantees=no_guarantee_check)
    end = time.perf_counter()
    rows.append({**size, "measure": "tree_bytes", "value": len(data)})
    rows.append({**size, "measure": "snapshot_bytes", "value": len(snapshot)})
    rows.append({**size, "measure": "snapshot_ms", "value": round((middle - start) * 1e3, 2)})
    rows.append({**size, "measure": "restore_ms", "value": round((end - middle) * 1e3, 2)})
    return rows


def apply_accepted(fold: SettingsFold, offset: int, path: str, value: Any) -> None:
    """Apply a change and raise RuntimeError if it is refused."""
    version = fold.get(path)[1]
    put = SettingsPut(path=path, value=value, base_version=version, author="bench", note="n")
    done = fold.apply(offset, f"{offset:032x}", 0.0, put)
    if not done.accepted:
        raise RuntimeError(done.reason)


def run(arguments: list[str]) -> int:
    """Print one JSON line for each result.

    Args:
        arguments: `--changes N` sets the number of changes of each kind and size; default 500.
    """
    parser = argparse.ArgumentParser(prog="settings_bench")
    parser.add_argument("--changes", type=int, default=500)
    changes = parser.parse_args(arguments).changes
    for customers in CUSTOMER_COUNTS:
        for workers in WORKER_COUNTS:
            for row in measure(customers, workers, changes):
                print(json.dumps({"bench": "settings", **row}), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
