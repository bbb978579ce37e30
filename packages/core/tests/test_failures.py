from __future__ import annotations

from dataclasses import replace

from zinniaweir.core import decisions as d
from zinniaweir.core import events as e
from zinniaweir.core.job import Job
from zinniaweir.core.scheduler import MAX_CANCELLATIONS_PER_CALL, Scheduler
from zinniaweir.core.settings import Customer, Settings
from zinniaweir.core.shape import Shape
from zinniaweir.core.topology import Topology, Worker

TOPOLOGY = Topology(
    workers=tuple(
        Worker(
            name=f"w{n}",
            failure_domain="fd",
            rack="r",
            cores=16,
            memory_bytes=100,
            accelerators=8,
        )
        for n in range(4)
    )
)
JOB = Job(
    job_id="j",
    customer="c",
    name="n",
    priority="normal",
    shape=Shape(members=1, accelerators=8, cores=2, memory_bytes=10),
    declared_seconds=100.0,
    submitted_at=0.0,
)


def starts(decisions: list) -> list[d.StartGang]:
    return [decision for decision in decisions if isinstance(decision, d.StartGang)]


def run_job(core: Scheduler, job_id: str, now: float, bad: set[str]) -> list:
    """Submit a job and fail each start of a bad job or on a bad worker until it runs or ends."""
    seen = core.handle(e.JobArrived(job=replace(JOB, job_id=job_id)), now=now)
    pending = starts(seen)
    while pending:
        start = pending.pop()
        worker = start.members[0].worker
        event: e.Event = e.GangStarted(job_id=start.job_id, attempt=start.attempt)
        if worker in bad or start.job_id in bad:
            event = e.GangStartFailed(
                job_id=start.job_id, attempt=start.attempt, worker=worker, reason="start_failed"
            )
        decisions = core.handle(event, now=now)
        seen += decisions
        pending += starts(decisions)
    return seen


def test_bad_worker_is_quarantined_and_probed_and_its_jobs_run_elsewhere() -> None:
    """Guards against jobs that fail for good because one worker fails every start.

    The jobs must run elsewhere, and the worker must be quarantined and later probed.
    """
    core = Scheduler(topology=TOPOLOGY, settings=Settings())
    seen = []
    for number in range(4):
        seen += run_job(core, f"j{number}", float(number), {"w0"})
        ended = e.TaskExited(job_id=f"j{number}", attempt=9, outcome="done")
        for attempt in range(1, 5):
            done = replace(ended, attempt=attempt)
            seen += core.handle(done, now=float(number) + 0.5)
    quarantined = [x for x in seen if isinstance(x, d.QuarantineWorker)]
    assert [q.worker for q in quarantined] == ["w0"]
    assert not [x for x in seen if isinstance(x, d.FinishJob) and x.state != "done"]
    released = core.handle(e.Tick(), now=quarantined[0].until)
    assert [x.worker for x in released if isinstance(x, d.ReleaseWorker)] == ["w0"]


def test_job_that_fails_everywhere_is_ended_and_quarantines_no_worker() -> None:
    """Guards against the quarantine of good workers by a job that fails on each of them."""
    core = Scheduler(topology=TOPOLOGY, settings=Settings())
    seen = run_job(core, "bad", 0.0, {"bad"})
    assert [x.reason for x in seen if isinstance(x, d.FinishJob)] == [d.Reason.FAILS_EVERYWHERE]
    assert not [x for x in seen if isinstance(x, d.QuarantineWorker)]


def test_mass_cancellation_is_bounded_and_stops_all_starts() -> None:
    """Guards against a long call or the start of a cancelled job when 3000 are cancelled at once.

    The cancellations are spread over several calls, between which no cancelled job may start.
    """
    core = Scheduler(topology=TOPOLOGY, settings=Settings())
    ids = tuple(f"j{n}" for n in range(3000))
    for job_id in ids:
        core.handle(e.JobArrived(job=replace(JOB, job_id=job_id)), now=0.0)
    seen = core.handle(e.JobCancelled(job_ids=ids), now=1.0)
    assert len(seen) <= MAX_CANCELLATIONS_PER_CALL
    while core.next_wakeup() == 1.0:
        more = core.handle(e.Tick(), now=1.0)
        assert len(more) <= MAX_CANCELLATIONS_PER_CALL
        seen += more
    assert not starts(seen)
    assert sum(isinstance(x, d.FinishJob) for x in seen) == 3000 - 4


def test_impossible_job_is_refused_at_once_and_reviewed_after_a_change() -> None:
    """Guards against a job above its quota that waits for ever or is never tried again.

    It must be refused when it arrives, and must start when a change of settings raises the quota.
    """
    core = Scheduler(topology=TOPOLOGY, settings=Settings(customers=(quota(4),)))
    refused = core.handle(e.JobArrived(job=JOB), now=0.0)
    assert [(x.reason, x.kept_waiting) for x in refused] == [(d.Reason.EXCEEDS_QUOTA, True)]
    changed = core.handle(e.SettingsChanged(settings=Settings(customers=(quota(8),))), now=1.0)
    assert [x.job_id for x in starts(changed)] == ["j"]


def quota(accelerators: int) -> Customer:
    return Customer(name="c", quota_accelerators=accelerators)


def test_task_above_its_declaration_is_throttled_then_ended() -> None:
    """Guards against a job ended by one late report, and against excess use that has no effect.

    Reports that were measured before the throttle took effect must not count against the task.
    """
    core = Scheduler(topology=TOPOLOGY, settings=Settings())
    run_job(core, "j", 0.0, set())
    report = e.UsageReported(
        job_id="j", attempt=1, member=0, cores=8.0, memory_bytes=1, measured_at=1.0
    )
    assert core.handle(report, now=5.0) == []
    assert isinstance(core.handle(report, now=6.0)[0], d.ThrottleTask)
    # Measured less than 10 s after the throttle.
    assert core.handle(replace(report, measured_at=7.0), now=11.0) == []
    core.handle(replace(report, measured_at=20.0), now=25.0)
    ended = core.handle(replace(report, measured_at=21.0), now=26.0)
    assert [x.reason for x in ended if isinstance(x, d.StopGang)] == [d.Reason.EXCEEDS_DECLARATION]
