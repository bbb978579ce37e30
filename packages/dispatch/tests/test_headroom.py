"""Tests of the capacity that is kept for urgent work: when, how much, and who waits for it."""

from __future__ import annotations

from msgspec.structs import replace

from zinniaweir.dispatch.headroom import (
    ACTIVE_SECONDS,
    ARRIVAL_WINDOW_SECONDS,
    MAX_HEADROOM_SHARE,
    MIN_ARRIVALS,
    Headroom,
    workers_to_keep,
)
from zinniaweir.dispatch.planning_pass import IDLE_CLUSTER_SHARE
from zinniaweir.dispatch.units import OwnedJob, Unit

from .conftest import Cluster, job, worker_entry
from .test_preemption import (
    BATCH,
    BATCH_QUEUE,
    URGENT_QUEUE,
    new_cluster,
    run_urgent_stream,
    urgent_gang,
)

TOTAL = 1_408
"""Accelerators of 176 workers."""


def urgent_unit(name: str = "urgent", accelerators: int = 4) -> Unit:
    entry = job(name, urgent_gang(5, accelerators), **URGENT_QUEUE)
    return OwnedJob(entry, now=0.0).units[0]


def headroom_with(arrivals: int, *, now: float = 100.0) -> Headroom:
    """Return a headroom after urgent gangs of 20 accelerators that arrived at one time."""
    headroom = Headroom()
    for _ in range(arrivals):
        headroom.record_placement(urgent_unit(), (), now=now)
    return headroom


def sweep_waits(cluster: Cluster) -> set[str]:
    return {
        fields["reason"]
        for event, fields in cluster.events
        if event == "unit_waits" and fields["job_id"].startswith("sweep")
    }


def test_nothing_is_kept_where_urgent_work_preempts_nothing() -> None:
    """Guards against idle accelerators on calm days. Load: four urgent gangs a second that fit."""
    assert headroom_with(12).accelerators(now=100.0, total=TOTAL) == 0


def test_nothing_is_kept_for_single_urgent_gangs() -> None:
    """Guards against a small site that idles after one gang preempted something."""
    headroom = headroom_with(MIN_ARRIVALS - 1)
    headroom.record_preemption(100.0)
    assert headroom.accelerators(now=100.0, total=TOTAL) == 0


def test_headroom_follows_the_arrivals_and_what_they_took() -> None:
    """Guards against a fixed share. Load: 4 gangs a second, then a burst of twice as many."""
    calm, burst = headroom_with(6), headroom_with(12)
    for headroom in (calm, burst):
        headroom.record_preemption(100.0)
    kept = calm.accelerators(now=100.0, total=TOTAL)
    assert kept > 0
    assert burst.accelerators(now=100.0, total=TOTAL) == 2 * kept


def test_headroom_ends_with_the_arrivals() -> None:
    """Guards against capacity that idles after a burst of urgent gangs."""
    headroom = headroom_with(12)
    headroom.record_preemption(100.0)
    assert headroom.accelerators(now=100.0 + ARRIVAL_WINDOW_SECONDS + 0.1, total=TOTAL) == 0


def test_headroom_ends_when_nothing_was_preempted_lately() -> None:
    """Guards against capacity that is kept for urgent gangs which fit without it."""
    headroom = headroom_with(12)
    headroom.record_preemption(100.0)
    later = 100.0 + ACTIVE_SECONDS + 0.1
    for _ in range(12):
        headroom.record_placement(urgent_unit(), (), now=later)
    assert headroom.accelerators(now=later, total=TOTAL) == 0


def test_headroom_lasts_while_urgent_work_uses_what_patient_work_waits_for() -> None:
    """Guards against batch work that fills the headroom every few seconds of a long stream."""
    headroom = headroom_with(12)
    headroom.record_preemption(100.0)
    cluster = new_cluster(1)
    worker = next(iter(cluster.dispatcher.fleet))
    later = 100.0 + ACTIVE_SECONDS - 0.1
    headroom.kept = frozenset({worker.name})
    headroom.record_withheld(later)
    for _ in range(12):
        headroom.record_placement(urgent_unit(), [worker], now=later)
    assert headroom.accelerators(now=later + 1.0, total=TOTAL) > 0


def test_headroom_is_bounded_by_a_share_of_the_accelerators() -> None:
    """Guards against a burst of urgent gangs during which no batch work goes on."""
    headroom = headroom_with(200)
    headroom.record_preemption(100.0)
    assert headroom.accelerators(now=100.0, total=TOTAL) == int(MAX_HEADROOM_SHARE * TOTAL)
    assert MAX_HEADROOM_SHARE < 1 - IDLE_CLUSTER_SHARE


def test_whole_workers_of_one_rack_are_kept_first() -> None:
    """Guards against a headroom of fragments in which no gang of whole workers fits."""
    cluster = new_cluster(16)
    cluster.seconds = 30.0
    cluster.add(job("sweep", replace(BATCH, count=20), **BATCH_QUEUE))
    cluster.run(0.5)
    workers = list(cluster.dispatcher.fleet)
    kept = workers_to_keep(workers, 24)
    chosen = [worker for worker in workers if worker.name in kept]
    assert [worker.free_accelerators for worker in chosen] == [8, 8, 8]
    assert len({worker.entry.rack for worker in chosen}) == 1


def stream_on_full_workers() -> Cluster:
    """Return a cluster of 24 workers after 6 s of four urgent gangs a second among batch tasks."""
    cluster = new_cluster(24)
    cluster.seconds = 9.0
    for n in range(8):
        cluster.add(job(f"sweep{n}", replace(BATCH, count=39, checkpointing=True), **BATCH_QUEUE))
    cluster.run(1.0)
    run_urgent_stream(cluster, gangs=24, interval=0.25, accelerators=2)
    return cluster


def test_batch_task_waits_for_headroom_and_the_log_says_so() -> None:
    """Guards against batch tasks that start where the next urgent gang preempts them.

    Load: four urgent gangs a second on workers full of batch tasks, more of which wait.
    """
    cluster = stream_on_full_workers()
    assert "headroom" in sweep_waits(cluster)
    assert all(cluster.dispatcher.jobs[f"urgent{n}"].units[0].run for n in range(24))


def test_batch_tasks_start_again_once_urgent_arrivals_end() -> None:
    """Guards against preempted tasks that wait although nobody needs their accelerators."""
    cluster = stream_on_full_workers()
    cluster.run(ARRIVAL_WINDOW_SECONDS + 2.5)
    free = sum(worker.free_accelerators for worker in cluster.dispatcher.fleet)
    waiting = sum(
        unit.waiting for n in range(8) for unit in cluster.dispatcher.jobs[f"sweep{n}"].units
    )
    assert waiting == 0 or free == 0


def test_job_with_nothing_running_uses_the_headroom_of_an_idle_cluster() -> None:
    """Guards against a job with nothing running that waits for 3 s beside idle accelerators.

    Load: urgent gangs keep arriving, and the only worker on which a batch task may run is kept for
    them, while under half of the accelerators are in use.
    """
    entries = [worker_entry(f"w{n:02}") for n in range(16)]
    entries[0] = worker_entry("w00", labels=frozenset({"a", "large"}))
    cluster = Cluster(*entries)
    cluster.seconds = 30.0
    cluster.run(0.3)
    headroom = cluster.dispatcher._planner._headroom
    step = replace(BATCH, required_label="large")
    cluster.add(job("sweep", step, **BATCH_QUEUE))
    unit = cluster.dispatcher.jobs["sweep"].units[0]
    begun = cluster.now
    while not unit.run and cluster.now - begun < 5.0:
        headroom.record_preemption(cluster.now)
        for _ in range(MIN_ARRIVALS):
            headroom.record_placement(urgent_unit(accelerators=8), (), now=cluster.now)
        cluster.tick()
    assert 1.0 < cluster.now - begun < 3.0
