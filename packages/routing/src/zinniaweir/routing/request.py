"""Requests to be routed and their results."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Literal

PRIORITIES: Final = ("urgent", "normal", "batch")
"""All priorities, highest first."""


@dataclass(frozen=True, kw_only=True)
class RoutedRequest:
    """Request of a caller with resolved names."""

    customer: str
    name: str
    """Name of the job, which determines the services that may run it."""
    deadline_seconds: float
    """Time in seconds left until the caller's deadline."""
    priority: str = "normal"
    """One of `urgent`, `normal` or `batch`."""
    idempotent: bool = False
    """Whether the request may run more than once, so that it is retried and hedged."""
    key: str = ""
    """Idempotency key, which upstreams get with every attempt."""
    body: bytes = b""
    """Passed to the upstream unchanged."""


@dataclass(frozen=True, kw_only=True)
class RouteResult:
    """Result of a request."""

    state: Literal["done", "failed", "not_run", "unknown"]
    """Final state; `not_run` only if provably no upstream ran the request."""
    reason: str = ""
    """Why the state is not `done`, such as `deadline` or `timeout`."""
    body: bytes = b""
    upstream: str = ""
    """Name of the upstream that answered `done` or `failed`."""
    attempts: int = 0
    """Number of attempts, hedges included."""
