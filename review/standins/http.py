"""A small HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl


@dataclass(frozen=True, kw_only=True)
class Request:
    """A complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Reply:
    """A reply, or the answer to a call."""

    status: int
    body: bytes = b"{}"
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def content(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


Handler = Callable[[Request], Awaitable[Reply | None]]


class Server:
    """Serve requests with a handler; a handler that returns None leaves a call without an answer.

    Args:
        handler: Returns the reply to a request.
    """

    def __init__(self, *, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=256)

    def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                reply = await self._handler(request)
                if reply is None:
                    # The rest of the connection is silent too.
                    await asyncio.Event().wait()
                    return
                head = f"HTTP/1.1 {reply.status} x\r\nContent-Length: {len(reply.body)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + reply.body)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, headers = _parse_head(head)
    method, target, _ = first.split(" ", 2)
    path, _, query = target.partition("?")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(
        method=method, path=path, query=dict(parse_qsl(query)), headers=headers, body=body
    )


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def call(
    address: str,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_seconds: float,
) -> Reply | None:
    """Send a call on a connection of its own; None if no complete answer arrived."""
    host, _, port = address.rpartition(":")
    fields = {"Host": address, "Content-Length": str(len(body)), **(headers or {})}
    head = f"{method} {target} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            first, found = _parse_head(await reader.readuntil(b"\r\n\r\n"))
            content = await reader.readexactly(int(found.get("content-length", "0")))
            return Reply(status=int(first.split(" ")[1]), body=content, headers=found)
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                writer.transport.abort()
