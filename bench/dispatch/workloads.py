"""Seeded jobs of the deployments on which the dispatcher is measured."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.spec import JobSpec, StepSpec

SERVICE: Final = "workers"
SIZE_SPREAD: Final = 0.8
"""Sigma of the log-normal distribution of gang sizes and of tasks in a job."""
ACCELERATOR_SIZES: Final = (1, 2, 4, 8, 8)
"""Numbers of accelerators of a task; each entry is drawn equally often, so 8 twice as often."""
CUSTOMER_SKEW: Final = 0.3
"""Exponent of the Zipf distribution of jobs over customers."""
RACK_SIZE: Final = 8
"""Workers in a rack; a gang is rack-local only if it fits into an empty rack."""


@dataclass(frozen=True, kw_only=True)
class JobKind:
    """One kind of job, with sizes as specified for the deployments."""

    name: str
    rate: float
    """Arrivals per second."""
    tasks: float
    """Mean number of tasks in a job."""
    max_tasks: int
    """Maximum number of tasks in a job."""
    seconds: float
    """Median work of one task, in seconds on a worker of speed 1."""
    seconds_spread: float
    """Sigma of the log-normal distribution of the work."""
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...]
    """Numbers of accelerators per task, of which each job draws one."""
    priority: int
    worth: float
    """Value of a job of mean size that meets its objective."""
    late_worth: float
    """Value of a job of mean size that is late but still of use."""
    slack_factor: float
    target_seconds: float
    max_attempts: int
    gang: bool
    rack_local_share: float = 0.0
    """Share of jobs that ask for a single rack."""
    home_rack_share: float = 0.0
    """Share of jobs whose data is on one rack."""
    spread_share: float = 0.0
    """Share of jobs with at most two tasks on one worker."""
    checkpoint_share: float = 0.0
    """Share of jobs that write checkpoints."""
    estimate_error: float = 0.5
    """Maximum relative error of the caller's estimate."""
    prefilled: int = 0
    """Number of jobs that arrive at time 0."""


@dataclass(frozen=True, kw_only=True)
class Burst:
    """A period with a higher arrival rate."""

    kind: str
    """Name of the kind of job, empty for all kinds."""
    factor: float
    """Factor on the arrival rate."""
    at: float
    """Start of the burst in seconds."""
    seconds: float
    """Duration of the burst."""


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """The workers, customers and kinds of jobs of a deployment."""

    name: str
    workers: int
    worker_memory_mb: int
    speeds: tuple[float, ...]
    """Speeds of the workers, which are assigned in turn."""
    stop_seconds: float
    """Time between the stop of a task and its end."""
    customers: int
    kinds: tuple[JobKind, ...]
    worker_cpu_millis: int = 64_000
    rack_size: int = RACK_SIZE
    """Number of workers in a rack."""
    slow_interval: float = math.inf
    """Mean time between two periods in which a worker is slowed down, in seconds."""
    guaranteed_share: float = 0.62
    """Share of all accelerators that is guaranteed to the customers together."""


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A job that arrives, with its true durations, which the dispatcher does not know."""

    at: float
    """Seconds since the beginning."""
    job_id: str
    customer: str
    kind: JobKind
    terms: QueueTerms
    spec: JobSpec
    seconds: tuple[tuple[float, ...], ...]
    """True work of each task of each step, in seconds on a worker of speed 1."""

    @property
    def core_seconds(self) -> float:
        """Work of the whole job in core-seconds; an accelerator counts as eight cores."""
        return sum(
            sum(seconds) * (step.cpu_millis / 1e3 + 8 * step.accelerators)
            for step, seconds in zip(self.spec.steps, self.seconds, strict=True)
        )

    @property
    def objective(self) -> float:
        """Time within which the job earns its whole worth, in seconds."""
        chain = sum(max(seconds) for seconds in self.seconds)
        return self.terms.slack_factor * chain + self.terms.target_seconds


def grown_lakan() -> Deployment:
    """Return the rendering deployment at its grown size."""
    traces = JobKind(
        name="traces", rate=0.837, tasks=13, max_tasks=78, seconds=8.5, seconds_spread=0.3,
        cpu_millis=26_000, memory_mb=140_000, accelerators=ACCELERATOR_SIZES, priority=1, worth=3.0,
        late_worth=0.3, slack_factor=3.0, target_seconds=1.0, max_attempts=3, gang=True,
        rack_local_share=0.6, checkpoint_share=0.45, estimate_error=0.5,
        prefilled=7,
    )  # fmt: skip
    checks = JobKind(
        name="checks", rate=4.46, tasks=5.4, max_tasks=32, seconds=2.5, seconds_spread=0.5,
        cpu_millis=7_500, memory_mb=31_000, accelerators=ACCELERATOR_SIZES, priority=0, worth=4.0,
        late_worth=0.8, slack_factor=1.5, target_seconds=0.3, max_attempts=4, gang=True,
        rack_local_share=0.8, estimate_error=0.9,
    )  # fmt: skip
    sweeps = JobKind(
        name="sweeps", rate=0.661, tasks=39, max_tasks=230, seconds=9.5, seconds_spread=0.3,
        cpu_millis=5_600, memory_mb=29_000, accelerators=(1,), priority=2, worth=1.0,
        late_worth=0.1, slack_factor=3.0, target_seconds=3.0, max_attempts=2, gang=False,
        spread_share=0.12, checkpoint_share=0.45, estimate_error=0.9,
        prefilled=9,
    )  # fmt: skip
    return Deployment(
        name="grown-lakan", workers=176, worker_memory_mb=262_144, speeds=(0.8, 1.0, 1.25),
        stop_seconds=0.9, customers=10, kinds=(traces, checks, sweeps),
    )  # fmt: skip


def grown_aconcagua() -> Deployment:
    """Return the permit deployment at its grown size."""
    bulk = JobKind(
        name="bulk", rate=1.56, tasks=10, max_tasks=60, seconds=6.8, seconds_spread=0.3,
        cpu_millis=26_000, memory_mb=75_000, accelerators=ACCELERATOR_SIZES, priority=1, worth=3.0,
        late_worth=0.9, slack_factor=3.0, target_seconds=1.0, max_attempts=4, gang=True,
        rack_local_share=0.6, checkpoint_share=0.45, estimate_error=0.5,
        prefilled=9,
    )  # fmt: skip
    counter = JobKind(
        name="counter", rate=4.64, tasks=5, max_tasks=30, seconds=2.5, seconds_spread=0.5,
        cpu_millis=7_500, memory_mb=31_000, accelerators=ACCELERATOR_SIZES, priority=0, worth=4.0,
        late_worth=0.8, slack_factor=1.5, target_seconds=0.25, max_attempts=3, gang=True,
        rack_local_share=0.8, estimate_error=0.2,
    )  # fmt: skip
    fees = JobKind(
        name="fees", rate=1.53, tasks=30, max_tasks=180, seconds=6.1, seconds_spread=0.3,
        cpu_millis=5_600, memory_mb=16_000, accelerators=(1,), priority=2, worth=1.0,
        late_worth=0.3, slack_factor=3.0, target_seconds=3.0, max_attempts=3, gang=False,
        spread_share=0.12, checkpoint_share=0.45, estimate_error=0.2,
        prefilled=12,
    )  # fmt: skip
    return Deployment(
        name="grown-aconcagua", workers=176, worker_memory_mb=131_072, speeds=(1.0, 1.0, 1.3),
        stop_seconds=0.2, customers=10, kinds=(bulk, counter, fees),
    )  # fmt: skip


def arrivals(
    deployment: Deployment,
    *,
    seed: int,
    seconds: float,
    load: float = 1.0,
    bursts: tuple[Burst, ...] = (),
    racks: tuple[str, ...],
) -> Iterator[Arrival]:
    """Yield the jobs of one simulation in the order of their arrival.

    Args:
        deployment: The deployment that receives the jobs.
        seed: Seed of all random draws.
        seconds: How long jobs arrive.
        load: Factor on all arrival rates.
        bursts: Periods with a higher arrival rate.
        racks: Names of the racks, from which home racks are drawn.
    """
    source = random.Random(seed)
    drawn: list[tuple[float, JobKind]] = []
    for kind in deployment.kinds:
        drawn += [(0.0, kind)] * kind.prefilled
        at = 0.0
        while (at := at + source.expovariate(_rate(kind, load, bursts, at))) < seconds:
            drawn.append((at, kind))
    drawn.sort(key=lambda pair: pair[0])
    for number, (at, kind) in enumerate(drawn):
        yield _arrival(source, deployment, kind, at, number, racks)


def _rate(kind: JobKind, load: float, bursts: tuple[Burst, ...], at: float) -> float:
    rate = kind.rate * load
    for burst in bursts:
        if burst.kind in ("", kind.name) and burst.at <= at < burst.at + burst.seconds:
            rate *= burst.factor
    return rate


def _arrival(
    source: random.Random,
    deployment: Deployment,
    kind: JobKind,
    at: float,
    number: int,
    racks: tuple[str, ...],
) -> Arrival:
    mean = kind.tasks
    # 1.377 is the mean of the log-normal distribution with a sigma of SIZE_SPREAD.
    count = round(source.lognormvariate(0.0, SIZE_SPREAD) * mean / 1.377)
    count = max(1, min(count, kind.max_tasks))
    work = max(0.3, source.lognormvariate(0.0, kind.seconds_spread) * kind.seconds)
    work = min(work, 11.0)
    seconds = tuple(work * source.uniform(0.85, 1.15) for _ in range(count))
    accelerators = source.choice(kind.accelerators)
    per_worker = min(
        deployment.worker_cpu_millis // kind.cpu_millis,
        deployment.worker_memory_mb // kind.memory_mb,
        8 // accelerators,
    )
    rack_capacity = deployment.rack_size * per_worker
    error = source.uniform(1 - kind.estimate_error, 1 + kind.estimate_error)
    step = StepSpec(
        count=count,
        cpu_millis=kind.cpu_millis,
        memory_mb=kind.memory_mb,
        accelerators=accelerators,
        estimate_ms=int(work * error * 1e3),
        gang=kind.gang and count > 1,
        rack_local=source.random() < kind.rack_local_share and count <= rack_capacity,
        home_rack=source.choice(racks) if source.random() < kind.home_rack_share else "",
        max_per_worker=2 if source.random() < kind.spread_share else 0,
        checkpointing=source.random() < kind.checkpoint_share,
    )
    weights = [1 / (n + 1) ** CUSTOMER_SKEW for n in range(deployment.customers)]
    customer = source.choices(range(deployment.customers), weights)[0]
    return Arrival(
        at=at,
        job_id=f"{number:016x}",
        customer=f"customer-{customer}",
        kind=kind,
        terms=QueueTerms(
            name=kind.name,
            service=SERVICE,
            priority=kind.priority,
            max_attempts=kind.max_attempts,
            slack_factor=kind.slack_factor,
            target_seconds=kind.target_seconds,
        ),
        spec=JobSpec(payload="x", steps=(step,)),
        seconds=(seconds,),
    )
