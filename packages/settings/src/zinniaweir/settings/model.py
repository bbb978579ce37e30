"""The typed settings tree."""

from __future__ import annotations

from typing import Annotated, Final, Literal, TypeAlias

import msgspec
from msgspec import Meta

NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9._-]{0,62}\Z"
"""Names are segments of URL and settings paths; these characters need no quoting in either."""

Name: TypeAlias = Annotated[str, Meta(pattern=NAME_PATTERN)]
Alias: TypeAlias = Annotated[str, Meta(min_length=1, max_length=64)]
Host: TypeAlias = Annotated[str, Meta(min_length=2, max_length=45)]
Port: TypeAlias = Annotated[int, Meta(ge=1, le=65_535)]
Priority: TypeAlias = Literal["urgent", "normal", "batch"]
Spread: TypeAlias = Literal["worker", "rack", "failure_domain", "region"]

PRIORITIES: Final[tuple[Priority, ...]] = ("urgent", "normal", "batch")


class _Node(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all mappings in the tree; dictionaries in it are shared and never modified."""


class FailureDomain(_Node, frozen=True, kw_only=True):
    """A failure domain."""

    region: Name
    state: Literal["in", "out"] = "in"
    """`out` while the failure domain is drained."""


class Rack(_Node, frozen=True, kw_only=True):
    """A rack of workers."""

    failure_domain: Name


class Worker(_Node, frozen=True, kw_only=True):
    """A worker with its address and capacity."""

    rack: Name
    host: Host
    """IP address."""
    port: Port
    cores: Annotated[int, Meta(ge=1, le=4_096)]
    memory_gb: Annotated[float, Meta(gt=0, le=65_536)]
    """Memory in gigabytes."""
    accelerators: Annotated[int, Meta(ge=0, le=64)] = 0


class Topology(_Node, frozen=True, kw_only=True):
    """Failure domains, racks and workers."""

    failure_domains: dict[Name, FailureDomain] = {}
    racks: dict[Name, Rack] = {}
    workers: dict[Name, Worker] = {}


class Upstream(_Node, frozen=True, kw_only=True):
    """An upstream of a service."""

    host: Host
    """IP address."""
    port: Port
    failure_domain: Name


class Service(_Node, frozen=True, kw_only=True):
    """A routed service; services are tried in ascending `order`, then by name."""

    order: Annotated[int, Meta(ge=0, le=1_000)] = 1
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 8
    """Requests that each upstream serves at a time."""
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 60
    """Connections that each upstream accepts from all entry processes; limits its `slots`."""
    crossing_cost_ms: Annotated[float, Meta(ge=0, le=10_000)] = 0.0
    """Cost in milliseconds of sending a request to another failure domain."""
    upstreams: dict[Name, Upstream] = {}


class JobName(_Node, frozen=True, kw_only=True):
    """A known job name of a customer."""

    aliases: tuple[Alias, ...] = ()


class Guarantee(_Node, frozen=True, kw_only=True):
    """A gang shape of which `count` can be reclaimed for a customer at the same time."""

    members: Annotated[int, Meta(ge=1, le=1_024)]
    """Members of the gang."""
    accelerators: Annotated[int, Meta(ge=0, le=64)]
    """Adjacent accelerators of each member."""
    cores: Annotated[int, Meta(ge=0, le=4_096)] = 1
    """Cores of each member."""
    memory_gb: Annotated[float, Meta(ge=0, le=65_536)] = 0.0
    """Memory of each member in gigabytes."""
    spread: Spread = "failure_domain"
    """Part of the topology within which all members are placed."""
    count: Annotated[int, Meta(ge=1, le=10_000)] = 1
    """Number of such gangs."""
    failure_domain: Name | None = None
    """Failure domain in which the guarantee holds; null means any."""


class Limits(_Node, frozen=True, kw_only=True):
    """Rate and queue limits of a customer; null means no limit."""

    requests_per_second: Annotated[float, Meta(gt=0, le=1_000_000)] | None = None
    burst: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None
    """Requests that may arrive in a burst."""
    queued_requests: Annotated[int, Meta(ge=0, le=1_000_000)] | None = None
    """Requests that may wait at a time."""
    queued_jobs: Annotated[int, Meta(ge=0, le=1_000_000)] | None = None
    """Jobs that may be queued at a time."""


class Quota(_Node, frozen=True, kw_only=True):
    """Maximum that a customer may use at a time; null means no quota."""

    accelerators: Annotated[int, Meta(ge=0, le=1_000_000)] | None = None
    cores: Annotated[int, Meta(ge=0, le=100_000_000)] | None = None
    memory_gb: Annotated[float, Meta(ge=0, le=1_000_000_000)] | None = None
    """Memory in gigabytes."""
    running_jobs: Annotated[int, Meta(ge=0, le=1_000_000)] | None = None


class Customer(_Node, frozen=True, kw_only=True):
    """A customer with its names, guarantees and limits."""

    aliases: tuple[Alias, ...] = ()
    name_correction: bool = False
    """Whether misspelled names are corrected by spelling distance."""
    jobs: dict[Name, JobName] = {}
    """Known job names; if empty, every name is allowed."""
    guarantees: tuple[Guarantee, ...] = ()
    limits: Limits = Limits()
    quota: Quota = Quota()
    weight: Annotated[float, Meta(gt=0, le=1_000_000)] | None = None
    """Share in relation to other customers while capacity is short; null means not stated."""
    priorities: tuple[Priority, ...] = PRIORITIES
    """Priorities that the customer may use."""


class ReclaimSeconds(_Node, frozen=True, kw_only=True):
    """Seconds within which borrowed capacity is reclaimed, by priority of the reclaiming work."""

    urgent: Annotated[float, Meta(gt=0, le=5)] = 4.0
    normal: Annotated[float, Meta(gt=0, le=3_600)] = 10.0
    batch: Annotated[float, Meta(gt=0, le=3_600)] = 60.0


class Leases(_Node, frozen=True, kw_only=True):
    """Durations of the leases that workers get, in seconds."""

    first_seconds: Annotated[float, Meta(ge=0.1, le=60)] = 5.0
    """Lease of a new start; limits how long a member runs if its gang does not become complete."""
    lease_seconds: Annotated[float, Meta(ge=0.1, le=3_600)] = 20.0
    """Lease that each renewal grants."""
    renew_seconds: Annotated[float, Meta(ge=0.1, le=3_600)] = 5.0
    """Interval between renewals."""
    reserve_seconds: Annotated[float, Meta(ge=0.1, le=60)] = 5.0
    """How long a worker holds a reservation."""


class Policy(_Node, frozen=True, kw_only=True):
    """Scheduling rules that apply to all customers."""

    reclaim_seconds: ReclaimSeconds = ReclaimSeconds()
    return_starts_per_second: Annotated[float, Meta(gt=0, le=10_000)] = 2.0
    """Maximum gang starts per second in each failure domain during the ramp after its return."""
    max_start_freshness_seconds: Annotated[float, Meta(ge=0.1, le=2)] = 2.0
    """Maximum age of the view of the log for starts; above 2 s the bound on drains would not hold.
    """
    leases: Leases = Leases()
    ledger_ttl_hours: Annotated[float, Meta(gt=0, le=8_760)] = 24.0
    """How long the ledger keeps a key, in hours."""
    services_for_jobs: dict[Name, tuple[Name, ...]] = {}
    """Services that may serve each job name; a name that is not listed may go to any service."""


class Settings(_Node, frozen=True, kw_only=True):
    """The whole settings tree."""

    topology: Topology = Topology()
    services: dict[Name, Service] = {}
    customers: dict[Name, Customer] = {}
    policy: Policy = Policy()
