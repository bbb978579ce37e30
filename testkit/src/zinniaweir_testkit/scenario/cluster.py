"""A test cluster whose processes communicate through relays that a scenario can fault."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.loop_thread import LoopThread
from zinniaweir_testkit.network import Network
from zinniaweir_testkit.ports import free_ports

if TYPE_CHECKING:
    from zinniaweir_testkit.layout import Layout


class RelayedCluster(Cluster):
    """Test cluster with relays in front of the log, the peer VMs, workers and upstreams."""

    def __init__(
        self, *, layout: Layout, retention_seconds: float = 3600.0, lag_seconds: float = 1.0
    ) -> None:
        super().__init__(
            layout=layout, retention_seconds=retention_seconds, lag_seconds=lag_seconds
        )
        self.loop = LoopThread()
        """Event loop thread of the relays and of calls to the stand-ins."""
        self.network = Network(layout=layout, loop=self.loop)
        """Relays and links between the processes."""
        # An address from the VM list would let heartbeats bypass the relays.
        self._unused_port = free_ports(1)[0]
        self.network.open()

    def log_port_of(self, vm: str) -> int:
        """Return the port of a VM's relay to the log."""
        return self.network.log_port(vm)

    def peer_port_of(self, vm: str, other: str) -> int:
        """Return the port of a VM's relay to another VM."""
        return self.network.peer_port(vm, other)

    def listed_port_of(self, vm: str) -> int:
        """Return an unused port, so that peers are reached only through the relays."""
        return self._unused_port

    def settings(self) -> dict[str, Any]:
        """Return settings with the relay addresses of workers and upstreams."""
        layout = self.layout
        return dataclasses.replace(
            layout,
            workers=tuple(self.network.node(node) for node in layout.workers),
            upstreams=tuple(self.network.node(node) for node in layout.upstreams),
        ).settings()

    def close(self) -> None:
        """Kill all processes and close all relays."""
        super().close()
        self.network.close()
        self.loop.close()
