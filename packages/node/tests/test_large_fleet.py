"""Tests of an owner of a large fleet with workers in memory."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from zinniaweir.dispatch.messages import Listing, WorkerEntry
from zinniaweir.node.answers import Accepted
from zinniaweir.node.ports import Stream, WorkerCallError

from .conftest import PARISH, TERMS, MemoryLog, MemoryWorkers
from .test_node import SPEC, deadline, new_node, run, running, until

WORKERS = 60


class CountingWorkers(MemoryWorkers):
    """Workers that count the polls in flight, and list what was started."""

    def __init__(self) -> None:
        super().__init__()
        self.in_flight = 0
        self.most_in_flight = 0
        self.polls: Counter[str] = Counter()
        self.waits: list[float] = []
        self.silent_workers: set[str] = set()

    async def poll(self, entry: WorkerEntry, **options: Any) -> Listing:
        self.polls[entry.worker] += 1
        self.waits.append(options["wait_seconds"])
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            listing = await super().poll(entry, **options)
            if entry.worker in self.silent_workers:
                raise WorkerCallError("silent")
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
