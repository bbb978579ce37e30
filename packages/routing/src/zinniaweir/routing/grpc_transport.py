"""Transport over gRPC."""

from __future__ import annotations

from typing import TYPE_CHECKING

from zinniaweir.routing.transport import SendError
from zinniaweir.wire.service import RemoteError, ServiceClient
from zinniaweir.wire.upstream_service import UPSTREAM_SERVICE

if TYPE_CHECKING:
    from zinniaweir.routing.table import Upstream
    from zinniaweir.wire.upstream_service import UpstreamReply, UpstreamRequest


class GrpcTransport:
    """Send attempts over one multiplexed connection for each upstream.

    One connection serves all slots of an upstream, so that seven entry processes use only seven of
    the connections that it accepts.
    """

    def __init__(self) -> None:
        self._connections: dict[Upstream, _Connection] = {}

    async def send(
        self, upstream: Upstream, request: UpstreamRequest, timeout: float
    ) -> UpstreamReply:
        """Send a request and return the answer of the upstream, see `Transport.send`."""
        connection = self._connections.get(upstream)
        if connection is None:
            connection = self._connections[upstream] = _Connection(upstream)
        return await connection.send(request, timeout)

    def retire(self, upstream: Upstream) -> None:
        """Close the open connection once it is idle; the next attempt opens a new one."""
        connection = self._connections.pop(upstream, None)
        if connection is not None:
            connection.retire()

    def close(self) -> None:
        """Close all connections; attempts in flight on them fail."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()


class _Connection:
    """Connection that closes when it is retired and idle."""

    def __init__(self, upstream: Upstream) -> None:
        self._client = ServiceClient(
            service=UPSTREAM_SERVICE, host=upstream.host, port=upstream.port
        )
        self._in_flight = 0
        self._retired = False

    async def send(self, request: UpstreamRequest, timeout: float) -> UpstreamReply:
        self._in_flight += 1
        try:
            return await self._client.call("Handle", request, timeout=timeout)
        except RemoteError as error:
            raise SendError(reason=error.reason, is_unsent=error.is_unsent) from error
        finally:
            self._in_flight -= 1
            self._close_if_idle()

    def retire(self) -> None:
        self._retired = True
        self._close_if_idle()

    def close(self) -> None:
        self._client.close()

    def _close_if_idle(self) -> None:
        if self._retired and self._in_flight == 0:
            self._client.close()
