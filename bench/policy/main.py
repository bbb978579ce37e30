"""Replays seeded workloads through the core and through FIFO schedulers with first fit."""

from __future__ import annotations

import argparse
import json
import tracemalloc

from bench.policy import metrics
from bench.policy.fifo import FifoFirstFit
from bench.policy.replay import Replay
from bench.policy.workloads import DEPLOYMENTS, make_workload
from zinniaweir.core.scheduler import Scheduler

POLICIES = {
    "core": lambda w: Scheduler(topology=w.topology, settings=w.settings),
    "fifo_first_fit": FifoFirstFit,
    "fifo_overtake": lambda w: FifoFirstFit(w, overtake=True),
}


def measure(deployment: str, seed: int, policy: str, *, memory: bool = False) -> dict:
    """Return the results of one replay."""
    workload = make_workload(DEPLOYMENTS[deployment], seed)
    scheduler = POLICIES[policy](workload)
    if memory:
        tracemalloc.start()
    record = Replay(workload, scheduler).run()
    line = {
        "command": f"python -m bench policy --workload {deployment} --seeds {seed}",
        "workload": deployment,
        "seed": seed,
        "policy": policy,
        "completion": metrics.completion(workload, record),
        "fragmentation": metrics.fragmentation(record),
        "outage_work": metrics.work_through_outage(workload, record),
        "reclaim": metrics.reclaims(workload, record),
        "starved": metrics.starved(workload, record),
        "decision_ms": {
            "p50": round(metrics.quantile(record.decision_seconds, 0.5) * 1000, 3),
            "p99": round(metrics.quantile(record.decision_seconds, 0.99) * 1000, 3),
            "max": round(max(record.decision_seconds) * 1000, 3),
        },
    }
    if memory:
        line["peak_traced_mb"] = round(tracemalloc.get_traced_memory()[1] / 1e6, 2)
        tracemalloc.stop()
    return line


def run(arguments: list[str]) -> None:
    """Print a line of JSON for each workload, seed and policy, and for each comparison."""
    parser = argparse.ArgumentParser(prog="python -m bench policy")
    parser.add_argument("--workload", choices=sorted(DEPLOYMENTS), action="append")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    parser.add_argument("--policy", choices=sorted(POLICIES), action="append")
    parser.add_argument("--memory", action="store_true", help="trace memory; decisions slow down")
    options = parser.parse_args(arguments)
    for deployment in options.workload or sorted(DEPLOYMENTS):
        for seed in options.seeds:
            lines = {}
            for policy in options.policy or POLICIES:
                lines[policy] = measure(deployment, seed, policy, memory=options.memory)
                print(json.dumps(lines[policy]), flush=True)
            if {"core", "fifo_first_fit"} <= lines.keys():
                comparison = compare(lines["core"], lines["fifo_first_fit"])
                print(json.dumps({**comparison, "command": lines["core"]["command"]}), flush=True)


def compare(core: dict, fifo: dict) -> dict:
    """Return the core's results relative to those of the baseline, and which targets are met."""
    ratios = {
        name: round(core["completion"][name]["mean"] / fifo["completion"][name]["mean"], 3)
        for name in core["completion"]
        if name in fifo["completion"]
    }
    fragmentation = core["fragmentation"]["mean"] / max(fifo["fragmentation"]["mean"], 1e-9)
    met = {
        "completion": ratios["all"] <= 0.7,
        "guaranteed": ratios["guaranteed"] <= 1.0,
        "fragmentation": fragmentation <= 0.5,
        "outage_work": core["outage_work"]["share"] >= 0.95,
        "reclaim": not core["reclaim"]["late"],
        "starved": not core["starved"],
    }
    return {
        "comparison": f"{core['workload']}-{core['seed']}",
        "completion_ratio": ratios,
        "fragmentation_ratio": round(fragmentation, 3),
        "outage_work": [core["outage_work"]["share"], fifo["outage_work"]["share"]],
        "targets_met": met,
    }
