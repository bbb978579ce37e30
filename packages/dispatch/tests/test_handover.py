"""Seeded interleavings of owners that are paused, superseded and wake up, with late commands.

Workers check fences, run numbers, deadlines and leases as the platform's do. The log rejects
records of lower epochs.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
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
from zinniaweir.workloads.job_table import JobTable
from zinniaweir.workloads.records import JobState, progress_key, submission_key
from zinniaweir.workloads.spec import StepSpec

from .conftest import job, worker_entry

TICK_SECONDS = 0.1
RUN_SECONDS = 2.0
MAX_DELAY_SECONDS = 3.0
"""Longest delay of a command whose sender gave up waiting for its answer."""
POLL_SHARE = 0.8
"""Share of the steps in which an owner polls a worker and gets an answer."""
UNANSWERED_SHARE = 0.1
"""Share of the steps in which its poll is not answered."""
LIMITS = TimeLimits()
STEPS = (
    StepSpec(count=3, accelerators=4, estimate_ms=2_000),
    StepSpec(count=2, accelerators=8, estimate_ms=2_000, gang=True),
)

Run = tuple[TaskId, int]


@dataclass
class Worker:
    """A worker that enforces the platform's rules for commands."""

    entry: WorkerEntry
    fence: int = 0
    lease_until: float = 0.0
    running: dict[Run, float] = field(default_factory=dict)
    """When each run ends, in seconds."""
    refused_up_to: dict[TaskId, int] = field(default_factory=dict)
    """Highest run of each task that ended or was stopped here."""
    ended: list[EndedRun] = field(default_factory=list)
    end_count: int = 0

    def end(self, run: Run, how: RunEnd) -> None:
        self.running.pop(run, None)
        self.end_count += 1
        self.ended.append(
            EndedRun(number=self.end_count, task=run[0], run=run[1], end=how, checkpoint="")
        )
        self.refused_up_to[run[0]] = max(self.refused_up_to.get(run[0], 0), run[1])

    def start(self, run: Run, *, epoch: int, deadline: float, now: float) -> StartAnswer:
        if epoch < self.fence:
            return StartAnswer.STALE_EPOCH
        self.fence = epoch
        if now >= deadline:
            return StartAnswer.TOO_LATE
        if run[1] <= self.refused_up_to.get(run[0], 0):
            return StartAnswer.OLD_RUN
        self.lease_until = max(self.lease_until, deadline)
        self.running.setdefault(run, now + RUN_SECONDS)
        return StartAnswer.STARTED

    def stop(self, run: Run, *, epoch: int) -> bool:
        if epoch < self.fence:
            return False
        self.fence = epoch
        if run in self.running:
            self.end(run, RunEnd.STOPPED)
        self.refused_up_to[run[0]] = max(self.refused_up_to.get(run[0], 0), run[1])
        return True


class Owner:
    """A dispatcher with its epoch; paused owners do nothing and keep what they believe."""

    def __init__(self, world: World, epoch: int) -> None:
        self.epoch = epoch
        self.paused_until = 0.0
        self.dispatcher = Dispatcher(
            now=world.now, predecessor_ended=False, time_limits=LIMITS, reporter=world
        )
        for entry in world.table.jobs:
            self.dispatcher.add_job(entry, now=world.now, age=0.0)


class World:
    """Workers, the log, and owners that may believe that they still own scheduling."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.now = 100.0
        self.table = JobTable()
        self.workers = [Worker(worker_entry(f"w{n}")) for n in range(4)]
        self.epoch = 0
        self.owners: list[Owner] = []
        self.late: list[tuple[float, Worker, Run, int, float]] = []
        """Starts that arrive late: time, worker, run, epoch and deadline."""
        self.acknowledged: set[TaskId] = set()
        """Tasks whose end `done` a worker was told to forget."""
        self.claim()

    def log(self, event: str, **fields: Any) -> None:
        pass

    def count(self, name: str, reason: str) -> None:
        pass

    def measure(self, name: str, seconds: float, label: str) -> None:
        pass

    def claim(self) -> None:
        self.epoch += 1
        self.owners.append(Owner(self, self.epoch))

    def step(self) -> None:
        self.now += TICK_SECONDS
        for worker in self.workers:
            for run, ends_at in list(worker.running.items()):
                if self.now >= worker.lease_until:
                    worker.end(run, RunEnd.LAPSED)
                elif self.now >= ends_at:
                    worker.end(run, RunEnd.DONE)
        for entry in list(self.late):
            arrives_at, worker, run, epoch, deadline = entry
            if self.now >= arrives_at:
                self.late.remove(entry)
                worker.start(run, epoch=epoch, deadline=deadline, now=self.now)
        for owner in list(self.owners):
            if self.now >= owner.paused_until:
                self.act(owner)

    def act(self, owner: Owner) -> None:
        dispatcher = owner.dispatcher
        dispatcher.update_workers([w.entry for w in self.workers], now=self.now)
        dispatcher.update_view_time(self.now, jobs_read_at=self.now)
        for worker in self.workers:
            chance = self.rng.random()
            if chance < POLL_SHARE and not self.poll(owner, worker):
                self.owners.remove(owner)
                return
            if chance > 1 - UNANSWERED_SHARE:
                known = dispatcher.fleet.get(worker.entry.worker)
                assert known is not None
                dispatcher.handle_unanswered_poll(known, poll_sent_at=self.now)
        dispatcher.plan(now=self.now)
        changes = dispatcher.collect_changes(now=self.now)
        if not changes.is_empty:
            if owner.epoch < self.epoch:
                self.owners.remove(owner)
                return
            for progress in changes.progress:
                self.table.apply(progress_key(progress.job_id), progress)
        dispatcher.mark_recorded(changes)
        self.send(owner)

    def poll(self, owner: Owner, worker: Worker) -> bool:
        """Poll a worker and return whether it still accepts the owner's commands."""
        if owner.epoch < worker.fence:
            return False
        worker.fence = owner.epoch
        known = owner.dispatcher.fleet.get(worker.entry.worker)
        assert known is not None
        kept = [row for row in worker.ended if row.number > known.acknowledged_end]
        self.acknowledged |= {
            row.task
            for row in worker.ended
            if row not in kept and row.end is RunEnd.DONE and row.task is not None
        }
        worker.ended = kept
        worker.lease_until = max(worker.lease_until, self.now + LIMITS.lease_seconds)
        known.lease_until_ms = max(known.lease_until_ms, int(worker.lease_until * 1e3))
        running = tuple(
            ActiveRun(task=task, run=run, checkpoint="", percent=50) for task, run in worker.running
        )
        listing = Listing(
            incarnation=1, clock_ms=int(self.now * 1e3), running=running, ended=tuple(kept)
        )
        owner.dispatcher.handle_listing(
            known, listing, poll_sent_at=self.now - 0.001, renewed=True, now=self.now
        )
        return True

    def send(self, owner: Owner) -> None:
        dispatcher = owner.dispatcher
        by_name = {worker.entry.worker: worker for worker in self.workers}
        for assignment in list(
            dispatcher.assignments_to_start(now=self.now, retry_after_seconds=0.3)
        ):
            if not dispatcher.prepare_start(assignment, now=self.now):
                continue
            worker, run = by_name[assignment.worker], (assignment.task, assignment.run)
            deadline = assignment.start_deadline_ms / 1e3
            answer = StartAnswer.UNKNOWN
            match self.rng.randrange(4):
                case 0:
                    arrives_at = self.now + self.rng.uniform(0.0, MAX_DELAY_SECONDS)
                    self.late.append((arrives_at, worker, run, owner.epoch, deadline))
                case 1:
                    worker.start(run, epoch=owner.epoch, deadline=deadline, now=self.now)
                case _:
                    answer = worker.start(run, epoch=owner.epoch, deadline=deadline, now=self.now)
            dispatcher.handle_start_answer(assignment, answer, now=self.now)
        for assignment in list(
            dispatcher.assignments_to_stop(now=self.now, retry_after_seconds=0.7)
        ):
            dispatcher.mark_stop_sent(assignment, now=self.now)
            run = (assignment.task, assignment.run)
            stopped = by_name[assignment.worker].stop(run, epoch=owner.epoch)
            answered = stopped and self.rng.random() < 0.7
            dispatcher.handle_stop_answer(assignment, acknowledged=answered, now=self.now)
        for known, task, number in list(
            dispatcher.orphan_runs_to_stop(now=self.now, retry_after_seconds=0.7)
        ):
            if by_name[known.name].stop((task, number), epoch=owner.epoch):
                dispatcher.mark_orphan_run_stopped(known, task, number, now=self.now)

    def check(self) -> None:
        tasks = [task for worker in self.workers for task, _ in worker.running]
        assert len(tasks) == len(set(tasks)), "two runs of one task"
        assert not self.acknowledged & set(tasks), "a run after the task's end was acknowledged"
        for worker in self.workers:
            used = sum(STEPS[task.step].accelerators for task, _ in worker.running)
            assert used <= worker.entry.accelerators, "a worker over its capacity"


@pytest.mark.parametrize("seed", [*range(40), 298])
def test_former_owners_and_late_commands_break_no_promise(seed: int) -> None:
    """Guards against two runs of a task, or a worker over its capacity, around a hand-over."""
    rng = Random(seed)
    world = World(rng)
    for tick in range(700):
        if tick < 120 and rng.random() < 0.1:
            entry = job(f"j{tick}", *STEPS)
            world.table.apply(submission_key(f"j{tick}"), entry.submission)
            for owner in world.owners:
                known = world.table.get(f"j{tick}")
                assert known is not None
                owner.dispatcher.add_job(known, now=world.now, age=0.0)
        if tick < 160 and rng.random() < 0.03:
            rng.choice(world.owners).paused_until = world.now + rng.uniform(0.5, 5.0)
        if not world.owners or (tick < 160 and rng.random() < 0.03):
            world.claim()
        world.step()
        world.check()
    states = {entry.state for entry in world.table.jobs}
    assert states <= {JobState.COMPLETE}, "an accepted job that does not end"
