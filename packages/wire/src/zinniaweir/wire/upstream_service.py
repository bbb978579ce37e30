"""Messages and service of upstreams."""

from __future__ import annotations

import msgspec

from zinniaweir.wire.service import Method, Service


class UpstreamRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a caller's request."""

    request_id: str
    """Unique for each attempt."""
    customer: str
    name: str
    """Name of the job."""
    key: str = ""
    """Idempotency key of the caller, or empty."""
    body: bytes = b""
    deadline_seconds: float = 0.0
    """Time that is left until the caller's deadline."""


class UpstreamReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply of an upstream to one attempt."""

    request_id: str
    state: str
    """One of `done`, `failed`, `not_mine`, `busy` or `leaving`.

    The last three prove that the request did not run.
    """
    body: bytes = b""
    body_length: int = 0
    """Length of the body in bytes as sent, to detect a body that was cut off."""
    reason: str = ""


UPSTREAM_SERVICE = Service(
    name="Upstream",
    methods=(Method(name="Handle", request=UpstreamRequest, reply=UpstreamReply),),
)
