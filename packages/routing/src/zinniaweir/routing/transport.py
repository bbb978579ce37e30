"""Interface of the transports that the router uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from zinniaweir.routing.table import Upstream
    from zinniaweir.wire.upstream_service import UpstreamReply, UpstreamRequest


class SendError(Exception):
    """An attempt got no answer."""

    def __init__(self, *, reason: str, is_unsent: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        """One of `unreachable`, `timeout`, `broken` or `rejected`."""
        self.is_unsent = is_unsent
        """Whether provably no byte of the request reached the upstream."""


class Transport(Protocol):
    """Send attempts to upstreams."""

    async def send(
        self, upstream: Upstream, request: UpstreamRequest, timeout: float
    ) -> UpstreamReply:
        """Send a request and return the answer of the upstream.

        Args:
            upstream: Upstream to send the request to.
            request: The request, with an id that is unique for each attempt.
            timeout: Maximum wait for the answer in seconds.

        Raises:
            SendError: If no answer arrived in time.
        """
        ...

    def retire(self, upstream: Upstream) -> None:
        """Send no new attempts on the open connections to an upstream, and close them once idle."""
        return
