"""Calls to the scheduler processes of other VMs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.wire.peer_service import (
    PEER_SERVICE,
    ExplainRequest,
    PreemptsRequest,
    StateRequest,
    TailRequest,
)
from zinniaweir.wire.service import RemoteError, ServiceClient

if TYPE_CHECKING:
    from zinniaweir.membership.view import Membership, Peer
    from zinniaweir.wire.peer_service import StateReply, TailReply
    from zinniaweir.wire.records import SettingsPut

TAIL_SECONDS: Final = 0.8
STATE_SECONDS: Final = 5.0
EXPLAIN_SECONDS: Final = 1.0
PREEMPTS_SECONDS: Final = 2.0


class Peers:
    """Ask other VMs for the tail of the log, the state, or an explanation."""

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._clients: dict[tuple[str, int], ServiceClient] = {}

    async def tail(self, from_offset: int) -> TailReply | None:
        """Return the tail that the freshest other VM holds, or nothing."""
        peer = self._freshest()
        if peer is None:
            return None
        request = TailRequest(from_offset=from_offset)
        return await self._call(peer, "Tail", request, TAIL_SECONDS)

    async def fetch_state(self) -> StateReply | None:
        """Return the folded state of the freshest other VM, or nothing."""
        peer = self._freshest()
        if peer is None:
            return None
        return await self._call(peer, "State", StateRequest(), STATE_SECONDS)

    async def explain(self, vm: str, job_id: str) -> str | None:
        """Return why a job waits, as the VM that owns its region knows it."""
        peer = self._membership.peer(vm)
        if peer is None:
            return None
        reply = await self._call(peer, "Explain", ExplainRequest(job_id=job_id), EXPLAIN_SECONDS)
        return None if reply is None else reply.text

    async def preempts(self, vm: str, put: SettingsPut) -> list[str] | None:
        """Return the jobs of a VM's regions that a change would preempt."""
        peer = self._membership.peer(vm)
        if peer is None:
            return None
        reply = await self._call(peer, "Preempts", PreemptsRequest(put=put), PREEMPTS_SECONDS)
        return None if reply is None else reply.job_ids

    def _freshest(self) -> Peer | None:
        now = time.monotonic()
        live = [
            peer for peer in self._membership.peers(now) if self._membership.is_live(peer.vm, now)
        ]
        return min(
            live,
            key=lambda p: p.heartbeat.fresh_age_seconds + now - p.last_heartbeat_at,
            default=None,
        )

    async def _call(self, peer: Peer, name: str, request: Any, timeout: float) -> Any:
        address = (peer.heartbeat.host, peer.heartbeat.port)
        client = self._clients.get(address)
        if client is None:
            client = ServiceClient(service=PEER_SERVICE, host=address[0], port=address[1])
            self._clients[address] = client
        try:
            return await client.call(name, request, timeout=timeout)
        except RemoteError:
            # A replaced VM may reuse the address, so the connection is not kept.
            self._clients.pop(address).close()
            return None
