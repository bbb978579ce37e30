"""Costs of one settings change on each VM, by customers and workers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

from bench.capacity.fit import print_fit, print_row
from bench.capacity.meters import NullCounters
from bench.capacity.populations import REGION, SETTINGS_SIZES, StateBuilder, settings_tree
from zinniaweir.core import events
from zinniaweir.core.scheduler import Scheduler
from zinniaweir.core.topology import Topology
from zinniaweir.entry.admission import Admission
from zinniaweir.routing.router import Router
from zinniaweir.scheduler import core_inputs
from zinniaweir.telemetry.timers import Timers
from zinniaweir.wire.codec import MsgpackCodec
from zinniaweir.wire.scheduler_service import WatchReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.settings.model import Settings

CHANGES: Final = 20
STEPS: Final = ("fold", "encode", "decode", "admission", "router", "owner")
KINDS: Final = ("limit", "drain", "worker", "guarantee")


class NoTransport:
    """Takes the place of the entry process's connections to upstreams."""

    def retire(self, *_: Any, **__: Any) -> None:
        """Close nothing."""


class _Vm:
    """The parts of a VM's two processes and of a region's owner that apply a settings change."""

    def __init__(self, *, customers: int, workers: int) -> None:
        self.builder = StateBuilder()
        self.builder.put("", settings_tree(customers, workers))
        self.codec = MsgpackCodec()
        self.admission = Admission(max_in_flight=200, counters=NullCounters())
        self.router = Router(
            transport=NoTransport(), failure_domain="fd0", counters=NullCounters(), timers=Timers()
        )
        settings = self.builder.state.settings.model
        self.workers = core_inputs.region_workers(settings, REGION)
        self.core_settings = core_inputs.core_settings(settings, REGION)
        self.core = Scheduler(
            topology=Topology(workers=tuple(self.workers.values())), settings=self.core_settings
        )
        self.payload = b""

    def change(self, path: str, value: Any) -> dict[str, float]:
        """Apply one change and return the processor seconds of each step."""
        fold = self.builder.state.settings
        spent = {"fold": _seconds(lambda: self.builder.put(path, value))}

        def encode() -> None:
            reply = WatchReply(settings_version=fold.version, settings=fold.tree, state="ready")
            self.payload = self.codec.encode(reply, WatchReply)

        replies: list[WatchReply] = []
        spent["encode"] = _seconds(encode)
        spent["decode"] = _seconds(
            lambda: replies.append(self.codec.decode(self.payload, WatchReply))
        )
        spent["admission"] = _seconds(lambda: self.admission.update(replies[0].settings))
        spent["router"] = _seconds(lambda: self.router.update(replies[0].settings))
        spent["owner"] = _seconds(lambda: self._apply_as_owner(fold.model))
        return spent

    def _apply_as_owner(self, settings: Settings) -> None:
        topology = None
        workers = core_inputs.region_workers(settings, REGION)
        if workers != self.workers:
            topology, self.workers = Topology(workers=tuple(workers.values())), workers
        core_settings = core_inputs.core_settings(settings, REGION)
        if topology is not None or core_settings != self.core_settings:
            changed = events.SettingsChanged(settings=core_settings, topology=topology)
            self.core.handle(changed, now=time.monotonic())
            self.core_settings = core_settings


def measure(seed: int) -> None:
    """Print the cost of each step of a change, by size of the settings."""
    asyncio.run(_measure(seed))


async def _measure(seed: int) -> None:
    """Measure inside an event loop, which the parts of the entry process need."""
    results: dict[tuple[str, str], list[tuple[float, float]]] = {}
    sizes = []
    for customers, workers in SETTINGS_SIZES:
        vm = _Vm(customers=customers, workers=workers)
        for kind in KINDS:
            for step, value in _median_change(vm, kind).items():
                results.setdefault((kind, step), []).append((workers, 1e3 * value))
        sizes.append((workers, len(vm.payload)))
    for (kind, step), points in results.items():
        print_fit(f"change {kind}: {step}", unit="ms", per="workers", seed=seed, points=points)
    print_fit("hand_over_size", unit="bytes", per="workers", seed=seed, points=sizes)
    customers = [c for c, _ in SETTINGS_SIZES]
    print_row("settings_sizes", seed=seed, customers=customers, workers=[w for w, _ in sizes])


def _median_change(vm: _Vm, kind: str) -> dict[str, float]:
    runs = [vm.change(*_change(kind, turn)) for turn in range(CHANGES)]
    return {step: sorted(run[step] for run in runs)[CHANGES // 2] for step in STEPS}


def _change(kind: str, turn: int) -> tuple[str, Any]:
    if kind == "limit":
        return "customers/customer1/limits/burst", 500 + turn
    if kind == "drain":
        return "topology/failure_domains/fd1/state", ("out", "in")[turn % 2]
    if kind == "worker":
        return "topology/workers/fd0-r0-w0/cores", 32 + turn
    guarantee = {"members": 2, "accelerators": 8, "cores": 8, "memory_gb": 17 + turn % 2}
    return "customers/customer1/guarantees", [guarantee]


def _seconds(step: Callable[[], None]) -> float:
    started = time.process_time()
    step()
    return time.process_time() - started
