"""Tests of calls that fail, and of what a failure proves about the request."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from grpclib.const import Cardinality, Handler

from zinniaweir.wire.service import RemoteError, ServiceClient, ServiceHandler, make_server
from zinniaweir.wire.upstream_service import UPSTREAM_SERVICE, UpstreamReply, UpstreamRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from grpclib.server import Stream

REQUEST = UpstreamRequest(request_id="1", customer="parish", name="ray-trace")


class Upstream:
    def __init__(self) -> None:
        self.runs = 0

    async def handle(self, request: UpstreamRequest) -> UpstreamReply:
        self.runs += 1
        return UpstreamReply(request_id=request.request_id, state="done")


def handler(upstream: Upstream) -> ServiceHandler:
    return ServiceHandler(service=UPSTREAM_SERVICE, implementation=upstream)


async def failure(port: int, timeout: float = 2.0) -> RemoteError:
    client = ServiceClient(service=UPSTREAM_SERVICE, host="127.0.0.1", port=port)
    try:
        with pytest.raises(RemoteError) as raised:
            await client.call("Handle", REQUEST, timeout=timeout)
    finally:
        client.close()
    return raised.value


@asynccontextmanager
async def proxy(
    port: int, relay_answers: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable]
) -> AsyncIterator[int]:
    """Forward requests to a port, and answers through a callable that may break them."""
    writers: list[asyncio.StreamWriter] = []

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        up_reader, up_writer = await asyncio.open_connection("127.0.0.1", port)
        writers.extend((writer, up_writer))

        async def forward() -> None:
            while data := await reader.read(4096):
                up_writer.write(data)
            up_writer.close()

        await asyncio.gather(forward(), relay_answers(up_reader, writer))

    server = await asyncio.start_server(connected, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        # Finalizers that run after the loop is closed fail in whatever test runs then.
        for writer in writers:
            writer.close()


@asynccontextmanager
async def serving(handler: object) -> AsyncIterator[int]:
    server = make_server([handler])
    with socket.create_server(("127.0.0.1", 0)) as listener:
        await server.start(sock=listener)
        try:
            yield listener.getsockname()[1]
        finally:
            server.close()
            await server.wait_closed()


def test_connection_that_is_never_made_is_unsent() -> None:
    """A refused connection must not count as a request that may have run."""

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        refused = await failure(port)
        assert (refused.reason, refused.is_unsent) == ("unreachable", True)

    asyncio.run(scenario())


def test_hanging_connection_is_unsent_and_given_up_early(monkeypatch) -> None:
    """A silent address must not use up the deadline of a call and leave its outcome unknown."""

    async def scenario() -> None:
        async def hang(*_: object, **__: object) -> None:
            await asyncio.sleep(60)

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", hang)
        started_at = asyncio.get_running_loop().time()
        error = await failure(1, timeout=30.0)
        assert (error.reason, error.is_unsent) == ("unreachable", True)
        assert asyncio.get_running_loop().time() - started_at < 5.0

    asyncio.run(scenario())


@pytest.mark.parametrize("ending", ["reset", "close", "cut", "garbage", "silent"])
def test_failure_after_the_request_is_written_is_never_unsent(ending: str) -> None:
    """A non-idempotent request must not be sent again after it ran.

    Every way to lose the answer must differ from a connection that was never made.
    """

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answer = b""
        while b"done" not in answer:
            data = await reader.read(4096)
            answer += data
            if b"done" not in data:
                writer.write(data)
        if ending == "reset":
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        elif ending == "cut":
            writer.write(data[: data.index(b"done")])
            writer.close()
        elif ending == "garbage":
            writer.write(b"\xff" * 64)
        elif ending == "close":
            writer.close()

    async def scenario() -> None:
        upstream = Upstream()
        async with serving(handler(upstream)) as port, proxy(port, relay) as middle:
            error = await failure(middle, timeout=1.0)
        assert upstream.runs == 1
        assert error.reason in ("broken", "timeout")
        assert not error.is_unsent

    asyncio.run(scenario())


def test_os_error_after_the_request_is_written_is_never_unsent(monkeypatch) -> None:
    """An OSError of a later step must not be taken for a failed connection."""

    async def scenario() -> None:
        upstream = Upstream()
        async with serving(handler(upstream)) as port:

            async def recv_message(*_: object) -> None:
                await asyncio.sleep(0.05)
                raise ConnectionResetError("connection reset by peer")

            monkeypatch.setattr("grpclib.client.Stream.recv_message", recv_message)
            error = await failure(port)
        assert upstream.runs == 1
        assert not error.is_unsent

    asyncio.run(scenario())


def test_message_shorter_than_its_header_says_is_broken() -> None:
    """An error of the gRPC library must not escape as another type than RemoteError."""

    class Truncated:
        async def handle(self, stream: Stream) -> None:
            await stream.recv_message()
            await stream.send_initial_metadata()
            await stream._stream.send_data(struct.pack(">?I", False, 100) + b"x")
            await stream.send_trailing_metadata()

        def __mapping__(self) -> dict[str, Handler]:
            method = UPSTREAM_SERVICE.methods[0]
            return {
                UPSTREAM_SERVICE.path(method): Handler(
                    self.handle, Cardinality.UNARY_UNARY, method.request, method.reply
                )
            }

    async def scenario() -> None:
        async with serving(Truncated()) as port:
            error = await failure(port)
        assert (error.reason, error.is_unsent) == ("broken", False)

    asyncio.run(scenario())
