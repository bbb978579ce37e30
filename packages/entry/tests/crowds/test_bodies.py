"""Crowds that send bodies of legal size and hold back their ends, or bodies over the limit."""

from __future__ import annotations

import pytest

from zinniaweir.entry.http_reader import MAX_BODY_BYTES
from zinniaweir_testkit.crowd import Crowd, in_chunks, in_pieces

from .entry_process import ObservedEntry

pytestmark = [pytest.mark.xdist_group("crowds"), pytest.mark.timeout(120)]

CLIENTS = 150
HELD_BACK_BYTES = 1_024
PIECE_BYTES = 16_384
SENT = b"x" * (MAX_BODY_BYTES - HELD_BACK_BYTES)
KNOWN_LENGTH = f"Content-Length: {MAX_BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"
HELD_BACK = {
    "one_piece": (KNOWN_LENGTH, [SENT]),
    "small_pieces": (KNOWN_LENGTH, in_pieces(SENT, PIECE_BYTES)),
    "chunks": (CHUNKED, in_chunks(SENT, PIECE_BYTES)),
}
OVER_THE_LIMIT = {
    "known_length": (f"Content-Length: {1_000 * MAX_BODY_BYTES}", [SENT] * 5),
    "chunks": (CHUNKED, in_chunks(SENT, len(SENT)) * 5),
}


def begin(path: str, framing: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: entry\r\n{framing}\r\n\r\n".encode()


@pytest.mark.parametrize("shape", HELD_BACK)
@pytest.mark.parametrize("path", ["/v1/requests", "/no/such/route", "/healthz"])
def test_bodies_held_back(entry: ObservedEntry, path: str, shape: str) -> None:
    """Guards against a process that holds as many unfinished bodies as there are callers."""
    framing, pieces = HELD_BACK[shape]
    Crowd(port=entry.port, count=CLIENTS, pieces=lambda: [begin(path, framing), *pieces]).run()
    entry.check()


@pytest.mark.parametrize("shape", OVER_THE_LIMIT)
def test_bodies_over_the_limit(entry: ObservedEntry, shape: str) -> None:
    """Guards against a process that takes in a body which it refuses in any case."""
    framing, pieces = OVER_THE_LIMIT[shape]
    first = begin("/v1/requests", framing)
    Crowd(port=entry.port, count=CLIENTS, pieces=lambda: [first, *pieces]).run()
    entry.check()
