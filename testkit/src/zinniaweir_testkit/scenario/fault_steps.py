"""Steps that inject faults into links and stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from zinniaweir_testkit.relay import Link
    from zinniaweir_testkit.scenario.context import ScenarioContext
    from zinniaweir_testkit.scenario.parser import NodeRef, NodeSet


class FaultSteps:
    """Steps on faults of links between processes and of stand-ins."""

    def __init__(self, *, context: ScenarioContext) -> None:
        self._context = context

    def cut(self, node: NodeRef, target: str, alias: str | None) -> None:
        """Cut the links of a VM to the log, its peers or everything, or of a node to all VMs."""
        name = self._context.resolve_node(node, alias)
        self._context.owner_baseline_at = self._context.now()
        self._context.cluster.network.cut(self._links(name, target))

    def heal(self, node: NodeRef) -> None:
        """Heal all links of a VM or node."""
        network = self._context.cluster.network
        network.heal(network.all_links(self._context.resolve_node(node)))

    def delay(self, node: NodeRef, target: str, seconds: float) -> None:
        """Delay everything that is sent between a VM or node and a target."""
        links = self._links(self._context.resolve_node(node), target)
        self._context.cluster.network.change(links, delay_seconds=seconds)

    def drop(self, percent: int, node: NodeRef, target: str) -> None:
        """Drop a percentage of the datagrams between a VM and a target."""
        links = self._links(self._context.resolve_node(node), target)
        self._context.cluster.network.change(links, drop_share=percent / 100)

    def log_down(self) -> None:
        """Make the log refuse every call."""
        self._context.observer.change_faults("log", down=True)

    def log_up(self) -> None:
        """Make the log answer again, without delay."""
        self._context.observer.change_faults("log", down=False, delay_seconds=0.0)

    def slow_log(self, seconds: float) -> None:
        """Delay every call to the log."""
        self._context.observer.change_faults("log", delay_seconds=seconds)

    def lose_log_answers(self, count: int) -> None:
        """Drop the answers to the next appends after the records are on the log."""
        self._context.observer.change_faults("log", settings={"lose": {"append": count}})

    def retain_log(self, seconds: float) -> None:
        """Change how long the log keeps its records."""
        self._context.observer.change_faults("log", settings={"retention_seconds": seconds})

    def hold(self, method: str, nodes: NodeSet) -> None:
        """Make stand-ins hold calls of a method until `release`."""
        for name in self._targets(method, nodes):
            self._context.observer.change_faults(name, settings={"hold": [method]})

    def release(self, method: str, nodes: NodeSet) -> None:
        """Let stand-ins process the calls that they hold."""
        for name in self._targets(method, nodes):
            self._context.observer.change_faults(name, settings={"hold": None})

    def lose_answers(self, count: int, method: str, nodes: NodeSet) -> None:
        """Drop the next answers of a method after the calls took effect."""
        for name in self._targets(method, nodes):
            self._context.observer.change_faults(name, settings={"lose": {method: count}})

    def set_fault(self, fault: str, value: Any, nodes: NodeSet) -> None:
        """Set a fault that is specific to a kind of stand-in; the value `no` removes it."""
        stored = None if value is False else float(value) if type(value) is int else value
        for name in self._context.resolve_nodes(nodes):
            if fault == "leaving":
                self._context.leaving_since.setdefault(name, self._context.now())
            self._context.observer.change_faults(name, settings={fault: stored})

    def unlist(self, name: str, state: str) -> None:
        """Change the state of an upstream or VM in the VM list to `leaving`, `live` or `gone`."""
        layout = self._context.cluster.layout
        self._context.owner_baseline_at = self._context.now()
        name = self._context.resolve_vm(name)
        self._context.leaving_since.setdefault(name, self._context.now())
        node = next((n for n in layout.upstreams if n.name == name), None)
        entry = {
            "name": name,
            "role": "upstream" if node else "system",
            "host": "127.0.0.1",
            "port": node.port if node else self._context.cluster.listed_port_of(name),
            "failure_domain": (node or self._context.cluster.vm(name)).failure_domain,
            "service": node.service if node else "",
            "state": state,
        }
        self._context.observer.change_faults("vmlist", settings={"changes": [entry]})

    def _targets(self, method: str, nodes: NodeSet) -> list[str]:
        return ["log"] if method == "append" else self._context.resolve_nodes(nodes)

    def _links(self, name: str, target: str) -> list[Link]:
        network = self._context.cluster.network
        if target == "everything":
            return network.all_links(name)
        return network.links(name, self._context.resolve_vm(target))
