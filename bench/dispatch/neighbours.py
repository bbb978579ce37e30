"""Measure tasks that slow each other down on one worker; `python -m bench.dispatch.neighbours`.

Prints one line without and one with learned interference for each deployment: shares of the worth,
late jobs, mean durations of the jobs of each kind, and what was judged.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections import Counter, defaultdict
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from typing import Any, Final
from unittest.mock import patch

from bench.dispatch.heavy_workloads import heavy_boards, heavy_cellar
from bench.dispatch.replay import TICK_INTERVAL_SECONDS, Replay, _Run
from bench.dispatch.workloads import Arrival, Deployment, arrivals
from zinniaweir.dispatch import interference
from zinniaweir.dispatch.units import Unit

SECONDS: Final = 150.0
"""How long jobs arrive."""
TAIL_SECONDS: Final = 14.0
"""How long the simulation continues after the last arrival."""
SLOWDOWN: Final = 1.3
"""Factor on the duration of a task beside one of the other queue."""
PAIRS: Final = {"urgent": "batch", "batch": "urgent"}
"""Queues that slow each other down."""
DEPLOYMENTS: Final = {"boards": heavy_boards, "cellar": heavy_cellar}


class NeighbourReplay(Replay):
    """Simulation in which tasks of some queues slow each other down on one worker.

    Args:
        deployment: The workers and customers.
        seed: Seed of the periods in which workers are slowed down.
        pairs: By queue, the queue beside which its tasks are slowed down.
    """

    def __init__(self, *, deployment: Deployment, seed: int, pairs: Mapping[str, str]) -> None:
        super().__init__(deployment=deployment, seed=seed)
        self._pairs = pairs
        self._delays: dict[Unit, float] = defaultdict(float)
        """Delay of the current run of a unit by neighbours, in seconds."""
        self._delayed_runs: dict[Unit, int] = {}
        self.run_seconds: Counter[str] = Counter()
        """Task seconds by queue."""
        self.slowed_seconds: Counter[str] = Counter()
        """Task seconds beside a neighbour that slows the task down, by queue."""
        self.judged: dict[tuple[str, str], float] = {}
        """When pairs were judged first, in seconds from the beginning."""
        self.dropped = 0
        self._began_at = self._now

    def log(self, event: str, **fields: Any) -> None:
        """Record judged and dropped pairs; other events are handled as usual."""
        if event == "interference_judged":
            pair = fields["queue"], fields["neighbour"]
            self.judged.setdefault(pair, self._now - self._began_at)
        elif event == "interference_dropped":
            self.dropped += 1
        super().log(event, **fields)

    def _step(self) -> None:
        self._slow_down()
        super()._step()

    def _slow_down(self) -> None:
        """Delay the ends of all runs beside a bad neighbour by what they lose in one tick."""
        slowed: set[Unit] = set()
        running: list[_Run] = []
        for simulated in self._workers.values():
            runs = list(simulated.runs.values())
            queues = {run.assignment.unit.job.terms.name for run in runs}
            for run in runs:
                unit = run.assignment.unit
                name = unit.job.terms.name
                self.run_seconds[name] += TICK_INTERVAL_SECONDS
                if self._pairs.get(name) in queues:
                    self.slowed_seconds[name] += TICK_INTERVAL_SECONDS
                    slowed.add(unit)
            running += runs
        lost = TICK_INTERVAL_SECONDS * (1 - 1 / SLOWDOWN)
        for unit in slowed:
            if self._delayed_runs.get(unit) != unit.run:
                self._delayed_runs[unit] = unit.run
                self._delays[unit] = 0.0
            self._delays[unit] += lost
        for run in running:
            # Members of a gang advance together, at the speed of the slowest.
            if run.assignment.unit in slowed and run.whole_seconds and not run.stopping:
                run.ends_at += lost

    def _percent(self, run: _Run) -> int:
        unit = run.assignment.unit
        delay = self._delays[unit] if self._delayed_runs.get(unit) == unit.run else 0.0
        done = self._now - run.started_at - delay
        share = done / run.whole_seconds if run.whole_seconds else 0.0
        return max(1, min(99, int(100 * share)))


def measure(name: str, seed: int, load: float, *, slows: bool, learns: bool) -> dict[str, float]:
    """Return the figures of one seeded load on a deployment.

    Args:
        name: Name of the deployment.
        seed: Seed of the load.
        load: Factor on all arrival rates.
        slows: Whether the queues of `PAIRS` slow each other down.
        learns: Whether interference is learned.
    """
    deployment = DEPLOYMENTS[name]()
    replay = NeighbourReplay(deployment=deployment, seed=seed, pairs=PAIRS if slows else {})
    jobs = list(arrivals(deployment, seed=seed, seconds=SECONDS, load=load, racks=replay.racks))
    min_samples = interference.MIN_SAMPLES if learns else 1 << 60
    with patch.object(interference, "MIN_SAMPLES", min_samples):
        results = replay.run(jobs, seconds=SECONDS + TAIL_SECONDS)
    found = {
        "worth": results.worth,
        **{f"worth_{kind}": share for kind, share in sorted(results.by_kind.items())},
    }
    by_kind: dict[str, list[Arrival]] = defaultdict(list)
    for job in jobs:
        by_kind[job.kind.name].append(job)
    for kind, of_kind in sorted(by_kind.items()):
        found[f"late_{kind}"] = sum(not results.seconds[job.job_id][1] for job in of_kind)
        seconds = (min(results.seconds[j.job_id][0], SECONDS + TAIL_SECONDS) for j in of_kind)
        found[f"seconds_{kind}"] = statistics.fmean(seconds)
    for kind in sorted(PAIRS):
        slowed = replay.slowed_seconds[kind] / max(replay.run_seconds[kind], 1.0)
        found[f"beside_{kind}"] = slowed
    right = [at for pair, at in replay.judged.items() if PAIRS.get(pair[0]) == pair[1]]
    found["judged"] = len(right)
    found["judged_at"] = min(right, default=SECONDS)
    found["wrong"] = len(replay.judged) - (len(right) if slows else 0)
    found["dropped"] = replay.dropped
    found["plan_ms"] = results.plan_ms
    return found


def run(arguments: list[str]) -> None:
    """Print the means over the seeds for each deployment, without and with learning."""
    parser = argparse.ArgumentParser(prog="python -m bench.dispatch.neighbours")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--deployment", choices=(*DEPLOYMENTS, ""), default="")
    parser.add_argument("--alike", action="store_true", help="no queue slows another down")
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args(arguments)
    with ProcessPoolExecutor(options.jobs) as pool:
        rows = [
            (
                f"{name} {'new' if learns else 'old'}",
                [
                    pool.submit(
                        measure, name, seed, options.load, slows=not options.alike, learns=learns
                    )
                    for seed in range(options.seeds)
                ],
            )
            for name in DEPLOYMENTS
            if options.deployment in name
            for learns in (False, True)
        ]
        for label, futures in rows:
            found = [future.result() for future in futures]
            means = {key: statistics.fmean(f[key] for f in found) for key in found[0]}
            figures = " ".join(f"{key}={value:.4g}" for key, value in means.items())
            print(f"{label}: {figures}", flush=True)


if __name__ == "__main__":
    run(sys.argv[1:])
