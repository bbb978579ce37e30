"""Tests of workers whose capacity shrinks, and grows again, while they run."""

from __future__ import annotations

from dataclasses import replace

from zinniaweir.dispatch.messages import StartAnswer
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

TASK = StepSpec(count=1, cpu_millis=8_000, memory_mb=8_000, accelerators=2, estimate_ms=5_000)


def shrink(cluster: Cluster, name: str, *, accelerators: int) -> None:
    fake = cluster.workers[name]
    fake.entry = replace(fake.entry, accelerators=accelerators)


def test_start_that_was_placed_before_its_worker_shrank_is_not_sent() -> None:
    """Guards against LIMIT: a start that brings a worker over the capacity that it has left."""
    cluster = Cluster(worker_entry("w1"))
    cluster.seconds = 20.0
    for n in range(3):
        cluster.add(job(f"early{n}", TASK))
    cluster.run(1.0)
    cluster.add(job("late", TASK))
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    (assignment,) = cluster.assignments("late")
    shrink(cluster, "w1", accelerators=6)
    cluster.dispatcher.update_workers([cluster.workers["w1"].entry], now=cluster.now)
    assert not cluster.dispatcher.prepare_start(assignment, now=cluster.now)
    assert not list(cluster.assignments("late"))
    cluster.run(3.0)
    assert not list(cluster.assignments("late"))
    shrink(cluster, "w1", accelerators=8)
    cluster.run(0.5)
    assert list(cluster.assignments("late"))


def test_start_is_not_repeated_on_a_worker_that_shrank() -> None:
    """Guards against a copy of a start that brings a worker over the capacity that it has left.

    The first copy may have arrived, so the capacity stays taken until a list tells.
    """
    cluster = Cluster(worker_entry("w1"))
    cluster.run(1.0)
    cluster.add(job("late", TASK))
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    (assignment,) = cluster.assignments("late")
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now)
    cluster.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=cluster.now)
    shrink(cluster, "w1", accelerators=1)
    cluster.dispatcher.update_workers([cluster.workers["w1"].entry], now=cluster.now)
    assert not cluster.dispatcher.prepare_start(assignment, now=cluster.now + 0.3)
    assert list(cluster.assignments("late")) == [assignment]


def test_only_what_fits_is_started_after_a_worker_shrank() -> None:
    """Guards against work that is withdrawn although it still fits, and against lost jobs."""
    cluster = Cluster(worker_entry("w1"), worker_entry("w2"))
    cluster.run(1.0)
    for n in range(8):
        cluster.add(job(f"j{n}", TASK))
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    shrink(cluster, "w1", accelerators=4)
    for _ in range(40):
        cluster.run(0.5)
        for name, limit in (("w1", 4), ("w2", 8)):
            used = sum(
                r.assignment.unit.step.accelerators for r in cluster.workers[name].runs.values()
            )
            assert used <= limit
    assert {cluster.state(f"j{n}") for n in range(8)} == {"complete"}
