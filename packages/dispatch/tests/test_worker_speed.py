"""Tests of the speeds of workers that are learned from sibling tasks."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any

import pytest

from zinniaweir.dispatch import worker_speed
from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.units import Assignment, OwnedJob
from zinniaweir.dispatch.worker_speed import WorkerSpeeds
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, FakeRun, FakeWorker, job, worker_entry

FLEET = [f"w{n}" for n in range(10)]
ALIKE = dict.fromkeys(FLEET, 1.0)


class Speeds:
    """Learned speeds, with the workers and the reports."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.learned = WorkerSpeeds(reporter=self)
        self.workers = {name: Worker(entry=worker_entry(name)) for name in FLEET}
        self.random = random.Random(1)
        self.now = 0.0

    def log(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def count(self, name: str, reason: str) -> None:
        pass

    def measure(self, name: str, seconds: float, label: str) -> None:
        pass

    def levels(self) -> dict[str, int]:
        return {n: level for n, w in self.workers.items() if (level := self.learned.level(w))}

    def run_step(
        self, job_id: str, speeds: Mapping[str, float], *, tasks: int = 4, **options: Any
    ) -> None:
        """Record a batch step with some tasks on each worker, as packing places them.

        Args:
            job_id: Id of the job.
            speeds: True speeds of the workers.
            tasks: Number of tasks on each worker.
            **options: `percent` at which the tasks are observed, 100 by default, `gang`,
                `home_rack`, and `spread`, the deviation of the logarithms of their lengths.
        """
        step = StepSpec(
            count=tasks * len(speeds),
            accelerators=1,
            gang=options.get("gang", False),
            home_rack=options.get("home_rack", ""),
        )
        owned = OwnedJob(job(job_id, step), now=0.0)
        percent = options.get("percent", 100)
        for index in range(step.count):
            name = list(speeds)[index // tasks]
            unit = owned.units[0 if step.gang else index]
            assignment = Assignment(
                unit=unit, index=index, run=1, worker=name, incarnation=1, placed_at=0.0
            )
            assignment.started_at, assignment.percent = 0.0, percent
            seconds = 9.0 * self.random.lognormvariate(0.0, options.get("spread", 0.09))
            now = seconds / speeds[name] * percent / 100
            record = self.learned.record_end if percent == 100 else self.learned.record_progress
            record(self.workers[name], assignment, now=now)
        self.now += 10.0
        self.learned.refresh(now=self.now)


@pytest.mark.parametrize("percent", [40, 100])
def test_fast_fifth_is_learned_from_two_steps_or_their_progress(percent: int) -> None:
    """Guards against a fleet with a fast fifth whose urgent gangs run on the other workers.

    A day has one batch job in 1.5 s on 176 workers, so few samples have to do.
    """
    speeds = Speeds()
    true = ALIKE | {"w3": 2.0, "w7": 2.0}
    for n in range(2):
        speeds.run_step(f"sweep{n}", true, percent=percent)
    assert set(speeds.levels()) == {"w3", "w7"}
    assert speeds.learned.speed(speeds.workers["w3"]) == pytest.approx(2.0, rel=0.15)
    assert speeds.learned.slowest(speeds.workers.values()) == 1.0
    assert {fields["worker"] for event, fields in speeds.events} == {"w3", "w7"}


def test_slower_and_faster_workers_are_told_apart() -> None:
    """Guards against a fleet of three speeds whose gangs mix them."""
    speeds = Speeds()
    true = {name: (0.8, 1.0, 1.25)[n % 3] for n, name in enumerate(FLEET)}
    for n in range(6):
        speeds.run_step(f"sweep{n}", true)
    levels = speeds.levels()
    assert {n for n, level in levels.items() if level > 0} == {"w2", "w5", "w8"}
    assert {n for n, level in levels.items() if level < 0} == {"w0", "w3", "w6", "w9"}


@pytest.mark.parametrize("seed", range(4))
def test_workers_that_are_alike_keep_the_usual_speed(seed: int) -> None:
    """Guards against lengths of tasks that are taken for speeds of workers."""
    speeds = Speeds()
    speeds.random.seed(seed)
    true = {name: speeds.random.uniform(0.95, 1.05) for name in FLEET}
    for n in range(20):
        speeds.run_step(f"sweep{n}", true, tasks=2, spread=0.3)
    assert not speeds.levels()
    assert not speeds.learned.differ


def test_passing_slowness_does_not_change_the_lasting_speed() -> None:
    """Guards against a worker that is avoided for long since it was slow for some seconds."""
    speeds = Speeds()
    for n in range(6):
        slowed = {"w1": 0.6} if n in (0, 3) else {"w2": 1 / 7} if n == 1 else {}
        speeds.run_step(f"sweep{n}", ALIKE | slowed)
        assert not speeds.levels()


def test_worker_that_lies_about_progress_is_not_fast() -> None:
    """Guards against a worker that attracts urgent work by reports of progress it has not made."""
    speeds = Speeds()
    for n in range(4):
        speeds.run_step(f"sweep{n}", ALIKE | {"w1": 20.0})
    assert not speeds.levels()


def test_stalled_run_tells_nothing_about_its_worker() -> None:
    """Guards against a worker that counts as slow since tasks on it hung."""
    speeds = Speeds()
    exclude = speeds.learned.exclude
    record = speeds.learned.record_end

    def record_stalled(worker: Worker, assignment: Assignment, *, now: float) -> None:
        if worker.name == "w1":
            exclude(assignment)
        record(worker, assignment, now=now)

    speeds.learned.record_end = record_stalled  # type: ignore[method-assign]
    for n in range(4):
        speeds.run_step(f"sweep{n}", ALIKE | {"w1": 0.5})
    assert not speeds.levels()


def test_members_of_a_gang_are_not_compared() -> None:
    """Guards against the slowest member's speed as that of all workers of its gang."""
    speeds = Speeds()
    for n in range(4):
        speeds.run_step(f"gang{n}", ALIKE | {"w1": 2.0}, gang=True)
    assert not speeds.levels()


def test_worker_far_from_the_data_is_not_slow() -> None:
    """Guards against workers that count as slow since a step's data was on another rack."""
    speeds = Speeds()
    speeds.workers["w1"] = Worker(entry=worker_entry("w1", rack="r9-9"))
    for n in range(4):
        speeds.run_step(f"sweep{n}", ALIKE | {"w1": 0.5}, home_rack="r1-1")
    assert not speeds.levels()


def test_speed_outlasts_a_restart_but_not_a_change_of_the_machine() -> None:
    """Guards against speeds that a restart discards, or that another machine inherits."""
    speeds = Speeds()
    for n in range(2):
        speeds.run_step(f"sweep{n}", ALIKE | {"w1": 2.0})
    restarted = Worker(entry=worker_entry("w1", incarnation=2))
    replaced = Worker(entry=worker_entry("w1", incarnation=2, cpu_millis=32_000))
    assert speeds.learned.level(restarted) > 0
    assert speeds.learned.level(replaced) == 0
    speeds.workers["w1"] = replaced
    for n in range(3):
        speeds.run_step(f"other{n}", ALIKE)
    assert not speeds.learned.differ


def test_memory_and_time_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an owner of 3,000 workers that grows, or whose passes take long."""
    monkeypatch.setattr(worker_speed, "MAX_STEPS", 8)
    monkeypatch.setattr(worker_speed, "MAX_STEP_TASKS", 16)
    monkeypatch.setattr(worker_speed, "MAX_WORKERS", 4)
    monkeypatch.setattr(worker_speed, "REFRESH_TASKS", 20)
    speeds = Speeds()
    compared: list[int] = []
    compare = speeds.learned._compare
    monkeypatch.setattr(
        speeds.learned, "_compare", lambda k, o: (compared.append(len(o)), compare(k, o))
    )
    refresh = speeds.learned.refresh
    monkeypatch.setattr(speeds.learned, "refresh", lambda *, now: None)
    for n in range(30):
        speeds.run_step(f"sweep{n}", ALIKE | {"w1": 2.0})
    refresh(now=0.0)
    refresh(now=0.1)
    assert compared == [16, 16]
    for n in range(8):
        refresh(now=1.0 + n)
    assert len(compared) == 8
    assert len(speeds.learned._steps) <= 8
    assert len(speeds.learned._states) <= 4


class UnequalCluster(Cluster):
    """Workers of which some take half of the time."""

    fast = ("r0w1", "r0w6")

    def seconds_of(self, assignment: Assignment) -> float:
        members = {a.worker for a in assignment.unit.assignments.values()} | {assignment.worker}
        return 4.0 if members <= set(self.fast) else 8.0

    def start(self, assignment: Assignment) -> None:
        super().start(assignment)
        run = self.workers[assignment.worker].runs.get((assignment.task, assignment.run))
        if run is not None:
            run.ends_at = self.now + self.seconds_of(assignment)

    def percent(self, fake: FakeWorker, run: FakeRun) -> int:
        left = (run.ends_at - self.now) / self.seconds_of(run.assignment)
        return max(1, min(99, int(100 - 100 * left)))


def test_urgent_gang_after_batch_work_gets_the_fast_workers() -> None:
    """Guards against urgent gangs on usual workers while fast ones are free or run batch work.

    Two batch steps tell the speeds; the gang comes when all workers are free again.
    """
    cluster = UnequalCluster(*(worker_entry(f"r0w{n}") for n in range(8)))
    step = StepSpec(count=32, accelerators=2, estimate_ms=8_000)
    for n in range(2):
        cluster.add(job(f"sweep{n}", step, name="sweeps", priority=2))
        cluster.run(9.0)
    learned = {f["worker"] for e, f in cluster.events if e == "worker_speed_learned"}
    assert learned == set(cluster.fast)
    gang = StepSpec(count=2, accelerators=8, gang=True, estimate_ms=8_000)
    cluster.add(job("urgent", gang, name="checks", priority=0))
    cluster.run(0.3)
    assert {a.worker for a in cluster.assignments("urgent")} == set(cluster.fast)
    cluster.add(job("patient", gang, name="traces", priority=1))
    cluster.run(4.5)
    assert cluster.state("urgent") == "complete"
    assert not {a.worker for a in cluster.assignments("patient")} & set(cluster.fast)
