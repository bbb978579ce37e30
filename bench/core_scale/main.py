"""Measures decision times, restore times and memory of the core at several sizes."""

from __future__ import annotations

import argparse
import gc
import json
import random
import time
import tracemalloc
from collections import Counter

from bench.policy.metrics import quantile
from zinniaweir.core.decisions import CheckpointGang, StartGang, StopGang
from zinniaweir.core.events import (
    CheckpointFinished,
    FailureDomainIn,
    FailureDomainOut,
    GangStarted,
    GangStopped,
    JobArrived,
    JobCancelled,
    SettingsChanged,
    TaskExited,
    Tick,
    UsageReported,
    WorkerJoined,
    WorkerLost,
)
from zinniaweir.core.job import Job
from zinniaweir.core.scheduler import Scheduler
from zinniaweir.core.settings import Customer, Settings
from zinniaweir.core.shape import Guarantee, Shape
from zinniaweir.core.topology import Topology, Worker

GB = 1 << 30
FULL_SIZE = (1600, 25000, 150)
"""Workers, running tasks and customers expected within two years."""
SIZES = {
    "workers": [(400, 6000, 38), (800, 6000, 38), (1600, 6000, 38)],
    "tasks": [(1600, 6000, 150), (1600, 12500, 150), (1600, 25000, 150)],
    "customers": [(1600, 12500, 38), (1600, 12500, 75), (1600, 12500, 150)],
}
"""Sizes that differ in one quantity, from which the memory for each unit of it is computed."""
DOMAINS = 11
DEFAULT_EVENTS = 4000
"""Default number of events after the core is filled."""


def make_topology(workers: int) -> Topology:
    """Return a topology of workers without accelerators, with 1 and with 8.

    Of every 8 rows of one worker for each failure domain, the workers of one row have 8; of the
    others, every third worker has 1. 1,600 workers have about 2,100 accelerators.
    """
    return Topology(
        workers=tuple(
            Worker(
                name=f"w{n}",
                failure_domain=f"fd{n % DOMAINS}",
                rack=f"fd{n % DOMAINS}-r{n // DOMAINS // 16}",
                region=f"region{n % DOMAINS % 3}",
                cores=64,
                memory_bytes=256 * GB,
                accelerators=8 if n // DOMAINS % 8 == 0 else (1 if n % 3 == 0 else 0),
            )
            for n in range(workers)
        )
    )


def make_settings(customers: int, accelerators: int) -> Settings:
    """Return settings with quotas, and guarantees for about a third of the accelerators."""
    names = [f"c{n}" for n in range(customers)]
    count = max(accelerators // 3 // 8 // max(customers // 3, 1), 1)
    shape = Shape(members=1, accelerators=8, cores=16, memory_bytes=32 * GB, spread="worker")
    return Settings(
        customers=tuple(
            Customer(name=name, quota_accelerators=800, quota_running_jobs=5000) for name in names
        ),
        guarantees=tuple(
            Guarantee(customer=name, shape=shape, count=count) for name in names[: customers // 3]
        ),
    )


class JobGenerator:
    """Generate random jobs.

    Nine of ten are small gangs without accelerators, one of a hundred is a gang of up to 128
    members, and the others use accelerators.
    """

    def __init__(self, seed: int, customers: int) -> None:
        self._rng = random.Random(seed)
        self._customers = customers
        self._count = 0

    def job(self, now: float, *, small: bool = False) -> Job:
        """Return a new job."""
        rng = self._rng
        self._count += 1
        kind = 0.0 if small else rng.random()
        if kind < 0.9:
            members, accelerators, spread = rng.choice((1, 1, 2, 4)), 0, "failure_domain"
        elif kind < 0.99:
            members, accelerators, spread = rng.choice((1, 1, 2)), rng.choice((1, 2, 4, 8)), "rack"
        else:
            members, accelerators, spread = rng.choice((16, 64, 128)), 0, "region"
        return Job(
            job_id=f"j{self._count}",
            customer=f"c{rng.randrange(self._customers)}",
            name=rng.choice(("build", "sweep", "check")),
            priority=rng.choice(("urgent", "normal", "batch", "batch")),
            shape=Shape(
                members=members,
                accelerators=accelerators,
                cores=accelerators or rng.choice((1, 2, 4)),
                memory_bytes=GB * rng.choice((1, 2, 4)),
                spread=spread,
            ),
            declared_seconds=rng.uniform(600, 20000),
            submitted_at=now,
            checkpointable=rng.random() < 0.5,
            idempotent=rng.random() < 0.8,
        )


class Driver:
    """Send events to the core and answer its decisions at once."""

    def __init__(self, workers: int, tasks: int, customers: int, seed: int) -> None:
        self.topology = make_topology(workers)
        accelerators = sum(worker.accelerators for worker in self.topology.workers)
        self.settings = make_settings(customers, accelerators)
        self.core = Scheduler(topology=self.topology, settings=self.settings)
        self.job_generator = JobGenerator(seed, customers)
        self.rng = random.Random(seed + 1)
        self.now = 0.0
        self.running: dict[str, tuple[int, int]] = {}
        self.tasks = 0
        self.times: list[float] = []
        self.by_event: dict[str, list[float]] = {}
        self._fill(tasks)

    def _fill(self, tasks: int) -> None:
        misses = 0
        while self.tasks < tasks and misses < 500:
            before = self.tasks
            job = self.job_generator.job(self.now, small=self.rng.random() < 0.95)
            self.send(JobArrived(job=job))
            misses = misses + 1 if self.tasks == before else 0

    def send(self, event) -> None:
        """Handle an event and all events that follow from it."""
        pending = [event]
        while pending:
            event = pending.pop()
            begin = time.perf_counter()
            decisions = self.core.handle(event, now=self.now)
            seconds = time.perf_counter() - begin
            self.times.append(seconds)
            self.by_event.setdefault(type(event).__name__, []).append(seconds)
            for decision in decisions:
                pending.extend(self._answer(decision))
            due = self.core.next_wakeup()
            if not pending and due is not None and due <= self.now:
                pending.append(Tick())

    def _answer(self, decision) -> list:
        job_id, attempt = getattr(decision, "job_id", ""), getattr(decision, "attempt", 0)
        match decision:
            case StartGang(members=members):
                self.running[job_id] = (attempt, len(members))
                self.tasks += len(members)
                return [GangStarted(job_id=job_id, attempt=attempt)]
            case CheckpointGang():
                self._remove_gang(job_id)
                done = CheckpointFinished(job_id=job_id, attempt=attempt, done_fraction=0.5)
                return [done]
            case StopGang():
                self._remove_gang(job_id)
                return [GangStopped(job_id=job_id, attempt=attempt)]
        return []

    def _remove_gang(self, job_id: str) -> None:
        _, members = self.running.pop(job_id, (0, 0))
        self.tasks -= members

    def churn(self, events: int) -> None:
        """Send a mix of frequent events, with failures and mass cancellations in between."""
        for number in range(events):
            self.now += 0.5
            draw = self.rng.random()
            if number % 1000 == 500:
                self.send(FailureDomainOut(failure_domain="fd3"))
            elif number % 1000 == 800:
                self.send(FailureDomainIn(failure_domain="fd3"))
            elif number % 1000 == 900:
                chosen = self.rng.sample(sorted(self.running), min(2000, len(self.running) // 4))
                self.send(JobCancelled(job_ids=tuple(chosen)))
            elif number % 200 == 50:
                name = self.rng.choice(self.topology.workers).name
                self.send(WorkerLost(worker=name))
            elif number % 200 == 150:
                self.send(WorkerJoined(worker=self.rng.choice(self.topology.workers)))
            elif draw < 0.4:
                self.send(JobArrived(job=self.job_generator.job(self.now)))
            elif draw < 0.75:
                self._exit_one()
            else:
                self._report_usage()

    def _exit_one(self) -> None:
        job_id = self.rng.choice(list(self.running))
        attempt, _ = self.running[job_id]
        self._remove_gang(job_id)
        self.send(TaskExited(job_id=job_id, attempt=attempt, outcome="done"))

    def _report_usage(self) -> None:
        job_id = self.rng.choice(list(self.running))
        attempt, _ = self.running[job_id]
        report = UsageReported(
            job_id=job_id,
            attempt=attempt,
            member=0,
            cores=0.5,
            memory_bytes=GB,
            measured_at=self.now - 5.0,
        )
        self.send(report)


def measure_memory(workers: int, tasks: int, customers: int) -> tuple[int, int]:
    """Return the traced bytes of a core of the given size, and the tasks that run in it."""
    gc.collect()
    tracemalloc.start()
    driver = Driver(workers, tasks, customers, seed=1)
    driver.times.clear()
    driver.by_event.clear()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size, driver.tasks


def measure_times(workers: int, tasks: int, customers: int, seed: int, events: int) -> dict:
    """Return the times of decisions, snapshots and restores at the given size."""
    driver = Driver(workers, tasks, customers, seed)
    fill = list(driver.times)
    driver.times.clear()
    driver.by_event.clear()
    started_with = driver.tasks
    driver.churn(events)
    begin = time.perf_counter()
    data = driver.core.snapshot()
    snapshot_seconds = time.perf_counter() - begin
    begin = time.perf_counter()
    Scheduler.restore(data)
    restore_seconds = time.perf_counter() - begin
    begin = time.perf_counter()
    driver.core.handle(SettingsChanged(settings=driver.settings), now=driver.now)
    settings_change_seconds = time.perf_counter() - begin
    return {
        "workers": workers,
        "accelerators": sum(w.accelerators for w in driver.topology.workers),
        "customers": customers,
        "running_tasks": started_with,
        "decisions": len(driver.times),
        "fill_ms_p99": _ms(quantile(fill, 0.99)),
        "decision_ms": {
            "p50": _ms(quantile(driver.times, 0.5)),
            "p99": _ms(quantile(driver.times, 0.99)),
            "max": _ms(max(driver.times)),
        },
        "decision_ms_max_by_event": {
            name: _ms(max(values)) for name, values in sorted(driver.by_event.items())
        },
        "snapshot_seconds": round(snapshot_seconds, 3),
        "rebuild_seconds": round(restore_seconds, 3),
        "settings_change_ms": _ms(settings_change_seconds),
    }


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 3)


def run(arguments: list[str]) -> None:
    """Print lines of JSON: times at full size, then memory at three sizes of each quantity."""
    parser = argparse.ArgumentParser(prog="python -m bench core_scale")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--events", type=int, default=DEFAULT_EVENTS)
    parser.add_argument("--no-memory", action="store_true")
    options = parser.parse_args(arguments)
    command = f"python -m bench core_scale --seed {options.seed}"
    results = measure_times(*FULL_SIZE, seed=options.seed, events=options.events)
    print(json.dumps({"command": command, "policy": "core", **results}), flush=True)
    if options.no_memory:
        return
    known: dict[tuple, tuple[int, int]] = {}
    for quantity, sizes in SIZES.items():
        points = Counter()
        for size in sizes:
            if size not in known:
                known[size] = measure_memory(*size)
            used, tasks = known[size]
            count = {"workers": size[0], "tasks": tasks, "customers": size[2]}[quantity]
            points[count] = used
            line = {"command": command, "quantity": quantity, "size": size, "running_tasks": tasks}
            print(json.dumps({**line, "megabytes": round(used / 1e6, 2)}), flush=True)
        first, last = min(points), max(points)
        slope = (points[last] - points[first]) / max(last - first, 1)
        line = {"command": command, "quantity": quantity, "bytes_for_each": round(slope)}
        print(json.dumps(line), flush=True)
