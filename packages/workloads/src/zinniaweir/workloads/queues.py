"""Queues, customers and the other settings that operators keep on the platform."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What a queue promises for its jobs; a job keeps the terms of its acceptance."""

    name: str
    service: str
    """Group of workers that run the queue's tasks."""
    priority: int = 0
    """0 comes first and may preempt others."""
    max_attempts: int = 1
    slack_factor: float = 1.0
    """The completion objective as a multiple of the job's longest chain of work."""
    target_seconds: float = 0.0
    """Added to the completion objective."""


@dataclass(frozen=True, kw_only=True)
class Route:
    """Where callers reach a queue."""

    host: str
    prefix: str
    terms: QueueTerms
    anonymous: bool = False
    """Whether callers need no key."""
    requires_advice: bool = False
    """Whether the queue's tasks need tickets of advice."""


@dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer with its keys and its guarantee."""

    name: str
    api_keys: frozenset[str]
    guaranteed_accelerators: int = 0
    """Accelerators for the customer's jobs of priority 0, at all times."""


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds on what callers send."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operators' settings."""

    version: int
    routes: tuple[Route, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: Limits = field(default_factory=Limits)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, None if there is none."""
        matches = (r for r in self.routes if r.host == host and path.startswith(r.prefix))
        return max(matches, key=lambda r: len(r.prefix), default=None)

    def customer_for_key(self, key: str) -> Customer | None:
        """Return whose key this is, None if it is nobody's."""
        return next((c for c in self.customers if key in c.api_keys), None)

    def terms(self, queue: str) -> QueueTerms | None:
        """Return the present terms of a queue, None if it was removed."""
        return next((r.terms for r in self.routes if r.terms.name == queue), None)
