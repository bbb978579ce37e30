"""The process of a VM: serves callers and takes part in the election of the scheduling owner."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import Final
from zlib import crc32

from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.node.boottime import boottime
from zinniaweir.node.cancellation_confirmer import CancellationConfirmer
from zinniaweir.node.claim_policy import (
    READ_SECONDS,
    SMALL_VM_DELAY_SECONDS,
    ClaimPolicy,
    claim_rank,
    earlier_owners_ended,
)
from zinniaweir.node.owner import Owner
from zinniaweir.node.polling import DEFAULT_WORKER_CONNECTIONS
from zinniaweir.node.ports import (
    Decoder,
    Fence,
    KeyedRecord,
    Log,
    LogError,
    NoAnswerError,
    NothingDoneError,
    RejectedError,
    WorkerClient,
)
from zinniaweir.node.recorder import DEFAULT_MAX_RECORD_BYTES
from zinniaweir.node.relay import Peers, RelayLog
from zinniaweir.node.service import JobService
from zinniaweir.node.view import (
    JOBS_READ_WAIT_SECONDS,
    REPLICA_READ_DELAY_SECONDS,
    SMALL_VM_READ_DELAY_SECONDS,
    View,
)
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.telemetry.timers import Timers
from zinniaweir.workloads.records import (
    OWNER_KEY,
    OwnerClaim,
    PagedOwnerClaim,
    Submission,
    VmAddress,
    encode_record,
    vm_key,
)

CLAIM_JITTER_SECONDS: Final = 0.1
"""Maximum random delay added to the rank's delay before a claim; also the delay after a failure."""
ANNOUNCE_RETRY_DELAY_SECONDS: Final = 0.5
"""Delay before a failed append of the VM's address is retried."""
SEQUENCE_RANGE: Final = 2**31
"""Upper bound of the random first sequence number of an epoch."""
RELEASE_TIMEOUT_SECONDS: Final = 1.5
"""How long a planned stop waits for the ownership to be released."""


class Node:
    """One VM of the system.

    Args:
        vm: Name, address and failure domain of this VM.
        log_port: The platform's log.
        peers: Access to the log through other VMs.
        decoder: Decodes operators' and workers' records.
        workers: Client for calls to workers.
        time_limits: Durations that limit leases and retention.
        counters: Receives counts of events.
        timers: Receives durations of waits and jobs.
        worker_connections: Maximum number of connections to workers.
        max_record_bytes: Size limit of a record on the log.
    """

    def __init__(
        self,
        *,
        vm: VmAddress,
        log_port: Log,
        peers: Peers,
        decoder: Decoder,
        workers: WorkerClient,
        time_limits: TimeLimits,
        counters: Counters,
        timers: Timers,
        worker_connections: int = DEFAULT_WORKER_CONNECTIONS,
        max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES,
    ) -> None:
        self._vm_address = vm
        self._vm_name = vm.vm
        self._relay = RelayLog(
            direct=log_port, peers=peers, addresses=self._peer_addresses, counters=counters
        )
        self._log_port: Log = self._relay
        self._workers = workers
        self._time_limits = time_limits
        self._counters = counters
        self._timers = timers
        self._worker_connections = worker_connections
        self._max_record_bytes = max_record_bytes
        self._incarnation = secrets.token_hex(8)
        read_delay = REPLICA_READ_DELAY_SECONDS if vm.strong else SMALL_VM_READ_DELAY_SECONDS
        self._view = View(
            log_port=self._log_port,
            decoder=decoder,
            replica_read_delay_seconds=read_delay,
            max_age_seconds=time_limits.max_call_view_age_seconds,
            counters=counters,
        )
        self._service = JobService(
            view=self._view,
            log_port=self._log_port,
            max_view_age_seconds=time_limits.max_call_view_age_seconds,
            counters=counters,
            max_record_bytes=max_record_bytes,
        )
        self._claim_policy = ClaimPolicy(
            vm=vm.vm,
            incarnation=self._incarnation,
            extra_delay=0.0,
            vacancy_delay=0.0 if vm.strong else SMALL_VM_DELAY_SECONDS,
            normal_read_seconds=read_delay + JOBS_READ_WAIT_SECONDS + READ_SECONDS,
        )
        self._confirmer = CancellationConfirmer(
            view=self._view,
            log_port=self._log_port,
            is_owner=lambda: self._owner is not None,
            counters=counters,
        )
        self._owner: Owner | None = None
        self._ended_epoch = 0
        self._claimed_epoch = 0
        self._claimed_at = float("-inf")
        self._sequence = 0
        self._stopping = False
        self._pages_needed = False
        """Whether the owner on this VM ended to own again with a `PagedOwnerClaim`."""
        self._election_wake = asyncio.Event()
        self._view.on_submission = self._on_submission
        self._view.on_cancellation = self._on_cancellation
        self._view.on_claim = self._on_claim
        self._view.on_change = self._on_change
        self._view.jobs.on_fresh = self._on_fresh

    @property
    def service(self) -> JobService:
        """The service that answers callers."""
        return self._service

    @property
    def view(self) -> View:
        """State of the platform as read from the log."""
        return self._view

    @property
    def owner(self) -> Owner | None:
        """The running owner, None while this VM does not own scheduling."""
        return self._owner

    @property
    def ready(self) -> bool:
        """Whether the VM accepts new connections."""
        return not self._stopping and self._service.ready

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._view.jobs.run())
            group.create_task(self._view.operators.run())
            group.create_task(self._run_election())
            group.create_task(self._announce())
            group.create_task(self._confirmer.run())

    async def stop(self) -> None:
        """Report the VM as not ready and release the ownership if this VM has it."""
        self._stopping = True
        owner = self._owner
        if owner is None:
            return
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await owner.release()
        except TimeoutError:
            log("release_failed", epoch=owner.epoch, reason="log_unavailable")

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges on the metrics page."""
        owner = self._owner
        return {
            "owner_epoch": float(owner.epoch if owner else 0),
            "view_age_seconds": min(self._view.age, 1e9),
            "ready": float(self.ready),
            "jobs": float(sum(1 for _ in self._view.job_table.jobs)),
            "workers": float(len(owner.dispatcher.fleet) if owner else 0),
        }

    @property
    def log_for_peers(self) -> Log:
        """The log as reached directly by this VM, for calls relayed from other VMs.

        Raises:
            NothingDoneError: If the log does not serve this VM.
        """
        return self._relay.for_peers

    def _peer_addresses(self) -> list[str]:
        others = [
            vm for vm in self._view.job_table.vms.values() if vm.address != self._vm_address.address
        ]
        # Each VM has its own order, so that those that need help don't all ask the same VM.
        others.sort(
            key=lambda vm: (
                vm.failure_domain != self._vm_address.failure_domain,
                crc32(f"{self._vm_name}/{vm.vm}".encode()),
            )
        )
        return [vm.address for vm in others]

    async def _announce(self) -> None:
        """Append this VM's address to the log, unless the log already has it."""
        await self._view.jobs.loaded()
        record = KeyedRecord(key=vm_key(self._vm_name), value=encode_record(self._vm_address))
        while self._view.job_table.vms.get(self._vm_name) != self._vm_address:
            try:
                await self._log_port.append([record])
                return
            except (NothingDoneError, NoAnswerError):
                await asyncio.sleep(ANNOUNCE_RETRY_DELAY_SECONDS)
            except RejectedError as error:
                # Other VMs do not learn its address; it serves callers all the same.
                log("record_rejected", key=record.key, error=str(error))
                return

    async def _run_election(self) -> None:
        while True:
            await self._election_wake.wait()
            self._election_wake.clear()
            if self._stopping:
                return
            claim = self._view.job_table.claim
            if self._is_own_claim(claim):
                await self._run_owner(claim)
            elif self._pages_needed and self._is_last_owner(claim):
                await self._try_claim(claim)
            elif self._claim_policy.should_claim(claim, fresh_at=self._view.jobs.fresh_at):
                await asyncio.sleep(self._claim_delay(claim))
                if self._view.job_table.claim is claim and not self._stopping:
                    await self._try_claim(claim)

    def _claim_delay(self, last: OwnerClaim | None) -> float:
        if last is not None and last.vm == self._vm_name:
            return 0.0
        rank = claim_rank(self._vm_name, self._view.job_table.vms.values(), last=last)
        return self._claim_policy.claim_delay(rank) + random.uniform(0.0, CLAIM_JITTER_SECONDS)

    def _is_own_claim(self, claim: OwnerClaim | None) -> bool:
        return (
            claim is not None
            and claim.incarnation == self._incarnation
            and claim.epoch > self._ended_epoch
            and not claim.released
        )

    def _is_last_owner(self, claim: OwnerClaim | None) -> bool:
        """Return whether this process made the newest claim."""
        return claim is not None and claim.incarnation == self._incarnation

    async def _try_claim(self, last: OwnerClaim | None) -> None:
        paged = (
            self._pages_needed
            or isinstance(last, PagedOwnerClaim)
            or self._view.job_table.has_pages
        )
        epoch = (last.epoch if last else 0) + 1
        if paged and not isinstance(last, PagedOwnerClaim):
            # A VM of an earlier version cannot read this claim, and may make the next one.
            epoch += 1
        claim_type = PagedOwnerClaim if paged else OwnerClaim
        claim = claim_type(
            vm=self._vm_name,
            incarnation=self._incarnation,
            epoch=epoch,
            sole=earlier_owners_ended(last, vm=self._vm_name),
        )
        record = KeyedRecord(key=OWNER_KEY, value=encode_record(claim))
        # The first append of an epoch fences off appends of lower epochs, and those of the same
        # epoch whose sequence number does not follow. The log answers a repeated sequence number
        # as it answered the first append, so VMs that claim at the same time need different
        # numbers. A retried claim keeps its number and so gets the answer that was lost.
        if claim.epoch != self._claimed_epoch:
            self._claimed_epoch, self._sequence = claim.epoch, secrets.randbelow(SEQUENCE_RANGE)
            self._claimed_at = boottime()
        fence = Fence(epoch=claim.epoch, sequence=self._sequence)
        try:
            await self._log_port.append([record], fence=fence)
            # Reading back the claim also reads every record that was appended before it.
            await self._view.jobs.catch_up()
        except LogError as error:
            self._counters.add("claims", reason=type(error).__name__)
            log("claim_not_confirmed", epoch=claim.epoch, error=str(error))
            await asyncio.sleep(CLAIM_JITTER_SECONDS)
            return
        self._pages_needed = False
        self._counters.add("claims", reason="won")
        self._election_wake.set()

    async def _run_owner(self, claim: OwnerClaim) -> None:
        owner = Owner(
            view=self._view,
            log_port=self._log_port,
            workers=self._workers,
            claim=claim,
            sequence=self._sequence,
            claimed_at=self._claimed_at,
            time_limits=self._time_limits,
            counters=self._counters,
            timers=self._timers,
            worker_connections=self._worker_connections,
            max_record_bytes=self._max_record_bytes,
        )
        self._view.set_owner(True)
        following = asyncio.create_task(self._view.workers.run())
        started = boottime()
        try:
            self._owner = owner
            await owner.run()
        finally:
            self._owner = None
            self._pages_needed = owner.pages_needed
            self._ended_epoch = claim.epoch
            following.cancel()
            self._view.set_owner(False)
            self._counters.add("ownerships", reason="ended")
            log("ownership_ended", epoch=claim.epoch, seconds=round(boottime() - started, 2))
            if owner.pages_needed:
                self._election_wake.set()

    def _on_fresh(self, previous_at: float, at: float) -> None:
        self._claim_policy.observe(self._view.job_table.claim, previous_at=previous_at, at=at)
        self._confirmer.notify()
        if self._owner is None:
            self._election_wake.set()

    def _on_submission(self, submission: Submission) -> None:
        entry = self._view.job_table.get(submission.job_id)
        if self._owner is not None and entry is not None:
            self._owner.add_job(entry)

    def _on_cancellation(self, job_id: str) -> None:
        if self._owner is not None:
            self._owner.cancel_job(job_id)

    def _on_claim(self, claim: OwnerClaim) -> None:
        owner = self._owner
        if owner is not None and claim.epoch > owner.epoch:
            log("owner_superseded", epoch=owner.epoch, by=claim.vm, new_epoch=claim.epoch)
            owner.step_down()

    def _on_change(self) -> None:
        if self._owner is not None:
            self._owner.wake()
