"""Measures the dispatcher's loops over all workers, at several sizes of the fleet."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.dispatch.dispatcher import Dispatcher
from zinniaweir.dispatch.messages import Listing, WorkerEntry
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import Configuration, Customer, QueueTerms
from zinniaweir.workloads.records import Submission
from zinniaweir.workloads.spec import JobSpec, StepSpec

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES: Final = (176, 540, 1_600, 3_000)
"""Numbers of workers."""
WAITING_UNITS: Final = 1_000
RACK_WORKERS: Final = 20
LOADS: Final = {"empty": 0.0, "two_thirds": 0.67, "full": 1.0}
"""Share of the workers that are full when the units arrive, by name."""
KINDS: Final = ((0, 5, 2, 2_500), (1, 13, 2, 9_000), (2, 1, 1, 9_000))
"""Priority, tasks, accelerators of a task and estimate in milliseconds of each kind of unit."""
ROUNDS: Final = 21
"""Number of calls that are measured after the first, each 0.1 s later."""
FILL_ROUNDS: Final = 500
"""Limit of the calls that fill the workers; those of a large fleet carry out a slice each."""


class NullReporter:
    """Takes the reports of a dispatcher and drops them."""

    def log(self, event: str, **fields: Any) -> None:
        """Drop a log event."""

    def count(self, name: str, reason: str) -> None:
        """Drop a count."""

    def measure(self, name: str, seconds: float, label: str) -> None:
        """Drop a duration."""


class Fleet:
    """A dispatcher with workers that all were listed just now."""

    def __init__(self, *, workers: int, seed: int) -> None:
        self.now = 1_000.0
        self._random = random.Random(seed)
        self._jobs = 0
        self.dispatcher = Dispatcher(
            now=self.now, predecessor_ended=True, time_limits=TimeLimits(), reporter=NullReporter()
        )
        self.entries = [_entry(index) for index in range(workers)]
        customers = tuple(Customer(name=f"c{n}", api_keys=frozenset()) for n in range(10))
        self.dispatcher.configure(Configuration(version=1, customers=customers), frozenset())
        self.dispatcher.update_workers(self.entries, now=self.now)
        self.advance()

    def advance(self) -> None:
        """Let 0.1 s pass, in which all workers answer."""
        self.now += 0.1
        for worker in self.dispatcher.fleet:
            listing = Listing(incarnation=1, clock_ms=int(self.now * 1e3), running=(), ended=())
            self.dispatcher.handle_listing(
                worker, listing, poll_sent_at=self.now - 0.01, renewed=True, now=self.now
            )
        self.dispatcher.update_view_time(self.now, jobs_read_at=self.now)

    def fill(self, share: float) -> None:
        """Fill a share of the workers with single tasks that each take a whole one."""
        self._add(2, round(share * len(self.entries)), 8, 60_000, gang=False)
        for _ in range(FILL_ROUNDS):
            self.dispatcher.plan(now=self.now)
            if not self.waiting:
                break
            self.advance()

    @property
    def waiting(self) -> int:
        """Number of waiting units."""
        return sum(1 for job in self.dispatcher.jobs.values() for _ in job.ready_units())

    def submit(self) -> None:
        """Add the waiting units."""
        for _ in range(WAITING_UNITS):
            priority, tasks, accelerators, estimate = self._random.choice(KINDS)
            self._add(priority, tasks, accelerators, estimate, gang=tasks > 1)

    def _add(
        self, priority: int, tasks: int, accelerators: int, estimate: int, *, gang: bool
    ) -> None:
        self._jobs += 1
        step = StepSpec(
            count=tasks,
            cpu_millis=4_000 * accelerators,
            memory_mb=12_000,
            accelerators=accelerators,
            estimate_ms=int(estimate * self._random.uniform(0.5, 1.5)),
            gang=gang,
            rack_local=gang,
        )
        if not tasks:
            return
        submission = Submission(
            job_id=f"{self._jobs:016x}",
            customer=f"c{self._random.randrange(10)}",
            terms=QueueTerms(
                name=f"q{priority}",
                service="rendering",
                priority=priority,
                slack_factor=2.0,
                target_seconds=2.0,
            ),
            spec=JobSpec(payload="", steps=(step,)),
            accepted_at=0.0,
        )
        self.dispatcher.add_job(JobEntry(submission=submission), now=self.now, age=0.0)


def measure(seed: int) -> None:
    """Print a line of processor milliseconds for each size and load."""
    for workers in SIZES:
        for load, share in LOADS.items():
            print(json.dumps(_measure(workers=workers, load=load, share=share, seed=seed)))


def _measure(*, workers: int, load: str, share: float, seed: int) -> dict[str, Any]:
    fleet = Fleet(workers=workers, seed=seed)
    dispatcher = fleet.dispatcher
    fleet.fill(share)
    fleet.submit()
    first = _milliseconds(lambda: dispatcher.plan(now=fleet.now))
    later, updates, stops, changes = [], [], [], []
    for _ in range(ROUNDS):
        fleet.advance()
        updates.append(
            _milliseconds(lambda: dispatcher.update_workers(fleet.entries, now=fleet.now))
        )
        later.append(_milliseconds(lambda: dispatcher.plan(now=fleet.now)))
        stops.append(
            _milliseconds(
                lambda: list(dispatcher.orphan_runs_to_stop(now=fleet.now, retry_after_seconds=1.0))
            )
        )
        changes.append(_milliseconds(lambda: dispatcher.collect_changes(now=fleet.now)))
    return {
        "part": "planning_pass",
        "workers": workers,
        "load": load,
        "waiting": fleet.waiting,
        "first_pass_ms": round(first, 1),
        "median_ms": round(sorted(later)[ROUNDS // 2], 1),
        "longest_ms": round(max(first, *later), 1),
        "update_workers_ms": round(min(updates), 2),
        "orphan_runs_ms": round(min(stops), 2),
        "collect_changes_ms": round(min(changes), 2),
    }


def _milliseconds(work: Callable[[], object]) -> float:
    before = time.process_time()
    work()
    return 1e3 * (time.process_time() - before)


def _entry(index: int) -> WorkerEntry:
    return WorkerEntry(
        worker=f"w{index}",
        service="rendering",
        address=f"w{index}:1",
        failure_domain=f"z{index % 6}",
        rack=f"r{index // RACK_WORKERS}",
        labels=frozenset({f"r{index // RACK_WORKERS}"}),
        incarnation=1,
        draining=False,
        cpu_millis=32_000,
        memory_mb=128_000,
        accelerators=8,
    )
