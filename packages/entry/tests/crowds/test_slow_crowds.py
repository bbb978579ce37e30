"""Crowds that send or read slowly, or stop half-way."""

from __future__ import annotations

import pytest

from zinniaweir_testkit.crowd import Crowd

from .entry_process import MAX_FDS, ObservedEntry

pytestmark = [pytest.mark.xdist_group("crowds"), pytest.mark.timeout(120)]

CLIENTS = MAX_FDS + 100
REQUEST = b"POST /v1/requests HTTP/1.1\r\nHost: entry\r\nContent-Length: 20\r\n\r\n{"
SHAPES = {
    "nothing": [],
    "byte_by_byte": [REQUEST[i : i + 1] for i in range(len(REQUEST))],
    "half_a_head": [REQUEST[:40]],
    "half_a_body": [REQUEST],
}


@pytest.mark.parametrize("shape", SHAPES)
def test_slow_senders(entry: ObservedEntry, shape: str) -> None:
    """Guards against connections that use up the descriptors of upstreams and the scheduler."""
    Crowd(port=entry.port, count=CLIENTS, pieces=lambda: SHAPES[shape], pause_seconds=0.25).run()
    entry.check()


def test_slow_readers_of_large_answers(entry: ObservedEntry) -> None:
    """Guards against answers that pile up for clients that do not read them."""
    requests = b"GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n" * 50
    Crowd(port=entry.port, count=CLIENTS, pieces=lambda: [requests], reads=False).run()
    entry.check()
