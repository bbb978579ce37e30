"""Tests of customers' quotas under load: what starts, what waits and what makes way."""

from __future__ import annotations

from typing import Any

from zinniaweir.dispatch.messages import RunEnd, StartAnswer
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import Customer, ResourceLimit
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

TASK = StepSpec(count=1, cpu_millis=1_000, memory_mb=1_000, accelerators=1, estimate_ms=2_000)
GANG = StepSpec(count=4, cpu_millis=1_000, accelerators=4, estimate_ms=2_000, gang=True)
URGENT = {"name": "checks", "priority": 0, "slack_factor": 2.0, "target_seconds": 0.5}


def customer(accelerators: int, *, name: str = "parish", **fields: Any) -> Customer:
    quota = ResourceLimit(accelerators=accelerators)
    return Customer(name=name, api_keys=frozenset(), quota=quota, **fields)


def new_cluster(workers: int = 8, *, most: int = 16) -> Cluster:
    cluster = Cluster(*(worker_entry(f"w{n}") for n in range(workers)))
    cluster.configure(customer(most))
    return cluster


def running_accelerators(cluster: Cluster, name: str = "parish") -> int:
    """Return the accelerators that a customer has in use on the workers themselves."""
    return sum(
        run.assignment.unit.step.accelerators
        for fake in cluster.workers.values()
        for run in fake.runs.values()
        if run.assignment.unit.job.customer == name
    )


def wait_reasons(cluster: Cluster) -> set[str]:
    return {fields["reason"] for event, fields in cluster.events if event == "unit_waits"}


def test_burst_of_one_customer_stays_within_its_quota() -> None:
    """Guards against a customer that takes the whole cluster in a burst of batch tasks."""
    cluster = new_cluster()
    for n in range(6):
        cluster.add(job(f"sweep{n}", StepSpec(count=10, accelerators=1, estimate_ms=2_000)))
    peak = 0
    for _ in range(40):
        cluster.tick()
        peak = max(peak, running_accelerators(cluster))
    assert peak == 16
    assert wait_reasons(cluster) == {"quota"}
    cluster.run(8.0)
    assert {cluster.state(f"sweep{n}") for n in range(6)} == {"complete"}


def test_runs_that_are_being_stopped_count_until_their_end_is_known() -> None:
    """Guards against starts that replace runs which a worker has not stopped yet."""
    cluster = new_cluster(most=8)
    cluster.seconds = 30.0
    cluster.add(job("old", StepSpec(count=8, accelerators=1)))
    cluster.run(1.0)
    for fake in cluster.workers.values():
        fake.silent = bool(fake.runs)
    cluster.dispatcher.cancel_job("old", now=cluster.now)
    cluster.add(job("new", StepSpec(count=8, accelerators=1)))
    cluster.run(1.0)
    assert not list(cluster.assignments("new"))


def test_start_without_an_answer_counts_while_its_worker_is_silent() -> None:
    """Guards against a second task that starts while the first may still be carried out."""
    cluster = new_cluster(2, most=1)
    cluster.run(0.3)
    for fake in cluster.workers.values():
        fake.silent = True
    cluster.add(job("first", TASK))
    cluster.run(0.3)
    answers = [reason for name, reason in cluster.counts if name == "starts"]
    assert StartAnswer.UNKNOWN in answers
    cluster.workers["w1"].silent = False
    cluster.add(job("second", TASK))
    cluster.run(1.5)
    assert not list(cluster.assignments("second"))


def test_new_owner_counts_inherited_runs_before_it_starts_anything() -> None:
    """Guards against a change of the owner that lets a customer use its quota twice."""
    cluster = new_cluster(most=8)
    cluster.seconds = 30.0
    cluster.add(job("old", StepSpec(count=8, accelerators=1)))
    cluster.run(1.0)
    entry = job("old", StepSpec(count=8, accelerators=1))
    inherited = JobEntry(submission=entry.submission, progress=cluster.records[-1])
    cluster.dispatcher = cluster.new_dispatcher(predecessor_ended=False)
    cluster.configure(customer(8))
    cluster.add(inherited)
    cluster.add(job("new", StepSpec(count=8, accelerators=1)))
    cluster.run(2.0)
    assert running_accelerators(cluster) == 8
    assert not list(cluster.assignments("new"))


def test_lowered_quota_starts_nothing_and_preempts_nothing() -> None:
    """Guards against work that is stopped, or added, because a quota was lowered below it."""
    cluster = new_cluster(most=16)
    cluster.seconds = 3.0
    cluster.add(job("first", StepSpec(count=16, accelerators=1)))
    cluster.run(1.0)
    cluster.configure(customer(4))
    cluster.add(job("second", StepSpec(count=16, accelerators=1)))
    cluster.run(1.0)
    assert running_accelerators(cluster) == 16
    cluster.run(3.0)
    assert running_accelerators(cluster) == 4
    assert "unit_preempted" not in cluster.event_names()


def test_gang_starts_whole_although_small_tasks_of_its_customer_keep_coming() -> None:
    """Guards against a gang that never finds its quota free, since each gap is filled."""
    cluster = new_cluster(most=16)
    for n in range(4):
        cluster.add(job(f"early{n}", StepSpec(count=4, accelerators=1, estimate_ms=2_000)))
        cluster.run(0.4)
    cluster.add(job("gang", GANG, slack_factor=4.0))
    for n in range(40):
        cluster.add(job(f"late{n}", TASK, slack_factor=9.0))
        cluster.run(0.2)
        if any(assignment.started for assignment in cluster.assignments("gang")):
            break
    started = [assignment.started for assignment in cluster.assignments("gang")]
    assert len(started) == 4
    assert running_accelerators(cluster) <= 16


def test_small_jobs_do_not_wait_for_a_gang_while_half_of_the_quota_is_idle() -> None:
    """Guards against small jobs with nothing running behind a gang that waits for its turn."""
    cluster = new_cluster(most=16)
    cluster.seconds = 20.0
    cluster.add(job("running", StepSpec(count=4, accelerators=1, estimate_ms=20_000)))
    cluster.run(0.5)
    cluster.add(job("gang", GANG, slack_factor=1.0))
    cluster.add(job("small", TASK, slack_factor=9.0))
    cluster.run(2.5)
    assert list(cluster.assignments("small"))


def test_urgent_job_makes_room_in_its_own_customers_quota() -> None:
    """Guards against an urgent job that waits for batch tasks of the same customer."""
    cluster = new_cluster(most=16)
    cluster.seconds = 60.0
    cluster.add(job("sweep", StepSpec(count=16, accelerators=1, checkpointing=True)))
    cluster.add(job("other", StepSpec(count=16, accelerators=1), customer="other"))
    cluster.run(1.0)
    cluster.add(job("urgent", GANG, **URGENT))
    peak = 0
    for _ in range(10):
        cluster.tick()
        peak = max(peak, running_accelerators(cluster))
    assert len(list(cluster.assignments("urgent"))) == 4
    assert peak <= 16
    victims = [f for e, f in cluster.events if e == "unit_preempted"]
    assert {(f["job_id"], f["reason"]) for f in victims} == {("sweep", "quota")}


def test_gang_above_its_customers_quota_waits_and_the_log_says_why() -> None:
    """Guards against a part of a gang that starts, and against a wait without a reason."""
    cluster = new_cluster(most=8)
    cluster.add(job("gang", GANG))
    cluster.add(job("small", TASK))
    cluster.run(1.0)
    assert not list(cluster.assignments("gang"))
    assert cluster.state("small") in ("running", "complete")
    assert wait_reasons(cluster) == {"exceeds_quota"}


def test_customers_without_a_quota_are_not_limited() -> None:
    """Guards against a limit that takes effect where no configuration asks for one."""
    cluster = new_cluster(most=0)
    cluster.add(job("sweep", StepSpec(count=64, accelerators=1)))
    cluster.run(1.0)
    assert running_accelerators(cluster) == 64
    assert RunEnd.STOPPED not in [reason for name, reason in cluster.counts if name == "ends"]
