"""Tests of the owner's state: starts, ends, lost workers and takeover."""

from __future__ import annotations

import pytest

from zinniaweir.dispatch.messages import RunEnd, StartAnswer
from zinniaweir.dispatch.units import OwnedJob
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.spec import StepSpec

from .conftest import FakeRun, World, job, worker_entry


def test_a_job_runs_through_its_steps_in_order(world: World) -> None:
    """Guards against a step that starts before an earlier one is done."""
    steps = (StepSpec(count=2, accelerators=1), StepSpec(count=1, depends_on=(0,)))
    world.add(job("j1", *steps))
    world.run(1.0)
    assert {assignment.task.step for assignment in world.assignments("j1")} == {0}
    world.run(2.0)
    assert {assignment.task.step for assignment in world.assignments("j1")} == {1}
    world.run(3.0)
    assert world.state("j1") == "complete"


def test_nothing_is_ordered_before_it_is_on_the_log(world: World) -> None:
    """Guards against a run that a successor of the owner does not know."""
    world.add(job("j1"))
    world.step()
    world.add(job("j2"))
    world.dispatcher.plan(now=world.now)
    waiting = [
        s.task.job_id
        for s in world.dispatcher.assignments_to_start(now=world.now, retry_after_seconds=0)
    ]
    assert "j2" not in waiting
    world.write()
    waiting = [
        s.task.job_id
        for s in world.dispatcher.assignments_to_start(now=world.now, retry_after_seconds=0)
    ]
    assert "j2" in waiting


def test_an_end_is_noted_only_after_it_is_on_the_log(world: World) -> None:
    """Guards against an end that only the dead owner knew, after which the task runs again."""
    world.add(job("j1"))
    world.run(0.5)
    (assignment,) = world.assignments("j1")
    fake = world.workers[assignment.worker]
    fake.end((assignment.task, assignment.run), RunEnd.DONE)
    world.look()
    worker = world.dispatcher.fleet.get(assignment.worker)
    assert worker is not None
    assert worker.acknowledged_end == 0
    world.write()
    assert worker.acknowledged_end == 1


def test_a_start_without_an_answer_takes_room_until_its_deadline_has_passed(world: World) -> None:
    """Guards against a task that starts twice since its first order was carried out late."""
    world.add(job("j1"))
    world.step()
    for fake in world.workers.values():
        fake.silent = True
    world.add(job("j2"))
    world.run(0.3)
    (assignment,) = world.assignments("j2")
    assert assignment.run == 1
    for fake in world.workers.values():
        fake.silent = False
    world.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=world.now)
    world.look()
    assert list(world.assignments("j2")) == [assignment]


def test_tasks_of_a_silent_worker_wait_for_the_end_of_its_lease() -> None:
    """Guards against two runs of a task while a worker that is cut off still works."""
    world = World(worker_entry("w1"))
    world.seconds = 30.0
    world.add(job("j1"))
    world.run(0.5)
    world.workers["w1"].silent = True
    world.workers["w2"] = type(world.workers["w1"])(worker_entry("w2"))
    world.run(5.5)
    assert [assignment.worker for assignment in world.assignments("j1")] == ["w1"]
    world.run(2.0)
    assert [(assignment.worker, assignment.run) for assignment in world.assignments("j1")] == [
        ("w2", 2)
    ]


def test_tasks_of_a_worker_that_is_born_again_start_elsewhere_at_once(world: World) -> None:
    """Guards against waiting for a life of a worker that is over."""
    world.seconds = 30.0
    world.add(job("j1"))
    world.run(0.5)
    (assignment,) = world.assignments("j1")
    fake = world.workers[assignment.worker]
    fake.entry = worker_entry(assignment.worker, incarnation=2)
    fake.runs.clear()
    world.run(0.5)
    (again,) = world.assignments("j1")
    assert again.run == 2


def test_a_draining_worker_and_an_evacuated_domain_get_no_work(world: World) -> None:
    """Guards against starts on a worker that leaves."""
    for name in ("w1", "w2"):
        world.workers[name].entry = worker_entry(name, draining=True)
    world.workers["w3"].entry = worker_entry("w3", failure_domain="baguio")
    world.configure(evacuated=frozenset({"baguio"}))
    world.add(job("j1", StepSpec(count=8, accelerators=1)))
    world.run(0.5)
    assert {assignment.worker for assignment in world.assignments("j1")} == {"w4"}


def test_a_cancelled_job_stops_and_starts_nothing(world: World) -> None:
    """Guards against tasks that go on after their job was cancelled."""
    world.seconds = 30.0
    world.add(job("j1", StepSpec(count=4, accelerators=8), StepSpec(count=1, depends_on=(0,))))
    world.run(0.5)
    world.dispatcher.cancel_job("j1", now=world.now)
    world.run(0.5)
    assert not list(world.assignments("j1"))
    assert world.state("j1") == "cancelled"
    assert not any(fake.runs for fake in world.workers.values())


def test_a_job_fails_after_its_attempts(world: World) -> None:
    """Guards against a hopeless job that occupies workers for ever."""
    for fake in world.workers.values():
        fake.fails = True
    world.add(job("j1", max_attempts=2))
    world.run(8.0)
    assert world.state("j1") == "failed"
    assert world.dispatcher.jobs["j1"].units[0].failures == 2


def test_several_members_that_fail_in_one_run_are_one_failure(world: World) -> None:
    """Guards against a gang that is given up after one attempt."""
    for fake in world.workers.values():
        fake.fails = True
    world.add(job("j1", StepSpec(count=4, accelerators=8, gang=True), max_attempts=3))
    world.run(2.4)
    assert world.dispatcher.jobs["j1"].units[0].failures == 1


def test_a_successor_adopts_what_runs(world: World) -> None:
    """Guards against a change of owner that throws running work away."""
    world.seconds = 5.0
    entry = job("j1", StepSpec(count=4, accelerators=8, gang=True))
    world.add(entry)
    world.run(1.0)
    successor_entry = JobEntry(submission=entry.submission, progress=world.records[-1])
    world.dispatcher = world.new_dispatcher()
    world.add(successor_entry)
    world.run(1.0)
    assert all(assignment.started and assignment.run == 1 for assignment in world.assignments("j1"))
    world.run(5.0)
    assert world.state("j1") == "complete"


def test_a_successor_starts_again_what_never_started(world: World) -> None:
    """Guards against a seat of a former owner that is held for ever."""
    entry = job("j1")
    world.add(entry)
    world.dispatcher.update_workers([f.entry for f in world.workers.values()], now=world.now)
    world.dispatcher.update_view_time(world.now)
    world.look()
    world.dispatcher.plan(now=world.now)
    world.write()
    successor_entry = JobEntry(submission=entry.submission, progress=world.records[-1])
    world.dispatcher = world.new_dispatcher()
    world.add(successor_entry)
    world.run(0.5)
    assert [assignment.run for assignment in world.assignments("j1")] == [2]


def test_a_run_that_nobody_wants_is_named_for_a_stop(world: World) -> None:
    """Guards against a late order of a former life that runs beside the wanted run."""
    world.seconds = 30.0
    world.add(job("j1"))
    world.run(0.5)
    (assignment,) = world.assignments("j1")
    fake = world.workers["w4" if assignment.worker != "w4" else "w3"]
    fake.runs[assignment.task, 7] = fake.runs.get((assignment.task, 7)) or type(
        next(iter(world.workers[assignment.worker].runs.values()))
    )(assignment, world.now + 30)
    world.look()
    orphan_runs = list(world.dispatcher.orphan_runs_to_stop(now=world.now, retry_after_seconds=1.0))
    assert [(w.name, task, run) for w, task, run in orphan_runs] == [
        (fake.entry.worker, assignment.task, 7)
    ]


def test_a_run_that_nobody_wants_takes_its_worker_until_it_has_left() -> None:
    """Guards against work beside a stray run, which takes room too (soak, seed 214)."""
    world = World(worker_entry("w1"))
    world.seconds = 30.0
    world.add(job("j1"))
    world.run(0.5)
    (assignment,) = world.assignments("j1")
    fake = world.workers["w1"]
    fake.runs[assignment.task, 7] = FakeRun(assignment, world.now + 30.0)
    world.look()
    worker = world.dispatcher.fleet.get("w1")
    assert worker is not None
    world.add(job("j2"))
    world.dispatcher.plan(now=world.now)
    assert not list(world.assignments("j2"))
    ((_, task, run),) = world.dispatcher.orphan_runs_to_stop(now=world.now, retry_after_seconds=1.0)
    world.dispatcher.mark_orphan_run_stopped(worker, task, run, now=world.now)
    world.run(0.3)
    assert not list(world.assignments("j2"))
    fake.end((task, run), RunEnd.STOPPED)
    world.run(0.3)
    assert len(list(world.assignments("j2"))) == 1


def test_a_start_to_a_former_life_keeps_the_next_life_free_until_it_is_stopped() -> None:
    """Guards against an order that arrives after its worker was born again under its name."""
    world = World(worker_entry("w1"))
    world.add(job("j1"))
    world.step()
    (assignment,) = world.assignments("j1")
    assignment.started, assignment.start_in_flight = False, True
    fake = world.workers["w1"]
    fake.runs.clear()
    fake.entry = worker_entry("w1", incarnation=2)
    world.run(0.5)
    assert not list(world.assignments("j1"))
    worker = world.dispatcher.fleet.get("w1")
    assert worker is not None
    ((_, task, run),) = world.dispatcher.orphan_runs_to_stop(now=world.now, retry_after_seconds=1.0)
    assert (task, run) == (assignment.task, 1)
    world.dispatcher.mark_orphan_run_stopped(worker, task, run, now=world.now)
    world.run(0.3)
    assert [s.run for s in world.assignments("j1")] == [2]


def test_an_ended_job_is_kept_and_then_dropped(world: World) -> None:
    """Guards against records that pile up on the log."""
    world.add(job("j1"))
    world.run(4.0)
    assert world.state("j1") == "complete"
    ended_at = world.dispatcher.jobs["j1"].ended_at
    assert ended_at is not None
    changes = world.dispatcher.collect_changes(now=ended_at + 179.0)
    assert changes.expired_job_ids == []
    changes = world.dispatcher.collect_changes(now=ended_at + 181.0)
    assert changes.expired_job_ids == ["j1"]


def test_progress_round_trips(world: World) -> None:
    """Guards against a successor that loses failures or run numbers."""
    entry = job("j1", StepSpec(count=3, accelerators=1))
    world.add(entry)
    world.run(0.5)
    progress = world.dispatcher.jobs["j1"].progress()
    again = OwnedJob(JobEntry(submission=entry.submission, progress=progress), now=0.0)
    assert again.progress() == progress


def takeover_from_a_lost_worker(world: World, *, predecessor_ended: bool) -> float:
    """Return the seconds until a task of a worker that is gone starts elsewhere."""
    world.seconds = 60.0
    entry = job("j1")
    world.add(entry)
    world.run(1.0)
    (assignment,) = world.assignments("j1")
    del world.workers[assignment.worker]
    world.dispatcher = world.new_dispatcher(predecessor_ended=predecessor_ended)
    world.add(JobEntry(submission=entry.submission, progress=world.records[-1]))
    began = world.now
    while [s.run for s in world.assignments("j1")] != [2] and world.now < began + 30.0:
        world.step()
    return world.now - began


def test_a_successor_of_a_dead_owner_waits_for_one_lease(world: World) -> None:
    """Guards against work of lost workers that is still missing when the day ends."""
    assert 6.0 < takeover_from_a_lost_worker(world, predecessor_ended=True) < 7.0


def test_a_successor_of_a_silent_owner_waits_for_its_renewals_too(world: World) -> None:
    """Guards against two runs while a superseded owner still renews a lease."""
    assert 11.0 < takeover_from_a_lost_worker(world, predecessor_ended=False) < 12.0


@pytest.mark.parametrize(
    "answer", [StartAnswer.TOO_LATE, StartAnswer.UNHEALTHY, StartAnswer.OLD_RUN]
)
def test_a_rejected_copy_says_nothing_of_an_unanswered_one(
    world: World, answer: StartAnswer
) -> None:
    """Guards against a task that is started elsewhere while its first order was carried out."""
    world.seconds = 30.0
    world.add(job("j1"))
    world.dispatcher.update_workers([f.entry for f in world.workers.values()], now=world.now)
    world.dispatcher.update_view_time(world.now)
    world.look()
    world.dispatcher.plan(now=world.now)
    world.write()
    (assignment,) = world.assignments("j1")
    world.start(assignment)
    assignment.started, assignment.settled_at = False, None
    world.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=world.now)
    world.now += 0.4
    assert world.dispatcher.prepare_start(assignment, now=world.now)
    world.dispatcher.handle_start_answer(assignment, answer, now=world.now)
    assert list(world.assignments("j1")) == [assignment]
    world.run(0.3)
    runs = [key for fake in world.workers.values() for key in fake.runs]
    assert len(runs) <= 1


def test_a_copy_that_ended_before_its_answer_is_done_once(world: World) -> None:
    """Guards against a second run of a task that was done while its answers were lost."""
    world.add(job("j1"))
    world.dispatcher.update_workers([f.entry for f in world.workers.values()], now=world.now)
    world.dispatcher.update_view_time(world.now)
    world.look()
    world.dispatcher.plan(now=world.now)
    world.write()
    (assignment,) = world.assignments("j1")
    world.start(assignment)
    assignment.started, assignment.settled_at = False, None
    world.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=world.now)
    world.workers[assignment.worker].end((assignment.task, assignment.run), RunEnd.DONE)
    assert world.dispatcher.prepare_start(assignment, now=world.now)
    world.dispatcher.handle_start_answer(assignment, StartAnswer.OLD_RUN, now=world.now)
    world.run(1.0)
    assert world.state("j1") == "complete"
    assert world.dispatcher.jobs["j1"].units[0].run == 1
