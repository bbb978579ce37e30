"""Tests of queues that slow each other down on one worker."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.interference import SAMPLE_LIFETIME_SECONDS, Interference
from zinniaweir.dispatch.placement import choose_workers
from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

if TYPE_CHECKING:
    import pytest

NAMES = [f"w{n}" for n in range(12)]
BESIDE = NAMES[:6]
"""Workers on which the neighbour runs."""


def unit_of(queue: str, count: int = 1, **changes: Any) -> Unit:
    step = StepSpec(count=count, accelerators=1, gang=count > 1, **changes)
    return OwnedJob(job(f"{queue}-unit", step, name=queue), now=0.0).units[0]


def assign(worker: Worker, unit: Unit, index: int, at: float) -> Assignment:
    assignment = Assignment(
        unit=unit, index=index, run=1, worker=worker.name, incarnation=1, placed_at=at
    )
    assignment.started, assignment.started_at = True, at
    worker.assign(assignment)
    return assignment


class Site:
    """Workers, half of them with a task of the queue `checks`, and what is learned of them."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.learned = Interference(speed=lambda worker: 1.0, reporter=self)
        self.workers = {name: Worker(entry=worker_entry(name)) for name in NAMES}
        for name in BESIDE:
            assign(self.workers[name], unit_of("checks"), 0, 0.0)
        self.random = random.Random(1)
        self.now = 0.0

    def log(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def count(self, name: str, reason: str) -> None:
        pass

    def measure(self, name: str, seconds: float, label: str) -> None:
        pass

    def run_job(self, factors: dict[str, float], *, checkpoint: str = "", long: int = -1) -> None:
        """Run a batch step with two tasks on each worker.

        Args:
            factors: Factor on the duration of the tasks on a worker, 1 by default.
            checkpoint: Checkpoint from which the tasks on workers with a factor start.
            long: Index of a task that takes three times as long as the others.
        """
        step = StepSpec(count=2 * len(NAMES), accelerators=1)
        owned = OwnedJob(job(f"j{self.now}", step, name="sweeps"), now=0.0)
        begun = self.now
        for index, unit in enumerate(owned.units):
            worker = self.workers[NAMES[index // 2]]
            factor = factors.get(worker.name, 1.0) * (3.0 if index == long else 1.0)
            unit.run_checkpoint = checkpoint if worker.name in factors else ""
            seconds = 9.0 * factor * self.random.lognormvariate(0.0, 0.09)
            assignment = assign(worker, unit, index, begun)
            for percent in (1, 30, 60):
                assignment.percent = percent
                now = begun + seconds * percent / 100
                self.learned.record_progress(worker, assignment, now=now)
            worker.unassign(assignment)
            self.learned.record_end(worker, assignment, now=begun + seconds)
        self.now += 30.0
        self.learned.refresh(now=self.now)

    def judged(self) -> list[tuple[str, str]]:
        names = {"queue", "neighbour"}
        return [
            tuple(f[name] for name in sorted(names, reverse=True))
            for event, f in self.events
            if event == "interference_judged"
        ]

    def choose(self, unit: Unit, names: list[str]) -> list[str] | None:
        workers = [self.workers[name] for name in names]
        conflicts = self.learned.conflicts_of(unit)
        chosen = choose_workers(unit, workers, rack_use={}, conflicts=conflicts)
        return None if chosen is None else [worker.name for worker in chosen]


SLOWED = dict.fromkeys(BESIDE, 1.3)


def interfering() -> Site:
    site = Site()
    for _ in range(6):
        site.run_job(SLOWED)
    return site


def test_pair_that_interferes_is_learned_and_kept_apart_where_there_is_room() -> None:
    """Guards against urgent and batch tasks that slow each other down beside free workers."""
    site = interfering()
    assert site.judged() == [("sweeps", "checks")]
    for name in NAMES[6:9]:
        assign(site.workers[name], unit_of("sweeps"), 0, 0.0)
    assert site.choose(unit_of("sweeps"), [NAMES[0], NAMES[11]]) == [NAMES[11]]
    # The pair is kept apart in both directions.
    assert site.choose(unit_of("checks"), [NAMES[6], NAMES[11]]) == [NAMES[11]]


def test_no_unit_waits_or_fails_to_fit_because_of_it() -> None:
    """Guards against work that waits for a better neighbour while workers have capacity."""
    site = interfering()
    assert site.choose(unit_of("sweeps"), [NAMES[0]]) == [NAMES[0]]
    assert len(site.choose(unit_of("sweeps", 14, rack_local=True), NAMES[:2]) or []) == 14


def test_other_causes_are_not_taken_for_interference() -> None:
    """Guards against pairs judged by slow workers, long tasks, checkpoints or passing slowness."""
    cases: list[tuple[dict[str, float], dict[str, Any]]] = [
        ({BESIDE[0]: 2.0, BESIDE[1]: 2.0}, {}),
        ({}, {"long": 0}),
        (SLOWED, {"checkpoint": "saved"}),
        (dict.fromkeys(BESIDE, 7.0), {}),
        (dict.fromkeys(BESIDE, 1.1), {}),
    ]
    for factors, options in cases:
        site = Site()
        for _ in range(6):
            site.run_job(factors, **options)
        assert not site.judged(), (factors, options)


def test_pair_is_forgotten_when_it_stops_or_is_not_seen_any_more() -> None:
    """Guards against queues that are kept apart for ever after their program was mended."""
    mended, unseen = interfering(), interfering()
    for _ in range(10):
        mended.run_job({})
    unseen.learned.refresh(now=unseen.now + SAMPLE_LIFETIME_SECONDS + 1.0)
    for site, reason in ((mended, "ended"), (unseen, "expired")):
        assert [f["reason"] for e, f in site.events if e == "interference_dropped"] == [reason]
        assert site.learned.conflicts_of(unit_of("sweeps")) is None


def test_order_is_unchanged_while_nothing_is_judged() -> None:
    """Guards against another placement, or more work, on fleets without interference."""
    site = Site()
    site.run_job({})
    for unit in (unit_of("sweeps"), unit_of("checks", 3)):
        assert site.learned.conflicts_of(unit) is None
        usual = choose_workers(unit, site.workers.values(), rack_use={})
        assert site.choose(unit, NAMES) == [worker.name for worker in usual or []]


def test_queues_are_packed_tightly_again_while_the_cluster_is_full(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against large gangs without whole workers, since small tasks keep apart."""

    def conflicts_of(learned: Interference, unit: Unit) -> Any:
        return lambda worker: int(bool(worker.assignments))

    monkeypatch.setattr(Interference, "conflicts_of", conflicts_of)
    for busy, used in ((1, 2), (3, 1)):
        cluster = Cluster(*(worker_entry(f"w{n}") for n in range(5)))
        cluster.seconds = 20.0
        for n in range(busy):
            cluster.add(job(f"full{n}", StepSpec(count=1, accelerators=8)))
        cluster.add(job("first", StepSpec(count=1, accelerators=1)))
        cluster.run(1.0)
        cluster.add(job("second", StepSpec(count=1, accelerators=1)))
        cluster.run(1.0)
        workers = {a.worker for name in ("first", "second") for a in cluster.assignments(name)}
        assert len(workers) == used
