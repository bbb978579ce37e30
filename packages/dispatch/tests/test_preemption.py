"""Tests of preemption under load: which work makes way, how often, and when it runs again."""

from __future__ import annotations

from collections import Counter

from msgspec.structs import replace

from zinniaweir.dispatch.planning_pass import MAX_RESERVATION_WAIT_SECONDS
from zinniaweir.dispatch.preemption_history import MAX_PREEMPTIONS, PreemptionHistory
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import Customer, ResourceLimit
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

BATCH = StepSpec(count=1, cpu_millis=5_600, memory_mb=16_000, accelerators=1, estimate_ms=9_000)
WHOLE = StepSpec(count=1, cpu_millis=26_000, memory_mb=140_000, accelerators=8, estimate_ms=9_000)
BATCH_QUEUE = {"name": "sweeps", "priority": 2, "target_seconds": 3.0}
URGENT_QUEUE = {"name": "checks", "priority": 0, "slack_factor": 1.5, "target_seconds": 0.3}


def urgent_gang(count: int, accelerators: int = 8) -> StepSpec:
    return StepSpec(
        count=count,
        cpu_millis=7_500,
        memory_mb=31_000,
        accelerators=accelerators,
        estimate_ms=2_500,
        gang=count > 1,
    )


def new_cluster(workers: int) -> Cluster:
    cluster = Cluster(*(worker_entry(f"w{n:02}", rack=f"r{n // 8}") for n in range(workers)))
    cluster.run(0.3)
    return cluster


def preempted_units(cluster: Cluster) -> Counter[tuple[str, int]]:
    """Return how often each unit was stopped for other work, by job and first task."""
    return Counter(
        (fields["job_id"], min(fields["indexes"]))
        for event, fields in cluster.events
        if event == "unit_stopping" and fields["reason"] == "preempted"
    )


def preempted_jobs(cluster: Cluster) -> list[str]:
    return [fields["job_id"] for event, fields in cluster.events if event == "unit_preempted"]


def run_urgent_stream(cluster: Cluster, *, gangs: int, interval: float, accelerators: int) -> None:
    """Run 2.5 s gangs of five tasks that arrive at a fixed interval."""
    for n in range(gangs):
        cluster.add(job(f"urgent{n}", urgent_gang(5, accelerators), **URGENT_QUEUE))
        cluster.durations[f"urgent{n}"] = 2.5
        cluster.run(interval)


def test_stream_of_urgent_gangs_preempts_no_task_of_a_batch_job_again_and_again() -> None:
    """Guards against a batch job of 39 tasks that is restarted and stopped hundreds of times.

    Load: four urgent gangs of five tasks a second for 6 s on workers full of batch tasks.
    """
    cluster = new_cluster(24)
    cluster.seconds = 9.0
    for n in range(5):
        batch = replace(BATCH, count=39, checkpointing=True)
        cluster.add(job(f"sweep{n}", batch, **BATCH_QUEUE))
    cluster.run(1.0)
    run_urgent_stream(cluster, gangs=24, interval=0.25, accelerators=2)
    found = preempted_units(cluster)
    assert found
    assert max(found.values()) <= MAX_PREEMPTIONS
    waits = [cluster.dispatcher.jobs[f"urgent{n}"].units[0].run for n in range(24)]
    assert all(waits)
    cluster.run(40.0)
    assert {cluster.state(f"sweep{n}") for n in range(5)} == {"complete"}


def test_protected_unit_is_preempted_for_a_guarantee_only() -> None:
    """Guards against a unit that never ends, and against a guarantee that is not given back.

    Load: one whole-worker batch task that was preempted as often as is allowed, and an urgent job.
    """
    for guaranteed in (False, True):
        cluster = new_cluster(1)
        cluster.configure(
            Customer(
                name="parish",
                api_keys=frozenset(),
                guaranteed_accelerators=8 if guaranteed else 0,
            )
        )
        cluster.seconds = 20.0
        cluster.add(job("sweep", WHOLE, customer="other", **BATCH_QUEUE))
        cluster.run(0.5)
        for _ in range(MAX_PREEMPTIONS):
            cluster.dispatcher.jobs["sweep"].units[0].preemptions.record(cluster.now - 10.0)
        cluster.add(job("urgent", urgent_gang(1), **URGENT_QUEUE))
        cluster.run(1.0)
        assert (preempted_jobs(cluster) == ["sweep"]) is guaranteed


def test_protected_unit_keeps_its_place_in_its_customers_quota() -> None:
    """Guards against a bound on preemptions that urgent work of the same customer passes by."""
    cluster = new_cluster(2)
    quota = ResourceLimit(accelerators=8)
    cluster.configure(Customer(name="parish", api_keys=frozenset(), quota=quota))
    cluster.seconds = 20.0
    cluster.add(job("sweep", WHOLE, **BATCH_QUEUE))
    cluster.run(0.5)
    for _ in range(MAX_PREEMPTIONS):
        cluster.dispatcher.jobs["sweep"].units[0].preemptions.record(cluster.now - 10.0)
    cluster.add(job("urgent", urgent_gang(1), **URGENT_QUEUE))
    cluster.run(1.0)
    assert not preempted_jobs(cluster)


def test_new_owner_counts_preemptions_anew() -> None:
    """Guards against a unit that no owner may preempt for urgent work any more."""
    cluster = new_cluster(1)
    cluster.seconds = 20.0
    cluster.add(job("sweep", WHOLE, **BATCH_QUEUE))
    cluster.run(0.5)
    unit = cluster.dispatcher.jobs["sweep"].units[0]
    for _ in range(MAX_PREEMPTIONS):
        unit.preemptions.record(cluster.now)
    assert unit.preemptions.protected
    submission = job("sweep", WHOLE, **BATCH_QUEUE).submission
    inherited = JobEntry(submission=submission, progress=cluster.records[-1])
    cluster.dispatcher = cluster.new_dispatcher()
    cluster.add(inherited)
    assert not cluster.dispatcher.jobs["sweep"].units[0].preemptions.protected


def test_wait_after_each_preemption_grows_and_is_bounded() -> None:
    """Guards against a restart in the middle of a burst, and against a wait without an end."""
    history = PreemptionHistory()
    waits = []
    for _ in range(20):
        history.record(5.0)
        waits.append(history.restart_at - 5.0)
    assert waits == sorted(waits)
    assert 0.0 < waits[0] < waits[1]
    assert waits[-1] < MAX_RESERVATION_WAIT_SECONDS + 1.0


def test_checkpointing_work_makes_way_before_work_that_nothing_saves() -> None:
    """Guards against lost core-seconds where a stop would have written a checkpoint.

    Load: a full worker of each sort, the checkpointing one longer at work.
    """
    cluster = new_cluster(2)
    cluster.seconds = 30.0
    cluster.add(job("saved", replace(WHOLE, checkpointing=True), **BATCH_QUEUE))
    cluster.run(8.0)
    cluster.add(job("unsaved", WHOLE, **BATCH_QUEUE))
    cluster.run(3.0)
    cluster.add(job("urgent", urgent_gang(1), **URGENT_QUEUE))
    cluster.run(0.5)
    assert preempted_jobs(cluster) == ["saved"]


def test_one_larger_stop_is_preferred_to_eight_small_ones() -> None:
    """Guards against eight restarts where one does.

    Load: an urgent task of eight accelerators, a worker with one such task and one with eight small
    ones, all of them just as old.
    """
    cluster = new_cluster(2)
    cluster.seconds = 30.0
    cluster.add(job("small", replace(BATCH, count=8, cpu_millis=3_250), **BATCH_QUEUE))
    cluster.add(job("whole", WHOLE, **BATCH_QUEUE))
    cluster.run(2.0)
    cluster.add(job("urgent", urgent_gang(1), **URGENT_QUEUE))
    cluster.run(0.5)
    assert preempted_jobs(cluster) == ["whole"]


def test_gang_of_the_middle_priority_is_not_stopped_for_one_small_task() -> None:
    """Guards against a large gang that starts anew for a task that fits in place of a batch task.

    Load: a worker with a small checkpointing gang, whose stop costs less than that of one of the
    batch tasks there, which have worked for 4 s.
    """
    cluster = new_cluster(1)
    cluster.seconds = 30.0
    cluster.add(job("sweep", replace(BATCH, count=6), **BATCH_QUEUE))
    cluster.run(3.5)
    gang = replace(BATCH, count=2, gang=True, cpu_millis=1_000, checkpointing=True)
    cluster.add(job("traces", gang, priority=1))
    cluster.run(0.5)
    cluster.add(job("urgent", urgent_gang(1, 1), **URGENT_QUEUE))
    cluster.run(0.5)
    assert preempted_jobs(cluster) == ["sweep"]


def test_middle_gang_makes_way_where_batch_work_frees_too_little() -> None:
    """Guards against an urgent task that waits since only a middle gang could make way."""
    cluster = new_cluster(2)
    cluster.seconds = 30.0
    gang = replace(WHOLE, count=2, gang=True, checkpointing=True)
    cluster.add(job("traces", gang, priority=1))
    cluster.run(0.5)
    cluster.configure(Customer(name="parish", api_keys=frozenset(), guaranteed_accelerators=1))
    cluster.add(job("urgent", urgent_gang(1, 1), **URGENT_QUEUE))
    cluster.run(0.5)
    assert preempted_jobs(cluster) == ["traces"]


def test_late_urgent_work_waits_for_its_turn_and_runs() -> None:
    """Guards against late work that stops other work, and against late work that never runs.

    Load: a worker full of batch work, an urgent job that is late but of use, and one in time.
    """
    cluster = new_cluster(2)
    cluster.seconds = 4.0
    cluster.add(job("sweep", replace(WHOLE, count=2), **BATCH_QUEUE))
    cluster.run(0.5)
    cluster.add(job("late", urgent_gang(1), **URGENT_QUEUE), age=3.0)
    cluster.run(0.3)
    assert not preempted_jobs(cluster)
    cluster.add(job("in-time", urgent_gang(2), **URGENT_QUEUE))
    cluster.run(0.5)
    assert len(list(cluster.assignments("in-time"))) == 2
    assert not list(cluster.assignments("late"))
    cluster.run(8.0)
    assert cluster.state("late") == "complete"


def test_work_that_a_stop_makes_late_is_stopped_last() -> None:
    """Guards against a batch job that was about to end in time and is late after a stop.

    Load: two full workers, of which one has a job near its objective, and an urgent job.
    """
    cluster = new_cluster(2)
    cluster.seconds = 4.0
    short = replace(WHOLE, estimate_ms=4_000)
    cluster.add(job("near-end", short, **(BATCH_QUEUE | {"slack_factor": 1.0})))
    cluster.run(0.2)
    cluster.add(job("has-time", short, **(BATCH_QUEUE | {"slack_factor": 9.0})))
    cluster.run(2.0)
    # The job near its objective has the lower cost otherwise, as its stop saves its work.
    unit = cluster.dispatcher.jobs["near-end"].units[0]
    unit.step = replace(unit.step, checkpointing=True)
    cluster.dispatcher.jobs["near-end"].accepted_at -= 2.8
    cluster.add(job("urgent", urgent_gang(1), **URGENT_QUEUE))
    cluster.run(0.5)
    assert preempted_jobs(cluster) == ["has-time"]


def test_work_of_a_job_that_was_just_preempted_is_spared() -> None:
    """Guards against a burst of urgent jobs that stops one batch job only.

    Load: two full workers with batch tasks of two jobs that began together, one just preempted.
    """
    cluster = new_cluster(2)
    cluster.seconds = 30.0
    for name in ("first", "second"):
        cluster.add(job(name, WHOLE, **BATCH_QUEUE))
    cluster.run(0.5)
    cluster.dispatcher.jobs["first"].preemptions.record(cluster.now)
    cluster.add(job("urgent", urgent_gang(1), **URGENT_QUEUE))
    cluster.run(0.5)
    assert preempted_jobs(cluster) == ["second"]
