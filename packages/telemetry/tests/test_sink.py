"""Tests that logging never waits."""

from __future__ import annotations

import os
import time

from zinniaweir.telemetry.sink import EVENT_BURST, MAX_QUEUED_LINES, EventRateLimiter, LineSink


def test_a_reader_that_stops_costs_lines_and_no_time() -> None:
    """Guards against a process that hangs since nobody reads its logs."""
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        sink = LineSink(stream)
        began = time.monotonic()
        for _ in range(3 * MAX_QUEUED_LINES):
            sink.put("x" * 200 + "\n")
        assert time.monotonic() - began < 1.0
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


def test_a_storm_of_one_event_leaves_the_others() -> None:
    """Guards against logs that are full of one event, and counts what is left out."""
    now = [0.0]
    limiter = EventRateLimiter(clock=lambda: now[0])
    admitted = [limiter.admit("storm") for _ in range(int(EVENT_BURST) + 100)]
    assert admitted.count(None) == 100
    assert limiter.admit("other") == 0
    now[0] = 1.0
    assert limiter.admit("storm") == 100
