"""Queues, customers and the other settings that operators store on the platform."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from zinniaweir.workloads.shares import within_limits


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Terms of a queue; a job keeps the terms under which it was accepted."""

    name: str
    service: str
    """Group of workers that run the queue's tasks."""
    priority: int = 0
    """0 is the most urgent and may preempt others."""
    max_attempts: int = 1
    """Number of failures of one task or gang after which its job fails."""
    slack_factor: float = 1.0
    """The completion objective as a multiple of the duration of the job's critical path."""
    target_seconds: float = 0.0
    """Seconds that are added to the completion objective."""


@dataclass(frozen=True, kw_only=True)
class Route:
    """Host and path prefix under which callers reach a queue."""

    host: str
    prefix: str
    terms: QueueTerms
    anonymous: bool = False
    """Whether callers need no API key."""
    requires_advice: bool = False
    """Whether the queue's tasks need advice tickets, which are not supported."""


@dataclass(frozen=True, kw_only=True)
class ResourceLimit:
    """Limit of the resources that are in use at a time; 0 is no limit."""

    cpu_millis: int = 0
    """Thousandths of a core."""
    memory_mb: int = 0
    accelerators: int = 0

    @property
    def is_set(self) -> bool:
        """Whether any resource is limited."""
        return bool(self.cpu_millis or self.memory_mb or self.accelerators)

    @property
    def limits(self) -> tuple[int | None, int | None, int | None]:
        """Limits of processors, memory and accelerators, None for no limit."""
        return self.cpu_millis or None, self.memory_mb or None, self.accelerators or None

    def admits(self, *, cpu_millis: int, memory_mb: int, accelerators: int) -> bool:
        """Return whether resources are within the limit."""
        return within_limits((cpu_millis, memory_mb, accelerators), self.limits)


@dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer with its API keys, its guarantee and its limits."""

    name: str
    api_keys: frozenset[str]
    guaranteed_accelerators: int = 0
    """Accelerators that are guaranteed at all times to the customer's jobs of priority 0."""
    weight: float | None = None
    """Share of the workers in relation to other customers when all are busy, None if not stated."""
    quota: ResourceLimit = field(default_factory=ResourceLimit)
    """What the customer's tasks may use at a time on all workers together."""


@dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on callers' requests."""

    header_bytes: int = 16_384
    """Maximum size of a request's header."""
    body_bytes: int = 262_144
    """Maximum size of a request's body."""
    header_seconds: float = 3.0
    """How long a request that has begun may pause."""
    idle_seconds: float = 15.0
    """How long a connection may stay open without a request."""


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operators' settings."""

    version: int
    routes: tuple[Route, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: Limits = field(default_factory=Limits)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None if none matches."""
        matches = (r for r in self.routes if r.host == host and path.startswith(r.prefix))
        return max(matches, key=lambda r: len(r.prefix), default=None)

    def customer_for_key(self, key: str) -> Customer | None:
        """Return the customer with an API key, or None if the key is unknown."""
        return next((c for c in self.customers if key in c.api_keys), None)

    def terms(self, queue: str) -> QueueTerms | None:
        """Return the current terms of a queue, or None if it was removed."""
        return next((r.terms for r in self.routes if r.terms.name == queue), None)
