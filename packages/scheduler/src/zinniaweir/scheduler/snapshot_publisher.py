"""Publication of snapshots by the VM that owns the snapshot shard."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from zinniaweir.journal.journal import PublishError
from zinniaweir.journal.snapshots import SnapshotPolicy, publish_snapshot
from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from zinniaweir.journal.journal import Journal
    from zinniaweir.scheduler.shard_manager import ShardManager
    from zinniaweir.scheduler.state import ClusterState
    from zinniaweir.telemetry.counters import Counters

DUE_CHECK_INTERVAL_SECONDS: Final = 1.0
PUBLISH_TIMEOUT_SECONDS: Final = 30.0


class SnapshotPublisher:
    """Publish snapshots of the cluster state before the log's retention drops its records.

    Args:
        state: Cluster state that this VM folds from the log.
        journal: Journal on which snapshots are published.
        shard_manager: States whether this VM owns the snapshot shard.
        counters: Counters of the process.
        retention_seconds: Retention of the log.
    """

    def __init__(
        self,
        *,
        state: ClusterState,
        journal: Journal,
        shard_manager: ShardManager,
        counters: Counters,
        retention_seconds: float,
    ) -> None:
        self._state = state
        self._journal = journal
        self._shard_manager = shard_manager
        self._counters = counters
        self._policy = SnapshotPolicy(retention_seconds=retention_seconds, now=time.monotonic())

    def on_snapshot(self, through_offset: int) -> None:
        """Record that a complete snapshot is on the log, published by this VM or another."""
        self._policy.on_snapshot_complete(through_offset=through_offset, now=time.monotonic())

    async def run(self) -> None:
        """Publish snapshots when they are due, until cancelled."""
        while True:
            await asyncio.sleep(DUE_CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            self._policy.update_log_reachability(self._journal.log_reachable, now)
            epoch = self._shard_manager.snapshot_epoch
            if epoch is None or not self._journal.caught_up or not self._journal.log_reachable:
                continue
            if self._policy.is_due(next_offset=self._journal.next_offset, now=now):
                await self._publish(epoch)

    async def _publish(self, epoch: int) -> None:
        through = self._journal.next_offset - 1
        payload = self._state.snapshot()
        try:
            await publish_snapshot(
                self._journal,
                payload,
                epoch=epoch,
                through_offset=through,
                timeout=PUBLISH_TIMEOUT_SECONDS,
            )
        except PublishError as error:
            self._counters.add("retries", reason="snapshot_not_published")
            log("snapshot_not_published", reason=error.reason)
            return
        self.on_snapshot(through)
        self._counters.add("snapshots_published")
        log("snapshot_published", through=through, bytes=len(payload))
