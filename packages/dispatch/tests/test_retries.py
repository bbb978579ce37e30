"""Tests of retries while many workers fail what they start."""

from __future__ import annotations

from zinniaweir.dispatch.messages import RunEnd
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

GANG = StepSpec(count=4, cpu_millis=1_000, accelerators=8, estimate_ms=2_000, gang=True)
URGENT = {"name": "checks", "priority": 0, "slack_factor": 3.0, "target_seconds": 0.5}
BAD_SHARE = 4
"""Every fourth worker fails what it starts."""


def bad_cluster(workers: int = 24) -> Cluster:
    return Cluster(*(worker_entry(f"w{n}", rack="r1-1") for n in range(workers)))


def run_with_failures(cluster: Cluster, *, seconds: float, bad: set[str]) -> None:
    """Run while the workers that are named fail each run after at most 0.2 s."""
    until = cluster.now + seconds
    while cluster.now < until:
        for name in sorted(bad):
            fake = cluster.workers[name]
            for key in list(fake.runs):
                fake.end(key, RunEnd.FAILED)
        cluster.tick()


def failures_of(cluster: Cluster, job_id: str) -> int:
    return sum(unit.failures for unit in cluster.dispatcher.jobs[job_id].units)


def test_gang_survives_some_seconds_in_which_a_quarter_of_the_workers_fail() -> None:
    """Guards against a gang that uses up its attempts within the first second of an episode.

    Each attempt of a gang of four meets one of the bad workers more often than not.
    """
    cluster = bad_cluster()
    cluster.run(0.3)
    bad = {f"w{n}" for n in range(0, 24, BAD_SHARE)}
    for n in range(5):
        cluster.add(job(f"gang{n}", GANG, max_attempts=4, **URGENT))
    run_with_failures(cluster, seconds=5.0, bad=bad)
    cluster.run(8.0)
    assert {cluster.state(f"gang{n}") for n in range(5)} == {"complete"}


def test_single_bad_worker_delays_no_retry() -> None:
    """Guards against retries that wait although one worker alone fails what it starts."""
    cluster = bad_cluster(8)
    cluster.run(0.3)
    cluster.add(job("gang", GANG, max_attempts=4, **URGENT))
    cluster.run(0.2)
    bad = {next(iter(cluster.assignments("gang"))).worker}
    run_with_failures(cluster, seconds=1.0, bad=bad)
    assert "retry_delayed" not in cluster.event_names()
    assert failures_of(cluster, "gang") == 1
    assert len(list(cluster.assignments("gang"))) == 4


def test_job_that_fails_by_its_own_fault_is_shown_as_failed_soon() -> None:
    """Guards against delays that keep a job which can never be done from its answer."""
    cluster = bad_cluster(8)
    for fake in cluster.workers.values():
        fake.fails = True
    cluster.durations["poison"] = 0.2
    cluster.add(job("poison", GANG, max_attempts=4, **URGENT))
    cluster.run(7.0)
    assert cluster.state("poison") == "failed"


def test_last_attempt_goes_to_workers_that_did_other_work_well() -> None:
    """Guards against a last attempt on workers of which nothing good is known."""
    cluster = bad_cluster(12)
    cluster.run(0.3)
    cluster.add(job("first", GANG, max_attempts=3, **URGENT))
    cluster.run(0.2)
    sound = {assignment.worker for assignment in cluster.assignments("first")}
    cluster.run(2.5)
    assert cluster.state("first") == "complete"
    bad = {f"w{n}" for n in range(12)} - sound
    for n in range(2):
        cluster.add(job(f"gang{n}", GANG, max_attempts=3, **URGENT))
    run_with_failures(cluster, seconds=4.0, bad=bad)
    cluster.run(8.0)
    assert {cluster.state(f"gang{n}") for n in range(2)} == {"complete"}
