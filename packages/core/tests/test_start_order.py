"""Tests of the order of waiting gangs by shares, and of quotas, under load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from zinniaweir.core import start_order
from zinniaweir.core.decisions import Reason, RefuseJob, StartGang
from zinniaweir.core.events import (
    FailureDomainIn,
    FailureDomainOut,
    GangStarted,
    JobArrived,
    SettingsChanged,
    TaskExited,
    Tick,
)
from zinniaweir.core.job import Job
from zinniaweir.core.scheduler import Scheduler
from zinniaweir.core.settings import Customer, Settings
from zinniaweir.core.shape import Guarantee, Shape
from zinniaweir.core.topology import Topology, Worker

if TYPE_CHECKING:
    import pytest

SMALL = Shape(members=1, accelerators=1, cores=2, memory_bytes=10, spread="worker")
WORKERS = tuple(
    Worker(name=f"w{n}", failure_domain="n", rack="r", cores=64, memory_bytes=1_000, accelerators=8)
    for n in range(12)
)
"""Workers with room for 8 small gangs each."""


class Region:
    """A core whose gangs run for 9 to 12 s, in simulated time."""

    def __init__(
        self, *customers: Customer, guarantees: tuple[Guarantee, ...] = (), workers: int = 3
    ) -> None:
        self.settings = Settings(customers=customers, guarantees=guarantees)
        topology = Topology(workers=WORKERS[:workers])
        self.core = Scheduler(topology=topology, settings=self.settings)
        self.now = 0.0
        self.jobs: dict[str, Job] = {}
        self.running: dict[str, tuple[int, float]] = {}
        self.started: list[str] = []
        self.refusals: list[tuple[str, Reason]] = []

    def submit(self, customer: str, count: int = 1, **fields: Any) -> None:
        for _ in range(count):
            job = Job(
                job_id=f"{customer}{len(self.jobs)}",
                customer=customer,
                name="sweep",
                priority="batch",
                shape=SMALL,
                declared_seconds=10.0,
                submitted_at=self.now,
            )
            job = replace(job, **fields)
            self.jobs[job.job_id] = job
            self.apply(self.core.handle(JobArrived(job=job), now=self.now))

    def apply(self, decisions: Iterable[object]) -> None:
        for decision in decisions:
            if isinstance(decision, RefuseJob):
                self.refusals.append((decision.job_id, decision.reason))
            if isinstance(decision, StartGang):
                ends_at = self.now + 9.0 + len(self.started) * 0.7 % 3.0
                self.running[decision.job_id] = (decision.attempt, ends_at)
                self.started.append(decision.job_id)
                started = GangStarted(job_id=decision.job_id, attempt=decision.attempt)
                self.apply(self.core.handle(started, now=self.now))

    def run(self, seconds: float) -> Counter[str]:
        """Return how many gangs of each customer ran, summed over steps of a second."""
        total: Counter[str] = Counter()
        for _ in range(round(seconds)):
            self.now += 1.0
            self.apply(self.core.handle(Tick(), now=self.now))
            for job_id, (attempt, ends_at) in list(self.running.items()):
                if self.now >= ends_at:
                    del self.running[job_id]
                    exited = TaskExited(job_id=job_id, attempt=attempt, outcome="done")
                    self.apply(self.core.handle(exited, now=self.now))
            total.update(self.jobs[job_id].customer for job_id in self.running)
        return total


def weighted(**weights: float | None) -> tuple[Customer, ...]:
    return tuple(Customer(name=name, weight=weight) for name, weight in weights.items())


def test_weights_decide_how_full_workers_are_divided() -> None:
    """Guards against weights that are ignored while the largest backlog takes everything."""
    region = Region(*weighted(single=1.0, double=2.0), workers=12)
    region.submit("single", 600)
    region.submit("double", 600)
    region.run(25.0)
    total = region.run(60.0)
    assert 1.7 <= total["double"] / total["single"] <= 2.3


def test_order_is_by_rank_without_weights_and_while_capacity_suffices(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against another order where neither the settings nor a shortage asks for it."""

    def fail(**arguments: object) -> None:
        raise AssertionError(arguments)

    for customers, count in ((weighted(a=None, b=None), 30), (weighted(a=1.0, b=5.0), 12)):
        region = Region(*customers)
        region.apply(region.core.handle(FailureDomainOut(failure_domain="n"), now=0.0))
        for _ in range(count):
            region.submit("a")
            region.submit("b")
        with monkeypatch.context() as patch:
            patch.setattr(start_order, "CustomerShares", fail)
            region.apply(region.core.handle(FailureDomainIn(failure_domain="n"), now=0.0))
            region.run(90.0)
        assert len(region.started) == 2 * count


def test_each_start_counts_for_the_next_one() -> None:
    """Guards against all capacity that becomes free at once for the customer that held least."""
    region = Region(*weighted(single=1.0, double=2.0))
    region.submit("all", shape=replace(SMALL, members=3, accelerators=8, spread="rack"))
    region.submit("single", 30)
    region.submit("double", 30)
    region.run(10.0)
    assert Counter(job_id[:6] for job_id in region.started[1:25]) == {"single": 8, "double": 16}


def test_job_in_an_idle_guarantee_goes_first() -> None:
    """Guards against guaranteed capacity that is lent out first and has to be reclaimed."""
    whole = Shape(members=1, accelerators=8, cores=16, memory_bytes=80)
    region = Region(
        *weighted(owner=0.1, other=9.0), guarantees=(Guarantee(customer="owner", shape=whole),)
    )
    region.apply(region.core.handle(FailureDomainOut(failure_domain="n"), now=0.0))
    region.submit("other", 30)
    region.submit("owner", 2)
    region.apply(region.core.handle(FailureDomainIn(failure_domain="n"), now=1.0))
    region.now = 1.0
    for _ in range(3):
        region.now += 1.0
        region.apply(region.core.handle(Tick(), now=region.now))
    assert [job_id[:5] for job_id in region.started[:3]] == ["owner", "owner", "other"]


def test_nearly_late_job_goes_before_one_that_loses_nothing() -> None:
    """Guards against a job that is made late for one of a smaller customer that just arrived."""
    region = Region(*weighted(large=1.0, small=1.0))
    region.submit("large", 24)
    region.run(8.0)
    region.submit("large", declared_seconds=1.0, deadline=region.now + 3.5)
    region.now += 0.5
    region.submit("small", 12)
    region.run(1.0)
    assert region.started[24] == "large24"
    region.submit("large", 12, declared_seconds=1.0, deadline=region.now + 4.0)
    region.run(3.0)
    assert {job_id[:5] for job_id in region.started[25:37]} == {"small"}


def test_quota_of_cores_and_memory_is_kept() -> None:
    """Guards against a customer that stays within its accelerators and takes all cores."""
    customers = (
        Customer(name="cores", quota_cores=7),
        Customer(name="memory", quota_memory_bytes=49),
    )
    region = Region(*customers)
    region.submit("cores", 10)
    region.submit("memory", 10)
    for _ in range(30):
        region.run(1.0)
        counts = Counter(region.jobs[job_id].customer for job_id in region.running)
        assert counts["cores"] <= 3
        assert counts["memory"] <= 4
    assert len(region.started) >= 14
    region.submit("cores", shape=replace(SMALL, cores=8))
    region.submit("memory", shape=replace(SMALL, memory_bytes=50))
    assert [reason for _, reason in region.refusals] == [Reason.EXCEEDS_QUOTA] * 2


def test_changed_weights_and_quotas_hold_for_gangs_that_wait() -> None:
    """Guards against a change of settings that needs a new owner to take effect."""
    region = Region(Customer(name="a", quota_cores=2))
    region.submit("a", 4)
    assert len(region.running) == 1
    changed = Settings(customers=(Customer(name="a", quota_cores=6, weight=2.0),))
    region.apply(region.core.handle(SettingsChanged(settings=changed), now=region.now))
    assert len(region.running) == 3
