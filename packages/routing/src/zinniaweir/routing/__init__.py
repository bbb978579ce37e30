"""Routing of requests to upstreams: load balancing, slots, retries, hedging and ejection."""

from __future__ import annotations

from zinniaweir.routing.policy import RoutingPolicy
from zinniaweir.routing.request import RoutedRequest, RouteResult
from zinniaweir.routing.router import Router
from zinniaweir.routing.table import Upstream
from zinniaweir.routing.transport import SendError, Transport

__all__ = [
    "RouteResult",
    "RoutedRequest",
    "Router",
    "RoutingPolicy",
    "SendError",
    "Transport",
    "Upstream",
]
