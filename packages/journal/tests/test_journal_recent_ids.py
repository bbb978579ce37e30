"""Tests of the window of recent record ids, and of the outbox."""

from __future__ import annotations

import asyncio
import random

from zinniaweir.journal import _recent_ids
from zinniaweir.journal._outbox import Outbox, PendingRecord


def test_duplicate_check_depends_only_on_the_window(monkeypatch):
    """VMs must agree about a third copy of a record even if one of them never read the first."""
    monkeypatch.setattr(_recent_ids, "WINDOW_OFFSETS", 6)
    rng = random.Random(3)
    for _ in range(200):
        ids = [rng.choice("abcdefgh") for _ in range(40)]
        start = rng.randrange(6, 40)
        old, new = _recent_ids.RecentIds(), _recent_ids.RecentIds()
        expected = [old.add(offset, record_id) for offset, record_id in enumerate(ids)]
        actual = [new.add(offset, ids[offset]) for offset in range(start - 6, 40)]
        assert actual[6:] == expected[start:]


def test_records_without_waiting_publisher_are_removed():
    """Memory must not grow through a long outage in which every publish times out."""

    async def scenario():
        outbox = Outbox()
        for number in range(1_000):
            read_back = asyncio.get_running_loop().create_future()
            pending = PendingRecord(record_id=f"{number}", data=b"x", read_back=read_back)
            outbox.add(pending)
            outbox.mark_unresolved(outbox.take_batch(next_offset=0), float(number))
            outbox.remove(pending)
        assert len(outbox.unresolved) <= 1
        assert (outbox.pending_bytes, len(outbox.queue), len(outbox.by_id)) == (0, 0, 0)

    asyncio.run(scenario())
