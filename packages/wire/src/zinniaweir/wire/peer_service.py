"""Messages and service between the scheduler processes of different VMs."""

from __future__ import annotations

import msgspec

from zinniaweir.wire.log_service import LogEntry
from zinniaweir.wire.records import SettingsPut
from zinniaweir.wire.service import Method, Service


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Heartbeat of a VM, sent as a datagram twice a second."""

    vm: str
    incarnation: str
    """Identifies one start of the process; later starts sort after earlier ones."""
    host: str
    """IP address of the VM."""
    port: int
    """Port of the scheduler process for gRPC and heartbeats."""
    region: str
    failure_domain: str
    log_offset: int
    """First offset that the VM has not folded."""
    fresh_age_seconds: float
    """Age of the VM's knowledge of the end of the log."""
    log_reachable: bool
    """Whether the VM's own reads of the log succeed."""
    draining: bool
    """Whether the VM is stopping."""


class TailRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for log entries that another VM holds, from an offset on."""

    from_offset: int
    limit: int = 1000
    """Maximum number of entries."""


class TailReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `TailRequest`."""

    entries: list[LogEntry]
    complete: bool
    """Whether the VM holds all entries from the requested offset on; if not, `entries` is empty."""
    end_offset: int
    """First offset that the VM has not read."""
    fresh_age_seconds: float
    """Age of the VM's knowledge of the end of the log."""


class StateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the folded state of another VM."""


class StateReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `StateRequest`: the folded state as of an offset."""

    through_offset: int
    """Last offset that the state contains."""
    fresh_age_seconds: float
    """Age of the VM's knowledge of the end of the log."""
    payload: bytes
    """The encoded state; empty if the VM has not caught up with the log."""


class ExplainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to the owner of a region to explain why a job waits."""

    job_id: str


class ExplainReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `ExplainRequest`."""

    text: str
    """Why the job waits, in one line; empty if the VM does not own its region."""


class PreemptsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to the owner of a region for the jobs that a settings change would preempt."""

    put: SettingsPut


class PreemptsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `PreemptsRequest`."""

    job_ids: list[str]
    """Jobs that would be preempted, of the regions that the VM owns."""


PEER_SERVICE = Service(
    name="Peer",
    methods=(
        Method(name="Tail", request=TailRequest, reply=TailReply),
        Method(name="State", request=StateRequest, reply=StateReply),
        Method(name="Explain", request=ExplainRequest, reply=ExplainReply),
        Method(name="Preempts", request=PreemptsRequest, reply=PreemptsReply),
    ),
)
