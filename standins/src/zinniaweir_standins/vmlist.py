"""Stand-in for the platform's list of VMs, which shows changes after a lag."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import msgspec
import yaml
from cyclopts import App

from zinniaweir.wire.service import ServiceHandler
from zinniaweir.wire.vmlist_service import (
    VMLIST_SERVICE,
    VmEntry,
    VmListReply,
    VmListRequest,
)
from zinniaweir_standins.faults import (
    CONTROL_SERVICE,
    FactsRequest,
    FaultReply,
    FaultRequest,
    Faults,
)
from zinniaweir_standins.serving import serve

app = App(name="vmlist", help="Stand-in for the list of live and leaving VMs.")


class VmListStandin:
    """Serve a list of VMs in which changes become visible after a lag."""

    def __init__(self, *, vms: list[VmEntry], lag_seconds: float) -> None:
        self._visible = {vm.name: vm for vm in vms}
        self._pending: list[tuple[float, VmEntry]] = []
        self._lag_seconds = lag_seconds
        self.faults = Faults()
        """Faults that are switched on."""

    async def list(self, request: VmListRequest) -> VmListReply:
        """Return the VMs, with the changes whose lag has passed."""
        await self.faults.before()
        now = time.monotonic()
        due = [change for at, change in self._pending if at <= now]
        self._pending = [(at, change) for at, change in self._pending if at > now]
        for change in due:
            self._visible[change.name] = change
        return VmListReply(vms=[vm for vm in self._visible.values() if vm.state != "gone"])

    async def set_faults(self, request: FaultRequest) -> FaultReply:
        """Replace the faults; `changes` has VM entries that become visible after the lag.

        An entry with the state `gone` takes its VM off the list.
        """
        self.faults.set(request)
        visible_at = time.monotonic() + self._lag_seconds
        for change in msgspec.convert(self.faults.value("changes", []), list[VmEntry]):
            self._pending.append((visible_at, change))
        return FaultReply(facts={"vms": len(self._visible)})

    async def get_facts(self, request: FactsRequest) -> FaultReply:
        """Return the number of VMs."""
        return FaultReply(facts={"vms": len(self._visible)})


@app.default
def run(*, host: str = "127.0.0.1", port: int, vms: Path, lag_seconds: float = 1.0) -> None:
    """Serve the list until a signal comes."""
    entries = msgspec.convert(yaml.safe_load(vms.read_text()), list[VmEntry])

    async def start() -> None:
        standin = VmListStandin(vms=entries, lag_seconds=lag_seconds)
        await serve(
            host,
            port,
            [
                ServiceHandler(service=VMLIST_SERVICE, implementation=standin),
                ServiceHandler(service=CONTROL_SERVICE, implementation=standin),
            ],
        )

    asyncio.run(start())


if __name__ == "__main__":
    app()
