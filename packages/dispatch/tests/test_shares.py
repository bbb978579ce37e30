"""Tests of the order by customers' shares under load: who starts while capacity is short."""

from __future__ import annotations

from collections import Counter
from time import perf_counter
from typing import TYPE_CHECKING, Any

from zinniaweir.dispatch.shares import TURN_LIMITS, SharePolicy
from zinniaweir.workloads.queues import Customer, ResourceLimit
from zinniaweir.workloads.spec import StepSpec

from .conftest import TICK_INTERVAL_SECONDS, Cluster, job, worker_entry

if TYPE_CHECKING:
    import pytest

TASK = StepSpec(count=1, cpu_millis=1_000, accelerators=1, estimate_ms=2_000)
PATIENT = {"name": "patient", "slack_factor": 1.0, "target_seconds": 200.0}
TURNOVER_SECONDS = 0.5
"""Time in which more tasks end on the clusters of these tests than a small job has."""


def new_cluster(*customers: Customer, workers: int = 4) -> Cluster:
    cluster = Cluster(*(worker_entry(f"w{n}") for n in range(workers)))
    cluster.configure(*customers)
    return cluster


def weighted(**weights: float | None) -> list[Customer]:
    return [Customer(name=n, api_keys=frozenset(), weight=w) for n, w in weights.items()]


def submit(cluster: Cluster, customer: str, name: str, step: StepSpec = TASK, **queue: Any) -> None:
    """Submit a job of an own duration between 1 and 3 s, so that ends are spread evenly."""
    job_id = f"{customer}-{name}"
    cluster.durations[job_id] = 1.0 + len(cluster.durations) * 0.37 % 2.0
    cluster.add(job(job_id, step, customer=customer, **(PATIENT | queue)))


def flood(cluster: Cluster, customer: str, jobs: int, *, name: str = "flood") -> None:
    for n in range(jobs):
        submit(cluster, customer, f"{name}{n}")


def running_tasks(cluster: Cluster) -> Counter[str]:
    return Counter(
        run.assignment.unit.job.customer
        for fake in cluster.workers.values()
        for run in fake.runs.values()
    )


def mean_running(cluster: Cluster, seconds: float) -> dict[str, float]:
    total: Counter[str] = Counter()
    ticks = round(seconds / TICK_INTERVAL_SECONDS)
    for _ in range(ticks):
        cluster.tick()
        total.update(running_tasks(cluster))
    return {customer: count / ticks for customer, count in total.items()}


def longest_wait(cluster: Cluster, *, jobs: int) -> float:
    """Return how long a small customer waits at most for jobs of four tasks, one each second."""
    longest = 0.0
    for n in range(jobs):
        submit(cluster, "small", f"{n}", StepSpec(count=4, accelerators=1, estimate_ms=2_000))
        submitted_at = cluster.now
        for _ in range(100):
            cluster.tick()
            if all(unit.run for unit in cluster.dispatcher.jobs[f"small-{n}"].units):
                break
        longest = max(longest, cluster.now - submitted_at)
        cluster.run(1.0)
    return longest


def share_events(cluster: Cluster) -> list[tuple[str, str]]:
    return [(e, f["cause"]) for e, f in cluster.events if e.startswith("share_order")]


def test_burst_of_two_large_customers_does_not_delay_a_small_one() -> None:
    """Guards against a small customer that waits behind the burst of two large ones."""
    customers = weighted(first=1.0, second=1.0, small=1.0)
    calm = longest_wait(new_cluster(*customers), jobs=4)
    cluster = new_cluster(*customers)
    flood(cluster, "first", 300)
    flood(cluster, "second", 300)
    cluster.run(2.0)
    busy = longest_wait(cluster, jobs=4)
    assert busy <= calm + TURNOVER_SECONDS
    assert running_tasks(cluster)["first"] > 8


def test_customer_that_submits_most_does_not_get_most() -> None:
    """Guards against an order by time alone, in which the largest backlog takes everything."""
    cluster = new_cluster(*weighted(large=1.0, other=1.0))
    flood(cluster, "large", 400)
    cluster.run(1.0)
    flood(cluster, "other", 100)
    cluster.run(4.0)
    mean = mean_running(cluster, 4.0)
    assert abs(mean["large"] - mean["other"]) <= 0.1 * 32


def test_weights_decide_how_a_full_cluster_is_divided() -> None:
    """Guards against stated weights that are ignored while all capacity is in use."""
    cluster = new_cluster(*weighted(double=2.0, single=1.0), workers=6)
    for n in range(5):
        flood(cluster, "single", 60, name=f"a{n}-")
        flood(cluster, "double", 60, name=f"b{n}-")
    cluster.run(6.0)
    mean = mean_running(cluster, 5.0)
    assert sum(mean.values()) > 46
    assert 1.8 <= mean["double"] / mean["single"] <= 2.2


def test_share_is_that_of_the_resource_that_a_customer_uses_most() -> None:
    """Guards against a customer that takes all memory and counts as small by accelerators."""
    cluster = new_cluster(*weighted(memory=1.0, devices=1.0))
    large = StepSpec(count=1, memory_mb=65_536, accelerators=1, estimate_ms=2_000)
    small = StepSpec(count=1, memory_mb=8_192, accelerators=2, estimate_ms=2_000)
    for n in range(60):
        submit(cluster, "memory", f"{n}", large)
        submit(cluster, "devices", f"{n}", small)
    cluster.run(4.0)
    mean = mean_running(cluster, 4.0)
    assert abs(mean["memory"] / 16 - mean["devices"] / 16) <= 0.2


def test_order_without_weights_changes_if_one_customer_holds_far_more() -> None:
    """Guards against a customer that holds everything, as nobody stated weights."""
    cluster = new_cluster(*weighted(large=None, other=None))
    flood(cluster, "large", 400)
    cluster.run(1.0)
    flood(cluster, "other", 100)
    cluster.run(4.0)
    mean = mean_running(cluster, 3.0)
    assert mean["other"] >= 0.4 * 32
    assert share_events(cluster) == [("share_order_began", "excess")]


def test_no_customer_starves() -> None:
    """Guards against a customer with little weight, or with wide gangs, that never has its turn."""
    weights = {f"c{n}": 5.0 for n in range(8)} | {"light": 0.5, "wide": 1.0}
    cluster = new_cluster(*weighted(**weights))
    gang = StepSpec(count=4, accelerators=6, gang=True, estimate_ms=2_000)
    flood(cluster, "light", 3)
    submit(cluster, "wide", "gang", gang)
    cluster.run(0.2)
    submit(cluster, "wide", "next", gang)
    for tick in range(300):
        for n in range(8):
            if tick % 2:
                submit(cluster, f"c{n}", f"{tick}")
        cluster.tick()
    assert all(cluster.dispatcher.jobs[f"light-flood{n}"].begun for n in range(3))
    assert cluster.dispatcher.jobs["wide-next"].begun


def test_work_with_a_last_chance_goes_first_where_nothing_is_gained_by_its_delay() -> None:
    """Guards against a job that is made late for one that has seconds to spare.

    The patient one lets it go first for a bounded time only, so that it does not starve.
    """
    cluster = new_cluster(*weighted(large=1.0, small=1.0), workers=2)
    cluster.seconds = 30.0
    cluster.durations = {"short": 1.0, "tight": 1.0}
    eight = StepSpec(count=8, accelerators=1, estimate_ms=1_000)
    cluster.add(job("long", eight, customer="large", **PATIENT))
    cluster.add(job("short", eight, customer="large", **PATIENT))
    cluster.run(0.9)
    tight = {"name": "tight", "slack_factor": 1.0, "target_seconds": 0.5}
    cluster.add(job("tight", eight, customer="large", **tight))
    cluster.add(job("patient", eight, customer="small", slack_factor=1.0, target_seconds=3.9))
    cluster.run(0.4)
    assert len(list(cluster.assignments("tight"))) == 8
    cluster.run(TURN_LIMITS.wait_seconds)
    cluster.add(job("next", eight, customer="large", **tight | {"target_seconds": 0.6}))
    cluster.run(0.6)
    assert len(list(cluster.assignments("patient"))) == 8
    assert not list(cluster.assignments("next"))


def test_order_is_unchanged_while_capacity_suffices(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against weights that change the order of work although all of it has room."""

    def placed(most: int = 0) -> list[Any]:
        quota = ResourceLimit(accelerators=most)
        large = Customer(name="a", api_keys=frozenset(), weight=0.1, quota=quota)
        cluster = new_cluster(large, *weighted(b=1.0))
        for n in range(20):
            for customer in ("a", "b"):
                submit(cluster, customer, f"{n}", priority=n % 3)
            cluster.tick()
            cluster.tick()
        assert not share_events(cluster)
        return [fields for event, fields in cluster.events if event == "unit_placed"]

    found = placed(), placed(most=2)
    monkeypatch.setattr(SharePolicy, "decides", lambda *args, **options: False)
    assert found == (placed(), placed(most=2))
    assert len(found[0]) == 40


def test_order_is_unchanged_if_nobody_states_weights_and_use_is_even() -> None:
    """Guards against an order by shares where no setting and no observation asks for it."""
    cluster = new_cluster()
    for n in range(100):
        for customer in ("a", "b", "c"):
            submit(cluster, customer, f"{n}")
    cluster.run(8.0)
    starts = [f["job_id"] for e, f in cluster.events if e == "unit_placed"]
    assert not share_events(cluster)
    assert [int(name.split("-")[1]) for name in starts] == sorted(
        int(name.split("-")[1]) for name in starts
    )


def test_guaranteed_jobs_stay_first() -> None:
    """Guards against a share that delays what a guarantee covers."""
    large = Customer(name="z", api_keys=frozenset(), weight=0.1, guaranteed_accelerators=40)
    cluster = new_cluster(large, *weighted(other=9.0))
    urgent = {"name": "checks", "priority": 0, "slack_factor": 2.0, "target_seconds": 9.0}
    whole = StepSpec(count=4, accelerators=8, gang=True, estimate_ms=2_000)
    cluster.add(job("other", whole, customer="other", **urgent))
    cluster.add(job("covered", whole, customer="z", **urgent))
    cluster.run(0.5)
    assert len(list(cluster.assignments("covered"))) == 4
    assert not list(cluster.assignments("other"))


def test_log_tells_when_shares_decide_and_when_they_stop() -> None:
    """Guards against an order that operators cannot explain, and against an event per pass."""
    cluster = new_cluster(*weighted(large=1.0, other=1.0))
    flood(cluster, "large", 60)
    flood(cluster, "other", 60)
    cluster.run(20.0)
    assert share_events(cluster) == [
        ("share_order_began", "weights"),
        ("share_order_ended", "weights"),
    ]
    assert ("share_orders", "weights") in cluster.counts


def test_pass_over_a_large_cluster_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against an order by shares that was never tried with many workers and jobs."""
    weights = {f"c{n}": 1.0 + n % 3 for n in range(24)}
    found = {}
    for name, customers in (("shares", weighted(**weights)), ("ranks", [])):
        cluster = new_cluster(*customers, workers=540)
        cluster.seconds = 500.0
        for n in range(1_400):
            cluster.add(job(f"old{n}", TASK, customer=f"c{n % 24}", **PATIENT))
        for n in range(1_000):
            step = StepSpec(count=1 + n % 5, accelerators=2 + n % 7, gang=n % 2 == 0)
            cluster.add(job(f"new{n}", step, customer=f"c{n % 24}", **PATIENT))
        cluster.run(0.3)
        seconds = []
        for _ in range(5):
            cluster.now += 0.11
            cluster.poll()
            cluster.dispatcher.update_view_time(cluster.now, jobs_read_at=cluster.now)
            began = perf_counter()
            cluster.dispatcher.plan(now=cluster.now)
            seconds.append(perf_counter() - began)
        found[name] = f"{1e3 * sorted(seconds)[2]:.1f} ms"
        assert bool(share_events(cluster)) == (name == "shares")
    with capsys.disabled():
        print(f"planning pass, 540 workers, 1,000 waiting jobs: {found}")
