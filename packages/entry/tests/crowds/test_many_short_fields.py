"""Crowds whose requests have a legal size and consist of very many short fields."""

from __future__ import annotations

import pytest

from zinniaweir.entry.http_reader import MAX_BODY_BYTES, MAX_HEAD_BYTES
from zinniaweir_testkit.crowd import Crowd

from .entry_process import ObservedEntry

pytestmark = [pytest.mark.xdist_group("crowds"), pytest.mark.timeout(120)]

FIELDS = "\r\n".join(f"{number:x}:" for number in range(16**3, 16**3 + 2_250))


@pytest.mark.parametrize("path", ["/v1/requests", "/no/such/route", "/healthz"])
def test_headers(entry: ObservedEntry, path: str) -> None:
    """Guards against headers that take a hundred times their size in memory while they wait."""
    head = f"POST {path} HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n{FIELDS}\r\n\r\n{{"
    assert len(head) <= MAX_HEAD_BYTES
    Crowd(port=entry.port, count=200, pieces=lambda: [head.encode()]).run()
    entry.check()


@pytest.mark.parametrize("path", ["/v1/requests", "/v1/jobs"])
def test_json_items(entry: ObservedEntry, path: str) -> None:
    """Guards against objects for each item of a body before their number is checked."""
    start, item, end = b'{"customer":"parish","name":"sweep","labels":[', b'"a"', b"]}"
    room = MAX_BODY_BYTES - len(start) - len(end)
    body = start + b",".join([item] * (room // (len(item) + 1))) + end
    head = f"POST {path} HTTP/1.1\r\nHost: entry\r\nContent-Length: {len(body)}\r\n\r\n"
    Crowd(port=entry.port, count=20, pieces=lambda: [head.encode() + body] * 3).run()
    entry.check()
