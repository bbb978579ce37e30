"""A request to be routed and its result."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Literal

PRIORITIES: Final = ("urgent", "normal", "batch")
"""Highest first."""


@dataclass(frozen=True, kw_only=True)
class RoutedRequest:
    """One request of a caller, with its names already resolved."""

    customer: str
    name: str
    """Name of the job, by which services are chosen."""
    deadline_seconds: float
    """Time left until the caller's deadline."""
    priority: str = "normal"
    """One of `urgent`, `normal` or `batch`."""
    idempotent: bool = False
    key: str = ""
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class RouteResult:
    """What became of a request."""

    state: Literal["done", "failed", "not_run", "unknown"]
    """`not_run` only if it is proved that no upstream ran the request."""
    reason: str = ""
    body: bytes = b""
    upstream: str = ""
    """Upstream that answered."""
    attempts: int = 0
    """How often the request was handed to the transport, hedges included."""
