from __future__ import annotations

from dataclasses import replace

from zinniaweir.core.decisions import CheckpointGang, FinishJob, RequeueJob, StartGang
from zinniaweir.core.events import (
    CheckpointFinished,
    FailureDomainIn,
    FailureDomainOut,
    GangStarted,
    JobArrived,
    TaskExited,
    Tick,
)
from zinniaweir.core.guarantees import check_guarantees
from zinniaweir.core.job import Job
from zinniaweir.core.scheduler import Scheduler
from zinniaweir.core.settings import Settings
from zinniaweir.core.shape import Guarantee, Shape
from zinniaweir.core.topology import Topology, Worker

GB = 1 << 30
PAIR = Shape(members=2, accelerators=8, cores=8, memory_bytes=GB, spread="rack")
SINGLE = Shape(members=1, accelerators=8, cores=8, memory_bytes=GB)
TOPOLOGY = Topology(
    workers=tuple(
        Worker(
            name=f"{domain}-w{number}",
            failure_domain=domain,
            rack=f"{domain}-r1",
            cores=64,
            memory_bytes=256 * GB,
            accelerators=8,
        )
        for domain in ("north", "south")
        for number in range(2)
    )
)
JOB = Job(
    job_id="a",
    customer="parish",
    name="sweep",
    priority="batch",
    shape=SINGLE,
    declared_seconds=100.0,
    submitted_at=0.0,
    checkpointable=True,
)
GUARANTEED_SETTINGS = Settings(guarantees=(Guarantee(customer="owner", shape=PAIR),))


def scheduler(settings: Settings = GUARANTEED_SETTINGS) -> Scheduler:
    return Scheduler(topology=TOPOLOGY, settings=settings)


def start(core: Scheduler, job: Job, now: float = 0.0) -> list:
    decisions = core.handle(JobArrived(job=job), now=now)
    for decision in decisions:
        if isinstance(decision, StartGang):
            started = GangStarted(job_id=decision.job_id, attempt=decision.attempt)
            core.handle(started, now=now)
    return decisions


def test_guarantee_is_reclaimed_by_checkpoint_from_borrowers() -> None:
    """Guards against an owner that waits until borrowers of its guarantee end by themselves.

    Four borrowers fill all workers; two of them must be asked to checkpoint within 4 s.
    """
    core = scheduler()
    for number in range(4):
        start(core, replace(JOB, job_id=f"b{number}"))
    claims = start(core, replace(JOB, job_id="o", customer="owner", priority="urgent", shape=PAIR))
    victims = [d for d in claims if isinstance(d, CheckpointGang)]
    assert len(victims) == 2
    assert {v.time_limit for v in victims} == {4.0}
    decisions = []
    for victim in victims:
        done = CheckpointFinished(job_id=victim.job_id, attempt=1, done_fraction=0.3)
        decisions += core.handle(done, now=2.0)
    assert [d.job_id for d in decisions if isinstance(d, StartGang)] == ["o"]
    assert {d.done_fraction for d in decisions if isinstance(d, RequeueJob)} == {0.3}


def test_work_that_cannot_be_reclaimed_never_borrows() -> None:
    """Guards against jobs that cannot be reclaimed on capacity that is guaranteed to others."""
    core = scheduler()
    non_reclaimable = replace(JOB, checkpointable=False, idempotent=False)
    starts = []
    for number in range(4):
        decisions = start(core, replace(non_reclaimable, job_id=f"f{number}"))
        starts += [d for d in decisions if isinstance(d, StartGang)]
    assert len(starts) == 2


def test_failure_domain_out_stops_starts_and_moves_work() -> None:
    """Guards against starts in a failure domain that is out, and against work that stays there."""
    core = scheduler(Settings())
    for number in range(2):
        start(core, replace(JOB, job_id=f"b{number}"))
    names = {m.worker for n in range(2) for m in core.members(f"b{n}")}
    domain = next(iter(names)).split("-")[0]
    decisions = core.handle(FailureDomainOut(failure_domain=domain), now=1.0)
    moved = [d for d in decisions if isinstance(d, CheckpointGang)]
    assert moved
    for victim in moved:
        done = CheckpointFinished(job_id=victim.job_id, attempt=1, done_fraction=0.5)
        decisions += core.handle(done, now=2.0)
    starts = [d for d in decisions if isinstance(d, StartGang)]
    assert len(starts) == len(moved)
    assert not any(m.worker.startswith(domain) for d in starts for m in d.members)
    core.handle(FailureDomainIn(failure_domain=domain), now=10.0)
    assert core.handle(Tick(), now=11.0) == []


def test_snapshot_restores_the_same_state() -> None:
    """Guards against a preview that decides on a copy of the core from which state is missing."""
    core = scheduler()
    for number in range(5):
        start(core, replace(JOB, job_id=f"b{number}"))
    copy = Scheduler.restore(core.snapshot())
    assert copy.snapshot() == core.snapshot()
    done = TaskExited(job_id="b0", attempt=1, outcome="done")
    finished = core.handle(done, now=50.0)
    assert copy.handle(done, now=50.0) == finished
    assert isinstance(finished[0], FinishJob)
    assert [d.job_id for d in finished if isinstance(d, StartGang)] == ["b4"]


def test_guarantees_are_checked_as_shapes() -> None:
    """Guards against a check of guarantees that only compares sums of accelerators.

    Three members with spread `rack` do not fit on racks of two workers, although enough
    accelerators exist.
    """
    assert check_guarantees(TOPOLOGY, [Guarantee(customer="a", shape=PAIR, count=2)]) == []
    wide = Shape(members=3, accelerators=8, cores=1, memory_bytes=GB, spread="rack")
    problems = check_guarantees(TOPOLOGY, [Guarantee(customer="a", shape=wide)])
    assert [p.customer for p in problems] == ["a"]
    both = [Guarantee(customer="a", shape=PAIR, count=2), Guarantee(customer="b", shape=SINGLE)]
    assert [p.index for p in check_guarantees(TOPOLOGY, both)] != []
