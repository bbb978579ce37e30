"""Costs of the scheduling core: usage reports, arrivals of jobs, and memory."""

from __future__ import annotations

import time
from functools import partial
from typing import Final

from bench.capacity.fit import median_of, print_fit
from bench.capacity.meters import bytes_held
from zinniaweir.core import events
from zinniaweir.core.decisions import StartGang
from zinniaweir.core.job import Job
from zinniaweir.core.scheduler import Scheduler
from zinniaweir.core.settings import Customer, Policy, Settings
from zinniaweir.core.shape import Shape
from zinniaweir.core.topology import Topology, Worker

WORKERS: Final = 1_600
WORKER_CORES: Final = 64
ACCELERATOR_WORKERS: Final = 262
"""Workers that have eight accelerators, 2,096 in all."""
JOBS: Final = (250, 500, 1_000, 2_000)
CUSTOMERS: Final = 150
REPORTS: Final = 2_000


def measure(seed: int) -> None:
    """Print the costs of usage reports and arrivals, and the core's memory."""
    sizes = [(jobs, _filled(jobs, running=True)) for jobs in JOBS]
    usage = [(jobs, 1e6 * median_of(partial(_usage, core))) for jobs, core in sizes]
    print_fit("core_usage_event", unit="us", per="running gangs", seed=seed, points=usage)
    arrivals = [(jobs, 1e6 * median_of(partial(_arrivals, jobs))) for jobs in JOBS]
    print_fit("core_arrival", unit="us", per="waiting jobs", seed=seed, points=arrivals)
    running = [(jobs, bytes_held(partial(_filled, jobs, running=True))) for jobs in JOBS]
    print_fit("core_memory", unit="bytes", per="running gangs", seed=seed, points=running)
    waiting = [(jobs, bytes_held(partial(_filled, jobs, running=False))) for jobs in JOBS]
    print_fit("core_memory", unit="bytes", per="waiting jobs", seed=seed, points=waiting)
    workers = [(size, bytes_held(partial(_core, size))) for size in (24, 400, 1_600)]
    print_fit("core_memory", unit="bytes", per="workers", seed=seed, points=workers)


def _core(workers: int) -> Scheduler:
    return Scheduler(
        topology=Topology(
            workers=tuple(
                Worker(
                    name=f"fd{i % 11}-r{i // 8}-w{i}",
                    failure_domain=f"fd{i // 8 % 11}",
                    rack=f"fd{i // 8 % 11}-r{i // 8}",
                    cores=WORKER_CORES,
                    memory_bytes=256 * 2**30,
                    accelerators=8 if i < ACCELERATOR_WORKERS else 0,
                    region="region0",
                )
                for i in range(workers)
            )
        ),
        settings=Settings(
            customers=tuple(Customer(name=f"customer{i}") for i in range(CUSTOMERS)),
            guarantees=(),
            policy=Policy(),
        ),
    )


def _filled(jobs: int, *, running: bool) -> Scheduler:
    """Return a core with gangs of 12 tasks each, or with jobs that wait for accelerators."""
    core = _core(WORKERS)
    if not running:
        _arrive(core, 1_000_000, members=ACCELERATOR_WORKERS, accelerators=8)
    for number in range(jobs):
        if running:
            _arrive(core, number, members=12, accelerators=0)
        else:
            _arrive(core, number, members=8, accelerators=8)
    while core.next_wakeup() == 0.0:
        _confirm(core, core.handle(events.Tick(), now=0.0))
    return core


def _arrive(core: Scheduler, number: int, *, members: int, accelerators: int) -> None:
    job = Job(
        job_id=f"job-{number:016x}",
        customer=f"customer{number % CUSTOMERS}",
        name=f"job{number % 8}",
        priority="normal",
        shape=Shape(
            members=members,
            accelerators=accelerators,
            cores=2,
            memory_bytes=2**30,
            spread="region",
        ),
        declared_seconds=3_600.0,
        submitted_at=0.0,
        deadline=None,
        checkpointable=False,
        idempotent=True,
    )
    _confirm(core, core.handle(events.JobArrived(job=job), now=0.0))


def _confirm(core: Scheduler, decisions: list) -> None:
    """Report the gangs that the core starts as started, also those that it starts in response."""
    for decision in decisions:
        if isinstance(decision, StartGang):
            started = events.GangStarted(job_id=decision.job_id, attempt=decision.attempt)
            _confirm(core, core.handle(started, now=0.0))


def _usage(core: Scheduler) -> float:
    report = events.UsageReported(
        job_id=f"job-{0:016x}",
        attempt=1,
        member=0,
        cores=1.0,
        memory_bytes=2**29,
        measured_at=0.0,
    )
    cpu_seconds = time.process_time()
    for _ in range(REPORTS):
        core.handle(report, now=0.0)
    return (time.process_time() - cpu_seconds) / REPORTS


def _arrivals(waiting: int) -> float:
    core = _filled(waiting, running=False)
    cpu_seconds = time.process_time()
    for number in range(100_000, 100_200):
        _arrive(core, number, members=8, accelerators=8)
    return (time.process_time() - cpu_seconds) / 200
