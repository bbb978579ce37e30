"""Crowds that send many requests on one connection without waiting for the answers."""

from __future__ import annotations

import pytest

from zinniaweir_testkit.crowd import Crowd

from .entry_process import ObservedEntry

pytestmark = [pytest.mark.xdist_group("crowds"), pytest.mark.timeout(120)]

CLIENTS = 60
REQUESTS = 20_000


@pytest.mark.parametrize("reads", [False, True], ids=["unread", "read"])
@pytest.mark.parametrize("path", ["/v1/jobs", "/no/such/route", "/healthz", "/metrics"])
def test_requests_sent_ahead(entry: ObservedEntry, path: str, reads: bool) -> None:
    """Guards against a process that keeps what one client sent ahead, or serves only that."""
    requests = f"GET {path} HTTP/1.1\r\nHost: entry\r\n\r\n".encode() * REQUESTS
    crowd = Crowd(port=entry.port, count=CLIENTS, pieces=lambda: [requests], reads=reads)
    with crowd.present():
        entry.check()
