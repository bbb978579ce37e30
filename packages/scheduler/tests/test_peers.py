from __future__ import annotations

import asyncio
import time

from zinniaweir.membership.view import Membership
from zinniaweir.scheduler.peers import Peers
from zinniaweir.wire.peer_service import Heartbeat


def test_two_calls_that_fail_on_one_connection_return_nothing() -> None:
    """Guards against a scheduler process that ends when a peer dies during two calls to it.

    The second failure raised a KeyError, which ended the loop that relays the tail of the log.
    """
    membership = Membership(vm="vm1", incarnation="i")

    async def run() -> list[object]:
        server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
        heartbeat = Heartbeat(
            vm="vm2",
            incarnation="i",
            host="127.0.0.1",
            port=server.sockets[0].getsockname()[1],
            region="r",
            failure_domain="d",
            log_offset=0,
            fresh_age_seconds=0.0,
            log_reachable=True,
            draining=False,
        )
        membership.on_heartbeat(heartbeat, time.monotonic())
        peers = Peers(membership=membership)
        async with server:
            return await asyncio.gather(peers.tail(0), peers.explain("vm2", "j"))

    assert asyncio.run(run()) == [None, None]
