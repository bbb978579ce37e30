"""Measure the dispatcher's decisions under load; `python -m bench dispatch [--seeds N]`.

`python -m bench.dispatch.neighbours` measures tasks that slow each other down.
"""

from __future__ import annotations

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import Final

from bench.dispatch.heavy_workloads import heavy_boards, heavy_cellar
from bench.dispatch.hints import speed_hints
from bench.dispatch.replay import Replay, Results
from bench.dispatch.workloads import Burst, Deployment, arrivals, grown_aconcagua, grown_lakan

SECONDS: Final = 34.0
"""How long jobs arrive, as on a simulated day of the deployments."""
TAIL_SECONDS: Final = 14.0
"""How long the simulation continues after the last arrival."""
LOADS: Final = {
    "usual": (1.0, ()),
    "heavy": (1.5, ()),
    "urgent-burst": (1.1, (Burst(kind="checks", factor=2.0, at=6.0, seconds=6.0),
                           Burst(kind="counter", factor=2.0, at=6.0, seconds=6.0),
                           Burst(kind="urgent", factor=2.0, at=6.0, seconds=6.0))),
    "batch-burst": (1.1, (Burst(kind="sweeps", factor=2.7, at=7.0, seconds=4.0),
                          Burst(kind="fees", factor=2.7, at=7.0, seconds=4.0),
                          Burst(kind="batch", factor=2.7, at=7.0, seconds=4.0))),
    "large-burst": (1.0, (Burst(kind="traces", factor=2.6, at=7.0, seconds=4.0),
                          Burst(kind="bulk", factor=2.6, at=7.0, seconds=4.0),
                          Burst(kind="large", factor=2.6, at=7.0, seconds=4.0))),
}  # fmt: skip
"""Factor on all arrival rates, and the bursts, by name of the load."""


def run_load(deployment: Deployment, *, load: str, seed: int, hints: bool = True) -> Results:
    """Simulate one seeded load on a deployment, with or without learned speeds of workers."""
    replay = Replay(deployment=deployment, seed=seed)
    factor, bursts = LOADS[load]
    jobs = arrivals(
        deployment, seed=seed, seconds=SECONDS, load=factor, bursts=bursts, racks=replay.racks
    )
    with speed_hints(enabled=hints):
        return replay.run(jobs, seconds=SECONDS + TAIL_SECONDS)


def run(arguments: list[str]) -> None:
    """Print a line of means over the seeds for each deployment and load."""
    parser = argparse.ArgumentParser(prog="python -m bench dispatch")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--load", default="")
    parser.add_argument("--deployment", default="")
    parser.add_argument("--compare", action="store_true", help="also without learned speeds")
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args(arguments)
    rows = [
        (deployment, load, hints)
        for deployment in (grown_lakan(), grown_aconcagua(), heavy_boards(), heavy_cellar())
        for load in LOADS
        for hints in ((False, True) if options.compare else (True,))
        if options.load in load and options.deployment in deployment.name
    ]
    with ProcessPoolExecutor(options.jobs) as pool:
        futures_by_row = [
            [
                pool.submit(run_load, deployment, load=load, seed=seed, hints=hints)
                for seed in range(options.seeds)
            ]
            for deployment, load, hints in rows
        ]
        for (deployment, load, hints), futures in zip(rows, futures_by_row, strict=True):
            found = [future.result() for future in futures]
            suffix = "" if hints else "/all-alike"
            print(_line(f"{deployment.name}/{load}{suffix}", found), flush=True)


def _line(name: str, found: list[Results]) -> str:
    def mean(field: str) -> float:
        return statistics.fmean(getattr(results, field) for results in found)

    kinds = " ".join(
        f"{kind}={statistics.fmean(f.by_kind[kind] for f in found):.2f}"
        for kind in sorted(found[0].by_kind)
    )
    delays = " ".join(
        f"{kind}/objective={statistics.fmean(f.delays[kind] for f in found):.3f}"
        for kind in sorted(found[0].delays)
    )
    fields = ("worth", "worst_windows", "largest", "customers", "wasted", "plan_ms")
    return f"{name}: " + " ".join(f"{f}={mean(f):.3f}" for f in fields) + f" {kinds} {delays}"
