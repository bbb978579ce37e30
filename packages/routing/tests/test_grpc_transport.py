"""Tests of the router and the gRPC transport on real connections to stand-ins."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING

import pytest

from zinniaweir.routing import RoutedRequest, Router, SendError, Upstream
from zinniaweir.routing.grpc_transport import GrpcTransport
from zinniaweir.wire.service import ServiceHandler, make_server
from zinniaweir.wire.upstream_service import UPSTREAM_SERVICE, UpstreamReply, UpstreamRequest
from zinniaweir_standins.faults import FaultRequest
from zinniaweir_standins.upstream import UpstreamStandin

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@asynccontextmanager
async def serving(implementation: object) -> AsyncIterator[int]:
    handler = ServiceHandler(service=UPSTREAM_SERVICE, implementation=implementation)
    server = make_server([handler])
    with socket.create_server(("127.0.0.1", 0)) as listener:
        await server.start(sock=listener)
        try:
            yield listener.getsockname()[1]
        finally:
            server.close()
            await server.wait_closed()


def upstream(port: int, name: str = "u1") -> Upstream:
    return Upstream(service="rendering", name=name, port=port, failure_domain="diliman")


def settings_tree(**ports: int) -> dict:
    upstreams = {
        name: {"host": "127.0.0.1", "port": port, "failure_domain": "diliman"}
        for name, port in ports.items()
    }
    return {"services": {"rendering": {"order": 1, "slots": 2, "upstreams": upstreams}}}


def test_lost_answer_is_unknown_and_the_request_ran_once() -> None:
    """A request whose answer is lost must not run twice or be reported as not run.

    Here the answers are lost on real connections.
    """

    async def scenario() -> None:
        first = UpstreamStandin(name="u1", slots=2, work_seconds=0.01, seed=1)
        second = UpstreamStandin(name="u2", slots=2, work_seconds=0.01, seed=1)
        transport = GrpcTransport()
        router = Router(transport=transport, failure_domain="diliman")
        request = RoutedRequest(customer="parish", name="trace", key="k", deadline_seconds=2.0)
        async with serving(first) as port, serving(second) as other:
            router.update(settings_tree(u1=port, u2=other))
            first.faults.set(FaultRequest(lose_answers=1))
            second.faults.set(FaultRequest(settings={"leaving": True}))
            result = await router.send(request)
            assert (result.state, result.reason) == ("unknown", "rejected")
            assert first._runs["k"] + second._runs["k"] == 1
            result = await router.send(request)
            assert (result.state, result.body) == ("done", b"u1:")
            transport.close()

    asyncio.run(scenario())


def test_unreachable_upstream_is_skipped() -> None:
    """A non-idempotent request must not fail when a connection is refused.

    Nothing was sent, so another upstream can run it.
    """

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            dead = closed.getsockname()[1]
        standin = UpstreamStandin(name="u2", slots=2, work_seconds=0.01, seed=1)
        transport = GrpcTransport()
        router = Router(transport=transport, failure_domain="diliman", random=Random(1))
        async with serving(standin) as port:
            router.update(settings_tree(u1=dead, u2=port))
            for _ in range(20):
                request = RoutedRequest(customer="parish", name="trace", deadline_seconds=2.0)
                assert (await router.send(request)).upstream == "u2"
            transport.close()
        assert router.upstreams() == {"u1": "ejected", "u2": "in"}

    asyncio.run(scenario())


def test_retired_connection_finishes_its_attempts_and_then_closes() -> None:
    """A retired connection must not break its attempts, and must not stay open once it is idle.

    A settings change or a crossed answer retires a connection that other attempts still use.
    """

    class Slow:
        peers: set[object] = set()

        async def handle(self, request: UpstreamRequest) -> UpstreamReply:
            await asyncio.sleep(0.5)
            return UpstreamReply(request_id=request.request_id, state="done")

    async def scenario() -> None:
        transport = GrpcTransport()
        async with serving(Slow()) as port:
            target = upstream(port)

            async def send(number: int) -> UpstreamReply:
                request = UpstreamRequest(request_id=str(number), customer="a", name="b")
                return await transport.send(target, request, 2.0)

            first = [asyncio.create_task(send(number)) for number in range(3)]
            await asyncio.sleep(0.05)
            old = transport._connections[target]
            transport.retire(target)
            fourth = await send(4)
            assert [reply.request_id for reply in await asyncio.gather(*first)] == ["0", "1", "2"]
            assert fourth.request_id == "4"
            assert transport._connections[target] is not old
            assert old._client._channel._protocol is None
            transport.close()
            with pytest.raises(SendError) as raised:
                async with asyncio.timeout(5):
                    task = asyncio.create_task(send(5))
                    await asyncio.sleep(0.05)
                    transport.close()
                    await task
            assert not raised.value.is_unsent

    asyncio.run(scenario())
