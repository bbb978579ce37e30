"""Messages and service of the platform's VM list, which lags behind the actual state."""

from __future__ import annotations

import msgspec

from zinniaweir.wire.service import Method, Service


class VmListRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the VM list."""


class VmEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A VM in its last state known to the platform."""

    name: str
    role: str
    """One of `system`, `worker` or `upstream`."""
    host: str
    port: int
    failure_domain: str
    service: str = ""
    """Service that an upstream provides; empty for other roles."""
    state: str = "live"
    """Either `live` or `leaving`."""


class VmListReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `VmListRequest`."""

    vms: list[VmEntry]


VMLIST_SERVICE = Service(
    name="VmList",
    methods=(Method(name="List", request=VmListRequest, reply=VmListReply),),
)
