"""State shared by the steps of one scenario."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from zinniaweir_testkit.layout import make_layout
from zinniaweir_testkit.process import wait_until
from zinniaweir_testkit.scenario.callers import Callers
from zinniaweir_testkit.scenario.cluster import RelayedCluster
from zinniaweir_testkit.scenario.gang_checks import running_members
from zinniaweir_testkit.scenario.standin_observer import StandinObserver

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir_testkit.process import ManagedProcess
    from zinniaweir_testkit.scenario.parser import NodeRef, NodeSet

POLL_INTERVAL_SECONDS: Final = 0.1
VM_PROCESSES: Final = ("scheduler", "entry")


class CheckFailedError(Exception):
    """A checked property was violated, or an expected event did not occur in time."""


@dataclass(frozen=True, kw_only=True)
class JobGroup:
    """Jobs that were submitted by one step."""

    count: int
    """Number of jobs; 0 for a load, whose jobs are counted on the log."""
    members: int
    """Number of members of each job."""


class ScenarioContext:
    """The cluster under test, its background callers, and the observer of its stand-ins.

    `start` creates them; before that the attributes do not exist.
    """

    def __init__(self) -> None:
        self.cluster: RelayedCluster
        """The processes under test."""
        self.observer: StandinObserver
        """Reads the histories of the stand-ins and sets their faults."""
        self.callers: Callers
        """Background callers."""
        self.aliases: dict[str, str] = {}
        """VM or node name by the alias that a step defined."""
        self.groups: dict[str, JobGroup] = {}
        """Groups of submitted jobs by label."""
        self.leaving_since: dict[str, float] = {}
        """Wall-clock time at which an upstream or VM was first set as leaving, by its name."""
        self.stopped_at = 0.0
        """Wall-clock time at which the last planned stop began."""
        self.owner_baseline_at = 0.0
        """Only later claims of the region count as a change of its owner; wall-clock time."""

    def start(
        self,
        *,
        vms: int,
        retention_seconds: float = 3600.0,
        lag_seconds: float = 1.0,
        publish_settings: bool = True,
        **layout: Any,
    ) -> None:
        """Start the cluster.

        Args:
            vms: Number of VMs.
            retention_seconds: How long the log keeps records.
            lag_seconds: Delay until the VM list shows a change.
            publish_settings: Whether to publish the settings of the layout.
            layout: Further arguments of `make_layout`.
        """
        self.cluster = RelayedCluster(
            layout=make_layout(vms=vms, **layout),
            retention_seconds=retention_seconds,
            lag_seconds=lag_seconds,
        )
        self.observer = StandinObserver(cluster=self.cluster)
        self.callers = Callers(cluster=self.cluster)
        self.cluster.start(publish_settings=publish_settings)

    def close(self) -> None:
        """Stop the callers and the cluster, if it was started."""
        if hasattr(self, "cluster"):
            self.callers.close()
            self.observer.close()
            self.cluster.close()

    def wait(self, condition: Callable[[], Any], *, timeout: float, what: str) -> None:
        """Wait until a condition is true.

        Raises:
            CheckFailedError: If it is not true in time.
        """
        try:
            wait_until(condition, timeout=timeout, what=what, interval=POLL_INTERVAL_SECONDS)
        except TimeoutError as error:
            raise CheckFailedError(f"{error}") from error

    def require(self, holds: bool, problem: str) -> None:
        """Fail the step unless a condition is true.

        Raises:
            CheckFailedError: With `problem` as its message, if the condition is false.
        """
        if not holds:
            raise CheckFailedError(problem)

    def resolve_vm(self, name: str, alias: str | None = None) -> str:
        """Resolve `owner`, `other`, an alias or a VM name, and record an alias for the result.

        `other` is the first VM that does not own the region.
        """
        if name == "owner":
            vm = self.owner()
        elif name == "other":
            owner = self.owner()
            vm = next(v.name for v in self.cluster.layout.vms if v.name != owner)
        else:
            vm = self.aliases.get(name, name)
        if alias:
            self.aliases[alias] = vm
        return vm

    def owner(self) -> str:
        """Return the VM that made the last valid claim of a region on the log."""
        self.wait(self.observer.claims, timeout=10.0, what="a VM claims the region")
        return self.observer.claims()[-1][1]

    def processes(self, vm: str, process: str | None) -> list[ManagedProcess]:
        """Return one process of a VM, or both if none is named."""
        names = (process,) if process else VM_PROCESSES
        return [self.cluster.processes[f"{vm}-{name}"] for name in names]

    def is_vm(self, name: str) -> bool:
        """Whether a VM has this name."""
        return any(vm.name == name for vm in self.cluster.layout.vms)

    def resolve_node(self, ref: NodeRef, alias: str | None = None) -> str:
        """Resolve a reference to a VM, worker or upstream, and record an alias for the result."""
        name = (
            self.resolve_vm(ref.name)
            if ref.member is None
            else self._worker_of_member(ref.name, ref.member)
        )
        if alias:
            self.aliases[alias] = name
        return name

    def resolve_nodes(self, node_set: NodeSet) -> list[str]:
        """Return the names of the stand-ins of a set."""
        layout = self.cluster.layout
        if node_set.kind == "one_node":
            return [self.resolve_node(node_set.node)]
        if node_set.kind == "all_upstreams":
            return [node.name for node in layout.upstreams]
        names = [node.name for node in layout.workers]
        if node_set.kind == "first_workers":
            return [name for name in names if name.endswith("-w1")]
        return names

    def now(self) -> float:
        """Return the wall-clock time, which the histories of the stand-ins use too."""
        return time.time()

    def _worker_of_member(self, job: str, member: int) -> str:
        events = self.observer.task_events()
        for job_id in self.observer.job_ids(job):
            running = running_members(events, job_id)
            if member - 1 in running:
                return running[member - 1].worker
        raise CheckFailedError(f"member {member} of {job} is not running")
