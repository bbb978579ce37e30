"""Tests of the fold of the platform's streams into settings, workers and jobs."""

from __future__ import annotations

import asyncio

from zinniaweir.node.ports import Stream
from zinniaweir.node.view import View
from zinniaweir.telemetry.counters import Counters

from .conftest import MemoryDecoder, MemoryLog


def test_report_that_is_stored_late_does_not_replace_a_newer_one(memory_log: MemoryLog) -> None:
    """Guards against starts on a worker that drains, after an older report of it was stored."""
    for value in (b"ready 1", b"ready 2", b"draining 4", b"ready 3"):
        memory_log.put(Stream.WORKERS, "w1", b"")
        memory_log.put(Stream.WORKERS, "w2", value)
    counters = Counters()

    async def work() -> None:
        view = View(
            log_port=memory_log,
            decoder=MemoryDecoder(),
            replica_read_delay_seconds=0.1,
            max_age_seconds=2.0,
            counters=counters,
        )
        memory_log.streams[Stream.WORKERS], later = [], memory_log.streams[Stream.WORKERS]
        await view.workers.catch_up()
        memory_log.streams[Stream.WORKERS] = later
        await view.workers.catch_up()
        (entry,) = [entry for entry in view.worker_entries() if entry.worker == "w2"]
        assert entry.draining

    asyncio.run(work())
    assert counters.value("outdated_reports", reason=Stream.WORKERS) == 1
