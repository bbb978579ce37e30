"""Restore of the cluster state when a process starts or the log has a gap."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from zinniaweir.journal.client import LogCallError
from zinniaweir.journal.snapshots import find_snapshot
from zinniaweir.scheduler.state import SnapshotError
from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from zinniaweir.journal.client import LogClient
    from zinniaweir.journal.journal import Journal
    from zinniaweir.scheduler.peers import Peers
    from zinniaweir.scheduler.state import ClusterState
    from zinniaweir.scheduler.vm_state import VmState

RETRY_DELAY_SECONDS: Final = 0.5


class Bootstrap:
    """Restore the state from the newest snapshot on the log, or from another VM."""

    def __init__(
        self,
        *,
        client: LogClient,
        journal: Journal,
        state: ClusterState,
        vm_state: VmState,
        peers: Peers,
    ) -> None:
        self._client = client
        self._journal = journal
        self._state = state
        self._vm_state = vm_state
        self._peers = peers

    async def run(self) -> None:
        """Restore the state, retrying until the log or another VM provides one."""
        reported = False
        while True:
            if await self._restore_from_log() or await self._restore_from_peer():
                self._vm_state.mark_state_restored()
                return
            if not reported:
                log("no_state_found")
                reported = True
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _restore_from_log(self) -> bool:
        try:
            search = await find_snapshot(self._client)
        except LogCallError as error:
            log("log_not_read", reason=error.reason)
            return False
        if search.start_offset is None:
            # The log has lost records that no snapshot covers. A new history starts when operators
            # publish the settings again.
            self._vm_state.mark_state_lost()
            return False
        if search.snapshot is not None:
            try:
                self._state.restore(search.snapshot.payload)
            except SnapshotError as error:
                log("snapshot_unreadable", error=str(error))
                return False
        self._journal.start_at(search.start_offset)
        log("state_restored", source="log", offset=search.start_offset)
        return True

    async def _restore_from_peer(self) -> bool:
        reply = await self._peers.fetch_state()
        if reply is None or not reply.payload:
            return False
        try:
            self._state.restore(reply.payload)
        except SnapshotError as error:
            log("peer_state_unreadable", error=str(error))
            return False
        self._journal.start_at(reply.through_offset + 1)
        log("state_restored", source="peer", offset=reply.through_offset + 1)
        return True
