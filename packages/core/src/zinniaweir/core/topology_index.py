"""Index of a topology: racks, failure domains and regions as lists of node indexes."""

from __future__ import annotations

from zinniaweir.core.shape import Amounts
from zinniaweir.core.topology import Topology


class TopologyIndex:
    """Numbers the workers of a topology, and groups them by rack, failure domain and region."""

    def __init__(self, topology: Topology) -> None:
        self.workers = tuple(sorted(topology.workers, key=lambda w: (w.failure_domain, w.rack)))
        self.capacity: Amounts = (
            sum(worker.cores for worker in self.workers),
            sum(worker.memory_bytes for worker in self.workers),
            sum(worker.accelerators for worker in self.workers),
        )
        self.domain_names = _names(w.failure_domain for w in self.workers)
        rack_keys = _names((w.failure_domain, w.rack) for w in self.workers)
        region_names = _names(w.region for w in self.workers)
        self.node_by_name = {w.name: i for i, w in enumerate(self.workers)}
        self.domain_by_name = {name: i for i, name in enumerate(self.domain_names)}
        racks = {key: i for i, key in enumerate(rack_keys)}
        regions = {name: i for i, name in enumerate(region_names)}
        self.node_domains = [self.domain_by_name[w.failure_domain] for w in self.workers]
        self.node_racks = [racks[w.failure_domain, w.rack] for w in self.workers]
        self.rack_nodes: list[list[int]] = [[] for _ in rack_keys]
        self.rack_domains = [self.domain_by_name[domain] for domain, _ in rack_keys]
        self.domain_nodes: list[list[int]] = [[] for _ in self.domain_names]
        self.region_domains: list[list[int]] = [[] for _ in region_names]
        for node, worker in enumerate(self.workers):
            self.rack_nodes[self.node_racks[node]].append(node)
            self.domain_nodes[self.node_domains[node]].append(node)
            domains = self.region_domains[regions[worker.region]]
            if self.node_domains[node] not in domains:
                domains.append(self.node_domains[node])
        self.domain_racks: list[list[int]] = [[] for _ in self.domain_names]
        for rack, domain in enumerate(self.rack_domains):
            self.domain_racks[domain].append(rack)


def _names(values: object) -> list:
    return list(dict.fromkeys(values))
