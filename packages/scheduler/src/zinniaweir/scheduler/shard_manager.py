"""Claims and releases of shards, and the region owners that run on this VM."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.journal.journal import PublishError
from zinniaweir.membership.ownership import SNAPSHOT_SHARD, ClaimPolicy
from zinniaweir.scheduler.core_inputs import regions
from zinniaweir.scheduler.region_owner import RegionOwner
from zinniaweir.scheduler.state import REGION_SHARD_PREFIX, region_shard
from zinniaweir.telemetry.logs import log
from zinniaweir.wire.records import OwnershipReleased

if TYPE_CHECKING:
    from zinniaweir.journal.journal import Journal
    from zinniaweir.membership.view import Membership
    from zinniaweir.scheduler.state import ClusterState, StateChange
    from zinniaweir.settings.model import Settings
    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.telemetry.timers import Timers

CLAIM_INTERVAL_SECONDS: Final = 0.25
PUBLISH_TIMEOUT_SECONDS: Final = 2.0


class ShardManager:
    """Claim and release shards, and run a region owner for each region that this VM owns.

    Args:
        state: Cluster state that this VM folds from the log.
        journal: Journal on which claims and releases are published.
        membership: This VM's view of the other VMs.
        counters: Counters of the process.
        timers: Timers of the process.
    """

    def __init__(
        self,
        *,
        state: ClusterState,
        journal: Journal,
        membership: Membership,
        counters: Counters,
        timers: Timers,
    ) -> None:
        self._state = state
        self._journal = journal
        self._membership = membership
        self._counters = counters
        self._timers = timers
        self._policy = ClaimPolicy()
        self._region_owners: dict[str, tuple[RegionOwner, asyncio.Task[None]]] = {}
        self._publishing: set[asyncio.Task[None]] = set()

    @property
    def snapshot_epoch(self) -> int | None:
        """Epoch of the snapshot shard if this VM owns it, else None."""
        return self._held_epoch(SNAPSHOT_SHARD)

    def region_owner(self, region: str) -> RegionOwner | None:
        """Return the owner of a region if it runs on this VM, else None."""
        entry = self._region_owners.get(region_shard(region))
        return entry[0] if entry else None

    def on_change(self, change: StateChange) -> None:
        """Start or end the owner of a shard that the change names, then notify all owners."""
        if change.ownership:
            self._update_owner(change.ownership)
        for owner, _ in self._region_owners.values():
            owner.on_change(change)

    def preempted_by(self, settings: Settings) -> list[str]:
        """Return the jobs of owned regions that new settings would preempt."""
        found: list[str] = []
        for owner, _ in self._region_owners.values():
            found += owner.preempted_by(settings)
        return found

    async def run(self) -> None:
        """Claim and release shards until cancelled."""
        while True:
            await asyncio.sleep(CLAIM_INTERVAL_SECONDS)
            now = time.monotonic()
            for body in self._policy.decide(
                now,
                self._state.ownership,
                self._membership,
                self._journal.caught_up,
                fresh_age_seconds=self._journal.freshness_age(now),
                log_reachable=self._journal.log_reachable,
                shards=self._shards(),
            ):
                task = asyncio.create_task(self._publish(body))
                self._publishing.add(task)
                task.add_done_callback(self._publishing.discard)

    async def release_all(self) -> None:
        """Stop all region owners and release all shards, for a graceful stop."""
        bodies = [
            OwnershipReleased(shard=shard, epoch=epoch)
            for shard in self._shards()
            if (epoch := self._held_epoch(shard)) is not None
        ]
        for _, task in self._region_owners.values():
            task.cancel()
        if bodies:
            await self._publish_all(bodies)

    def _shards(self) -> dict[str, str]:
        named = {region_shard(name): name for name in regions(self._state.settings.model)}
        return {**named, SNAPSHOT_SHARD: ""}

    def _held_epoch(self, shard: str) -> int | None:
        owner = self._state.ownership.owner(shard)
        this_vm = (self._membership.vm, self._membership.incarnation)
        if owner is None or (owner.vm, owner.incarnation) != this_vm:
            return None
        return owner.epoch

    def _update_owner(self, shard: str) -> None:
        epoch = self._held_epoch(shard)
        entry = self._region_owners.pop(shard, None)
        if entry is not None:
            if entry[0].epoch == epoch:
                self._region_owners[shard] = entry
                return
            entry[1].cancel()
        if epoch is None or shard == SNAPSHOT_SHARD:
            return
        owner = RegionOwner(
            region=shard.removeprefix(REGION_SHARD_PREFIX),
            epoch=epoch,
            state=self._state,
            journal=self._journal,
            counters=self._counters,
            timers=self._timers,
        )
        task = asyncio.create_task(self._run_owner(owner))
        self._region_owners[shard] = (owner, task)

    async def _run_owner(self, owner: RegionOwner) -> None:
        try:
            await owner.run()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            # The shard is released so that another VM claims it; otherwise the region would stay
            # without a running owner.
            log("region_owner_failed", region=owner.region, error=repr(error))
            self._counters.add("region_owner_failures", reason=type(error).__name__)
            await self._publish(
                OwnershipReleased(shard=region_shard(owner.region), epoch=owner.epoch)
            )

    async def _publish(self, body: Any) -> None:
        await self._publish_all([body])

    async def _publish_all(self, bodies: list[Any]) -> None:
        try:
            await self._journal.publish_many(bodies, PUBLISH_TIMEOUT_SECONDS)
        except PublishError as error:
            log("ownership_not_published", reason=error.reason)
            self._counters.add("retries", reason="ownership_not_published")
