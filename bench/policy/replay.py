"""Replays a workload through a scheduler, with a virtual clock and fake workers."""

from __future__ import annotations

import heapq
import itertools
import time
from dataclasses import dataclass, field

from bench.policy.workloads import Workload
from zinniaweir.core.decisions import CheckpointGang, FinishJob, Reason, StartGang, StopGang
from zinniaweir.core.events import (
    CheckpointFinished,
    GangStarted,
    GangStartFailed,
    GangStopped,
    JobArrived,
    JobCancelled,
    TaskExited,
    Tick,
)

START_SECONDS = 0.3
FAILED_START_SECONDS = 1.0
STOP_SECONDS = 0.3
FAIL_AFTER_SECONDS = 5.0
"""Run time of an attempt of a job that fails."""
SAMPLE_SECONDS = 10.0
"""Interval between samples of the fragmentation."""
LAST_SECOND = 6 * 3600.0
"""End of the replay in virtual seconds; jobs that remain count as starved."""


@dataclass
class Run:
    """An attempt that the fake workers start or run."""

    job_id: str
    attempt: int
    fraction: float
    started_at: float | None = None
    ending: bool = False


@dataclass
class Record:
    """Observations of one replay, by job id where not stated otherwise."""

    submitted: dict = field(default_factory=dict)
    jobs: dict = field(default_factory=dict)
    started: dict = field(default_factory=dict)
    finished: dict = field(default_factory=dict)
    states: dict = field(default_factory=dict)
    reclaim_requested_at: dict = field(default_factory=dict)
    """Time at which the first victim was told to end, by the claiming job."""
    withdrawn_claims: int = 0
    """Claims that ended without a start.

    An urgent job of the same customer took the capacity, or its worker or failure domain left.
    """
    reclaims: list = field(default_factory=list)
    """Claiming job, and seconds from the first request to a victim until its own start."""
    fragmentation: list = field(default_factory=list)
    segments: list = field(default_factory=list)
    """Start, end, accelerators, whether the work was kept, and job id of each attempt."""
    decision_seconds: list = field(default_factory=list)


class Replay:
    """Runs a workload on a virtual clock with fake workers and one scheduler."""

    def __init__(self, workload: Workload, scheduler) -> None:
        self._workload = workload
        self._scheduler = scheduler
        self._order = itertools.count()
        self._pending: list = []
        self._runs: dict[str, Run] = {}
        self._tick_at: float | None = None
        self.record = Record()

    def run(self) -> Record:
        """Replay the workload and return the observations."""
        for at, event in self._workload.events:
            self._schedule(at, event)
        sample_at = 0.0
        while self._pending:
            now, _, event = heapq.heappop(self._pending)
            if now > LAST_SECOND:
                break
            while sample_at <= now:
                self._sample(sample_at)
                sample_at += SAMPLE_SECONDS
            self._handle(event, now)
        return self.record

    def _schedule(self, when: float, event) -> None:
        heapq.heappush(self._pending, (when, next(self._order), event))

    def _sample(self, now: float) -> None:
        if now <= self._workload.events[-1][0]:
            self.record.fragmentation.append(self._scheduler.fragmentation())

    def _handle(self, event, now: float) -> None:
        if isinstance(event, Tick):
            self._tick_at = None
        elif not self._record_event(event, now):
            return
        begin = time.perf_counter()
        decisions = self._scheduler.handle(event, now=now)
        self.record.decision_seconds.append(time.perf_counter() - begin)
        for decision in decisions:
            self._execute(decision, now)
        self._drop_withdrawn_claims()
        due = self._scheduler.next_wakeup()
        if due is not None and (self._tick_at is None or due < self._tick_at):
            self._tick_at = max(due, now)
            self._schedule(self._tick_at, Tick())

    def _drop_withdrawn_claims(self) -> None:
        """Drop the timing of claims that ended without a start; a later claim is timed again."""
        for job_id in list(self.record.reclaim_requested_at):
            if job_id in self._runs:
                continue
            if self._scheduler.explain(job_id).reason is not Reason.WAITING_FOR_RECLAIM:
                del self.record.reclaim_requested_at[job_id]
                self.record.withdrawn_claims += 1

    def _record_event(self, event, now: float) -> bool:
        """Record an event; return whether it is still valid for the present attempt."""
        match event:
            case JobArrived(job=job):
                self.record.submitted[job.job_id] = now
                self.record.jobs[job.job_id] = job
            case GangStarted():
                return self._begin(event, now)
            case GangStartFailed(job_id=job_id):
                # The claim was served when the start was tried; a failing worker is another fault.
                if job_id in self.record.reclaim_requested_at:
                    self.record.reclaims.append(
                        (job_id, now - self.record.reclaim_requested_at.pop(job_id))
                    )
                return self._end(event, now)
            case TaskExited() | CheckpointFinished() | GangStopped():
                return self._end(event, now)
        return True

    def _begin(self, event: GangStarted, now: float) -> bool:
        run = self._runs.get(event.job_id)
        if run is None or run.attempt != event.attempt or run.ending:
            return False
        run.started_at = now
        self.record.started.setdefault(event.job_id, now)
        if event.job_id in self.record.reclaim_requested_at:
            reclaim_requested_at = self.record.reclaim_requested_at.pop(event.job_id)
            self.record.reclaims.append((event.job_id, now - reclaim_requested_at))
        truth = self._workload.ground_truths[event.job_id]
        left = truth.seconds * (1.0 - run.fraction)
        outcome = "failed" if truth.fails else "done"
        self._schedule(
            now + (FAIL_AFTER_SECONDS if truth.fails else left),
            TaskExited(job_id=event.job_id, attempt=event.attempt, outcome=outcome),
        )
        return True

    def _end(self, event, now: float) -> bool:
        run = self._runs.get(event.job_id)
        if run is None or run.attempt != event.attempt:
            return False
        if run.ending and isinstance(event, TaskExited) and event.outcome == "done":
            return False
        del self._runs[event.job_id]
        if run.started_at is not None:
            kept = isinstance(event, CheckpointFinished) or getattr(event, "outcome", "") == "done"
            size = self.record.jobs[event.job_id].shape.total_accelerators
            self.record.segments.append((run.started_at, now, size, kept, event.job_id))
        return True

    def _execute(self, decision, now: float) -> None:
        match decision:
            case StartGang():
                self._start(decision, now)
            case CheckpointGang(job_id=job_id, attempt=attempt):
                self._record_claim(decision, now)
                run = self._runs[job_id]
                truth = self._workload.ground_truths[job_id]
                progress = (now - (run.started_at or now)) / truth.seconds
                fraction = min(run.fraction + progress, 1.0)
                done = CheckpointFinished(job_id=job_id, attempt=attempt, done_fraction=fraction)
                self._schedule(now + truth.checkpoint_seconds, done)
                run.ending = True
            case StopGang(job_id=job_id, attempt=attempt):
                self._record_claim(decision, now)
                if job_id in self._runs:
                    self._runs[job_id].ending = True
                    self._schedule(now + STOP_SECONDS, GangStopped(job_id=job_id, attempt=attempt))
            case FinishJob(job_id=job_id, state=state):
                self.record.states[job_id] = state
                self.record.finished[job_id] = now

    def _record_claim(self, decision, now: float) -> None:
        if decision.claimant is not None and decision.reason == Reason.GUARANTEE_RECLAIMED:
            self.record.reclaim_requested_at.setdefault(decision.claimant, now)

    def _start(self, decision: StartGang, now: float) -> None:
        job_id, attempt = decision.job_id, decision.attempt
        self._runs[job_id] = Run(job_id, attempt, decision.done_fraction)
        for member in decision.members:
            span = self._workload.bad_workers.get(member.worker)
            if span is not None and span[0] <= now < span[1]:
                failed = GangStartFailed(
                    job_id=job_id, attempt=attempt, worker=member.worker, reason="start_failed"
                )
                self._schedule(now + FAILED_START_SECONDS, failed)
                return
        self._schedule(now + START_SECONDS, GangStarted(job_id=job_id, attempt=attempt))


def cancelled_ids(workload: Workload) -> set[str]:
    """Return the jobs that the workload cancels."""
    return {
        job_id
        for _, event in workload.events
        if isinstance(event, JobCancelled)
        for job_id in event.job_ids
    }
