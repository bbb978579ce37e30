"""Tests of a rolling replacement of workers: work moves before its worker departs."""

from __future__ import annotations

from dataclasses import replace

from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, FakeWorker, job, worker_entry

SWEEP = StepSpec(count=6, cpu_millis=5_600, memory_mb=16_000, accelerators=1, estimate_ms=9_000)
TRACE = StepSpec(
    count=4, cpu_millis=26_000, memory_mb=75_000, accelerators=4, estimate_ms=9_000, gang=True
)
NOTICE_SECONDS = 4.0
REPLACEMENT_INTERVAL_SECONDS = 1.0


def announce_departure(cluster: Cluster, name: str, *, seconds: float) -> None:
    fake = cluster.workers[name]
    fake.entry = replace(fake.entry, draining=True, remaining_seconds=seconds)


def test_gang_moves_from_a_worker_that_departs_before_its_end() -> None:
    """Guards against a gang that works on until its worker departs, and loses all that it did."""
    cluster = Cluster(*(worker_entry(f"w{n}") for n in range(6)))
    cluster.seconds = 9.0
    cluster.add(job("trace", TRACE))
    cluster.run(1.0)
    departing = next(iter(cluster.assignments("trace"))).worker
    announce_departure(cluster, departing, seconds=NOTICE_SECONDS)
    cluster.run(1.0)
    assignments = list(cluster.assignments("trace"))
    assert {assignment.run for assignment in assignments} == {2}
    assert departing not in {assignment.worker for assignment in assignments}


def test_run_that_ends_before_the_departure_stays() -> None:
    """Guards against lost work on a worker that stays long enough."""
    cluster = Cluster(*(worker_entry(f"w{n}") for n in range(6)))
    cluster.seconds = 4.0
    cluster.add(job("trace", TRACE))
    cluster.run(2.0)
    departing = next(iter(cluster.assignments("trace"))).worker
    announce_departure(cluster, departing, seconds=NOTICE_SECONDS)
    cluster.run(3.0)
    assert cluster.state("trace") == "complete"
    assert "unit_stopping" not in cluster.event_names()


def test_rolling_replacement_loses_no_run_with_its_worker() -> None:
    """Guards against runs that are lost with their worker although its departure was announced.

    Workers are replaced one after the other while more than half of the cluster is in use.
    """
    cluster = Cluster(*(worker_entry(f"w{n}") for n in range(10)))
    cluster.seconds = 9.0
    for n in range(4):
        cluster.add(job(f"sweep{n}", SWEEP))
        cluster.add(job(f"trace{n}", TRACE))
    cluster.run(2.0)
    departures = [(n * REPLACEMENT_INTERVAL_SECONDS + NOTICE_SECONDS, f"w{n}") for n in range(5)]
    started_at = cluster.now
    for n in range(5 + int(NOTICE_SECONDS)):
        if n < 5:
            announce_departure(cluster, f"w{n}", seconds=NOTICE_SECONDS)
            cluster.workers[f"new{n}"] = FakeWorker(worker_entry(f"new{n}"))
        cluster.run(REPLACEMENT_INTERVAL_SECONDS)
        for departs_at, name in departures:
            if cluster.now - started_at >= departs_at and name in cluster.workers:
                assert not cluster.workers[name].runs
                del cluster.workers[name]
    cluster.run(30.0)
    assert {cluster.state(f"{kind}{n}") for kind in ("sweep", "trace") for n in range(4)} == {
        "complete"
    }
    ends = {(fields["end"], fields["cause"]) for e, fields in cluster.events if e == "task_ended"}
    assert ends <= {("done", "listed"), ("stopped", "listed"), ("lost", "never_sent")}


def test_start_that_meets_a_drain_on_its_way_is_reported() -> None:
    """Guards against a start after its worker's notice that leaves no trace in logs and counts."""
    cluster = Cluster(worker_entry("w1"))
    cluster.add(job("trace"))
    cluster.run(1.0)
    fake = cluster.workers["w1"]
    notice_ms = int((cluster.now - 5.0) * 1e3)
    fake.entry = replace(fake.entry, draining=True, reported_ms=notice_ms)
    cluster.tick()
    found = [fields for event, fields in cluster.events if event == "start_after_notice"]
    assert [fields["copies"] for fields in found] == [1]
    assert 0 < found[0]["at_most"] < 5.0
    assert ("starts_after_notice", "first_copy") in cluster.counts
