"""Simulated workers that carry out a dispatcher's starts and stops in simulated time."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from zinniaweir.dispatch.dispatcher import Dispatcher
from zinniaweir.dispatch.messages import (
    ActiveRun,
    EndedRun,
    Listing,
    RunEnd,
    StartAnswer,
    TaskId,
    WorkerEntry,
)
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.progress_pages import MAX_WHOLE_PROGRESS_BYTES
from zinniaweir.workloads.queues import Configuration, Customer, QueueTerms
from zinniaweir.workloads.records import Submission
from zinniaweir.workloads.spec import JobSpec, StepSpec

TICK_INTERVAL_SECONDS = 0.1


def worker_entry(name: str = "w1", **changes: Any) -> WorkerEntry:
    fields: dict[str, Any] = {
        "worker": name,
        "service": "rendering",
        "address": f"{name}:1",
        "failure_domain": "diliman",
        "rack": "r1-1",
        "labels": frozenset({"a", "r1-1"}),
        "incarnation": 1,
        "draining": False,
        "cpu_millis": 64_000,
        "memory_mb": 262_144,
        "accelerators": 8,
    }
    return WorkerEntry(**(fields | changes))


def terms(name: str = "traces", **changes: Any) -> QueueTerms:
    fields: dict[str, Any] = {
        "name": name,
        "service": "rendering",
        "priority": 1,
        "max_attempts": 2,
        "slack_factor": 3.0,
        "target_seconds": 1.0,
    }
    return QueueTerms(**(fields | changes))


def job(job_id: str, *steps: StepSpec, customer: str = "parish", **queue: Any) -> JobEntry:
    submission = Submission(
        job_id=job_id,
        customer=customer,
        terms=terms(**queue),
        spec=JobSpec(payload="x", steps=steps or (StepSpec(count=1, accelerators=1),)),
        accepted_at=0.0,
    )
    return JobEntry(submission=submission)


@dataclass
class FakeRun:
    assignment: Assignment
    ends_at: float


@dataclass
class FakeWorker:
    entry: WorkerEntry
    runs: dict[tuple[TaskId, int], FakeRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    end_count: int = 0
    silent: bool = False
    """Whether it answers no calls."""
    fails: bool = False
    """Whether its runs fail at their end."""

    def end(self, key: tuple[TaskId, int], end_kind: RunEnd, checkpoint: str = "") -> None:
        del self.runs[key]
        self.end_count += 1
        self.ended.append(
            EndedRun(
                number=self.end_count, task=key[0], run=key[1], end=end_kind, checkpoint=checkpoint
            )
        )


class Cluster:
    """A dispatcher and its fake workers in simulated time."""

    def __init__(self, *entries: WorkerEntry) -> None:
        self.now = 100.0
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.counts: list[tuple[str, str]] = []
        self.workers = {entry.worker: FakeWorker(entry) for entry in entries}
        self.durations: dict[str, float] = {}
        """Duration of the runs of a job in seconds, by job id."""
        self.records: list[Any] = []
        """All progress that was recorded, in order."""
        self.seconds = 2.0
        """Duration of the runs of jobs without an entry in `durations`."""
        self.renews_leases = True
        """Whether polls renew the leases of workers."""
        self.max_listed_ends = 500
        """Number of ends that a worker lists at a time."""
        self.max_whole_progress_bytes = MAX_WHOLE_PROGRESS_BYTES
        self.stalled_workers: set[str] = set()
        """Workers whose runs stall after a tenth of the work."""
        self.time_limits = TimeLimits()
        self.dispatcher = self.new_dispatcher()

    def new_dispatcher(self, *, predecessor_ended: bool = True) -> Dispatcher:
        return Dispatcher(
            now=self.now,
            predecessor_ended=predecessor_ended,
            time_limits=self.time_limits,
            reporter=self,
            max_whole_progress_bytes=self.max_whole_progress_bytes,
        )

    def log(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def count(self, name: str, reason: str) -> None:
        self.counts.append((name, reason))

    def measure(self, name: str, seconds: float, label: str) -> None:
        assert seconds >= 0, (name, label)

    def configure(self, *customers: Customer, evacuated: frozenset[str] = frozenset()) -> None:
        self.dispatcher.configure(Configuration(version=1, customers=customers), evacuated)

    def add(self, entry: JobEntry, *, age: float = 0.0) -> None:
        self.dispatcher.add_job(entry, now=self.now, age=age)

    def poll(self) -> None:
        for worker in list(self.dispatcher.fleet):
            fake = self.workers.get(worker.name)
            if fake is None or fake.silent:
                self.dispatcher.handle_unanswered_poll(worker, poll_sent_at=self.now)
                continue
            until = int(self.now * 1e3) + 6000
            worker.lease_until_ms = max(worker.lease_until_ms, until)
            fake.ended = [row for row in fake.ended if row.number > worker.acknowledged_end]
            running = tuple(
                ActiveRun(task=task, run=run, checkpoint="", percent=self.percent(fake, found))
                for (task, run), found in fake.runs.items()
            )
            listing = Listing(
                incarnation=fake.entry.incarnation,
                clock_ms=int(self.now * 1e3),
                running=running,
                ended=tuple(fake.ended[: self.max_listed_ends]),
                more_ends=len(fake.ended) >= self.max_listed_ends,
            )
            self.dispatcher.handle_listing(
                worker,
                listing,
                poll_sent_at=self.now - 0.001,
                renewed=self.renews_leases,
                now=self.now,
            )

    def percent(self, fake: FakeWorker, run: FakeRun) -> int:
        if self.stalled_workers:
            members = [a.worker for a in run.assignment.unit.assignments.values()]
            if fake.entry.worker in self.stalled_workers or self.stalled_workers & set(members):
                return 10
        seconds = self.durations.get(run.assignment.task.job_id, self.seconds)
        return max(1, min(99, int(100 - 100 * (run.ends_at - self.now) / seconds)))

    def start(self, assignment: Assignment) -> None:
        if not self.dispatcher.prepare_start(assignment, now=self.now):
            return
        fake = self.workers[assignment.worker]
        if fake.silent:
            self.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=self.now)
            return
        seconds = self.durations.get(assignment.task.job_id, self.seconds)
        fake.runs[assignment.task, assignment.run] = FakeRun(assignment, self.now + seconds)
        self.dispatcher.handle_start_answer(assignment, StartAnswer.STARTED, now=self.now)

    def record_changes(self) -> None:
        changes = self.dispatcher.collect_changes(now=self.now)
        self.records += changes.progress
        self.dispatcher.mark_recorded(changes)

    def tick(self) -> None:
        self.now += TICK_INTERVAL_SECONDS
        self.dispatcher.update_workers([f.entry for f in self.workers.values()], now=self.now)
        self.dispatcher.update_view_time(self.now, jobs_read_at=self.now)
        for fake in self.workers.values():
            for key, run in list(fake.runs.items()):
                # A stalled run stays at 10 percent and does not end.
                if self.now >= run.ends_at and self.percent(fake, run) > 10:
                    fake.end(key, RunEnd.FAILED if fake.fails else RunEnd.DONE)
        self.poll()
        self.dispatcher.plan(now=self.now)
        self.record_changes()
        for assignment in list(
            self.dispatcher.assignments_to_start(now=self.now, retry_after_seconds=0.3)
        ):
            self.start(assignment)
        for assignment in list(
            self.dispatcher.assignments_to_stop(now=self.now, retry_after_seconds=0.7)
        ):
            self.stop(assignment)

    def stop(self, assignment: Assignment) -> None:
        self.dispatcher.mark_stop_sent(assignment, now=self.now)
        fake = self.workers[assignment.worker]
        if fake.silent:
            self.dispatcher.handle_stop_answer(assignment, acknowledged=False, now=self.now)
            return
        if (assignment.task, assignment.run) in fake.runs:
            fake.end((assignment.task, assignment.run), RunEnd.STOPPED)
        self.dispatcher.handle_stop_answer(assignment, acknowledged=True, now=self.now)

    def stop_orphan_runs(self) -> None:
        for worker, task, run in list(
            self.dispatcher.orphan_runs_to_stop(now=self.now, retry_after_seconds=0.7)
        ):
            fake = self.workers.get(worker.name)
            if fake is None or fake.silent:
                continue
            if (task, run) in fake.runs:
                fake.end((task, run), RunEnd.STOPPED)
            self.dispatcher.mark_orphan_run_stopped(worker, task, run, now=self.now)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.tick()

    def state(self, job_id: str) -> str:
        return str(self.dispatcher.jobs[job_id].state)

    def event_names(self) -> list[str]:
        return [event for event, _ in self.events]

    def assignments(self, job_id: str) -> Iterator[Assignment]:
        return self.dispatcher.jobs[job_id].assignments


@pytest.fixture
def cluster() -> Cluster:
    return Cluster(*(worker_entry(f"w{n}") for n in range(1, 5)))
