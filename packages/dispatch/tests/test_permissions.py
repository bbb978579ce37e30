"""Tests of permissions: what allowed a start when it was sent must still allow it at the worker."""

from __future__ import annotations

import pytest

from zinniaweir.dispatch.messages import StartAnswer
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment

from .conftest import Cluster, job, worker_entry

LIMITS = TimeLimits()


def place(cluster: Cluster) -> Assignment:
    """Place a job, without sending its start."""
    cluster.run(1.0)
    cluster.add(job("j1"))
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    (assignment,) = cluster.assignments("j1")
    return assignment


@pytest.mark.parametrize("view_age", [0.0, 0.5, 1.0, 1.4])
def test_worker_rejects_a_start_that_arrives_after_its_view_is_too_old(view_age: float) -> None:
    """Guards against a start that arrives late within its lease, on a worker that drains by then.

    The deadline that the worker checks was 3 s after the sending, whatever the age of the view.
    """
    cluster = Cluster(worker_entry("w1"))
    assignment = place(cluster)
    read_at = cluster.now
    assert cluster.dispatcher.prepare_start(assignment, now=read_at + view_age)
    worker = cluster.dispatcher.fleet.get("w1")
    assert worker is not None
    too_old_at = read_at + LIMITS.start_permission_seconds
    assert assignment.start_deadline_ms <= worker.clock.earliest(too_old_at)
    assert assignment.start_deadline_ms > worker.clock.latest(read_at + view_age)


def test_repeated_start_gets_the_time_of_the_newer_view() -> None:
    """Guards against starts that are rejected as late although a newer view allows them."""
    cluster = Cluster(worker_entry("w1"))
    assignment = place(cluster)
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now)
    first = assignment.start_deadline_ms
    cluster.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=cluster.now + 0.6)
    cluster.dispatcher.update_view_time(cluster.now + 0.5, jobs_read_at=cluster.now + 0.5)
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now + 0.7)
    assert first < assignment.start_deadline_ms <= (cluster.now + 3.1) * 1e3


def test_worker_whose_lease_is_not_confirmed_gets_no_work() -> None:
    """Guards against a run that lapses because it has only the short deadline of its start."""
    cluster = Cluster(worker_entry("w1"))
    cluster.renews_leases = False
    cluster.add(job("j1"))
    cluster.run(1.0)
    assert not list(cluster.assignments("j1"))
    cluster.renews_leases = True
    cluster.run(0.2)
    assert list(cluster.assignments("j1"))


def test_late_start_after_a_drain_takes_no_effect() -> None:
    """Guards against DRAIN: the worker drains while a copy of the start is on its way to it."""
    cluster = Cluster(worker_entry("w1"))
    assignment = place(cluster)
    drained_at = cluster.now + 0.01
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now + 0.5)
    arrives_at = drained_at + LIMITS.start_permission_seconds
    assert arrives_at * 1e3 >= assignment.start_deadline_ms


def test_report_from_before_the_drain_does_not_reopen_a_worker(cluster: Cluster) -> None:
    """Guards against a worker that gets work again because an older report was stored late."""
    cluster.run(0.5)
    late = worker_entry("w1", report_number=4)
    cluster.dispatcher.update_workers(
        [worker_entry("w1", report_number=5, draining=True)], now=cluster.now
    )
    cluster.dispatcher.update_workers([late], now=cluster.now + 0.1)
    worker = cluster.dispatcher.fleet.get("w1")
    assert worker is not None
    assert worker.entry.draining
    assert worker.missing_since is None


def test_new_incarnation_counts_its_reports_anew(cluster: Cluster) -> None:
    """Guards against a restarted worker whose reports are all taken for outdated."""
    cluster.run(0.5)
    for entry in (
        worker_entry("w1", report_number=50, draining=True),
        worker_entry("w1", report_number=1, incarnation=2),
    ):
        cluster.dispatcher.update_workers([entry], now=cluster.now)
    worker = cluster.dispatcher.fleet.get("w1")
    assert worker is not None
    assert not worker.entry.draining


@pytest.mark.parametrize("age", [0.0, 1.5, 2.4])
def test_start_is_too_late_once_its_job_may_have_been_cancelled(age: float) -> None:
    """Guards against a start of a cancelled job while the records of jobs cannot be read.

    Settings and workers were read meanwhile, so the start counted as allowed.
    """
    cluster = Cluster(worker_entry("w1"))
    assignment = place(cluster)
    jobs_read_at = cluster.now
    now = jobs_read_at + age
    cluster.now = now
    cluster.poll()
    cluster.dispatcher.update_view_time(now, jobs_read_at=jobs_read_at)
    assert cluster.dispatcher.prepare_start(assignment, now=now)
    worker = cluster.dispatcher.fleet.get("w1")
    assert worker is not None
    too_old_at = jobs_read_at + LIMITS.cancellation_seconds
    assert assignment.start_deadline_ms <= worker.clock.earliest(too_old_at)


def test_nothing_is_placed_while_jobs_cannot_be_read() -> None:
    """Guards against starts of jobs whose cancellation this owner could not read."""
    cluster = Cluster(worker_entry("w1"))
    cluster.run(1.0)
    jobs_read_at = cluster.now
    cluster.now += LIMITS.cancellation_seconds
    cluster.poll()
    cluster.add(job("j1"))
    cluster.dispatcher.update_view_time(cluster.now, jobs_read_at=jobs_read_at)
    cluster.dispatcher.plan(now=cluster.now)
    assert not list(cluster.assignments("j1"))
