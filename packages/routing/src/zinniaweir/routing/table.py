"""Services and upstreams of a settings tree."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

DEFAULT_SLOTS: Final = 8
DEFAULT_CONNECTIONS: Final = 60


@dataclass(frozen=True, kw_only=True)
class Upstream:
    """One upstream and its address."""

    service: str
    name: str
    host: str = "127.0.0.1"
    port: int = 0
    failure_domain: str = ""


@dataclass(frozen=True, kw_only=True)
class ServiceEntry:
    """One routed service."""

    name: str
    order: int
    """Services with a lower order get a request first, equal ones by name."""
    slots: int = DEFAULT_SLOTS
    """Number of attempts that one upstream runs concurrently."""
    connections: int = DEFAULT_CONNECTIONS
    """Number of connections that one upstream accepts from all entry processes."""
    crossing_cost: float = 0.0
    """Cost in seconds of sending a request to another failure domain."""
    upstreams: tuple[Upstream, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ServiceTable:
    """All services in the order in which requests try them."""

    services: tuple[ServiceEntry, ...] = ()
    services_for_jobs: Mapping[str, frozenset[str]] = field(default_factory=dict)
    """Services that may run a job, by job name; a job that is not listed may run on all."""
    failure_domains_out: frozenset[str] = frozenset()
    """Failure domains that operators took out of service."""

    def services_for(self, job: str) -> tuple[str, ...]:
        """Return the names of the services that may run a job, in the order to try them."""
        allowed = self.services_for_jobs.get(job)
        return tuple(
            service.name for service in self.services if allowed is None or service.name in allowed
        )


def service_table(settings: Mapping[str, Any]) -> ServiceTable:
    """Return the service table of a settings tree.

    Args:
        settings: The complete tree, of which `services`, `policy/services_for_jobs` and
            `topology/failure_domains` are used.
    """
    services = [_service(name, entry) for name, entry in (settings.get("services") or {}).items()]
    jobs = (settings.get("policy") or {}).get("services_for_jobs") or {}
    domains = (settings.get("topology") or {}).get("failure_domains") or {}
    return ServiceTable(
        services=tuple(sorted(services, key=lambda service: (service.order, service.name))),
        services_for_jobs={job: frozenset(names) for job, names in jobs.items()},
        failure_domains_out=frozenset(
            name for name, domain in domains.items() if (domain or {}).get("state") == "out"
        ),
    )


def _service(name: str, entry: Mapping[str, Any]) -> ServiceEntry:
    return ServiceEntry(
        name=name,
        order=entry.get("order", 1),
        slots=entry.get("slots", DEFAULT_SLOTS),
        connections=entry.get("connections", DEFAULT_CONNECTIONS),
        crossing_cost=entry.get("crossing_cost_ms", 0) / 1000,
        upstreams=tuple(
            Upstream(
                service=name,
                name=upstream,
                host=address["host"],
                port=address["port"],
                failure_domain=address.get("failure_domain", ""),
            )
            for upstream, address in (entry.get("upstreams") or {}).items()
        ),
    )
