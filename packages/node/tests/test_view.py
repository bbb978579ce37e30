"""Tests of the fold of the platform's streams into settings, workers and jobs."""

from __future__ import annotations

import asyncio

import pytest

from zinniaweir.node.ports import Stream
from zinniaweir.node.view import View
from zinniaweir.telemetry.counters import Counters

from .conftest import MemoryDecoder, MemoryLog


def new_view(log: MemoryLog, counters: Counters) -> View:
    return View(
        log_port=log,
        decoder=MemoryDecoder(),
        replica_read_delay_seconds=0.1,
        max_age_seconds=2.0,
        counters=counters,
    )


def test_report_that_is_stored_late_does_not_replace_a_newer_one(memory_log: MemoryLog) -> None:
    """Guards against starts on a worker that drains, after an older report of it was stored."""
    for value in (b"ready 1", b"ready 2", b"draining 4", b"ready 3"):
        memory_log.put(Stream.WORKERS, "w1", b"")
        memory_log.put(Stream.WORKERS, "w2", value)
    counters = Counters()

    async def work() -> None:
        view = new_view(memory_log, counters)
        memory_log.streams[Stream.WORKERS], later = [], memory_log.streams[Stream.WORKERS]
        await view.workers.catch_up()
        memory_log.streams[Stream.WORKERS] = later
        await view.workers.catch_up()
        (entry,) = [entry for entry in view.worker_entries() if entry.worker == "w2"]
        assert entry.draining

    asyncio.run(work())
    assert counters.value("outdated_reports", reason=Stream.WORKERS) == 1


@pytest.mark.parametrize("loaded_anew", [False, True])
def test_invalid_entry_replaces_the_former_one_of_its_worker(
    memory_log: MemoryLog, loaded_anew: bool
) -> None:
    """Guards against starts on a worker under an entry that it has replaced, until a reload."""
    counters = Counters()
    changes = 0

    def count_change() -> None:
        nonlocal changes
        changes += 1

    async def work() -> None:
        view = new_view(memory_log, counters)
        for name in ("w1", "w2"):
            memory_log.put(Stream.WORKERS, name, b"ready 1")
        if not loaded_anew:
            await view.workers.catch_up()
        memory_log.put(Stream.WORKERS, "w1", b"broken")
        view.on_change = count_change
        await view.workers.catch_up()
        assert [entry.worker for entry in view.worker_entries()] == ["w2"]
        assert counters.value("broken_records", reason=Stream.WORKERS) == 1
        assert changes
        memory_log.put(Stream.WORKERS, "w1", b"ready 2")
        await view.workers.catch_up()
        assert {entry.worker for entry in view.worker_entries()} == {"w1", "w2"}

    asyncio.run(work())
