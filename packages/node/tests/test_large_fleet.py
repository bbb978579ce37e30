"""Tests of an owner of a large fleet with workers in memory."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from zinniaweir.dispatch.messages import Listing, StartAnswer, TaskId, WorkerEntry
from zinniaweir.node.answers import Accepted
from zinniaweir.node.boottime import boottime
from zinniaweir.node.polling import FRESH_SECONDS
from zinniaweir.node.ports import Stream, WorkerCallError
from zinniaweir.workloads.spec import JobSpec, StepSpec

from .conftest import PARISH, TERMS, MemoryLog, MemoryWorkers
from .test_node import SPEC, deadline, new_node, run, running, until

WORKERS = 60
WHOLE = JobSpec(payload="x", steps=(StepSpec(count=1, accelerators=8),))
"""A job that takes a whole worker, so each one is placed on an idle worker."""


class CountingWorkers(MemoryWorkers):
    """Workers that count the polls in flight, and list what was started."""

    def __init__(self) -> None:
        super().__init__()
        self.in_flight = 0
        self.most_in_flight = 0
        self.polls: Counter[str] = Counter()
        self.waits: list[float] = []
        self.silent_workers: set[str] = set()
        self.answered_at: dict[str, float] = {}
        self.ages_at_start: list[float] = []
        """Seconds between the last answer of a worker and a start there."""

    async def start(self, entry: WorkerEntry, task: TaskId, **options: Any) -> StartAnswer:
        self.ages_at_start.append(boottime() - self.answered_at[entry.worker])
        return await super().start(entry, task, **options)

    async def poll(self, entry: WorkerEntry, **options: Any) -> Listing:
        self.polls[entry.worker] += 1
        self.waits.append(options["wait_seconds"])
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            listing = await super().poll(entry, **options)
            if entry.worker in self.silent_workers:
                raise WorkerCallError("silent")
            self.answered_at[entry.worker] = boottime()
            return listing
        finally:
            self.in_flight -= 1


@pytest.fixture(autouse=True)
def low_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lower the bound of large fleets and their rate, so that few workers make one."""
    module = "zinniaweir.node.poll_schedule"
    monkeypatch.setattr(f"{module}.LARGE_FLEET_WORKERS", WORKERS // 2)
    monkeypatch.setattr(f"{module}.SMALL_FLEET_WORKERS", WORKERS // 3)
    monkeypatch.setattr(f"{module}.INITIAL_POLLS_PER_SECOND", 100.0)
    monkeypatch.setattr(f"{module}.MAX_POLLS_PER_SECOND", 100.0)


def add_workers(log: MemoryLog) -> None:
    for number in range(WORKERS):
        log.put(Stream.WORKERS, f"w{number}", b"ok")


def test_jobs_start_and_leases_are_renewed_in_a_large_fleet(memory_log: MemoryLog) -> None:
    """Guards against the fleet of 3,000 workers in which nothing started."""
    workers = CountingWorkers()
    add_workers(memory_log)

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            answer = await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            assert answer == Accepted()
            await until(lambda: bool(workers.started))
            await until(lambda: len(workers.polls) == WORKERS)
            polls = workers.polls.total()
            await asyncio.sleep(1.0)
            assert workers.polls.total() - polls < 130

    run(work())
    assert {wait for wait in workers.waits if wait} <= {1.4}


def test_silent_idle_workers_are_asked_less_and_less_often(memory_log: MemoryLog) -> None:
    """Guards against connections to dead workers that are opened again and again."""
    workers = CountingWorkers()
    workers.silent_workers = {f"w{number}" for number in range(20)}
    add_workers(memory_log)

    async def work() -> None:
        async with running(new_node("v1", memory_log, workers)):
            await until(lambda: len(workers.polls) == WORKERS)
            await asyncio.sleep(2.0)

    run(work())
    assert max(workers.polls[name] for name in workers.silent_workers) <= 6


def test_a_worker_that_gets_a_task_is_polled_with_a_wait(memory_log: MemoryLog) -> None:
    """Guards against ends that are noticed only when the rotation comes to their worker."""
    workers = CountingWorkers()
    add_workers(memory_log)

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await until(lambda: len(workers.polls) == WORKERS)
            await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            await until(lambda: bool(workers.started))
            name = workers.started[0][0]
            polls = workers.polls[name]
            await until(lambda: workers.polls[name] > polls, seconds=1.0)
            await until(lambda: 1.4 in workers.waits, seconds=1.0)

    run(work())


def test_workers_are_polled_before_starts(memory_log: MemoryLog) -> None:
    """Guards against placements that end before their start, since the last answer is too old.

    An answer may be almost 2 s old when work is placed, and the placement is recorded first.
    """
    workers = CountingWorkers()
    add_workers(memory_log)
    memory_log.append_seconds = 0.15

    async def work() -> None:
        node = new_node("v1", memory_log, workers)
        async with running(node):
            await until(lambda: len(workers.polls) == WORKERS)
            for number in range(8):
                key = f"a{number}"
                await node.service.submit(PARISH, TERMS, key, WHOLE, deadline=deadline())
                await asyncio.sleep(0.2)
            await until(lambda: len(workers.ages_at_start) >= 8)

    run(work())
    assert max(workers.ages_at_start) < FRESH_SECONDS + 0.4
