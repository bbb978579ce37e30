"""What the router needs of a transport."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from zinniaweir.routing.table import Upstream
    from zinniaweir.wire.upstream_service import UpstreamReply, UpstreamRequest


class SendError(Exception):
    """A try got no answer."""

    def __init__(self, *, reason: str, is_unsent: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        """One of `unreachable`, `timeout`, `broken` or `rejected`."""
        self.is_unsent = is_unsent
        """Whether it is proved that no byte of the request reached the upstream."""


class Transport(Protocol):
    """Carries tries to upstreams."""

    async def send(
        self, upstream: Upstream, request: UpstreamRequest, timeout: float
    ) -> UpstreamReply:
        """Return the answer of an upstream.

        Args:
            upstream: Where to send the request.
            request: The request, whose id is unique for each try.
            timeout: Deadline in seconds.

        Raises:
            SendError: If no answer came within the deadline.
        """
        ...

    def retire(self, upstream: Upstream) -> None:
        """Use the present connections to an upstream for no new try, and close them once idle."""
        return
