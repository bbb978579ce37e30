"""Tests of the dispatcher: starts, ends, lost workers and takeover by a new owner."""

from __future__ import annotations

from dataclasses import replace

import pytest

from zinniaweir.dispatch.messages import Listing, RunEnd, StartAnswer
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment, OwnedJob
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.records import JobState, Progress
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, FakeRun, FakeWorker, job, worker_entry


def test_a_job_runs_through_its_steps_in_order(cluster: Cluster) -> None:
    """Guards against a step that starts before an earlier one is done."""
    steps = (StepSpec(count=2, accelerators=1), StepSpec(count=1, depends_on=(0,)))
    cluster.add(job("j1", *steps))
    cluster.run(1.0)
    assert {assignment.task.step for assignment in cluster.assignments("j1")} == {0}
    cluster.run(2.0)
    assert {assignment.task.step for assignment in cluster.assignments("j1")} == {1}
    cluster.run(3.0)
    assert cluster.state("j1") == "complete"


def test_start_is_not_sent_before_it_is_recorded(cluster: Cluster) -> None:
    """Guards against a run that the next owner does not know.

    It comes about if an assignment is started before its record is in the log.
    """
    cluster.add(job("j1"))
    cluster.tick()
    cluster.add(job("j2"))
    cluster.dispatcher.plan(now=cluster.now)
    waiting = [
        assignment.task.job_id
        for assignment in cluster.dispatcher.assignments_to_start(
            now=cluster.now, retry_after_seconds=0
        )
    ]
    assert "j2" not in waiting
    cluster.record_changes()
    waiting = [
        assignment.task.job_id
        for assignment in cluster.dispatcher.assignments_to_start(
            now=cluster.now, retry_after_seconds=0
        )
    ]
    assert "j2" in waiting


def test_end_is_acknowledged_only_after_it_is_recorded(cluster: Cluster) -> None:
    """Guards against a task that runs again although it was done.

    The worker forgets an acknowledged end. If the owner dies before it records the end, the next
    owner never learns of it.
    """
    cluster.add(job("j1"))
    cluster.run(0.5)
    (assignment,) = cluster.assignments("j1")
    fake = cluster.workers[assignment.worker]
    fake.end((assignment.task, assignment.run), RunEnd.DONE)
    cluster.poll()
    worker = cluster.dispatcher.fleet.get(assignment.worker)
    assert worker is not None
    assert worker.acknowledged_end == 0
    cluster.record_changes()
    assert worker.acknowledged_end == 1


def test_run_that_is_listed_without_a_readable_number_is_not_taken_for_gone(
    cluster: Cluster,
) -> None:
    """Guards against TWICE: a run whose row can be read in part only starts elsewhere."""
    cluster.add(job("j1"))
    cluster.run(0.5)
    (assignment,) = cluster.assignments("j1")
    worker = cluster.dispatcher.fleet.get(assignment.worker)
    assert worker is not None
    for running_tasks in (frozenset({assignment.task}), frozenset()):
        listing = Listing(
            incarnation=1,
            clock_ms=int(cluster.now * 1e3),
            running=(),
            ended=(),
            running_tasks=running_tasks,
            invalid_rows=1,
        )
        cluster.dispatcher.handle_listing(
            worker, listing, poll_sent_at=cluster.now + 0.1, renewed=False, now=cluster.now + 0.2
        )
        assert bool(list(cluster.assignments("j1"))) == bool(running_tasks)
    assert cluster.counts.count(("invalid_rows", "listed")) == 2


def test_start_without_answer_holds_resources_until_its_deadline(cluster: Cluster) -> None:
    """Guards against a task that runs twice because its first start was carried out late.

    A poll that does not list the run proves nothing while the start may still arrive.
    """
    cluster.add(job("j1"))
    cluster.tick()
    for fake in cluster.workers.values():
        fake.silent = True
    cluster.add(job("j2"))
    cluster.run(0.3)
    (assignment,) = cluster.assignments("j2")
    assert assignment.run == 1
    for fake in cluster.workers.values():
        fake.silent = False
    cluster.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=cluster.now)
    cluster.poll()
    assert list(cluster.assignments("j2")) == [assignment]


@pytest.mark.parametrize("answer", [StartAnswer.NOT_SENT, StartAnswer.UNKNOWN])
def test_start_is_not_repeated_on_a_worker_that_began_to_drain(answer: StartAnswer) -> None:
    """Guards against a start on a worker that leaves.

    The first copy of the start failed before the drain, and it was sent again up to its deadline.
    """
    cluster = Cluster(worker_entry("w1"))
    cluster.tick()
    cluster.add(job("j1"))
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    (assignment,) = cluster.assignments("j1")
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now)
    cluster.dispatcher.handle_start_answer(assignment, answer, now=cluster.now)
    draining = worker_entry("w1", draining=True)
    cluster.dispatcher.update_workers([draining], now=cluster.now)
    assert not cluster.dispatcher.prepare_start(assignment, now=cluster.now + 0.3)
    remaining = [assignment] if answer is StartAnswer.UNKNOWN else []
    assert list(cluster.assignments("j1")) == remaining


def test_start_may_leave_only_while_the_view_is_recent(cluster: Cluster) -> None:
    """Guards against a start that waits for a connection, or in a paused process, and then leaves.

    The settings and the list of workers that allowed it may have changed meanwhile.
    """
    cluster.add(job("j1"))
    cluster.run(0.1)
    (assignment,) = cluster.assignments("j1")
    assert assignment.send_until == cluster.now + TimeLimits().max_start_view_age_seconds


def test_tasks_of_silent_worker_wait_for_end_of_its_lease() -> None:
    """Guards against two runs of a task while a partitioned worker still runs the first one."""
    cluster = Cluster(worker_entry("w1"))
    cluster.seconds = 30.0
    cluster.add(job("j1"))
    cluster.run(0.5)
    cluster.workers["w1"].silent = True
    cluster.workers["w2"] = type(cluster.workers["w1"])(worker_entry("w2"))
    cluster.run(5.5)
    assert [assignment.worker for assignment in cluster.assignments("j1")] == ["w1"]
    cluster.run(2.0)
    assert [(assignment.worker, assignment.run) for assignment in cluster.assignments("j1")] == [
        ("w2", 2)
    ]


def test_paused_owner_polls_before_it_takes_runs_for_lost(cluster: Cluster) -> None:
    """Guards against a second run of work that was done while the owner was paused.

    All leases had expired when it woke up, and it had not asked for ends since.
    """
    cluster.add(job("j1"))
    cluster.run(0.5)
    (assignment,) = cluster.assignments("j1")
    cluster.workers[assignment.worker].end((assignment.task, assignment.run), RunEnd.DONE)
    cluster.now += 10.0
    cluster.dispatcher.update_view_time(cluster.now, jobs_read_at=cluster.now)
    cluster.dispatcher.plan(now=cluster.now)
    assert list(cluster.assignments("j1")) == [assignment]
    cluster.run(0.5)
    assert cluster.state("j1") == "complete"
    assert assignment.unit.run == 1


def test_run_that_was_done_on_a_worker_taken_for_lost_is_not_repeated() -> None:
    """Guards against a second run if a worker that was silent reports that the first was done."""
    cluster = Cluster(worker_entry("w1"))
    cluster.add(job("j1"))
    cluster.run(0.5)
    (assignment,) = cluster.assignments("j1")
    fake = cluster.workers["w1"]
    fake.silent = True
    fake.end((assignment.task, assignment.run), RunEnd.DONE)
    cluster.run(9.0)
    assert not list(cluster.assignments("j1"))
    fake.silent = False
    cluster.run(0.5)
    assert cluster.state("j1") == "complete"
    assert assignment.unit.run == 1


def test_tasks_of_restarted_worker_are_started_again_at_once(cluster: Cluster) -> None:
    """Guards against tasks that wait for the lease of a worker incarnation that has ended."""
    cluster.seconds = 30.0
    cluster.add(job("j1"))
    cluster.run(0.5)
    (assignment,) = cluster.assignments("j1")
    fake = cluster.workers[assignment.worker]
    fake.entry = worker_entry(assignment.worker, incarnation=2)
    fake.runs.clear()
    cluster.run(0.5)
    (again,) = cluster.assignments("j1")
    assert again.run == 2


def test_incarnation_with_the_number_of_an_ended_one_is_not_ignored() -> None:
    """Guards against work that is lost with a worker whose clock stepped back between restarts."""
    cluster = Cluster(worker_entry("w1"))
    cluster.seconds = 30.0
    cluster.add(job("j1"))
    cluster.run(0.5)
    fake = cluster.workers["w1"]
    for incarnation in (2, 1):
        fake.entry = worker_entry("w1", incarnation=incarnation)
        fake.runs.clear()
        cluster.run(1.0)
    (assignment,) = cluster.assignments("j1")
    assert (assignment.run, assignment.started) == (3, True)


def test_draining_worker_and_evacuated_domain_get_no_work(cluster: Cluster) -> None:
    """Guards against starts on a worker that is about to leave."""
    for name in ("w1", "w2"):
        cluster.workers[name].entry = worker_entry(name, draining=True)
    cluster.workers["w3"].entry = worker_entry("w3", failure_domain="baguio")
    cluster.configure(evacuated=frozenset({"baguio"}))
    cluster.add(job("j1", StepSpec(count=8, accelerators=1)))
    cluster.run(0.5)
    assert {assignment.worker for assignment in cluster.assignments("j1")} == {"w4"}


def test_cancelled_job_stops_its_runs_and_starts_none(cluster: Cluster) -> None:
    """Guards against tasks that continue or start after their job was cancelled."""
    cluster.seconds = 30.0
    cluster.add(job("j1", StepSpec(count=4, accelerators=8), StepSpec(count=1, depends_on=(0,))))
    cluster.run(0.5)
    cluster.dispatcher.cancel_job("j1", now=cluster.now)
    cluster.run(0.5)
    assert not list(cluster.assignments("j1"))
    assert cluster.state("j1") == "cancelled"
    assert not any(fake.runs for fake in cluster.workers.values())


def test_a_job_fails_after_its_attempts(cluster: Cluster) -> None:
    """Guards against a job that always fails and occupies workers for ever."""
    for fake in cluster.workers.values():
        fake.fails = True
    cluster.add(job("j1", max_attempts=2))
    cluster.run(8.0)
    assert cluster.state("j1") == "failed"
    assert cluster.dispatcher.jobs["j1"].units[0].failures == 2


def test_failures_of_several_gang_members_in_one_run_count_once(cluster: Cluster) -> None:
    """Guards against a gang that uses up all its attempts in one run."""
    for fake in cluster.workers.values():
        fake.fails = True
    cluster.add(job("j1", StepSpec(count=4, accelerators=8, gang=True), max_attempts=3))
    cluster.run(2.4)
    assert cluster.dispatcher.jobs["j1"].units[0].failures == 1


def test_next_owner_counts_a_failed_run_of_a_gang_no_second_time(cluster: Cluster) -> None:
    """Guards against LOST: a gang is shown as failed after one failed run of two.

    Its members ended together; the owner changed before it had read the end of the last one.
    """
    for fake in cluster.workers.values():
        fake.fails = True
    entry = job("j1", StepSpec(count=4, accelerators=8, gang=True), max_attempts=2)
    cluster.add(entry)
    cluster.run(1.5)
    cluster.workers["w4"].silent = True
    cluster.run(1.5)
    assert cluster.dispatcher.jobs["j1"].units[0].failures == 1
    cluster.dispatcher = cluster.new_dispatcher()
    cluster.add(JobEntry(submission=entry.submission, progress=cluster.records[-1]))
    cluster.workers["w4"].silent = False
    cluster.run(0.5)
    assert cluster.dispatcher.jobs["j1"].units[0].failures == 1
    assert cluster.state("j1") == "running"


def test_new_owner_adopts_running_gang(cluster: Cluster) -> None:
    """Guards against a change of owner that ends running work."""
    cluster.seconds = 5.0
    entry = job("j1", StepSpec(count=4, accelerators=8, gang=True))
    cluster.add(entry)
    cluster.run(1.0)
    successor_entry = JobEntry(submission=entry.submission, progress=cluster.records[-1])
    cluster.dispatcher = cluster.new_dispatcher()
    cluster.add(successor_entry)
    cluster.run(1.0)
    assert all(
        assignment.started and assignment.run == 1 for assignment in cluster.assignments("j1")
    )
    cluster.run(5.0)
    assert cluster.state("j1") == "complete"


def test_new_owner_restarts_task_whose_start_was_never_sent(cluster: Cluster) -> None:
    """Guards against a recorded assignment that is held for ever.

    The previous owner recorded it and ended before it sent the start.
    """
    entry = job("j1")
    cluster.add(entry)
    cluster.dispatcher.update_workers([f.entry for f in cluster.workers.values()], now=cluster.now)
    cluster.dispatcher.update_view_time(cluster.now, jobs_read_at=cluster.now)
    cluster.poll()
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    successor_entry = JobEntry(submission=entry.submission, progress=cluster.records[-1])
    cluster.dispatcher = cluster.new_dispatcher()
    cluster.add(successor_entry)
    cluster.run(0.5)
    assert [assignment.run for assignment in cluster.assignments("j1")] == [2]


def test_orphan_run_is_listed_for_a_stop(cluster: Cluster) -> None:
    """Guards against a run without an assignment that continues next to the assigned run.

    It comes about through a start that arrives late, after the task was placed elsewhere.
    """
    cluster.seconds = 30.0
    cluster.add(job("j1"))
    cluster.run(0.5)
    (assignment,) = cluster.assignments("j1")
    fake = cluster.workers["w4" if assignment.worker != "w4" else "w3"]
    fake.runs[assignment.task, 7] = fake.runs.get((assignment.task, 7)) or type(
        next(iter(cluster.workers[assignment.worker].runs.values()))
    )(assignment, cluster.now + 30)
    cluster.poll()
    orphan_runs = list(
        cluster.dispatcher.orphan_runs_to_stop(now=cluster.now, retry_after_seconds=1.0)
    )
    assert [(w.name, task, run) for w, task, run in orphan_runs] == [
        (fake.entry.worker, assignment.task, 7)
    ]


def test_worker_with_orphan_run_gets_no_work_until_the_run_ended() -> None:
    """Guards against work that is placed next to an orphan run (soak, seed 214).

    The orphan run uses resources too, so the worker would be overcommitted.
    """
    cluster = Cluster(worker_entry("w1"))
    cluster.seconds = 30.0
    cluster.add(job("j1"))
    cluster.run(0.5)
    (assignment,) = cluster.assignments("j1")
    fake = cluster.workers["w1"]
    fake.runs[assignment.task, 7] = FakeRun(assignment, cluster.now + 30.0)
    cluster.poll()
    worker = cluster.dispatcher.fleet.get("w1")
    assert worker is not None
    cluster.add(job("j2"))
    cluster.dispatcher.plan(now=cluster.now)
    assert not list(cluster.assignments("j2"))
    ((_, task, run),) = cluster.dispatcher.orphan_runs_to_stop(
        now=cluster.now, retry_after_seconds=1.0
    )
    cluster.dispatcher.mark_orphan_run_stopped(worker, task, run, now=cluster.now)
    cluster.run(0.3)
    assert not list(cluster.assignments("j2"))
    fake.end((task, run), RunEnd.STOPPED)
    cluster.run(0.3)
    assert len(list(cluster.assignments("j2"))) == 1


def test_unanswered_start_to_earlier_incarnation_blocks_the_next_until_stopped() -> None:
    """Guards against a task that runs twice because its worker restarted under the same name.

    A start for the earlier incarnation may arrive at the new one, so that one gets no work until
    it has acknowledged a stop of the run.
    """
    cluster = Cluster(worker_entry("w1"))
    cluster.add(job("j1"))
    cluster.tick()
    (assignment,) = cluster.assignments("j1")
    assignment.started, assignment.start_in_flight = False, True
    fake = cluster.workers["w1"]
    fake.runs.clear()
    fake.entry = worker_entry("w1", incarnation=2)
    cluster.run(0.5)
    assert not list(cluster.assignments("j1"))
    worker = cluster.dispatcher.fleet.get("w1")
    assert worker is not None
    ((_, task, run),) = cluster.dispatcher.orphan_runs_to_stop(
        now=cluster.now, retry_after_seconds=1.0
    )
    assert (task, run) == (assignment.task, 1)
    cluster.dispatcher.mark_orphan_run_stopped(worker, task, run, now=cluster.now)
    cluster.run(0.3)
    assert [a.run for a in cluster.assignments("j1")] == [2]


def test_start_that_reaches_a_restarted_worker_ends_before_its_task_runs_elsewhere() -> None:
    """Guards against a task that runs twice because its worker restarted under the same name.

    Its start was under way at the restart and is carried out by the new incarnation.
    """
    cluster = Cluster(worker_entry("w1"))
    cluster.seconds = 30.0
    cluster.add(job("j1"))
    cluster.tick()
    (assignment,) = cluster.assignments("j1")
    assignment.started, assignment.start_in_flight = False, True
    cluster.workers["w1"].entry = worker_entry("w1", incarnation=2)
    cluster.workers["w2"] = FakeWorker(worker_entry("w2"))
    for _ in range(20):
        cluster.tick()
        assert sum(len(fake.runs) for fake in cluster.workers.values()) <= 1
        for worker, task, run in list(
            cluster.dispatcher.orphan_runs_to_stop(now=cluster.now, retry_after_seconds=0.7)
        ):
            cluster.workers[worker.name].end((task, run), RunEnd.STOPPED)
            cluster.dispatcher.mark_orphan_run_stopped(worker, task, run, now=cluster.now)


def test_ended_job_is_removed_after_its_retention(cluster: Cluster) -> None:
    """Guards against records of ended jobs that accumulate in the log."""
    cluster.add(job("j1"))
    cluster.run(4.0)
    assert cluster.state("j1") == "complete"
    ended_at = cluster.dispatcher.jobs["j1"].ended_at
    assert ended_at is not None
    changes = cluster.dispatcher.collect_changes(now=ended_at + 179.0)
    assert [job.job_id for job in changes.expired_jobs] == []
    changes = cluster.dispatcher.collect_changes(now=ended_at + 181.0)
    assert [job.job_id for job in changes.expired_jobs] == ["j1"]


def test_job_that_was_taken_as_cancelled_is_removed_after_its_retention(cluster: Cluster) -> None:
    """Guards against records of cancelled jobs that stay on the log for good."""
    cluster.add(replace(job("j1"), cancelled=True))
    cluster.run(0.5)
    assert cluster.state("j1") == "cancelled"
    changes = cluster.dispatcher.collect_changes(now=cluster.now + 181.0)
    assert [job.job_id for job in changes.expired_jobs] == ["j1"]


def test_job_that_was_recorded_as_cancelled_does_not_start_again(cluster: Cluster) -> None:
    """Guards against an owner that reads only the record of the end, not the cancellation."""
    progress = Progress(job_id="j1", state=JobState.CANCELLED)
    cluster.add(replace(job("j1"), progress=progress))
    cluster.run(0.5)
    assert cluster.state("j1") == "cancelled"
    assert not any(fake.runs for fake in cluster.workers.values())


def test_progress_round_trips(cluster: Cluster) -> None:
    """Guards against a new owner that loses failures or run numbers."""
    entry = job("j1", StepSpec(count=3, accelerators=1))
    cluster.add(entry)
    cluster.run(0.5)
    progress = cluster.dispatcher.jobs["j1"].progress()
    again = OwnedJob(JobEntry(submission=entry.submission, progress=progress), now=0.0)
    assert again.progress() == progress


def takeover_from_a_lost_worker(cluster: Cluster, *, predecessor_ended: bool) -> float:
    """Return the seconds until a new owner starts the task of a lost worker elsewhere."""
    cluster.seconds = 60.0
    entry = job("j1")
    cluster.add(entry)
    cluster.run(1.0)
    (assignment,) = cluster.assignments("j1")
    del cluster.workers[assignment.worker]
    cluster.dispatcher = cluster.new_dispatcher(predecessor_ended=predecessor_ended)
    cluster.add(JobEntry(submission=entry.submission, progress=cluster.records[-1]))
    began = cluster.now
    while [a.run for a in cluster.assignments("j1")] != [2] and cluster.now < began + 30.0:
        cluster.tick()
    return cluster.now - began


def test_new_owner_after_ended_owner_waits_for_one_lease(cluster: Cluster) -> None:
    """Guards against tasks of lost workers that restart later than their last lease requires."""
    assert 6.0 < takeover_from_a_lost_worker(cluster, predecessor_ended=True) < 7.0


def test_new_owner_after_silent_owner_also_waits_for_its_renewals(cluster: Cluster) -> None:
    """Guards against two runs of a task while a superseded owner still renews a lease."""
    assert 11.0 < takeover_from_a_lost_worker(cluster, predecessor_ended=False) < 12.0


def test_new_task_of_a_lost_worker_also_waits_for_a_former_owners_lease() -> None:
    """Guards against two runs of a task that was started on the longer lease of a former owner.

    That owner is of another version and gave the longest lease that the platform allows.
    """
    cluster = Cluster(worker_entry("w1"))
    cluster.time_limits = TimeLimits(max_lease_seconds=10.0)
    cluster.dispatcher = cluster.new_dispatcher()
    cluster.seconds = 60.0
    cluster.add(job("j1"))
    began = cluster.now
    cluster.run(0.5)
    assert [assignment.worker for assignment in cluster.assignments("j1")] == ["w1"]
    cluster.workers["w1"].silent = True
    cluster.workers["w2"] = FakeWorker(worker_entry("w2"))
    cluster.run(began + 10.0 - cluster.now)
    assert [assignment.worker for assignment in cluster.assignments("j1")] == ["w1"]
    cluster.run(1.0)
    assert [assignment.worker for assignment in cluster.assignments("j1")] == ["w2"]


@pytest.mark.parametrize(
    "answer", [StartAnswer.TOO_LATE, StartAnswer.UNHEALTHY, StartAnswer.OLD_RUN]
)
def test_rejected_start_does_not_settle_an_earlier_unanswered_one(
    cluster: Cluster, answer: StartAnswer
) -> None:
    """Guards against a task that starts elsewhere while its first start was carried out.

    The first copy of the start had no answer; a rejection of the second copy does not settle it.
    """
    cluster.seconds = 30.0
    cluster.add(job("j1"))
    cluster.dispatcher.update_workers([f.entry for f in cluster.workers.values()], now=cluster.now)
    cluster.dispatcher.update_view_time(cluster.now, jobs_read_at=cluster.now)
    cluster.poll()
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    (assignment,) = cluster.assignments("j1")
    cluster.start(assignment)
    assignment.started, assignment.settled_at = False, None
    cluster.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=cluster.now)
    cluster.now += 0.4
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now)
    cluster.dispatcher.handle_start_answer(assignment, answer, now=cluster.now)
    assert list(cluster.assignments("j1")) == [assignment]
    cluster.run(0.3)
    runs = [key for fake in cluster.workers.values() for key in fake.runs]
    assert len(runs) <= 1


def test_stops_that_are_repeated_between_polls_do_not_delay_the_end(cluster: Cluster) -> None:
    """Guards against LOST: a unit that is never placed again, since its stop does not end.

    Each acknowledgement came after the poll in progress had been sent, and replaced the one before.
    """
    cluster.add(job("j1"))
    cluster.dispatcher.update_workers([f.entry for f in cluster.workers.values()], now=cluster.now)
    cluster.dispatcher.update_view_time(cluster.now, jobs_read_at=cluster.now)
    cluster.poll()
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    (assignment,) = cluster.assignments("j1")
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now)
    cluster.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=cluster.now)
    cluster.dispatcher.cancel_job("j1", now=cluster.now)
    worker = cluster.dispatcher.fleet.get(assignment.worker)
    assert worker is not None
    for _ in range(3):
        poll_sent_at = cluster.now
        cluster.now += 0.01
        cluster.stop(assignment)
        cluster.now += 0.7
        listing = Listing(incarnation=1, clock_ms=int(cluster.now * 1e3), running=(), ended=())
        cluster.dispatcher.handle_listing(
            worker, listing, poll_sent_at=poll_sent_at, renewed=True, now=cluster.now
        )
    assert list(cluster.assignments("j1")) == []


def test_task_that_ended_while_its_start_was_unanswered_is_not_run_again(cluster: Cluster) -> None:
    """Guards against a second run of a task that was done while the answers to its start were lost.

    The second copy of the start is rejected as an old run before the end is listed.
    """
    cluster.add(job("j1"))
    cluster.dispatcher.update_workers([f.entry for f in cluster.workers.values()], now=cluster.now)
    cluster.dispatcher.update_view_time(cluster.now, jobs_read_at=cluster.now)
    cluster.poll()
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    (assignment,) = cluster.assignments("j1")
    cluster.start(assignment)
    assignment.started, assignment.settled_at = False, None
    cluster.dispatcher.handle_start_answer(assignment, StartAnswer.UNKNOWN, now=cluster.now)
    cluster.workers[assignment.worker].end((assignment.task, assignment.run), RunEnd.DONE)
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now)
    cluster.dispatcher.handle_start_answer(assignment, StartAnswer.OLD_RUN, now=cluster.now)
    cluster.run(1.0)
    assert cluster.state("j1") == "complete"
    assert cluster.dispatcher.jobs["j1"].units[0].run == 1


@pytest.mark.parametrize("answer", [StartAnswer.UNHEALTHY, StartAnswer.UNKNOWN])
def test_job_is_queued_until_a_task_has_begun(cluster: Cluster, answer: StartAnswer) -> None:
    """Guards against MIXED: a job that was placed and has not begun is shown as running."""

    def reject(assignment: Assignment) -> None:
        if cluster.dispatcher.prepare_start(assignment, now=cluster.now):
            cluster.dispatcher.handle_start_answer(assignment, answer, now=cluster.now)

    start, cluster.start = cluster.start, reject
    cluster.run(1.0)
    cluster.add(job("j1"))
    cluster.run(6.0)
    assert cluster.records
    assert {record.state for record in cluster.records} == {"queued"}
    cluster.start = start
    cluster.run(30.0)
    states = [record.state for record in cluster.records]
    assert list(dict.fromkeys(states)) == ["queued", "running", "complete"]


def test_next_owner_knows_that_a_job_has_begun(cluster: Cluster) -> None:
    """Guards against a job whose task was lost and that is shown as queued by the next owner."""
    cluster.seconds = 30.0
    entry = job("j1")
    cluster.run(1.0)
    cluster.add(entry)
    cluster.run(1.0)
    progress = cluster.records[-1]
    assert progress.state == "running"
    cluster.dispatcher = cluster.new_dispatcher()
    for fake in cluster.workers.values():
        fake.runs.clear()
        fake.silent = True
    cluster.add(JobEntry(submission=entry.submission, progress=progress))
    cluster.run(8.0)
    assert cluster.state("j1") == "running"
