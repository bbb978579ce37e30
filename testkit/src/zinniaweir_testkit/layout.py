"""Description of a test cluster: failure domains, workers, upstreams, customers and ports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

from zinniaweir_testkit.ports import free_ports

HOST: Final = "127.0.0.1"
DEFAULT_DOMAINS: Final = ("diliman", "los-banos", "baguio")
ACONCAGUA_DOMAINS: Final = ("north", "centre", "south")


@dataclass(frozen=True, kw_only=True)
class VmPorts:
    """Name, failure domain and ports of a system VM."""

    name: str
    failure_domain: str
    http: int
    grpc: int
    """TCP port of gRPC and UDP port of heartbeats."""


@dataclass(frozen=True, kw_only=True)
class Node:
    """A worker or upstream with its port."""

    name: str
    failure_domain: str
    port: int
    rack: str = ""
    """Rack of a worker; empty for an upstream."""
    service: str = ""
    """Service of an upstream; empty for a worker."""


@dataclass(frozen=True, kw_only=True)
class Layout:
    """Processes, ports and settings of a test cluster."""

    region: str
    """Region of the failure domains that `regions` does not name."""
    domains: tuple[str, ...]
    """Names of the failure domains."""
    vms: tuple[VmPorts, ...]
    workers: tuple[Node, ...]
    upstreams: tuple[Node, ...]
    log_port: int
    vmlist_port: int
    customers: dict[str, Any]
    """Settings of customers by name."""
    policy: dict[str, Any] = field(default_factory=dict)
    """Policy settings."""
    slots: int = 8
    """Number of slots of each upstream."""
    regions: dict[str, str] = field(default_factory=dict)
    """Region by failure domain, for the domains outside `region`."""

    def region_of(self, domain: str) -> str:
        """Return the region of a failure domain."""
        return self.regions.get(domain, self.region)

    def settings(self) -> dict[str, Any]:
        """Return the whole settings tree."""
        racks = {node.rack: {"failure_domain": node.failure_domain} for node in self.workers}
        return {
            "topology": {
                "failure_domains": {
                    name: {"region": self.region_of(name), "state": "in"} for name in self.domains
                },
                "racks": racks,
                "workers": {node.name: _worker(node) for node in self.workers},
            },
            "services": self._services(),
            "customers": self.customers,
            "policy": self.policy,
        }

    def _services(self) -> dict[str, Any]:
        services: dict[str, Any] = {}
        for node in self.upstreams:
            service = services.setdefault(
                node.service,
                {
                    "order": len(services) + 1,
                    "slots": self.slots,
                    "connections": 60,
                    "crossing_cost_ms": 8,
                    "upstreams": {},
                },
            )
            service["upstreams"][node.name] = {
                "host": HOST,
                "port": node.port,
                "failure_domain": node.failure_domain,
            }
        return services


def make_layout(
    *,
    vms: int = 3,
    workers_per_domain: int = 2,
    upstreams_per_domain: int = 1,
    domains: tuple[str, ...] = DEFAULT_DOMAINS,
    region: str = "luzon",
    services: tuple[str, ...] = ("rendering",),
    customers: dict[str, Any] | None = None,
    policy: dict[str, Any] | None = None,
    rack_size: int = 8,
    regions: dict[str, str] | None = None,
) -> Layout:
    """Return a layout on free ports, with VMs and nodes spread over the failure domains.

    Args:
        vms: Number of VMs.
        workers_per_domain: Number of workers in each failure domain.
        upstreams_per_domain: Number of upstreams of each service in each failure domain.
        domains: Names of the failure domains.
        region: Region of the failure domains that `regions` does not name.
        services: Names of the services.
        customers: Settings of customers by name; None for `default_customers()`.
        policy: Policy settings.
        rack_size: Largest number of workers in a rack.
        regions: Region by failure domain, for the domains outside `region`.
    """
    worker_count = workers_per_domain * len(domains)
    upstream_count = upstreams_per_domain * len(domains) * len(services)
    ports = iter(free_ports(vms * 2 + worker_count + upstream_count + 2))
    return Layout(
        region=region,
        domains=domains,
        vms=tuple(
            VmPorts(
                name=f"vm{number + 1}",
                failure_domain=domains[number % len(domains)],
                http=next(ports),
                grpc=next(ports),
            )
            for number in range(vms)
        ),
        workers=tuple(
            Node(
                name=f"{domain}-w{number + 1}",
                failure_domain=domain,
                port=next(ports),
                rack=f"{domain}-r{number // rack_size + 1}",
            )
            for domain in domains
            for number in range(workers_per_domain)
        ),
        upstreams=tuple(
            Node(
                name=f"{domain}-{service[:6]}{number + 1}",
                failure_domain=domain,
                port=next(ports),
                service=service,
            )
            for service in services
            for domain in domains
            for number in range(upstreams_per_domain)
        ),
        log_port=next(ports),
        vmlist_port=next(ports),
        customers=customers if customers is not None else default_customers(),
        policy=policy or {},
        regions=regions or {},
    )


def default_customers() -> dict[str, Any]:
    """Return settings of three customers: two with a guarantee, one without."""
    return {
        "parish": {
            "aliases": ["parrish"],
            "name_correction": True,
            "jobs": {"ray-trace": {"aliases": ["raytrace"]}, "gnomon-check": {}, "sweep": {}},
            "guarantees": [{"members": 2, "accelerators": 8, "spread": "rack"}],
        },
        "heritage": {
            "name_correction": True,
            "guarantees": [{"members": 1, "accelerators": 8}],
        },
        "catalogue": {"name_correction": False},
    }


def _worker(node: Node) -> dict[str, Any]:
    return {
        "rack": node.rack,
        "host": HOST,
        "port": node.port,
        "cores": 64,
        "memory_gb": 256,
        "accelerators": 8,
    }
