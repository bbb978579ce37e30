"""Tests of workers' lists that do not hold all ends."""

from __future__ import annotations

import pytest

from zinniaweir.dispatch.messages import EndedRun, Listing, RunEnd
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

TASKS = 6
STEP = StepSpec(count=TASKS, cpu_millis=1_000)


@pytest.fixture
def one_worker() -> Cluster:
    """A cluster of one worker that lists two ends at a time."""
    cluster = Cluster(worker_entry("w1"))
    cluster.max_listed_ends = 2
    return cluster


def end_all(cluster: Cluster, end: RunEnd) -> None:
    for fake in cluster.workers.values():
        for key in list(fake.runs):
            fake.end(key, end)


def take_over(cluster: Cluster, entry: JobEntry) -> None:
    """Replace the owner by one that knows the log alone."""
    entry.progress = cluster.records[-1]
    cluster.dispatcher = cluster.new_dispatcher()
    cluster.add(entry)
    cluster.dispatcher.update_workers(
        [fake.entry for fake in cluster.workers.values()], now=cluster.now
    )


def causes(cluster: Cluster) -> set[str]:
    return {fields["cause"] for event, fields in cluster.events if event == "task_ended"}


def test_run_whose_end_is_left_out_of_a_full_list_is_not_taken_for_gone(
    one_worker: Cluster,
) -> None:
    """Guards against TWICE: tasks whose ends follow on a later list start again."""
    one_worker.add(job("j1", STEP))
    one_worker.run(0.5)
    end_all(one_worker, RunEnd.DONE)
    one_worker.run(2.0)
    assert one_worker.state("j1") == "complete"
    assert causes(one_worker) == {"listed"}


def test_inherited_run_whose_end_is_left_out_of_a_full_list_is_not_taken_for_gone(
    one_worker: Cluster,
) -> None:
    """Guards against TWICE after a change of the owner, who trusts the first list it gets."""
    entry = job("j1", STEP)
    one_worker.add(entry)
    one_worker.run(0.5)
    end_all(one_worker, RunEnd.DONE)
    take_over(one_worker, entry)
    one_worker.run(2.0)
    assert one_worker.state("j1") == "complete"
    assert causes(one_worker) == {"listed"}


def test_orphan_run_whose_end_is_left_out_of_a_full_list_holds_its_task(
    one_worker: Cluster,
) -> None:
    """Guards against TWICE: a stopped orphan run was done, which a later list tells."""
    entry = job("j1", STEP)
    one_worker.add(entry)
    one_worker.run(0.5)
    entry.progress = None
    one_worker.dispatcher = one_worker.new_dispatcher()
    one_worker.add(entry)
    one_worker.tick()
    (worker,) = one_worker.dispatcher.fleet
    assert len(worker.orphan_runs) == TASKS
    end_all(one_worker, RunEnd.DONE)
    one_worker.stop_orphan_runs()
    one_worker.tick()
    one_worker.tick()
    assert len(worker.orphan_runs) == TASKS
    one_worker.run(2.0)
    assert not worker.orphan_runs


def test_gang_whose_ends_are_left_out_of_a_full_list_is_not_started_again(
    one_worker: Cluster,
) -> None:
    """Guards against a gang that is taken for broken, since a member is on neither list."""
    one_worker.add(job("j1", StepSpec(count=TASKS, cpu_millis=1_000, gang=True)))
    one_worker.add(job("j2", STEP))
    one_worker.run(0.5)
    fake = one_worker.workers["w1"]
    for key in sorted(fake.runs, key=lambda key: key[0].job_id, reverse=True):
        fake.end(key, RunEnd.DONE)
    one_worker.run(2.0)
    assert {one_worker.state("j1"), one_worker.state("j2")} == {"complete"}
    assert causes(one_worker) == {"listed"}


def test_failure_that_is_left_out_of_a_full_list_counts_as_an_attempt(one_worker: Cluster) -> None:
    """Guards against BUDGET: a failed run is taken for lost, and its task starts once more."""
    one_worker.add(job("j1", STEP, max_attempts=1))
    one_worker.run(0.5)
    end_all(one_worker, RunEnd.FAILED)
    one_worker.run(2.0)
    assert one_worker.state("j1") == "failed"
    assert causes(one_worker) == {"listed"}


def test_runs_go_on_in_an_incarnation_whose_first_list_is_full(one_worker: Cluster) -> None:
    """Guards against TWICE: what a restarted worker began and ended is not on its first list."""
    one_worker.add(job("j1", StepSpec(count=3, cpu_millis=1_000)))
    one_worker.run(0.5)
    worker = one_worker.dispatcher.fleet.get("w1")
    assert worker is not None
    rows = [
        EndedRun(number=number, task=a.task, run=a.run, end=RunEnd.DONE, checkpoint="")
        for number, a in enumerate(one_worker.assignments("j1"), start=1)
    ]
    for ended, more_ends in ((rows[:2], True), (rows[2:], False)):
        newest = one_worker.dispatcher.fleet.get("w1")
        assert newest is not None
        listing = Listing(
            incarnation=2, clock_ms=500, running=(), ended=tuple(ended), more_ends=more_ends
        )
        one_worker.dispatcher.handle_listing(
            newest, listing, poll_sent_at=one_worker.now, renewed=False, now=one_worker.now
        )
    assert one_worker.state("j1") == "complete"
    assert causes(one_worker) == {"listed"}
