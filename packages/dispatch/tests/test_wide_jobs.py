"""Tests of the work that a wide job takes: it grows with the job's tasks, and comes in slices."""

from __future__ import annotations

import sys
from collections.abc import Callable
from itertools import count
from types import FrameType
from typing import Any

import pytest

from zinniaweir.dispatch.dispatcher import Dispatcher
from zinniaweir.dispatch.messages import RunEnd
from zinniaweir.dispatch.pass_slices import SLICE_SECONDS
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

NARROW = 100
WIDE = 800
MAX_GROWTH = 1.5 * WIDE / NARROW
"""Largest growth of the work from a narrow to a wide job; with the square it would be 64."""


def lines_of(work: Callable[[], object]) -> int:
    """Return the number of lines of Python code that some work runs; each turn of a loop counts."""
    found = 0

    def count_line(_frame: FrameType, event: str, _argument: object) -> Any:
        nonlocal found
        found += event == "line"
        return count_line

    tracer = sys.gettrace()
    sys.settrace(count_line)
    try:
        work()
    finally:
        sys.settrace(tracer)
    return found


def wide_cluster(tasks: int, **step: Any) -> Cluster:
    cluster = Cluster(*(worker_entry(f"w{n}", cpu_millis=10**6) for n in range(1, 5)))
    cluster.tick()
    cluster.add(job("j1", StepSpec(count=tasks, cpu_millis=10, **step)))
    return cluster


def first_pass(tasks: int) -> int:
    cluster = wide_cluster(tasks)
    return lines_of(cluster.tick)


def first_pass_with_worker_limit(tasks: int) -> int:
    cluster = wide_cluster(tasks, max_per_worker=tasks)
    return lines_of(cluster.tick)


def listing_of_all_runs(tasks: int) -> int:
    cluster = wide_cluster(tasks)
    cluster.seconds = 10.0
    cluster.run(2.0)
    cluster.now += 3.0
    return lines_of(cluster.poll)


def ends_of_all_runs(tasks: int) -> int:
    cluster = wide_cluster(tasks)
    cluster.max_listed_ends = 2 * tasks
    cluster.run(1.0)
    for fake in cluster.workers.values():
        for key in list(fake.runs):
            fake.end(key, RunEnd.DONE)
    return lines_of(cluster.poll)


def runs_that_nobody_knows(tasks: int) -> int:
    cluster = wide_cluster(tasks)
    cluster.run(0.5)
    cluster.dispatcher = cluster.new_dispatcher()
    cluster.add(job("j1", StepSpec(count=tasks, cpu_millis=10)))
    cluster.dispatcher.update_workers([f.entry for f in cluster.workers.values()], now=cluster.now)
    return lines_of(cluster.poll)


def loss_of_a_worker_and_next_pass(tasks: int) -> int:
    cluster = wide_cluster(tasks)
    cluster.seconds = 20.0
    cluster.run(0.5)
    fake = cluster.workers["w1"]
    fake.entry = worker_entry("w1", cpu_millis=10**6, incarnation=2)
    fake.runs.clear()
    return lines_of(cluster.tick)


@pytest.mark.parametrize(
    "work",
    [
        first_pass,
        first_pass_with_worker_limit,
        listing_of_all_runs,
        ends_of_all_runs,
        runs_that_nobody_knows,
        loss_of_a_worker_and_next_pass,
    ],
    ids=lambda work: work.__name__,
)
def test_work_grows_no_faster_than_the_tasks_of_a_job(work: Callable[[int], int]) -> None:
    """Guards against LOST: work with the square of a job's tasks keeps the owner from renewals."""
    assert work(WIDE) <= MAX_GROWTH * work(NARROW)


def test_long_pass_comes_in_slices_in_a_fleet_of_any_size() -> None:
    """Guards against a pass over all units of a wide job that keeps the owner from renewals."""
    ticks = count()
    cluster = wide_cluster(WIDE)
    cluster.dispatcher = Dispatcher(
        now=cluster.now,
        predecessor_ended=True,
        time_limits=cluster.time_limits,
        reporter=cluster,
        clock=lambda: next(ticks) * SLICE_SECONDS / 100,
    )
    cluster.tick()
    cluster.add(job("j1", StepSpec(count=WIDE, cpu_millis=10)))
    placed = []
    while not placed or cluster.dispatcher.plan_unfinished:
        cluster.dispatcher.plan(now=cluster.now)
        placed.append(len(list(cluster.assignments("j1"))))
        assert len(placed) <= WIDE
    assert placed[-1] == WIDE
    assert len(placed) >= WIDE / 100
