"""Tests that logging does not block and limits the lines of each event."""

from __future__ import annotations

import os
import time

from zinniaweir.telemetry.sink import EVENT_BURST, MAX_QUEUED_LINES, EventRateLimiter, LineSink


def test_stalled_reader_drops_lines_without_blocking() -> None:
    """A process must not hang because nobody reads its logs; lines are dropped instead."""
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        sink = LineSink(stream)
        started_at = time.monotonic()
        for _ in range(3 * MAX_QUEUED_LINES):
            sink.put("x" * 200 + "\n")
        assert time.monotonic() - started_at < 1.0
        assert sink.dropped > 0
        os.set_blocking(reader, False)
        while True:
            try:
                if not os.read(reader, 1 << 20):
                    break
            except BlockingIOError:
                if sink._lines.empty():
                    break
                time.sleep(0.01)
    os.close(reader)


def test_flood_of_one_event_leaves_other_events() -> None:
    """A flood of one event must not suppress others, and the suppressed lines are counted."""
    now = [0.0]
    limiter = EventRateLimiter(clock=lambda: now[0])
    admitted = [limiter.admit("storm") for _ in range(int(EVENT_BURST) + 100)]
    assert admitted.count(None) == 100
    assert limiter.admit("other") == 0
    now[0] = 1.0
    assert limiter.admit("storm") == 100
