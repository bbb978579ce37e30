"""A small HTTP/1.1 server and client for stand-ins, with the standard library alone."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True, kw_only=True)
class Request:
    """A request as a stand-in receives it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True)
class Reply:
    """An answer; `RESET` instead of one resets the connection, `SILENT` never answers."""

    status: int
    body: bytes = b"{}"
    headers: dict[str, str] = field(default_factory=dict)


RESET = Reply(status=0)
SILENT = Reply(status=-1)

Handler = Callable[[Request], Awaitable[Reply]]


def json_reply(status: int, content: Any) -> Reply:
    """Return an answer with a JSON body."""
    return Reply(status=status, body=json.dumps(content, separators=(",", ":")).encode())


class Server:
    """Serve requests on one loopback port; it can be closed and opened again.

    Args:
        handler: Returns the answer to a request.
        port: Port on the loopback address.
    """

    def __init__(self, *, handler: Handler, port: int) -> None:
        self._handler = handler
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, limit=MAX_HEAD_BYTES, backlog=1024
        )

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                reply = await self._handler(request)
                if reply is RESET:
                    writer.transport.abort()
                    return
                if reply is SILENT:
                    await asyncio.sleep(3600)
                writer.write(_encode_reply(reply))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # Only the end of the case cancels it, and asyncio would print the cancellation.
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


def _encode_reply(reply: Reply) -> bytes:
    lines = [f"HTTP/1.1 {reply.status} X", "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    lines += [f"Content-Length: {len(reply.body)}", "", ""]
    return "\r\n".join(lines).encode() + reply.body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    path, _, text = target.partition("?")
    query = {}
    for pair in text.split("&") if text else ():
        name, _, value = pair.partition("=")
        query[name] = value.replace("%2F", "/").replace("%2f", "/")
    return Request(method=method, path=path, query=query, headers=headers, body=body)


async def call(
    port: int,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    seconds: float = 3.0,
) -> tuple[int | None, bytes]:
    """Send one request on a connection of its own.

    Returns:
        Status and body; a status of None if there was no complete answer in time.
    """
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {path} HTTP/1.1"]
            named = {"Host": f"127.0.0.1:{port}", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in named.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.strip().lower() == "content-length":
                    length = int(value)
            return status, await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None, b""
    finally:
        if writer is not None:
            writer.transport.abort()
