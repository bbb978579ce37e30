"""Tests of expected durations."""

from __future__ import annotations

import gc
import random
import tracemalloc

from zinniaweir.dispatch.run_times import CAUTIOUS, MAX_HISTORIES, RunTimes
from zinniaweir.dispatch.units import OwnedJob
from zinniaweir.workloads.spec import StepSpec

from .conftest import job


def task(seconds: float, *, customer: str = "parish", job_id: str = "j", count: int = 1) -> tuple:
    step = StepSpec(count=count, accelerators=1, estimate_ms=int(seconds * 1e3), gang=True)
    owned = OwnedJob(job(job_id, step, customer=customer), now=0.0)
    return owned, step


def learn(run_times: RunTimes, *, estimate_error: float, spread: float, jobs: int = 80) -> None:
    """Add tasks of 4 s whose lengths and estimates scatter."""
    source = random.Random(3)
    for n in range(jobs):
        seconds = 4.0 * source.lognormvariate(0.0, spread)
        estimate = seconds * source.uniform(1 - estimate_error, 1 + estimate_error)
        run_times.add(*task(estimate, job_id=f"j{n}"), seconds)


def test_estimate_counts_until_enough_tasks_are_known() -> None:
    """Guards against durations that are expected from a single odd task."""
    run_times = RunTimes()
    assert run_times.expect(*task(5.0)) == 5.0
    assert run_times.expect(*task(5.0), quantile=CAUTIOUS) == 6.5
    run_times.add(*task(5.0), 60.0)
    assert run_times.expect(*task(5.0)) == 5.0


def test_wild_estimates_count_less_than_steady_durations() -> None:
    """Guards against ranks that follow estimates which are off by 0.9 of their size."""
    run_times = RunTimes()
    learn(run_times, estimate_error=0.9, spread=0.1)
    assert 3.2 < run_times.expect(*task(0.4)) < 4.8
    assert 3.2 < run_times.expect(*task(7.6)) < 5.0


def test_good_estimates_count_more_than_scattered_durations() -> None:
    """Guards against ranks that ignore estimates which tell long tasks from short ones."""
    run_times = RunTimes()
    learn(run_times, estimate_error=0.1, spread=0.8)
    assert 0.8 < run_times.expect(*task(1.0)) < 1.4
    assert 10.0 < run_times.expect(*task(14.0)) < 16.0


def test_cautious_quantile_covers_most_tasks() -> None:
    """Guards against backfilled work that overruns the start of a reservation.

    A third of the tasks of this load takes more than 1.3 times the expected duration.
    """
    run_times = RunTimes()
    learn(run_times, estimate_error=0.9, spread=0.5, jobs=200)
    source = random.Random(5)
    covered = 0
    for _ in range(400):
        seconds = 4.0 * source.lognormvariate(0.0, 0.5)
        estimate = seconds * source.uniform(0.1, 1.9)
        covered += seconds <= run_times.expect(*task(estimate), quantile=CAUTIOUS)
    assert 0.78 < covered / 400 < 0.95


def test_customers_and_gangs_have_their_own_durations() -> None:
    """Guards against one customer's long gangs in the expected durations of short tasks."""
    run_times = RunTimes()
    for n in range(40):
        run_times.add(*task(3.0, customer="parish", job_id=f"p{n}"), 2.0)
        run_times.add(*task(3.0, customer="choir", job_id=f"c{n}"), 8.0)
        run_times.add(*task(3.0, customer="parish", job_id=f"g{n}", count=4), 20.0)
    assert 1.8 < run_times.expect(*task(3.0, customer="parish")) < 2.2
    assert 7.2 < run_times.expect(*task(3.0, customer="choir")) < 8.8
    assert run_times.expect(*task(3.0, customer="parish", count=4)) > 17.0
    assert 2.0 < run_times.expect(*task(3.0, customer="new")) < 8.0


def test_recent_durations_replace_old_ones() -> None:
    """Guards against durations of a former version of a job that count for hours."""
    run_times = RunTimes()
    for n in range(600):
        run_times.add(*task(3.0, job_id=f"j{n}"), 2.0 if n < 300 else 9.0)
    assert run_times.expect(*task(3.0)) > 7.0


def test_histories_fit_into_a_small_vm() -> None:
    """Guards against histories of many customers that outgrow a VM of 160 MB."""
    run_times = RunTimes()
    tracemalloc.start()
    for n in range(2 * MAX_HISTORIES):
        for k in range(300 if n % 16 == 0 else 30):
            run_times.add(*task(3.0, customer=f"c{n}", job_id=f"j{k}"), 2.0 + k % 3)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert size < MAX_HISTORIES * 24_000
