"""Minimal HTTP client for malformed requests, which HTTP libraries refuse to send."""

from __future__ import annotations

import contextlib
import json
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import h11

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, kw_only=True)
class RawAnswer:
    """Status and body of a response."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def make_request(
    method: str, path: str, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()
) -> bytes:
    """Return the bytes of a well-formed request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: entry", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_chunked_request(method: str, path: str, chunks: Iterable[bytes]) -> bytes:
    """Return the bytes of a request with a chunked body."""
    head = f"{method} {path} HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n"
    parts = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks]
    return head.encode() + b"".join(parts) + b"0\r\n\r\n"


def send_and_receive(
    port: int, data: bytes, *, answers: int = 1, timeout: float = 10.0
) -> list[RawAnswer] | None:
    """Send bytes and return the answers, or None if the connection was closed before any.

    Args:
        port: Port of the entry process.
        data: Bytes to send.
        answers: Number of answers to wait for.
        timeout: Longest wait for the next bytes, in seconds.
    """
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as sock:
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
        return read_answers(sock, answers)


def read_answers(sock: socket.socket, count: int) -> list[RawAnswer] | None:
    """Return the next answers on a connection, or None if it was closed before any."""
    found: list[RawAnswer] = []
    rest = b""
    while len(found) < count:
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "entry")]))
        parser.send(h11.EndOfMessage())
        if rest:
            parser.receive_data(rest)
        answer = _read_one(sock, parser)
        if answer is None:
            break
        found.append(answer)
        rest = parser.trailing_data[0]
    return found or None


def _read_one(sock: socket.socket, parser: h11.Connection) -> RawAnswer | None:
    status, body = 0, b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            try:
                data = sock.recv(65_536)
            except ConnectionError:
                return None
            if not data:
                return None
            parser.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return RawAnswer(status=status, body=body)
