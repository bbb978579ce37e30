"""Scheduling of one region by the VM that owns it."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import defaultdict
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.core import decisions as decided
from zinniaweir.core import events
from zinniaweir.core.scheduler import Scheduler
from zinniaweir.core.topology import Topology
from zinniaweir.scheduler import core_inputs
from zinniaweir.scheduler.gangs import Gang, GangRunner, StartOutcome
from zinniaweir.scheduler.owner_records import OwnerRecords
from zinniaweir.scheduler.state import StateChange, region_shard
from zinniaweir.scheduler.takeover import ReportedGang, WorkerInventory, collect_inventory
from zinniaweir.scheduler.worker_link import (
    EpochSuperseded,
    StaleEpochError,
    WorkerLink,
    WorkerReachable,
    WorkerReport,
    WorkerUnreachable,
)
from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from zinniaweir.core.settings import Settings as CoreSettings
    from zinniaweir.core.topology import Worker
    from zinniaweir.journal.journal import Journal
    from zinniaweir.scheduler.jobs import JobEntry
    from zinniaweir.scheduler.state import ClusterState
    from zinniaweir.settings.model import Settings
    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.telemetry.timers import Timers
    from zinniaweir.wire.records import WorkerLoss
    from zinniaweir.wire.worker_service import WorkerEvent

MAX_WAIT_SECONDS: Final = 5.0
"""Maximum time to wait for messages before the core's wakeup time is checked again."""
WORKER_FAULT_REASONS: Final = frozenset({"start_failed", "busy", "unknown_gang"})
"""Start failures that count against the worker. An unreachable worker is reported as lost."""
STOP_RETRY_LIMIT_SECONDS: Final = 1.0
"""How long a stop is retried on workers that do not answer; then their leases expire."""


class RegionOwner:
    """Pass events of one region to the scheduling core and execute its decisions.

    Args:
        region: Name of the region.
        epoch: Ownership epoch; workers refuse commands with an older one.
        state: Cluster state that this VM folds from the log.
        journal: Journal on which records are published.
        counters: Counters of the process.
        timers: Timers of the process.
    """

    def __init__(
        self,
        *,
        region: str,
        epoch: int,
        state: ClusterState,
        journal: Journal,
        counters: Counters,
        timers: Timers,
    ) -> None:
        self.region = region
        """Name of the region."""
        self.epoch = epoch
        """Ownership epoch under which this owner acts."""
        self._state = state
        self._journal = journal
        self._counters = counters
        self._timers = timers
        self._inbox: asyncio.Queue[Any] = asyncio.Queue()
        self._links: dict[str, WorkerLink] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._gangs: dict[tuple[str, int], Gang] = {}
        self._starting: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._member_checkpoints: dict[tuple[str, int], dict[int, float]] = defaultdict(dict)
        self._wall_clock_offset = time.time() - time.monotonic()
        self._domains_out: set[str] = set()
        self._core: Scheduler | None = None
        self._workers_cache: tuple[Settings | None, dict[str, Worker]] = (None, {})
        self._core_workers: dict[str, Worker] = {}
        self._core_settings: CoreSettings | None = None
        self._runner = GangRunner(
            region=region,
            epoch=epoch,
            journal=journal,
            links=self._links,
            leases=core_inputs.lease_settings(state.settings.model),
            start_refusal=self._start_refusal,
        )
        self._records = OwnerRecords(
            region=region, epoch=epoch, runner=self._runner, counters=counters
        )

    def on_change(self, change: StateChange) -> None:
        """Queue a change of the cluster state that concerns settings or jobs."""
        if change.settings or change.jobs:
            self._inbox.put_nowait(change)

    def explain(self, job_id: str) -> str:
        """Return in one line why a job waits."""
        if self._core is None:
            return "the new owner of the region reads the state of its workers"
        explanation = self._core.explain(job_id)
        return f"{explanation.reason}: {explanation.detail}".rstrip(": ")

    def preempted_by(self, settings: Settings) -> list[str]:
        """Return the ids of the jobs that new settings would preempt, sorted."""
        if self._core is None:
            return []
        jobs: list[str] = []
        for domain in sorted(core_inputs.domains_out(settings, self.region) - self._domains_out):
            jobs += self._core.preview(events.FailureDomainOut(failure_domain=domain))
        jobs += self._core.preview(self._settings_changed(settings))
        return sorted(set(jobs))

    async def run(self) -> None:
        """Take over the region and schedule it until cancelled or superseded by a later epoch."""
        log("region_taken_over", region=self.region, epoch=self.epoch)
        try:
            self._spawn(self._records.run())
            await self._take_over()
            await self._schedule()
        except StaleEpochError:
            log("region_superseded", region=self.region, epoch=self.epoch)
        finally:
            await self._close()

    @property
    def _now(self) -> float:
        """Wall clock time in seconds, without clock adjustments since the owner was made."""
        return time.monotonic() + self._wall_clock_offset

    # Takeover

    async def _take_over(self) -> None:
        settings = self._state.settings.model
        self._update_links(settings)
        inventory = await collect_inventory(self._links.values())
        self._core_workers = self._workers(settings)
        self._core_settings = core_inputs.core_settings(settings, self.region)
        self._core = Scheduler(
            topology=Topology(workers=tuple(self._core_workers.values())),
            settings=self._core_settings,
        )
        self._start_links()
        for worker in inventory.unreachable:
            self._handle_event(events.WorkerLost(worker=worker))
        self._adopt_jobs(inventory)
        self._apply_failure_domains(settings)

    def _adopt_jobs(self, inventory: WorkerInventory) -> None:
        adopted = set()
        waiting: list[JobEntry] = []
        losses: dict[str, tuple[WorkerLoss, ...]] = {}
        for job in self._state.jobs.active(self.region):
            key = (job.job_id, job.attempt)
            reported = inventory.gangs.get(key, ReportedGang())
            if job.state in ("starting", "running") and self._adopt_gang(job, reported):
                adopted.add(key)
            elif job.state in ("starting", "running"):
                losses[job.job_id] = core_inputs.losses_at_takeover(
                    job, inventory.unreachable, self._now
                )
                if self._end_lost_attempt(job, losses[job.job_id]):
                    waiting.append(job)
            else:
                waiting.append(job)
        for key, reported in inventory.gangs.items():
            if key not in adopted and reported.tasks:
                self._stop_orphan_gang(key, reported.workers)
        for job in waiting:
            self._enqueue(job, losses.get(job.job_id, job.losses))
        cancelled = [j.job_id for j in self._state.jobs.active(self.region) if j.cancel_requested]
        if cancelled:
            self._handle_event(events.JobCancelled(job_ids=tuple(cancelled)))

    def _adopt_gang(self, job: JobEntry, reported: ReportedGang) -> bool:
        if not reported.is_complete(job):
            return False
        gang = Gang(
            job_id=job.job_id,
            attempt=job.attempt,
            spec=job.spec,
            members=job.members,
            done_fraction=job.done_fraction,
        )
        adopted = self._core.restore_running(
            job=core_inputs.core_job(job),
            attempt=job.attempt,
            members=core_inputs.core_members(job.members),
            started_at=job.started_at or self._now,
            done_fraction=job.done_fraction,
            losses=core_inputs.core_losses(job.losses),
        )
        if not adopted:
            return False
        self._counters.add("gangs_adopted")
        self._gangs[job.job_id, job.attempt] = gang
        for worker in gang.workers:
            self._links[worker].start_renewing(job.job_id, job.attempt)
        if job.state == "starting":
            self._spawn(self._runner.record_start(gang))
        for worker, event in reported.last_events.values():
            self._on_worker_event(worker, event)
        return True

    def _end_lost_attempt(self, job: JobEntry, losses: tuple[WorkerLoss, ...]) -> bool:
        """End an attempt that cannot be adopted; return whether its job waits again.

        Args:
            job: The job; it is requeued if it is idempotent.
            losses: All attempts of the job that were lost with their workers.
        """
        self._counters.add("gangs_lost_at_takeover")
        if not job.spec.idempotent:
            self._records.finish(job.job_id, "unknown", "owner_changed")
            return False
        self._records.requeue(job, "owner_changed", done_fraction=job.done_fraction, losses=losses)
        return True

    def _stop_orphan_gang(self, key: tuple[str, int], workers: tuple[str, ...]) -> None:
        self._counters.add("remnants_stopped")
        self._spawn(self._runner.stop_on(key, workers))

    # Main loop

    async def _schedule(self) -> None:
        while True:
            for message in await self._next_messages():
                self._on_message(message)
            wakeup = self._core.next_wakeup()
            if wakeup is not None and wakeup <= self._now:
                self._handle_event(events.Tick())

    async def _next_messages(self) -> list[Any]:
        wakeup = self._core.next_wakeup()
        remaining = MAX_WAIT_SECONDS if wakeup is None else wakeup - self._now
        messages = []
        # In Python 3.11, asyncio.wait_for loses a cancellation that coincides with a message.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(max(remaining, 0.0), MAX_WAIT_SECONDS)):
                messages.append(await self._inbox.get())
        while not self._inbox.empty():
            messages.append(self._inbox.get_nowait())
        return messages

    def _handle_event(self, event: events.Event) -> None:
        started = time.perf_counter()
        decisions = self._core.handle(event, now=self._now)
        self._timers.record("decision", time.perf_counter() - started, label=type(event).__name__)
        for decision in decisions:
            self._counters.add("decisions", reason=f"{type(decision).__name__}:{_reason(decision)}")
            self._execute(decision)

    @singledispatchmethod
    def _on_message(self, message: Any) -> None:
        """Pass an event to the core; messages of other types have handlers of their own."""
        self._handle_event(message)

    @_on_message.register
    def _(self, message: EpochSuperseded) -> None:
        raise StaleEpochError

    @_on_message.register
    def _(self, message: StartOutcome) -> None:
        gang = message.gang
        self._starting.pop((gang.job_id, gang.attempt), None)
        if message.started:
            self._spawn(self._runner.record_start(gang))
            self._handle_event(events.GangStarted(job_id=gang.job_id, attempt=gang.attempt))
            return
        self._counters.add("start_failures", reason=message.reason)
        log("gang_start_failed", job_id=gang.job_id, worker=message.worker, reason=message.reason)
        self._remove_gang(gang)
        if message.reason == "stale_epoch":
            raise StaleEpochError
        if message.reason == "unreachable" and message.worker in self._links:
            # Otherwise the core would place the job on the same worker again at once.
            link = self._links[message.worker]
            link.mark_unreachable()
            self._handle_event(
                events.WorkerLost(worker=message.worker, silent_seconds=link.silent_seconds)
            )
        faulty_worker = message.worker if message.reason in WORKER_FAULT_REASONS else None
        self._handle_event(
            events.GangStartFailed(
                job_id=gang.job_id,
                attempt=gang.attempt,
                worker=faulty_worker,
                reason=message.reason,
                may_have_run=message.may_have_run,
            )
        )

    @_on_message.register
    def _(self, message: WorkerReport) -> None:
        for event in message.events:
            self._on_worker_event(message.worker, event)
        for usage in message.usage:
            self._handle_event(
                events.UsageReported(
                    job_id=usage.job_id,
                    attempt=usage.attempt,
                    member=usage.member,
                    cores=usage.cores,
                    memory_bytes=usage.memory_bytes,
                    measured_at=self._now - usage.age_seconds,
                )
            )

    @_on_message.register
    def _(self, message: WorkerUnreachable) -> None:
        self._handle_event(
            events.WorkerLost(worker=message.worker, silent_seconds=message.silent_seconds)
        )

    @_on_message.register
    def _(self, message: WorkerReachable) -> None:
        worker = self._workers(self._state.settings.model).get(message.worker)
        if worker is not None:
            self._spawn(self._stop_orphans_and_join(message.worker, worker))

    @_on_message.register
    def _(self, message: StateChange) -> None:
        if message.settings:
            self._apply_settings(self._state.settings.model)
        cancelled = []
        for job in message.jobs:
            if job.region != self.region or job.is_ended:
                continue
            if job.cancel_requested:
                cancelled.append(job.job_id)
            elif job.state == "waiting" and not job.attempt:
                self._enqueue(job, job.losses)
        if cancelled:
            self._handle_event(events.JobCancelled(job_ids=tuple(cancelled)))

    def _on_worker_event(self, worker: str, event: WorkerEvent) -> None:
        key = (event.job_id, event.attempt)
        gang = self._gangs.get(key)
        if gang is None:
            return
        if not any((m.worker, m.member) == (worker, event.member) for m in gang.members):
            # An unknown member would raise an error in the core, and again in each next owner.
            self._counters.add("worker_events_refused", reason="not_its_member")
            return
        if event.kind == "checkpointed" or (
            event.kind == "done" and key in self._member_checkpoints
        ):
            self._on_member_checkpointed(gang, event)
        elif event.kind in ("done", "failed", "lease_lapsed"):
            if event.kind != "done":
                self._counters.add("task_exits", reason=event.kind)
            self._handle_event(
                events.TaskExited(
                    job_id=event.job_id,
                    attempt=event.attempt,
                    outcome=event.kind,
                    member=event.member,
                    reason=event.reason,
                )
            )

    def _on_member_checkpointed(self, gang: Gang, event: WorkerEvent) -> None:
        ended = self._member_checkpoints[gang.job_id, gang.attempt]
        ended[event.member] = event.done_fraction
        if len(ended) < len(gang.members):
            return
        del self._member_checkpoints[gang.job_id, gang.attempt]
        self._remove_gang(gang)
        self._handle_event(
            events.CheckpointFinished(
                job_id=gang.job_id, attempt=gang.attempt, done_fraction=min(ended.values())
            )
        )

    # Decisions

    @singledispatchmethod
    def _execute(self, decision: Any) -> None:
        raise TypeError(f"unknown decision {type(decision).__name__}")

    @_execute.register
    def _(self, decision: decided.StartGang) -> None:
        job = self._state.jobs.get(decision.job_id)
        gang = Gang(
            job_id=decision.job_id,
            attempt=decision.attempt,
            spec=job.spec,
            members=core_inputs.record_members(decision.members),
            done_fraction=decision.done_fraction,
        )
        key = (gang.job_id, gang.attempt)
        self._gangs[key] = gang
        self._starting[key] = self._spawn(self._start_gang(gang))

    @_execute.register
    def _(self, decision: decided.CheckpointGang) -> None:
        gang = self._gangs.get((decision.job_id, decision.attempt))
        if gang is not None:
            self._member_checkpoints[decision.job_id, decision.attempt] = {}
            self._spawn(self._runner.checkpoint(gang))

    @_execute.register
    def _(self, decision: decided.StopGang) -> None:
        gang = self._gangs.get((decision.job_id, decision.attempt))
        if gang is not None:
            self._spawn(self._stop_gang(gang))

    @_execute.register
    def _(self, decision: decided.RefuseJob) -> None:
        if not decision.kept_waiting:
            self._records.finish(decision.job_id, "not_run", _reason_and_detail(decision))
            return
        job = self._state.jobs.get(decision.job_id)
        if job is not None:
            self._records.requeue(job, f"refused: {_reason_and_detail(decision)}")

    @_execute.register
    def _(self, decision: decided.RequeueJob) -> None:
        job = self._state.jobs.get(decision.job_id)
        if job is not None:
            self._records.requeue(
                job,
                str(decision.reason),
                attempt=decision.attempt,
                checkpointed=decision.checkpointed,
                done_fraction=decision.done_fraction,
                losses=core_inputs.recorded_losses(decision.losses),
            )
        gang = self._gangs.get((decision.job_id, decision.attempt))
        if gang is not None:
            self._remove_gang(gang)

    @_execute.register
    def _(self, decision: decided.FinishJob) -> None:
        for key in [key for key in self._gangs if key[0] == decision.job_id]:
            self._remove_gang(self._gangs[key])
        self._records.finish(decision.job_id, decision.state, _reason_and_detail(decision))

    @_execute.register
    def _(self, decision: decided.ThrottleTask) -> None:
        gang = self._gangs.get((decision.job_id, decision.attempt))
        if gang is not None:
            self._spawn(self._runner.throttle(gang, member=decision.member, share=decision.share))

    @_execute.register
    def _(self, decision: decided.QuarantineWorker) -> None:
        log("worker_quarantined", worker=decision.worker, reason=str(decision.reason))

    @_execute.register
    def _(self, decision: decided.ReleaseWorker) -> None:
        log("worker_probed", worker=decision.worker, reason=str(decision.reason))

    # Commands

    async def _start_gang(self, gang: Gang) -> None:
        started = time.monotonic()
        outcome = await self._runner.start(gang)
        if outcome.started:
            self._timers.record("gang_start", time.monotonic() - started, label=gang.spec.priority)
        self._inbox.put_nowait(outcome)

    async def _stop_gang(self, gang: Gang) -> None:
        start = self._starting.pop((gang.job_id, gang.attempt), None)
        if start is not None:
            start.cancel()
            await asyncio.gather(start, return_exceptions=True)
        await self._runner.stop(gang, retry_seconds=STOP_RETRY_LIMIT_SECONDS)
        self._member_checkpoints.pop((gang.job_id, gang.attempt), None)
        if not self._runner.may_have_run(gang):
            # No start command was sent, for example because the start waited for the log. The
            # job can run later.
            self._inbox.put_nowait(StartOutcome(gang=gang, started=False, reason="withdrawn"))
            return
        self._inbox.put_nowait(events.GangStopped(job_id=gang.job_id, attempt=gang.attempt))

    async def _stop_orphans_and_join(self, name: str, worker: Any) -> None:
        """Stop orphan tasks on a worker that answers again, then pass `WorkerJoined` on."""
        link = self._links.get(name)
        if link is None:
            return
        ran_on = False
        with contextlib.suppress(Exception):
            tasks = (await link.list()).tasks
            # A worker that restarted has neither tasks nor events.
            ran_on = bool(tasks or await link.retained_events())
            for task in tasks:
                if (task.job_id, task.attempt) not in self._gangs:
                    await self._runner.stop_on((task.job_id, task.attempt), (name,))
        self._inbox.put_nowait(events.WorkerJoined(worker=worker, ran_on=ran_on))

    def _start_refusal(self, gang: Gang) -> str:
        """Return why a gang must not start now, or an empty string if it may."""
        settings = self._state.settings.model
        limit = settings.policy.max_start_freshness_seconds
        if not self._journal.is_fresh(limit, time.monotonic()):
            return "not_fresh"
        if self._state.ownership.epoch(region_shard(self.region)) != self.epoch:
            return "stale_epoch"
        workers = self._workers(settings)
        out = core_inputs.domains_out(settings, self.region)
        for name in gang.workers:
            if name not in workers:
                return "unknown_worker"
            if workers[name].failure_domain in out:
                return "failure_domain_out"
        job = self._state.jobs.get(gang.job_id)
        return "cancelled" if job is None or job.is_ended or job.cancel_requested else ""

    # Settings and workers

    def _apply_settings(self, settings: Settings) -> None:
        self._update_links(settings)
        self._start_links()
        event = self._settings_changed(settings)
        if event.topology is not None or event.settings != self._core_settings:
            # The core recomputes every guarantee allocation on this event. Most settings changes,
            # such as limits, do not concern it.
            self._handle_event(event)
            self._core_settings = event.settings
        self._core_workers = self._workers(settings)
        self._apply_failure_domains(settings)

    def _workers(self, settings: Settings) -> dict[str, Worker]:
        """Return the workers of the region by name.

        The same dictionary is returned until the workers change, so that callers can compare by
        identity.
        """
        known, workers = self._workers_cache
        if known is None or known.topology is not settings.topology:
            found = core_inputs.region_workers(settings, self.region)
            workers = workers if found == workers else found
            self._workers_cache = (settings, workers)
        return workers

    def _settings_changed(self, settings: Settings) -> events.SettingsChanged:
        workers = self._workers(settings)
        return events.SettingsChanged(
            settings=core_inputs.core_settings(settings, self.region),
            topology=None
            if workers is self._core_workers
            else Topology(workers=tuple(workers.values())),
        )

    def _apply_failure_domains(self, settings: Settings) -> None:
        out = core_inputs.domains_out(settings, self.region)
        for domain in sorted(out - self._domains_out):
            self._handle_event(events.FailureDomainOut(failure_domain=domain))
        for domain in sorted(self._domains_out - out):
            self._handle_event(events.FailureDomainIn(failure_domain=domain))
        self._domains_out = out

    def _update_links(self, settings: Settings) -> None:
        names = self._workers(settings)
        for name in names:
            worker = settings.topology.workers[name]
            link = self._links.get(name)
            if link is not None and link.address == (worker.host, worker.port):
                continue
            self._remove_link(name)
            self._links[name] = WorkerLink(
                worker=name,
                host=worker.host,
                port=worker.port,
                epoch=self.epoch,
                leases=core_inputs.lease_settings(settings),
                post=self._inbox.put_nowait,
                former=link,
            )
        for name in [name for name in self._links if name not in names]:
            self._remove_link(name)

    def _start_links(self) -> None:
        for name, link in self._links.items():
            if name not in self._link_tasks:
                self._link_tasks[name] = asyncio.create_task(link.run())

    def _remove_link(self, name: str) -> None:
        self._links.pop(name, None)
        task = self._link_tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def _enqueue(self, job: JobEntry, losses: tuple[WorkerLoss, ...]) -> None:
        self._handle_event(
            events.JobArrived(
                job=core_inputs.core_job(job),
                attempt=job.attempt,
                done_fraction=job.done_fraction,
                losses=core_inputs.core_losses(losses),
            )
        )

    def _remove_gang(self, gang: Gang) -> None:
        self._runner.discard(gang)
        self._gangs.pop((gang.job_id, gang.attempt), None)
        for worker in gang.workers:
            if worker in self._links:
                self._links[worker].stop_renewing(gang.job_id, gang.attempt)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _close(self) -> None:
        tasks = [*self._tasks, *self._link_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _reason(decision: Any) -> str:
    return str(getattr(decision, "reason", ""))


def _reason_and_detail(decision: Any) -> str:
    return f"{decision.reason}: {decision.detail}".rstrip(": ")
