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

TAIL_TIMEOUT_SECONDS: Final = 0.8
STATE_TIMEOUT_SECONDS: Final = 5.0
EXPLAIN_TIMEOUT_SECONDS: Final = 1.0
PREEMPTS_TIMEOUT_SECONDS: Final = 2.0


class Peers:
    """Ask other VMs for the tail of the log, their state or facts about regions they own."""

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._clients: dict[tuple[str, int], ServiceClient] = {}

    async def tail(self, from_offset: int) -> TailReply | None:
        """Return the log's tail from the live VM with the freshest state, or None.

        Args:
            from_offset: Offset of the first entry to return.
        """
        peer = self._freshest()
        if peer is None:
            return None
        request = TailRequest(from_offset=from_offset)
        return await self._call(peer, "Tail", request, TAIL_TIMEOUT_SECONDS)

    async def fetch_state(self) -> StateReply | None:
        """Return the cluster state from the live VM with the freshest state, or None."""
        peer = self._freshest()
        if peer is None:
            return None
        return await self._call(peer, "State", StateRequest(), STATE_TIMEOUT_SECONDS)

    async def explain(self, vm: str, job_id: str) -> str | None:
        """Return why a job waits according to the VM that owns its region, or None.

        Args:
            vm: VM that owns the region.
            job_id: Id of the job.
        """
        peer = self._membership.peer(vm)
        if peer is None:
            return None
        reply = await self._call(
            peer, "Explain", ExplainRequest(job_id=job_id), EXPLAIN_TIMEOUT_SECONDS
        )
        return None if reply is None else reply.text

    async def preempted_jobs(self, vm: str, put: SettingsPut) -> list[str] | None:
        """Return the jobs of a VM's regions that a settings change would preempt.

        Returns:
            Ids of the jobs, or None if the VM did not answer.
        """
        peer = self._membership.peer(vm)
        if peer is None:
            return None
        reply = await self._call(
            peer, "Preempts", PreemptsRequest(put=put), PREEMPTS_TIMEOUT_SECONDS
        )
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
            # The connection is dropped, because another VM may reuse the address. Another call that
            # failed on it may have dropped it already.
            if self._clients.get(address) is client:
                self._clients.pop(address).close()
            return None
