"""Steps that start, pause, stop and kill the processes of VMs and workers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from zinniaweir_testkit.scenario.parser import NodeRef

if TYPE_CHECKING:
    from zinniaweir_testkit.scenario.context import ScenarioContext

RESTART_TIMEOUT_SECONDS: Final = 20.0


class ProcessSteps:
    """Steps on the processes of VMs and workers."""

    def __init__(self, *, context: ScenarioContext) -> None:
        self._context = context

    def start_cluster(self, vms: int, options: dict[str, Any]) -> None:
        """Start stand-ins and VMs, and publish the settings unless an option says otherwise."""
        self._context.start(vms=vms, **options)
        self._context.owner_baseline_at = self._context.now()

    def start_fresh(self, vm: str) -> None:
        """Start both processes of a VM without waiting until it is ready."""
        self._context.cluster.start_vm(self._context.resolve_vm(vm))

    def pass_time(self, seconds: float) -> None:
        """Wait for some seconds."""
        time.sleep(seconds)

    def kill(self, vm: str, process: str | None, alias: str | None) -> None:
        """Kill one process of a VM, or both if none is named."""
        self._context.owner_baseline_at = self._context.now()
        for managed in self._context.processes(self._context.resolve_vm(vm, alias), process):
            managed.resume()
            managed.kill()

    def restart(self, vm: str, process: str | None) -> None:
        """Start one process of a VM, or both, and wait until the VM is ready."""
        name = self._context.resolve_vm(vm)
        cluster = self._context.cluster
        if process in (None, "scheduler"):
            cluster.start_scheduler(name)
        if process in (None, "entry"):
            cluster.start_entry(name)
        cluster.wait_ready(name, RESTART_TIMEOUT_SECONDS)

    def freeze(self, vm: str, process: str | None, alias: str | None) -> None:
        """Pause one process of a VM, or both if none is named."""
        self._context.owner_baseline_at = self._context.now()
        for managed in self._context.processes(self._context.resolve_vm(vm, alias), process):
            managed.pause()

    def thaw(self, vm: str, process: str | None) -> None:
        """Resume paused processes of a VM."""
        for managed in self._context.processes(self._context.resolve_vm(vm), process):
            managed.resume()

    def stop_gracefully(self, vm: str, alias: str | None) -> None:
        """Send SIGTERM to both processes of a VM, without waiting for their exit."""
        self._context.stopped_at = self._context.now()
        self._context.owner_baseline_at = self._context.now()
        for managed in self._context.processes(self._context.resolve_vm(vm, alias), None):
            managed.terminate()

    def restart_all(self, pace: str) -> None:
        """Kill and start all VMs, at once or one after the other, and wait until they are ready."""
        names = [vm.name for vm in self._context.cluster.layout.vms]
        if pace == "at once":
            for name in names:
                self.kill(name, None, None)
            for name in names:
                self._context.cluster.start_vm(name)
            for name in names:
                self._context.cluster.wait_ready(name, RESTART_TIMEOUT_SECONDS)
            return
        for name in names:
            self.kill(name, None, None)
            self.restart(name, None)

    def kill_worker(self, worker: NodeRef, alias: str | None) -> None:
        """Make a stand-in refuse all calls; a worker also loses its tasks, events and epoch."""
        name = self._context.resolve_node(worker, alias)
        self._context.observer.change_faults(name, down=True, settings={"killed": True})

    def revive_worker(self, worker: NodeRef) -> None:
        """Make a killed stand-in answer again; a worker starts without its earlier tasks."""
        self._context.observer.change_faults(self._context.resolve_node(worker), down=False)

    def freeze_workers(self, domain: str) -> None:
        """Pause all workers of a failure domain."""
        # Paused workers cannot be asked, so the observer uses the histories that are read here.
        self._context.observer.task_events()
        self._context.observer.paused_domains.add(domain)
        self._context.cluster.processes[f"workers-{domain}"].pause()

    def thaw_workers(self, domain: str) -> None:
        """Resume the paused workers of a failure domain."""
        self._context.cluster.processes[f"workers-{domain}"].resume()
        self._context.observer.paused_domains.discard(domain)
