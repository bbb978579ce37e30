"""Construction, start and stop of the scheduler process."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.journal.client import LogClient
from zinniaweir.journal.journal import Journal
from zinniaweir.journal.snapshots import SnapshotAssembler
from zinniaweir.membership.ownership import SNAPSHOT_SHARD
from zinniaweir.membership.transport import HeartbeatTransport
from zinniaweir.membership.view import Membership, new_incarnation
from zinniaweir.scheduler.bootstrap import Bootstrap
from zinniaweir.scheduler.claim_service import ClaimService
from zinniaweir.scheduler.core_inputs import guarantee_problems
from zinniaweir.scheduler.job_service import JobService
from zinniaweir.scheduler.peer_service import PeerService
from zinniaweir.scheduler.peers import Peers
from zinniaweir.scheduler.settings_service import PreemptedJobs, SettingsService
from zinniaweir.scheduler.shard_manager import ShardManager
from zinniaweir.scheduler.snapshot_publisher import SnapshotPublisher
from zinniaweir.scheduler.state import ClusterState, region_shard
from zinniaweir.scheduler.vm_service import VmService
from zinniaweir.scheduler.vm_state import VmState
from zinniaweir.scheduler.waiters import Waiters
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.telemetry.timers import Timers
from zinniaweir.wire.peer_service import PEER_SERVICE, Heartbeat
from zinniaweir.wire.records import Record, SnapshotPart
from zinniaweir.wire.scheduler_service import SCHEDULER_SERVICE, Surroundings
from zinniaweir.wire.service import RemoteError, ServiceClient, ServiceHandler, make_server
from zinniaweir.wire.vmlist_service import VMLIST_SERVICE, VmListRequest

if TYPE_CHECKING:
    from zinniaweir.journal.journal import GapError
    from zinniaweir.scheduler.jobs import JobEntry
    from zinniaweir.scheduler.state import StateChange
    from zinniaweir.settings.model import Settings
    from zinniaweir.settings.process import SchedulerSettings
    from zinniaweir.wire.records import SettingsPut
    from zinniaweir.wire.vmlist_service import VmEntry

VMLIST_INTERVAL_SECONDS: Final = 1.0
VMLIST_TIMEOUT_SECONDS: Final = 2.0
SETTLE_TIMEOUT_SECONDS: Final = 5.0
"""How long a graceful stop waits for outcomes that are not on the log yet."""
UNKNOWN_AGE_SECONDS: Final = 1e9
"""Sent in heartbeats in place of an infinite age."""


class SchedulerProcess:
    """Build the components of one scheduler process and run their tasks.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, *, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._counters = Counters()
        self._timers = Timers()
        self._waiters = Waiters()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()
        self._leaving_upstreams: tuple[str, ...] | None = None

    async def run(self) -> None:
        """Run until SIGINT or SIGTERM, then release all shards and stop."""
        self._build()
        server = make_server(
            [
                ServiceHandler(service=SCHEDULER_SERVICE, implementation=self._vm_service),
                ServiceHandler(service=PEER_SERVICE, implementation=self._peer_service),
            ]
        )
        await self._transport.open()
        await server.start(self._settings.host, self._settings.grpc_port)
        self._watch_signals()
        log("listening", port=self._settings.grpc_port)
        self._start_tasks()
        await self._wait_for_stop()
        await self._hand_over()
        server.close()
        await server.wait_closed()
        log("stopped")

    def _build(self) -> None:
        settings = self._settings
        client = LogClient(host=settings.log.host, port=settings.log.port)
        self._membership = Membership(
            vm=settings.vm, incarnation=new_incarnation(), region=settings.region
        )
        self._peers = Peers(membership=self._membership)
        self._state = ClusterState(check_guarantees=guarantee_problems)
        self._assembler = SnapshotAssembler(keeps_payload=False)
        self._journal = Journal(
            vm=settings.vm,
            client=client,
            on_record=self._on_record,
            on_invalid=self._on_invalid,
            counters=self._counters,
            relay=self._peers.tail,
            on_gap=self._on_gap,
        )
        self._vm_state = VmState(journal=self._journal, membership=self._membership)
        self._shard_manager = ShardManager(
            state=self._state,
            journal=self._journal,
            membership=self._membership,
            counters=self._counters,
            timers=self._timers,
        )
        self._snapshot_publisher = SnapshotPublisher(
            state=self._state,
            journal=self._journal,
            shard_manager=self._shard_manager,
            counters=self._counters,
            retention_seconds=settings.log_retention_seconds,
        )
        self._bootstrap = Bootstrap(
            client=LogClient(host=settings.log.host, port=settings.log.port),
            journal=self._journal,
            state=self._state,
            vm_state=self._vm_state,
            peers=self._peers,
        )
        self._transport = HeartbeatTransport(
            host=settings.host,
            port=settings.udp_port,
            membership=self._membership,
            make_heartbeat=self._heartbeat,
            seed_addresses=[(peer.host, peer.port) for peer in settings.peers],
            counters=self._counters,
        )
        self._build_services()
        self._state.add_listener(self._on_change)

    def _build_services(self) -> None:
        self._claim_service = ClaimService(
            ledger=self._state.ledger,
            journal=self._journal,
            vm_state=self._vm_state,
            waiters=self._waiters,
            counters=self._counters,
            wall_clock=time.time,
        )
        self._vm_service = VmService(
            jobs=JobService(
                region=self._settings.region,
                state=self._state,
                journal=self._journal,
                vm_state=self._vm_state,
                waiters=self._waiters,
                counters=self._counters,
                explain=self._explain,
            ),
            claims=self._claim_service,
            settings=SettingsService(
                state=self._state,
                journal=self._journal,
                vm_state=self._vm_state,
                waiters=self._waiters,
                counters=self._counters,
                find_preempted_jobs=self._find_preempted_jobs,
                surroundings=self._surroundings,
            ),
            state=self._state,
            journal=self._journal,
            membership=self._membership,
            vm_state=self._vm_state,
            counters=self._counters,
        )
        self._peer_service = PeerService(
            journal=self._journal,
            state=self._state,
            explain=self._explain_locally,
            find_preempted_jobs=self._shard_manager.preempted_by,
        )

    def _start_tasks(self) -> None:
        loops = [
            self._transport.run(),
            self._follow_log(),
            self._shard_manager.run(),
            self._snapshot_publisher.run(),
            self._poll_vm_list(),
        ]
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def _wait_for_stop(self) -> None:
        stop = asyncio.create_task(self._stopping.wait())
        done, _ = await asyncio.wait([stop, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task is not stop:
                task.result()

    async def _follow_log(self) -> None:
        await self._bootstrap.run()
        await self._journal.run()

    async def _hand_over(self) -> None:
        log("hand_over_started")
        self._membership.draining = True
        self._transport.send_now()
        await self._claim_service.wait_until_published(timeout=SETTLE_TIMEOUT_SECONDS)
        await self._shard_manager.release_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _poll_vm_list(self) -> None:
        client = ServiceClient(
            service=VMLIST_SERVICE, host=self._settings.vmlist.host, port=self._settings.vmlist.port
        )
        while True:
            try:
                reply = await client.call("List", VmListRequest(), timeout=VMLIST_TIMEOUT_SECONDS)
                self._on_vm_list(reply.vms)
            except RemoteError:
                self._counters.add("vm_list_failures")
            await asyncio.sleep(VMLIST_INTERVAL_SECONDS)

    def _surroundings(self) -> Surroundings:
        return Surroundings(
            leaving_upstreams=self._leaving_upstreams,
            live_vms=len(self._membership.live(time.monotonic())),
        )

    def _on_vm_list(self, vms: list[VmEntry]) -> None:
        self._membership.on_vm_list(vms)
        self._transport.on_vm_list(vms)
        leaving = sorted(vm.name for vm in vms if vm.role == "upstream" and vm.state == "leaving")
        if tuple(leaving) != self._leaving_upstreams:
            log("upstreams_leaving", names=leaving)
            self._leaving_upstreams = tuple(leaving)
            self._waiters.wake("settings")

    def _on_record(self, offset: int, record: Record) -> None:
        if isinstance(record.body, SnapshotPart):
            complete = self._assembler.add(offset, record.body)
            if complete is not None:
                self._snapshot_publisher.on_snapshot(complete.through_offset)
            return
        self._state.on_record(offset, record)

    def _on_invalid(self, offset: int, fault: str) -> None:
        log("invalid_record", offset=offset, fault=fault)

    def _on_gap(self, error: GapError) -> None:
        log("log_gap", reason=error.reason, next=error.next_offset, first=error.first_offset)
        task = asyncio.create_task(self._bootstrap.run())
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _on_change(self, change: StateChange) -> None:
        for job in change.jobs:
            self._waiters.wake(f"job/{job.job_id}")
        if change.settings:
            self._waiters.wake("settings")
        if change.request:
            self._waiters.wake(f"request/{change.request}")
        self._shard_manager.on_change(change)

    def _heartbeat(self) -> Heartbeat:
        settings = self._settings
        age = self._journal.freshness_age(time.monotonic())
        return Heartbeat(
            vm=settings.vm,
            incarnation=self._membership.incarnation,
            host=settings.host,
            port=settings.grpc_port,
            region=settings.region,
            failure_domain=settings.failure_domain,
            log_offset=self._journal.next_offset,
            fresh_age_seconds=min(age, UNKNOWN_AGE_SECONDS),
            log_reachable=self._journal.log_reachable,
            draining=self._membership.draining,
        )

    def _explain_locally(self, job_id: str) -> str:
        job = self._state.jobs.get(job_id)
        owner = self._shard_manager.region_owner(job.region) if job is not None else None
        return owner.explain(job_id) if owner is not None else ""

    async def _explain(self, job: JobEntry) -> str:
        local_text = self._explain_locally(job.job_id)
        if local_text:
            return local_text
        owner = self._state.ownership.owner(region_shard(job.region))
        if owner is None:
            return "no VM owns the region at the moment"
        remote_text = await self._peers.explain(owner.vm, job.job_id)
        return remote_text or f"the owner of the region, {owner.vm}, did not answer"

    async def _find_preempted_jobs(self, put: SettingsPut, model: Settings) -> PreemptedJobs:
        """Return the jobs that a settings change would preempt, asking all owners of regions."""
        ownership = self._state.ownership
        owners = {ownership.owner(s) for s in ownership.shards() if s != SNAPSHOT_SHARD}
        others = sorted({o.vm for o in owners if o is not None} - {self._settings.vm})
        found = set(self._shard_manager.preempted_by(model))
        failed = []
        for vm in others:
            jobs = await self._peers.preempted_jobs(vm, put)
            found.update(jobs or ())
            failed += [vm] if jobs is None else []
        problem = f"preempted jobs unknown: no answer from {', '.join(failed)}" if failed else ""
        return PreemptedJobs(job_ids=sorted(found), problem=problem)

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._stopping.set)


def run_process(settings: Any) -> None:
    """Run a scheduler process with validated settings."""
    asyncio.run(SchedulerProcess(settings=settings).run())
