"""gRPC service that a scheduler process offers to the entry process of its VM."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from zinniaweir.wire.scheduler_service import VmStatusReply

if TYPE_CHECKING:
    from zinniaweir.journal.journal import Journal
    from zinniaweir.membership.view import Membership
    from zinniaweir.scheduler.claim_service import ClaimService
    from zinniaweir.scheduler.job_service import JobService
    from zinniaweir.scheduler.settings_service import SettingsService
    from zinniaweir.scheduler.state import ClusterState
    from zinniaweir.scheduler.vm_state import VmState
    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.wire.scheduler_service import VmStatusRequest


class VmService:
    """Combine the job, claim and settings services, and report the status of the VM."""

    def __init__(
        self,
        *,
        jobs: JobService,
        claims: ClaimService,
        settings: SettingsService,
        state: ClusterState,
        journal: Journal,
        membership: Membership,
        vm_state: VmState,
        counters: Counters,
    ) -> None:
        self.submit_job = jobs.submit_job
        self.job_status = jobs.job_status
        self.cancel_jobs = jobs.cancel_jobs
        self.list_jobs = jobs.list_jobs
        self.why = jobs.why
        self.claim = claims.claim
        self.finish = claims.finish
        self.put_settings = settings.put_settings
        self.get_settings = settings.get_settings
        self.history = settings.history
        self.watch = settings.watch
        self._state = state
        self._journal = journal
        self._membership = membership
        self._vm_state = vm_state
        self._counters = counters

    async def vm_status(self, request: VmStatusRequest) -> VmStatusReply:
        """Return the status of this VM as its scheduler process knows it."""
        now = time.monotonic()
        ownership = self._state.ownership
        owners = {shard: ownership.owner(shard) for shard in ownership.shards()}
        return VmStatusReply(
            vm=self._membership.vm,
            state=self._vm_state.current(),
            log_offset=self._journal.next_offset,
            fresh_age_seconds=min(self._journal.freshness_age(now), 1e9),
            settings_version=self._state.settings.version,
            shards={shard: owner.vm if owner else "" for shard, owner in owners.items()},
            peers={
                peer.vm: "live" if self._membership.is_live(peer.vm, now) else "silent"
                for peer in self._membership.peers(now)
            },
            counters={
                f"{name}/{reason}" if reason else name: value
                for name, reason, value in self._counters.items()
            },
            jobs=self._state.jobs.count_by_state(),
        )
