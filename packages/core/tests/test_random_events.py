from __future__ import annotations

from collections import Counter

from hypothesis import HealthCheck, assume, given, settings
from hypothesis import strategies as st

from zinniaweir.core import decisions as d
from zinniaweir.core import events as e
from zinniaweir.core.job import PRIORITIES, Job
from zinniaweir.core.nodes import Use
from zinniaweir.core.scheduler import Scheduler
from zinniaweir.core.settings import Customer, Settings
from zinniaweir.core.shape import Guarantee, Shape
from zinniaweir.core.topology import Topology, Worker

TOPOLOGY = Topology(
    workers=tuple(
        Worker(
            name=f"{domain}{rack}{number}",
            failure_domain=domain,
            rack=f"{domain}{rack}",
            cores=8,
            memory_bytes=100,
            accelerators=4,
        )
        for domain in "ns"
        for rack in "ab"
        for number in range(2)
    )
)
WORKERS = {worker.name: worker for worker in TOPOLOGY.workers}
SHAPES = [
    Shape(members=1, accelerators=1, cores=1, memory_bytes=10, spread="worker"),
    Shape(members=1, accelerators=4, cores=4, memory_bytes=10),
    Shape(members=2, accelerators=2, cores=2, memory_bytes=10, spread="rack"),
    Shape(members=2, accelerators=4, cores=8, memory_bytes=10, spread="rack"),
    Shape(members=3, accelerators=0, cores=3, memory_bytes=10, spread="failure_domain"),
    Shape(members=5, accelerators=2, cores=1, memory_bytes=1, spread="region"),
]
BASE = Settings(
    customers=(Customer(name="a"), Customer(name="b", quota_accelerators=12)),
    guarantees=(Guarantee(customer="a", shape=SHAPES[2], count=2),),
)
CHANGED = Settings(
    customers=(
        Customer(name="a", weight=2.0),
        Customer(name="b", quota_accelerators=12, quota_cores=20, weight=1.0),
    ),
    guarantees=(
        Guarantee(customer="b", shape=SHAPES[1], failure_domain="n"),
        Guarantee(customer="a", shape=SHAPES[2], count=1),
    ),
)


class FakeCluster:
    """Fake workers that answer in any order, with checks of the decisions that they receive."""

    def __init__(self) -> None:
        self.core = Scheduler(topology=TOPOLOGY, settings=BASE)
        self.now = 0.0
        self.jobs: dict[str, Job] = {}
        self.placed: dict[str, d.StartGang] = {}
        self.commands: dict[str, str] = {}
        self.cancelled: set[str] = set()
        self.out: set[str] = set()
        self.lost: set[str] = set()

    def send(self, event: e.Event) -> None:
        for decision in self.core.handle(event, now=self.now):
            self._execute(decision)
        self._check_capacity()
        self._check_allocations()

    def _execute(self, decision: d.Decision) -> None:
        if isinstance(decision, d.StartGang):
            self._check_start(decision)
            self.placed[decision.job_id] = decision
            self.commands[decision.job_id] = "start"
        elif isinstance(decision, d.CheckpointGang | d.StopGang):
            # A timer may end an attempt whose end has just been reported; there is nothing to stop.
            start = self.placed.get(decision.job_id)
            if start is not None and start.attempt == decision.attempt:
                command = "checkpoint" if isinstance(decision, d.CheckpointGang) else "stop"
                self.commands[decision.job_id] = command
        elif isinstance(decision, d.FinishJob | d.RequeueJob):
            assert decision.job_id not in self.placed

    def _check_start(self, start: d.StartGang) -> None:
        shape = self.jobs[start.job_id].shape
        workers = [WORKERS[m.worker] for m in start.members]
        assert start.job_id not in self.cancelled
        assert start.job_id not in self.placed
        assert len(workers) == shape.members
        assert not {w.failure_domain for w in workers} & self.out
        assert not {w.name for w in workers} & self.lost
        if shape.spread == "rack":
            assert len({w.rack for w in workers}) == 1
        for member in start.members:
            numbers = member.accelerators
            assert len(numbers) == shape.accelerators
            assert list(numbers) == list(range(numbers[0], numbers[-1] + 1)) if numbers else True

    def _check_capacity(self) -> None:
        used: Counter = Counter()
        cores: Counter = Counter()
        for job_id, start in self.placed.items():
            for member in start.members:
                if member.worker in self.lost:
                    continue
                used.update((member.worker, number) for number in member.accelerators)
                cores[member.worker] += self.jobs[job_id].shape.cores
        assert max(used.values(), default=1) == 1
        assert all(count <= WORKERS[name].cores for name, count in cores.items())

    def _check_allocations(self) -> None:
        # An allocation with non-reclaimable gangs of others could not be given back to its owner.
        for node in self.core._pool.nodes:
            assert not node.guaranteed_mask & node.non_reclaimable_mask
            if node.guaranteed_mask and node.live and node.domain_in:
                assert node.guaranteed_cores + node.non_reclaimable_cores <= node.worker.cores
            for held in node.held.values():
                for slot, use in held:
                    assert use is not Use.OWNED or not slot.mask & ~node.guaranteed_mask

    def answer(self, pick: int, good: bool) -> None:
        if not self.commands:
            return
        job_id = sorted(self.commands)[pick % len(self.commands)]
        command = self.commands[job_id]
        attempt = self.placed[job_id].attempt
        if command == "start" and good:
            del self.commands[job_id]
            self.send(e.GangStarted(job_id=job_id, attempt=attempt))
            return
        start = self.placed.pop(job_id)
        del self.commands[job_id]
        if command == "start":
            worker = start.members[-1].worker
            self.send(e.GangStartFailed(job_id=job_id, attempt=attempt, worker=worker))
        elif command == "checkpoint" and good:
            self.send(e.CheckpointFinished(job_id=job_id, attempt=attempt, done_fraction=0.5))
        else:
            self.send(e.GangStopped(job_id=job_id, attempt=attempt))

    def exit(self, pick: int, outcome: str) -> None:
        running = sorted(set(self.placed) - set(self.commands))
        if running:
            job_id = running[pick % len(running)]
            attempt = self.placed.pop(job_id).attempt
            self.send(e.TaskExited(job_id=job_id, attempt=attempt, outcome=outcome))

    def lose(self, name: str) -> None:
        self.lost.add(name)
        gone = [j for j, s in self.placed.items() if {m.worker for m in s.members} <= self.lost]
        for job_id in gone:
            del self.placed[job_id]
            self.commands.pop(job_id, None)
        self.send(e.WorkerLost(worker=name))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["arrive"] * 6
            + ["answer"] * 8
            + ["exit"] * 3
            + ["fail", "cancel", "out", "in", "lose", "join", "settings", "tick", "tick"]
        ),
        st.integers(0, 7),
        st.integers(0, 5),
        st.booleans(),
        st.booleans(),
    ),
    min_size=10,
    max_size=120,
)


def run(steps: list) -> FakeCluster:
    cluster = FakeCluster()
    for number, (kind, first, second, one, other) in enumerate(steps):
        cluster.now += 0.5 + first
        name = TOPOLOGY.workers[first].name
        match kind:
            case "arrive":
                job = Job(
                    job_id=f"j{number}",
                    customer="abc"[first % 3],
                    name="n",
                    priority=PRIORITIES[second % 3],
                    shape=SHAPES[(first + second) % len(SHAPES)],
                    declared_seconds=10.0,
                    submitted_at=cluster.now,
                    checkpointable=one,
                    idempotent=other,
                )
                cluster.jobs[job.job_id] = job
                cluster.send(e.JobArrived(job=job))
            case "answer":
                cluster.answer(first, one or other)
            case "exit":
                cluster.exit(first, "done")
            case "fail":
                cluster.exit(first, "failed")
            case "cancel":
                chosen = sorted(cluster.jobs)[first : first + second]
                cluster.cancelled.update(chosen)
                cluster.send(e.JobCancelled(job_ids=tuple(chosen)))
            case "out":
                cluster.out.add("ns"[first % 2])
                cluster.send(e.FailureDomainOut(failure_domain="ns"[first % 2]))
            case "in":
                cluster.out.discard("ns"[first % 2])
                cluster.send(e.FailureDomainIn(failure_domain="ns"[first % 2]))
            case "lose":
                cluster.lose(name)
            case "join":
                # A worker that comes back has stopped the tasks that it ran.
                if not any(name == m.worker for s in cluster.placed.values() for m in s.members):
                    cluster.lost.discard(name)
                    cluster.send(e.WorkerJoined(worker=WORKERS[name]))
            case "settings":
                cluster.send(e.SettingsChanged(settings=CHANGED if one else BASE))
            case "tick":
                cluster.now += 20.0 * second
                cluster.send(e.Tick())
    return cluster


@settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    database=None,
)
@given(STEPS)
def test_invariants_hold_under_random_events(steps: list) -> None:
    """Guards against decisions that break an invariant after a rare order of events.

    The invariants forbid overcommitted workers, gangs started in part, starts of cancelled jobs or
    in failure domains that are out, and guaranteed capacity that its owner cannot reclaim.
    """
    run(steps)


@settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(STEPS)
def test_snapshot_round_trip_under_random_events(steps: list) -> None:
    """Guards against gangs that a snapshot and its restoration lose, add or change."""
    core = run(steps).core
    data = core.snapshot()
    again = Scheduler.restore(data).snapshot()
    assert {g["job"]["job_id"] for g in again["gangs"]} == {
        g["job"]["job_id"] for g in data["gangs"]
    }
    assert again["gangs"] == data["gangs"]


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(STEPS)
def test_owner_gets_its_idle_guarantee_at_once(steps: list) -> None:
    """Guards against an owner that waits although an allocation of its guarantee is unused.

    After random events, an urgent job of the guaranteed shape must start or claim the capacity.
    """
    cluster = run(steps)
    cluster.now += 100.0
    for name in "ns":
        cluster.out.discard(name)
        cluster.send(e.FailureDomainIn(failure_domain=name))
    cluster.now += 100.0
    cluster.send(e.Tick())
    idle = [
        allocation
        for allocation in cluster.core._coverage.allocations
        if allocation.slots is not None
        and not allocation.used
        and allocation.guarantee.customer == "a"
        and all(cluster.core._pool.nodes[s.node].usable for s in allocation.slots)
    ]
    assume(idle)
    job = Job(
        job_id="owner",
        customer="a",
        name="n",
        priority="urgent",
        shape=SHAPES[2],
        declared_seconds=10.0,
        submitted_at=cluster.now,
    )
    cluster.jobs["owner"] = job
    cluster.send(e.JobArrived(job=job))
    reason = cluster.core.explain("owner").reason
    assert reason in (d.Reason.STARTING, d.Reason.WAITING_FOR_RECLAIM)
