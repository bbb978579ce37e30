"""The scheduling state machine of one region: it takes events and returns decisions."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Final

from zinniaweir.core.coverage import CoveredGuarantee, GuaranteeCoverage
from zinniaweir.core.decisions import (
    CheckpointGang,
    Decision,
    Explanation,
    FinishJob,
    QuarantineWorker,
    Reason,
    RefuseJob,
    ReleaseWorker,
    RequeueJob,
    StartGang,
    StopGang,
    ThrottleTask,
)
from zinniaweir.core.events import (
    CheckpointFinished,
    Event,
    FailureDomainIn,
    FailureDomainOut,
    GangStarted,
    GangStartFailed,
    GangStopped,
    JobArrived,
    JobCancelled,
    SettingsChanged,
    TaskExited,
    Tick,
    UsageReported,
    WorkerJoined,
    WorkerLost,
)
from zinniaweir.core.fragmentation import Fragmentation, measure_fragmentation
from zinniaweir.core.gangs import Gang, Phase
from zinniaweir.core.job import PRIORITIES, Job
from zinniaweir.core.losses import LossRecords, WorkerLoss
from zinniaweir.core.nodes import Node, Use
from zinniaweir.core.plans import StartPlan
from zinniaweir.core.pool import Pool
from zinniaweir.core.preemption import PreemptionPlanner
from zinniaweir.core.quarantine import (
    FAILURES_TO_FAIL_JOB,
    WORKERS_TO_FAIL_JOB,
    Quarantine,
)
from zinniaweir.core.quotas import Quotas
from zinniaweir.core.ramps import Ramps
from zinniaweir.core.reservations import Reservations
from zinniaweir.core.runtimes import RunTimes
from zinniaweir.core.settings import Settings
from zinniaweir.core.shape import Member, Shape
from zinniaweir.core.snapshot import (
    CoreState,
    GangState,
    HomeState,
    decode_state,
    encode_state,
    gang_state,
)
from zinniaweir.core.start_order import StartOrder
from zinniaweir.core.starts import StartPlanner
from zinniaweir.core.timers import Timer, Timers
from zinniaweir.core.topology import Topology
from zinniaweir.core.usage import UsageMonitor
from zinniaweir.core.waiting import WaitingQueue

MAX_STARTS_PER_CALL: Final = 32
"""Gang starts in one call; the rest waits for the next wake-up, so that a call stays short."""
MAX_PLACEMENT_SEARCHES_PER_CALL: Final = 48
"""Placement searches in one call; a cancelled job that is met in the queue counts as one."""
MAX_CANCELLATIONS_PER_CALL: Final = 200
"""Cancelled jobs ended in one call; those that remain cannot start in the meantime."""
MAX_PREEMPTION_SEARCHES_PER_CALL: Final = 2
"""Preemption searches in one call; each examines the gangs of many workers."""
PREEMPT_AFTER_SECONDS: Final = 5.0
"""Wait before preemption for a job that is not urgent, because capacity may become free."""
PREEMPTION_INTERVAL_SECONDS: Final = 5.0
"""Minimum time between preemption searches for the same gang."""
THROTTLE_SHARE: Final = 0.5
"""Share of its processor time that a throttled task keeps."""
STOP_RETRY_SECONDS: Final = 10.0
"""Time after which an unanswered StopGang is sent again."""


class Scheduler:
    """Decide starts, stops and refusals for the gangs of one region.

    It does no I/O and reads no clock: the caller passes the time with each event.
    """

    def __init__(self, *, topology: Topology, settings: Settings) -> None:
        self._topology = topology
        self._settings = settings
        self._pool = Pool(topology)
        self._gangs: dict[str, Gang] = {}
        self._waiting = WaitingQueue()
        self._parked: dict[str, Gang] = {}
        self._domains_out: set[str] = set()
        self._run_times = RunTimes()
        self._quarantine = Quarantine()
        self._losses = LossRecords()
        self._usage_monitor = UsageMonitor()
        self._timers = Timers()
        self._ramps = Ramps()
        self._cancelled: deque[str] = deque()
        self._sequence = 0
        self._capacity_version = 0
        self._more_work = False
        self._now = 0.0
        self._decisions: list[Decision] = []
        self._coverage = GuaranteeCoverage(pool=self._pool, gangs=self._gangs, settings=settings)
        self._quotas = Quotas(settings)
        self._make_planners()

    def handle(self, event: Event, *, now: float) -> list[Decision]:
        """Apply an event and return the decisions that follow from it.

        Args:
            event: What happened.
            now: Current time in seconds; a time before that of an earlier call is ignored.
        """
        self._now = max(now, self._now)
        self._decisions = []
        self._fire_timers()
        self._apply(event)
        self._process_cancellations()
        self._schedule()
        decisions, self._decisions = self._decisions, []
        return decisions

    def next_wakeup(self) -> float | None:
        """Return when a Tick is due, or None if nothing changes before another event."""
        if self._more_work or self._cancelled:
            return self._now
        return self._timers.next_due

    def restore_running(
        self,
        *,
        job: Job,
        attempt: int,
        members: tuple[Member, ...],
        started_at: float,
        done_fraction: float = 0.0,
        losses: tuple[WorkerLoss, ...] = (),
    ) -> bool:
        """Adopt a gang whose members all run, after another process owned the region.

        Args:
            job: The job of the gang.
            attempt: Number of the attempt that runs.
            members: Where each member runs.
            started_at: When the attempt started, in seconds of `now`.
            done_fraction: Share of the work that an earlier checkpoint holds.
            losses: Earlier attempts that were lost with their workers.

        Returns:
            False if the job is known already, a worker is unknown or an accelerator is in use; the
            caller then stops the gang and submits the job again.
        """
        if job.job_id in self._gangs:
            return False
        try:
            slots = self._pool.slots(members, job.shape)
        except KeyError:
            return False
        if any(slot.mask & self._pool.nodes[slot.node].busy for slot in slots):
            return False
        gang = self._new_gang(job, attempt, done_fraction)
        gang.phase = Phase.RUNNING
        gang.losses = losses
        gang.started_at = started_at
        gang.slots = slots
        gang.use = Use.RECLAIMABLE if job.reclaimable else Use.NON_RECLAIMABLE
        allocation = self._coverage.assign_allocation(gang)
        if allocation is not None:
            gang.use, gang.allocation = Use.OWNED, allocation
        self._hold(gang)
        self._quotas.add(job)
        if gang.use is Use.NON_RECLAIMABLE:
            self._coverage.resolve_conflicts({slot.node for slot in slots})
        return True

    def fragmentation(self) -> Fragmentation:
        """Return how much of the free capacity cannot serve guaranteed and waiting shapes."""
        demand = Counter[Shape]()
        for guarantee in self._settings.guarantees:
            demand[guarantee.shape] += guarantee.count
        for found in self._waiting.classes():
            demand[found.key[2]] += len(found.entries)
        return measure_fragmentation(self._pool, demand)

    def guarantee_coverage(self) -> list[CoveredGuarantee]:
        """Return how many gangs of each guarantee have capacity set aside at the moment."""
        return self._coverage.state()

    def members(self, job_id: str) -> tuple[Member, ...]:
        """Return where each member of a gang is placed; empty if the gang holds no capacity."""
        gang = self._gangs.get(job_id)
        return self._pool.members(gang.slots) if gang else ()

    def explain(self, job_id: str) -> Explanation:
        """Return why a job waits, or the phase that it is in."""
        gang = self._gangs.get(job_id)
        if gang is None:
            return Explanation(job_id=job_id, reason=Reason.UNKNOWN_JOB)
        match gang.phase:
            case Phase.WAITING:
                reason, detail = self._waiting_reason(gang)
            case Phase.PARKED:
                refusal = self._permanent_refusal(gang)
                reason, detail = refusal or (Reason.QUEUED, "")
            case Phase.CLAIMING:
                reason = Reason.WAITING_FOR_RECLAIM
                detail = f"waits for {len(gang.victims)} gangs to end"
            case Phase.STARTING:
                reason, detail = Reason.STARTING, str(gang.start_reason)
            case Phase.RUNNING:
                reason, detail = Reason.RUNNING, str(gang.start_reason)
            case _:
                reason, detail = Reason.STOPPING, str(gang.end_reason)
        return Explanation(job_id=job_id, reason=reason, detail=detail)

    def preview(self, change: SettingsChanged | FailureDomainOut) -> list[str]:
        """Return the jobs that a change would end, at once or when a guarantee is reclaimed.

        The scheduler itself does not change; a change of settings is applied to a copy.
        """
        if isinstance(change, FailureDomainOut):
            nodes = self._pool.domain_nodes(change.failure_domain)
            return sorted({job_id for node in nodes for job_id in node.held})
        copy = Scheduler.restore(self.snapshot())
        before = copy._coverage.borrowers()
        decisions = copy.handle(change, now=self._now)
        ended = {d.job_id for d in decisions if isinstance(d, CheckpointGang | StopGang)}
        return sorted(ended | (copy._coverage.borrowers() - before))

    def snapshot(self) -> dict[str, Any]:
        """Return the state as plain data that `restore` accepts."""
        state = CoreState(
            now=self._now,
            topology=self._topology,
            settings=self._settings,
            out=sorted(self._domains_out),
            lost_workers=[n.worker.name for n in self._pool.nodes if not n.live],
            homes=[
                HomeState(guarantee=guarantee, copy=copy, slots=slots)
                for (guarantee, copy), slots in self._coverage.slots_by_allocation().items()
            ],
            gangs=[
                gang_state(gang, self._pool.members(gang.slots)) for gang in self._gangs.values()
            ],
            run_times=self._run_times.to_data(),
            quarantine=self._quarantine.to_data(),
            ramps=self._ramps.to_data(),
        )
        return encode_state(state)

    @classmethod
    def restore(cls, data: dict[str, Any]) -> Scheduler:
        """Return a scheduler with a state that `snapshot` returned.

        Args:
            data: The plain data of the snapshot.

        Raises:
            msgspec.ValidationError: If the data is not a snapshot.
        """
        state = decode_state(data)
        scheduler = cls(topology=state.topology, settings=state.settings)
        scheduler._load(state)
        return scheduler

    def _load(self, state: CoreState) -> None:
        self._now = state.now
        self._domains_out = set(state.out)
        self._run_times.load(state.run_times)
        self._quarantine.load(state.quarantine)
        self._ramps.load(state.ramps)
        lost = set(state.lost_workers)
        for node in self._pool.nodes:
            name = node.worker.name
            node.live = name not in lost
            node.domain_in = node.worker.failure_domain not in self._domains_out
            node.quarantined, node.probing = self._quarantine.status(name)
            self._pool.refresh(node)
        for name, until in self._quarantine.quarantine_ends():
            self._timers.arm(until, "probe", name)
        for entry in state.gangs:
            self._load_gang(entry)
        self._coverage.place_all({(h.guarantee, h.copy): h.slots for h in state.homes})
        for gang in self._gangs.values():
            allocation = self._coverage.assign_allocation(gang) if gang.placed else None
            if allocation is not None:
                gang.use, gang.allocation = Use.OWNED, allocation
                self._pool.change_use(gang.job.job_id, gang.slots, Use.OWNED)

    def _load_gang(self, entry: GangState) -> None:
        gang = self._new_gang(entry.job, entry.attempt, entry.done_fraction)
        gang.phase, gang.started_at, gang.ready_at = entry.phase, entry.started_at, entry.ready_at
        gang.start_reason, gang.end_reason = entry.start_reason, entry.end_reason
        gang.failed_member, gang.cancelled = entry.failed_member, entry.cancelled
        gang.exited, gang.failed_workers = set(entry.exited), set(entry.failed_workers)
        gang.losses = entry.losses
        if gang.cancelled:
            self._cancelled.append(entry.job.job_id)
        if gang.phase is Phase.WAITING:
            self._waiting.add(gang)
            return
        if gang.phase is Phase.PARKED:
            self._parked[entry.job.job_id] = gang
            self._arm(gang, self._now + self._settings.policy.parked_seconds, "parked")
            return
        gang.use = Use.RECLAIMABLE if gang.job.reclaimable else Use.NON_RECLAIMABLE
        gang.slots = self._pool.slots(entry.members, entry.job.shape)
        self._hold(gang)
        self._quotas.add(entry.job)
        if entry.limit is not None:
            self._set_limit(gang, entry.limit)
        if gang.phase is Phase.STARTING:
            self._arm(gang, self._now + self._settings.policy.start_seconds, "start")

    # Events

    @singledispatchmethod
    def _apply(self, event: Any) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_apply.register
    def _(self, event: Tick) -> None:
        pass

    @_apply.register
    def _(self, event: JobArrived) -> None:
        if event.job.job_id in self._gangs:
            return
        gang = self._new_gang(event.job, event.attempt, event.done_fraction)
        gang.losses = event.losses
        self._enqueue(gang)

    @_apply.register
    def _(self, event: JobCancelled) -> None:
        for job_id in event.job_ids:
            gang = self._gangs.get(job_id)
            if gang is not None and not gang.cancelled:
                gang.cancelled = True
                self._cancelled.append(job_id)

    @_apply.register
    def _(self, event: GangStarted) -> None:
        gang = self._current_attempt(event.job_id, event.attempt)
        if gang is None or gang.phase is not Phase.STARTING:
            return
        gang.phase = Phase.RUNNING
        gang.started_at = self._now

    @_apply.register
    def _(self, event: GangStartFailed) -> None:
        gang = self._current_attempt(event.job_id, event.attempt)
        if gang is None or gang.phase not in (Phase.STARTING, Phase.STOPPING):
            return
        if gang.phase is Phase.STARTING:
            gang.end_reason = Reason.START_FAILED
        self._release(gang)
        if event.worker is not None and gang.end_reason is Reason.START_FAILED:
            self._attribute_failure(gang, event.worker)
        if event.may_have_run:
            self._finish_or_requeue(gang)
        elif gang.job.job_id in self._gangs:
            self._requeue(gang, gang.end_reason or Reason.START_FAILED)

    @_apply.register
    def _(self, event: TaskExited) -> None:
        gang = self._current_attempt(event.job_id, event.attempt)
        if gang is None or not gang.placed or gang.phase is Phase.CLAIMING:
            return
        members = range(gang.job.shape.members) if event.member is None else [event.member]
        gang.exited.update(members)
        all_exited = len(gang.exited) >= gang.job.shape.members
        if event.outcome == "done":
            if all_exited and gang.failed_member is None:
                self._finish_done(gang)
            elif all_exited:
                self._handle_failed(gang)
            return
        if gang.end_reason is None:
            failed = event.outcome == "failed"
            gang.failed_member = event.member or 0
            gang.end_reason = Reason.MEMBER_FAILED if failed else Reason.WORKER_LOST
        if all_exited:
            self._handle_stopped(gang)
        elif gang.phase is not Phase.STOPPING:
            self._stop(gang, gang.end_reason)

    @_apply.register
    def _(self, event: GangStopped) -> None:
        gang = self._current_attempt(event.job_id, event.attempt)
        if gang is not None and gang.placed and gang.phase is not Phase.CLAIMING:
            self._handle_stopped(gang)

    @_apply.register
    def _(self, event: CheckpointFinished) -> None:
        gang = self._current_attempt(event.job_id, event.attempt)
        if gang is None or not gang.placed or gang.phase is Phase.CLAIMING:
            return
        gang.done_fraction = max(gang.done_fraction, event.done_fraction)
        reason = gang.end_reason or Reason.CHECKPOINTED
        self._release(gang)
        self._requeue(gang, reason, checkpointed=True)

    @_apply.register
    def _(self, event: UsageReported) -> None:
        gang = self._current_attempt(event.job_id, event.attempt)
        if gang is None or gang.phase is not Phase.RUNNING:
            return
        action = self._usage_monitor.evaluate(event, gang.job.shape, self._now)
        if action == "throttle":
            self._decisions.append(
                ThrottleTask(
                    job_id=event.job_id,
                    attempt=event.attempt,
                    member=event.member,
                    share=THROTTLE_SHARE,
                    reason=Reason.EXCEEDS_DECLARATION,
                )
            )
        elif action == "end":
            limit = self._settings.policy.reclaim_seconds[gang.job.priority]
            self._evict(gang, Reason.EXCEEDS_DECLARATION, limit)

    @_apply.register
    def _(self, event: WorkerJoined) -> None:
        index = self._pool.topology.node_by_name.get(event.worker.name)
        if index is None or self._pool.nodes[index].worker != event.worker:
            others = tuple(w for w in self._topology.workers if w.name != event.worker.name)
            self._reconfigure(Topology(workers=(*others, event.worker)), self._settings)
            return
        node = self._pool.nodes[index]
        if event.ran_on:
            self._change_losses(lambda gangs: self._losses.clear(event.worker.name, gangs))
        if node.live:
            return
        node.live = True
        self._pool.refresh(node)
        self._coverage.place_missing()
        self._capacity_version += 1

    @_apply.register
    def _(self, event: WorkerLost) -> None:
        index = self._pool.topology.node_by_name.get(event.worker)
        if index is None or not self._pool.nodes[index].live:
            return
        node = self._pool.nodes[index]
        node.live = False
        self._pool.refresh(node)
        alive_at = self._now - event.silent_seconds
        there = [
            (gang, [n for n, slot in enumerate(gang.slots) if slot.node == index])
            for gang in (self._gangs[job_id] for job_id in node.held)
            if gang.phase is not Phase.CLAIMING
            and not gang.cancelled
            and gang.placed_at <= alive_at
        ]
        if self._losses.record(event.worker, there, now=self._now, alive_at=alive_at):
            self._change_losses(lambda gangs: self._losses.mark_shared(gangs, now=self._now))
        self._evacuate([node], Reason.WORKER_LOST)

    @_apply.register
    def _(self, event: FailureDomainOut) -> None:
        if event.failure_domain in self._domains_out:
            return
        self._domains_out.add(event.failure_domain)
        nodes = self._pool.domain_nodes(event.failure_domain)
        for node in nodes:
            node.domain_in = False
            self._pool.refresh(node)
        if nodes:
            self._ramps.end(nodes[0].domain)
        self._evacuate(nodes, Reason.FAILURE_DOMAIN_OUT)

    @_apply.register
    def _(self, event: FailureDomainIn) -> None:
        if event.failure_domain not in self._domains_out:
            return
        self._domains_out.discard(event.failure_domain)
        nodes = self._pool.domain_nodes(event.failure_domain)
        for node in nodes:
            node.domain_in = True
            self._pool.refresh(node)
            for job_id in node.held:
                self._cancel_drain(self._gangs[job_id])
        if nodes:
            seconds = self._settings.policy.return_ramp_seconds
            self._ramps.begin(nodes[0].domain, now=self._now, seconds=seconds)
        self._coverage.place_missing()
        self._capacity_version += 1

    @_apply.register
    def _(self, event: SettingsChanged) -> None:
        self._reconfigure(event.topology or self._topology, event.settings)

    # Starting

    def _schedule(self) -> None:
        """Start waiting gangs in order of rank until a limit of one call is reached."""
        self._more_work = False
        order = StartOrder(
            waiting=self._waiting,
            gangs=self._gangs,
            pool=self._pool,
            quotas=self._quotas,
            run_times=self._run_times,
            covered=self._planner.fits_idle_allocation,
            version=self._capacity_version,
            now=self._now,
        )
        starts = searches = preemption_searches = 0
        while (entry := order.pop()) is not None:
            if starts >= MAX_STARTS_PER_CALL or searches >= MAX_PLACEMENT_SEARCHES_PER_CALL:
                self._more_work = True
                return
            number, waiting_class = entry
            gang = self._gangs[waiting_class.head]
            if gang.cancelled:
                # Its cancellation may still be queued, but it must not start.
                searches += 1
                self._finish(gang, "cancelled", Reason.CANCELLED)
                order.push_back(number, waiting_class)
                continue
            if not self._quotas.allows(gang.job):
                waiting_class.blocked_version = self._capacity_version
                continue
            searches += 1
            closed_domains = self._ramps.closed_domains(self._now)
            allowed = self._reservations.allowed(gang, self._now)
            plan = self._planner.plan(
                gang, now=self._now, closed_domains=closed_domains, allowed=allowed
            )
            if (
                plan is None
                and preemption_searches < MAX_PREEMPTION_SEARCHES_PER_CALL
                and self._may_preempt(gang)
            ):
                preemption_searches += 1
                plan = self._plan_preemption(gang, closed_domains, allowed)
            if plan is None:
                waiting_class.blocked_version = self._capacity_version
                continue
            starts += 1
            self._commit_plan(gang, plan)
            order.count_placed(gang.job)
            order.push_back(number, waiting_class)

    def _plan_preemption(
        self, gang: Gang, closed_domains: frozenset[int], allowed: Callable[[int], bool] | None
    ) -> StartPlan | None:
        """Plan a start that preempts other gangs, or reserve workers for a later start."""
        job_id = gang.job.job_id
        plan = self._preemption.plan(
            gang,
            now=self._now,
            closed_domains=closed_domains,
            reserved=self._reservations.nodes(job_id),
            allowed=allowed,
        )
        if plan is None:
            self._reservations.reserve(gang, now=self._now, closed_domains=closed_domains)
        return plan

    def _may_preempt(self, gang: Gang) -> bool:
        """Return whether to search for gangs to preempt, and if so postpone the next search."""
        urgent = gang.job.priority == "urgent"
        if gang.needs_empty_workers(self._now):
            return False
        if self._now - gang.ready_at < PREEMPT_AFTER_SECONDS and not urgent:
            return False
        if self._now < gang.next_preemption_at:
            return False
        gang.next_preemption_at = self._now + PREEMPTION_INTERVAL_SECONDS
        return True

    def _commit_plan(self, gang: Gang, plan: StartPlan) -> None:
        """Assign the planned slots to a gang and start it, if need be after its victims ended."""
        self._waiting.discard(gang)
        self._reservations.release(gang.job.job_id)
        gang.slots, gang.use, gang.allocation = plan.slots, plan.use, plan.allocation
        gang.start_reason = plan.reason
        gang.victims = set(plan.victims)
        self._quotas.add(gang.job)
        self._hold(gang)
        if plan.allocation is not None:
            numbered = zip(plan.allocation_slots, plan.slots, strict=True)
            plan.allocation.used[gang.job.job_id] = list(numbered)
        if not plan.victims:
            self._start(gang)
            return
        gang.phase = Phase.CLAIMING
        seconds = self._settings.policy.reclaim_seconds[gang.job.priority]
        for job_id in plan.victims:
            victim = self._gangs.get(job_id)
            if victim is None:
                continue
            victim.claimants.add(gang.job.job_id)
            self._evict(victim, plan.victim_reason, seconds, gang.job.job_id)

    def _start(self, gang: Gang) -> None:
        gang.phase = Phase.STARTING
        gang.placed_at = self._now
        gang.attempt += 1
        gang.exited.clear()
        gang.failed_member = None
        gang.end_reason = None
        gang.limit = None
        rate = self._settings.policy.return_starts_per_second
        for domain in {self._pool.nodes[slot.node].domain for slot in gang.slots}:
            due = self._ramps.count_start(domain, now=self._now, rate=rate)
            if due is not None:
                self._timers.arm(due, "ramp", "")
        self._arm(gang, self._now + self._settings.policy.start_seconds, "start")
        self._decisions.append(
            StartGang(
                job_id=gang.job.job_id,
                attempt=gang.attempt,
                members=self._pool.members(gang.slots),
                reason=gang.start_reason,
                done_fraction=gang.done_fraction,
            )
        )

    # Ending

    def _evict(
        self, gang: Gang, reason: Reason, seconds: float, claimant: str | None = None
    ) -> None:
        """Checkpoint a gang within a number of seconds, or stop it if it cannot be checkpointed."""
        if gang.phase is Phase.CLAIMING:
            self._cancel_claim(gang)
            return
        limit = self._now + seconds
        if gang.ending:
            if gang.limit is None or limit < gang.limit:
                self._set_limit(gang, limit)
            return
        if gang.phase is Phase.RUNNING and gang.job.checkpointable:
            gang.phase = Phase.CHECKPOINTING
            gang.end_reason = reason
            self._set_limit(gang, limit)
            self._decisions.append(
                CheckpointGang(
                    job_id=gang.job.job_id,
                    attempt=gang.attempt,
                    reason=reason,
                    time_limit=limit,
                    claimant=claimant,
                )
            )
            return
        self._stop(gang, reason, claimant)

    def _stop(self, gang: Gang, reason: Reason, claimant: str | None = None) -> None:
        gang.phase = Phase.STOPPING
        gang.end_reason = gang.end_reason or reason
        self._set_limit(gang, self._now + STOP_RETRY_SECONDS)
        self._decisions.append(
            StopGang(job_id=gang.job.job_id, attempt=gang.attempt, reason=reason, claimant=claimant)
        )

    def _cancel_claim(self, gang: Gang) -> None:
        """Release the claim of a gang that has not started and return it to the queue."""
        for job_id in gang.victims:
            victim = self._gangs.get(job_id)
            if victim is not None:
                victim.claimants.discard(gang.job.job_id)
        self._release(gang)
        gang.phase = Phase.WAITING
        if not gang.cancelled:
            self._waiting.add(gang)

    def _hold(self, gang: Gang) -> None:
        """Assign a gang's slots to it; the nodes of one that may crash them take no other."""
        for slot in gang.slots:
            self._pool.nodes[slot.node].exclusive |= gang.isolated
        self._pool.hold(gang.job.job_id, gang.slots, gang.use)

    def _release(self, gang: Gang) -> None:
        """Release a gang's capacity and start the gangs whose last victim it was."""
        job_id = gang.job.job_id
        slots, use = gang.slots, gang.use
        for slot in slots:
            self._pool.nodes[slot.node].exclusive = False
        self._pool.release(job_id, slots)
        self._quotas.remove(gang.job)
        self._usage_monitor.discard(job_id)
        if gang.allocation is not None:
            gang.allocation.used.pop(job_id, None)
        gang.allocation, gang.slots, gang.limit = None, [], None
        gang.victims = set()
        self._capacity_version += 1
        claimants, gang.claimants = gang.claimants, set()
        for claimant_id in sorted(claimants):
            claimant = self._gangs.get(claimant_id)
            if claimant is None or claimant.phase is not Phase.CLAIMING:
                continue
            claimant.victims.discard(job_id)
            if not claimant.victims:
                self._start_claimed(claimant)
        if use is Use.NON_RECLAIMABLE:
            self._coverage.place_missing()

    def _start_claimed(self, gang: Gang) -> None:
        nodes = {self._pool.nodes[slot.node] for slot in gang.slots}
        closed_domains = self._ramps.closed_domains(self._now)
        if gang.cancelled or any(
            not node.live or not node.domain_in or node.quarantined or node.domain in closed_domains
            for node in nodes
        ):
            self._cancel_claim(gang)
            return
        self._start(gang)

    def _handle_stopped(self, gang: Gang) -> None:
        """Handle the end of all members of a gang that did not complete its work."""
        if gang.end_reason is Reason.MEMBER_FAILED:
            self._handle_failed(gang)
            return
        self._release(gang)
        self._finish_or_requeue(gang)

    def _finish_or_requeue(self, gang: Gang) -> None:
        reason = gang.end_reason or Reason.WORKER_LOST
        if gang.cancelled:
            self._finish(gang, "cancelled", Reason.CANCELLED)
        elif not gang.job.idempotent:
            self._finish(gang, "unknown", Reason.MAY_HAVE_RUN, str(reason))
        elif reason is Reason.EXCEEDS_DECLARATION:
            self._finish(gang, "failed", reason)
        elif self._losses.crashes_workers(gang):
            self._finish(gang, "failed", Reason.CRASHES_WORKERS, f"{len(gang.losses)} lost workers")
            self._change_losses(lambda gangs: self._losses.explain(gang, gangs))
        else:
            self._requeue(gang, reason)

    def _handle_failed(self, gang: Gang) -> None:
        worker = self._pool.nodes[gang.slots[gang.failed_member or 0].node].worker.name
        self._release(gang)
        if not gang.job.idempotent and not gang.cancelled:
            self._attribute_failure(gang, worker)
            if gang.job.job_id in self._gangs:
                self._finish(gang, "failed", Reason.MEMBER_FAILED)
            return
        self._attribute_failure(gang, worker)
        if gang.job.job_id in self._gangs:
            self._requeue(gang, Reason.MEMBER_FAILED)

    def _requeue(self, gang: Gang, reason: Reason, *, checkpointed: bool = False) -> None:
        if gang.cancelled:
            self._finish(gang, "cancelled", Reason.CANCELLED)
            return
        if gang.losses and all(loss.attempt != gang.attempt for loss in gang.losses):
            self._losses.clear_members(gang, seconds=gang.seconds_run(self._now))
        self._decisions.append(
            RequeueJob(
                job_id=gang.job.job_id,
                attempt=gang.attempt,
                reason=reason,
                checkpointed=checkpointed,
                done_fraction=gang.done_fraction,
                losses=gang.losses,
            )
        )
        self._enqueue(gang)

    def _finish_done(self, gang: Gang) -> None:
        self._run_times.record(
            gang.job,
            seconds=self._now - gang.started_at,
            share_of_work=1.0 - gang.done_fraction,
        )
        for name in {self._pool.nodes[slot.node].worker.name for slot in gang.slots}:
            if self._quarantine.record_success(name):
                node = self._pool.nodes[self._pool.topology.node_by_name[name]]
                node.probing = False
        self._release(gang)
        self._finish(gang, "done", Reason.DONE)

    def _finish(self, gang: Gang, state: Any, reason: Reason, detail: str = "") -> None:
        self._gangs.pop(gang.job.job_id, None)
        self._reservations.release(gang.job.job_id)
        self._waiting.discard(gang)
        self._parked.pop(gang.job.job_id, None)
        self._decisions.append(
            FinishJob(job_id=gang.job.job_id, state=state, reason=reason, detail=detail)
        )

    def _process_cancellations(self) -> None:
        for _ in range(min(len(self._cancelled), MAX_CANCELLATIONS_PER_CALL)):
            gang = self._gangs.get(self._cancelled.popleft())
            if gang is None or gang.ending:
                continue
            if gang.phase is Phase.CLAIMING:
                self._cancel_claim(gang)
            if gang.phase in (Phase.WAITING, Phase.PARKED):
                self._finish(gang, "cancelled", Reason.CANCELLED)
            else:
                self._stop(gang, Reason.CANCELLED)

    # Failure domains, workers and settings

    def _evacuate(self, nodes: list[Node], reason: Reason) -> None:
        """End the gangs on nodes that are lost or whose failure domain is out."""
        left_nodes = {node.index for node in nodes}
        ids = {job_id for node in nodes for job_id in node.held}
        gangs = sorted(
            (self._gangs[job_id] for job_id in ids),
            key=lambda g: (PRIORITIES.index(g.job.priority), g.sequence),
        )
        for gang in gangs:
            if gang.phase is Phase.CLAIMING:
                self._cancel_claim(gang)
        self._coverage.remove_from_nodes(left_nodes)
        for gang in gangs:
            if gang.placed:
                self._evacuate_gang(gang, left_nodes, reason)
        self._coverage.place_missing()
        self._capacity_version += 1

    def _evacuate_gang(self, gang: Gang, left_nodes: set[int], reason: Reason) -> None:
        if reason is Reason.WORKER_LOST:
            lost = [n for n, slot in enumerate(gang.slots) if slot.node in left_nodes]
            gang.exited.update(lost)
            gang.end_reason = gang.end_reason or reason
            if len(gang.exited) >= gang.job.shape.members:
                self._handle_stopped(gang)
            elif gang.phase is not Phase.STOPPING:
                self._stop(gang, reason)
            return
        policy = self._settings.policy
        if gang.phase is Phase.RUNNING and not gang.job.checkpointable:
            self._set_limit(gang, self._now + policy.drain_seconds)
            return
        self._evict(gang, reason, policy.drain_seconds)

    def _cancel_drain(self, gang: Gang) -> None:
        """Let a gang continue whose failure domain returned before the gang was stopped."""
        if gang.phase is Phase.RUNNING:
            gang.limit = None

    def _attribute_failure(self, gang: Gang, worker: str) -> None:
        """Count a failure of a gang on a worker, and fail the job or quarantine the worker.

        The job is at fault if it has failed on several workers, the worker if several jobs have
        failed on it.
        """
        job_id = gang.job.job_id
        gang.failed_workers.add(worker)
        gang.failures += 1
        if len(gang.failed_workers) >= WORKERS_TO_FAIL_JOB or gang.failures >= FAILURES_TO_FAIL_JOB:
            self._quarantine.discard_job_failures(gang.failed_workers, job_id)
            if not gang.cancelled:
                self._finish(gang, "failed", Reason.FAILS_EVERYWHERE)
            return
        until = self._quarantine.record_failure(worker, job_id, self._now)
        if until is None:
            suspect = self._pool.topology.node_by_name[worker]
            self._coverage.move_unused_from_nodes({suspect}, customer=gang.job.customer)
            return
        for other_id in self._quarantine.failed_jobs(worker):
            other = self._gangs.get(other_id)
            if other is not None and worker in other.failed_workers:
                self._clear_failure(other, worker)
        node = self._pool.nodes[self._pool.topology.node_by_name[worker]]
        node.quarantined, node.probing = True, False
        self._pool.refresh(node)
        self._coverage.move_unused_from_nodes({node.index})
        self._timers.arm(until, "probe", worker)
        self._decisions.append(
            QuarantineWorker(worker=worker, reason=Reason.WORKER_FAILS_ALL, until=until)
        )

    def _change_losses(self, change: Callable[[list[Gang]], None]) -> None:
        """Change the losses of gangs, which may change the class of those that wait."""
        gangs = [gang for gang in self._gangs.values() if gang.losses]
        waiting = [gang for gang in gangs if gang.phase is Phase.WAITING]
        for gang in waiting:
            self._waiting.discard(gang)
        change(gangs)
        for gang in waiting:
            self._waiting.add(gang)

    def _clear_failure(self, gang: Gang, worker: str) -> None:
        """Remove a gang's failure on a worker that has been quarantined since."""
        waiting = gang.phase is Phase.WAITING
        if waiting:
            self._waiting.discard(gang)
        gang.failed_workers.discard(worker)
        if waiting:
            self._waiting.add(gang)

    def _reconfigure(self, topology: Topology, settings: Settings) -> None:
        """Apply new settings or a new topology and rebuild what is derived from them."""
        if topology == self._topology and self._same_guarantees(settings):
            self._settings = settings
            self._quotas = self._quotas.with_settings(settings)
            self._recheck_waiting()
            self._capacity_version += 1
            return
        old_nodes = {node.worker.name: node for node in self._pool.nodes}
        placed = [gang for gang in self._gangs.values() if gang.placed]
        for gang in placed:
            if gang.phase is Phase.CLAIMING:
                self._cancel_claim(gang)
        placed = [gang for gang in placed if gang.placed]
        members = {gang.job.job_id: self._pool.members(gang.slots) for gang in placed}
        allocations = self._coverage.slots_by_allocation()
        self._topology, self._settings = topology, settings
        self._pool = Pool(topology)
        for node in self._pool.nodes:
            old = old_nodes.get(node.worker.name)
            if old is not None:
                node.live, node.quarantined, node.probing = old.live, old.quarantined, old.probing
            node.domain_in = node.worker.failure_domain not in self._domains_out
            self._pool.refresh(node)
        self._quotas = Quotas(settings)
        self._coverage = GuaranteeCoverage(pool=self._pool, gangs=self._gangs, settings=settings)
        lost = self._readopt(placed, members)
        self._coverage.place_all(allocations)
        for gang in placed:
            self._quotas.add(gang.job)
            allocation = self._coverage.assign_allocation(gang) if gang.placed else None
            if allocation is not None:
                gang.use, gang.allocation = Use.OWNED, allocation
                self._pool.change_use(gang.job.job_id, gang.slots, Use.OWNED)
        self._make_planners()
        for gang in lost:
            gang.end_reason = Reason.WORKER_LOST
            self._stop(gang, Reason.WORKER_LOST)
        self._recheck_waiting()
        self._capacity_version += 1

    def _same_guarantees(self, settings: Settings) -> bool:
        """Return whether new settings keep the guarantees and the order of their coverage."""
        old = self._settings
        return settings.guarantees == old.guarantees and [
            (customer.name, customer.priorities) for customer in settings.customers
        ] == [(customer.name, customer.priorities) for customer in old.customers]

    def _readopt(self, placed: list[Gang], members: dict[str, tuple[Member, ...]]) -> list[Gang]:
        """Hold the capacity of placed gangs in a new pool; return those that lost members."""
        lost = []
        for gang in placed:
            gang.allocation = None
            gang.use = Use.RECLAIMABLE if gang.job.reclaimable else Use.NON_RECLAIMABLE
            known = self._pool.topology.node_by_name
            kept = [m for m in members[gang.job.job_id] if m.worker in known]
            if len(kept) < len(members[gang.job.job_id]):
                lost.append(gang)
            gang.slots = self._pool.slots(kept, gang.job.shape)
            self._hold(gang)
        return lost

    def _recheck_waiting(self) -> None:
        """Check again which jobs can ever run, after a change of settings or topology."""
        parked = list(self._parked.values())
        self._parked.clear()
        for gang in parked:
            self._enqueue(gang, reviewed=True)
        heads = [self._gangs[found.head] for found in self._waiting.classes()]
        if not any(self._permanent_refusal(gang) for gang in heads):
            return
        for gang in list(self._gangs.values()):
            if gang.phase is Phase.WAITING and self._permanent_refusal(gang):
                self._waiting.discard(gang)
                self._enqueue(gang)

    # Admission

    def _new_gang(self, job: Job, attempt: int, done_fraction: float) -> Gang:
        self._sequence += 1
        gang = Gang(job=job, sequence=self._sequence, attempt=attempt, done_fraction=done_fraction)
        self._gangs[job.job_id] = gang
        return gang

    def _enqueue(self, gang: Gang, *, reviewed: bool = False) -> None:
        """Queue a gang, or park it if it can never run under the current settings and topology.

        Args:
            gang: The gang.
            reviewed: Whether it was parked before; it then has a timer and was refused already.
        """
        gang.ready_at = self._now
        refusal = self._permanent_refusal(gang)
        if refusal is None:
            gang.phase = Phase.WAITING
            self._waiting.add(gang)
            return
        gang.phase = Phase.PARKED
        self._parked[gang.job.job_id] = gang
        if reviewed:
            return
        self._arm(gang, self._now + self._settings.policy.parked_seconds, "parked")
        self._decisions.append(
            RefuseJob(
                job_id=gang.job.job_id, reason=refusal[0], detail=refusal[1], kept_waiting=True
            )
        )

    def _permanent_refusal(self, gang: Gang) -> tuple[Reason, str] | None:
        """Return why a gang can never run under the current settings and topology."""
        job = gang.job
        problem = self._quotas.refusal(job)
        if problem is not None:
            return problem
        shape = job.shape
        if shape.members < 1 or self._pool.empty_placer.find(shape) is None:
            return (
                Reason.SHAPE_EXCEEDS_TOPOLOGY,
                f"{shape.members} members with {shape.accelerators} adjacent accelerators,"
                f" {shape.cores} cores and {shape.memory_bytes} bytes within one {shape.spread}",
            )
        if job.reclaimable or self._pool.empty_unguaranteed_placer.find(shape) is not None:
            return None
        if self._planner.fits_allocation(gang):
            return None
        return (Reason.NOT_RECLAIMABLE, "fits only on capacity under other customers' guarantees")

    def _waiting_reason(self, gang: Gang) -> tuple[Reason, str]:
        job = gang.job
        if not self._quotas.allows(job):
            return Reason.QUOTA_REACHED, f"customer {job.customer} is at its quota"
        if self._ramps.closed_domains(self._now):
            return Reason.RETURN_RAMP, "a returned failure domain limits its starts"
        free = sum(
            self._pool.unheld.domain_free(d) for d in range(len(self._pool.topology.domain_names))
        )
        if free >= job.shape.total_accelerators > 0:
            return Reason.FRAGMENTED, f"{free} accelerators are free, but not as the shape needs"
        return Reason.NO_CAPACITY, f"{free} accelerators are free"

    # Timers

    def _fire_timers(self) -> None:
        while (timer := self._timers.pop_due(self._now)) is not None:
            self._fire(timer)

    def _fire(self, timer: Timer) -> None:
        match timer.kind:
            case "ramp":
                self._capacity_version += 1
            case "probe":
                self._begin_probe(timer.subject)
            case "parked":
                gang = self._parked.get(timer.subject)
                if gang is not None:
                    self._expire_parked(gang)
            case "start":
                gang = self._current_attempt(timer.subject, timer.attempt)
                if gang is not None and gang.phase is Phase.STARTING:
                    self._stop(gang, Reason.START_TIMED_OUT)
            case _:
                self._fire_limit(timer)

    def _fire_limit(self, timer: Timer) -> None:
        gang = self._current_attempt(timer.subject, timer.attempt)
        if gang is None or gang.limit is None or gang.limit > self._now or not gang.placed:
            return
        reason = Reason.FAILURE_DOMAIN_OUT
        if gang.phase is Phase.CHECKPOINTING:
            reason = Reason.CHECKPOINT_TIMED_OUT
        elif gang.phase is Phase.STOPPING and gang.end_reason is not None:
            reason = gang.end_reason
        self._stop(gang, reason)

    def _begin_probe(self, worker: str) -> None:
        index = self._pool.topology.node_by_name.get(worker)
        if index is None or not self._quarantine.begin_probe(worker):
            return
        node = self._pool.nodes[index]
        node.quarantined, node.probing = False, True
        self._pool.refresh(node)
        self._capacity_version += 1
        self._decisions.append(ReleaseWorker(worker=worker, reason=Reason.PROBE_DUE))

    def _expire_parked(self, gang: Gang) -> None:
        refusal = self._permanent_refusal(gang) or (Reason.SHAPE_EXCEEDS_TOPOLOGY, "")
        self._gangs.pop(gang.job.job_id, None)
        self._parked.pop(gang.job.job_id, None)
        self._decisions.append(
            RefuseJob(job_id=gang.job.job_id, reason=refusal[0], detail=refusal[1])
        )

    def _set_limit(self, gang: Gang, limit: float) -> None:
        gang.limit = limit
        self._arm(gang, limit, "limit")

    def _arm(self, gang: Gang, due: float, kind: Any) -> None:
        self._timers.arm(due, kind, gang.job.job_id, gang.attempt)

    def _current_attempt(self, job_id: str, attempt: int) -> Gang | None:
        gang = self._gangs.get(job_id)
        return gang if gang is not None and gang.attempt == attempt else None

    def _make_planners(self) -> None:
        self._planner = StartPlanner(
            pool=self._pool, allocations=self._coverage.by_customer, gangs=self._gangs
        )
        self._preemption = PreemptionPlanner(pool=self._pool, gangs=self._gangs)
        self._reservations = Reservations(
            pool=self._pool, gangs=self._gangs, run_times=self._run_times
        )
