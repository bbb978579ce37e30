"""Tests of loads: who waits, who makes way and where work goes. Each names its pattern."""

from __future__ import annotations

from zinniaweir.dispatch import fleet
from zinniaweir.dispatch.messages import StartAnswer
from zinniaweir.workloads.queues import Customer
from zinniaweir.workloads.spec import StepSpec

from .conftest import World, job, worker_entry

LARGE = StepSpec(count=1, cpu_millis=26_000, memory_mb=140_000, accelerators=8, estimate_ms=8_000)
SMALL = StepSpec(count=1, cpu_millis=5_600, memory_mb=16_000, accelerators=1, estimate_ms=9_000)
CHECK = {"name": "checks", "priority": 0, "slack_factor": 1.5, "target_seconds": 0.3}


def racks(count: int, workers: int) -> list:
    return [
        worker_entry(f"r{r}w{w}", rack=f"r1-{r}", labels=frozenset({"a", f"r1-{r}"}))
        for r in range(count)
        for w in range(workers)
    ]


def gang(count: int, *, accelerators: int = 8, estimate_ms: int = 2_500) -> StepSpec:
    return StepSpec(
        count=count,
        cpu_millis=7_500,
        memory_mb=31_000,
        accelerators=accelerators,
        estimate_ms=estimate_ms,
        gang=True,
        rack_local=True,
    )


def test_burst_of_urgent_gangs_on_a_full_cluster_preempts_the_youngest_work() -> None:
    """Guards against urgent callers that wait behind work with seconds to spare."""
    world = World(*racks(2, 4))
    world.seconds = 20.0
    for n in range(8):
        world.add(job(f"old{n}" if n < 4 else f"new{n}", LARGE))
        world.run(0.2 if n != 3 else 6.0)
    world.add(job("urgent", gang(4), **CHECK))
    world.run(1.0)
    assert len(list(world.assignments("urgent"))) == 4
    stopped = {f["job_id"] for e, f in world.events if e == "unit_preempted"}
    assert stopped
    assert all(name.startswith("new") for name in stopped)


def test_urgent_work_beyond_its_guarantee_does_not_waste_more_than_it_takes() -> None:
    """Guards against preemption that throws more work away than it serves."""
    world = World(*racks(1, 2))
    world.seconds = 60.0
    for n in range(2):
        world.add(job(f"old{n}", LARGE))
    world.run(30.0)
    world.add(job("urgent", gang(2, accelerators=1), **CHECK))
    world.run(1.0)
    assert "unit_preempted" not in world.names()


def test_guaranteed_work_is_placed_whole_whatever_it_costs() -> None:
    """Guards against a guarantee that is not given back when its customer asks."""
    world = World(*racks(1, 4))
    world.configure(Customer(name="parish", api_keys=frozenset(), guaranteed_accelerators=32))
    world.seconds = 60.0
    for n in range(4):
        world.add(job(f"old{n}", LARGE, customer="other"))
    world.run(30.0)
    world.add(job("urgent", gang(4), **CHECK))
    world.run(2.0)
    assert len(list(world.assignments("urgent"))) == 4


def test_a_stream_of_small_tasks_does_not_starve_a_large_gang() -> None:
    """Guards against a rack-wide gang that waits while small work fills each hole."""
    world = World(*racks(1, 4))
    world.seconds = 3.0
    for n in range(24):
        world.add(job(f"small{n}", SMALL))
    world.run(0.5)
    step = StepSpec(count=4, memory_mb=140_000, accelerators=8, gang=True, estimate_ms=3_000)
    world.add(job("large", step, slack_factor=2.0))
    for n in range(60):
        world.add(job(f"later{n}", SMALL, slack_factor=9.0))
        world.run(0.2)
        if any(assignment.started for assignment in world.assignments("large")):
            break
    assert any(assignment.started for assignment in world.assignments("large"))


def test_small_work_fills_one_rack_and_leaves_the_other_whole() -> None:
    """Guards against fragmentation that leaves no rack for a gang."""
    world = World(*racks(2, 4))
    world.seconds = 30.0
    for n in range(16):
        world.add(job(f"small{n}", SMALL))
        world.run(0.1)
    used = {
        assignment.worker[:2] for n in range(16) for assignment in world.assignments(f"small{n}")
    }
    assert len(used) == 1


def test_a_rack_local_gang_waits_for_its_rack_unless_none_is_large_enough() -> None:
    """Guards against a gang that runs three times as long since it is spread."""
    world = World(*racks(2, 2))
    world.seconds = 5.0
    world.add(job("blocker", LARGE))
    world.run(0.2)
    world.add(job("fits", gang(2)))
    world.add(job("wide", gang(4), slack_factor=9.0))
    world.run(0.5)
    assert len({assignment.worker[:2] for assignment in world.assignments("fits")}) == 1
    world.run(12.0)
    assert world.state("wide") in ("running", "complete")


def test_a_worker_that_refuses_starts_is_avoided() -> None:
    """Guards against starts that bounce off an unhealthy worker again and again."""
    world = World(*racks(1, 2))
    world.add(job("j1"))
    world.dispatcher.update_workers([f.entry for f in world.workers.values()], now=world.now)
    world.dispatcher.update_view_time(world.now)
    world.look()
    world.dispatcher.plan(now=world.now)
    world.write()
    (assignment,) = world.assignments("j1")
    assert world.dispatcher.prepare_start(assignment, now=world.now)
    world.dispatcher.handle_start_answer(assignment, StartAnswer.UNHEALTHY, now=world.now)
    world.run(0.3)
    (again,) = world.assignments("j1")
    assert again.worker != assignment.worker


def test_a_worker_that_fails_what_it_starts_is_told_from_a_bad_job() -> None:
    """Guards against good jobs that use up their attempts on one bad worker."""
    world = World(*racks(1, 4))
    world.workers["r0w0"].fails = True
    world.seconds = 0.5
    for n in range(12):
        world.add(job(f"j{n}", SMALL, max_attempts=2))
        world.run(0.4)
    world.run(3.0)
    assert [world.state(f"j{n}") for n in range(12)] == ["complete"] * 12


def test_no_plan_over_commits_a_worker_under_a_flood() -> None:
    """Guards against more tasks on a worker than it has room for."""
    world = World(*racks(2, 4))
    world.seconds = 1.3
    for n in range(60):
        world.add(job(f"l{n}", LARGE if n % 3 else gang(3, accelerators=4), priority=n % 3))
        world.run(0.1)
        for worker in world.dispatcher.fleet:
            assert worker.used_accelerators <= worker.entry.accelerators
            assert worker.used_memory <= worker.entry.memory_mb
            assert worker.used_cpu <= worker.entry.cpu_millis


def test_a_gang_that_stands_still_does_not_blame_all_its_workers() -> None:
    """Guards against room that is lost since one member's worker hangs."""
    world = World(*racks(1, 4))
    world.seconds = 30.0
    world.hanging = {"r0w0"}
    world.add(job("g", gang(4)))
    world.run(4.0)
    usable = [w for w in world.workers if world.dispatcher.health.usable(w, now=world.now)]
    assert {"r0w1", "r0w2", "r0w3"} <= set(usable)


def test_a_gang_that_waits_for_the_whole_cluster_lets_others_use_idle_workers() -> None:
    """Guards against a job with nothing running while most of the cluster is kept free."""
    world = World(*racks(1, 8))
    world.seconds = 30.0
    world.add(job("blocker", LARGE))
    world.run(0.3)
    world.add(job("wide", gang(8, estimate_ms=8_000), slack_factor=2.0))
    world.run(0.3)
    long = StepSpec(count=1, accelerators=1, estimate_ms=60_000)
    world.add(job("small", long, slack_factor=9.0))
    world.run(1.0)
    assert not list(world.assignments("small"))
    world.run(1.5)
    assert any(assignment.started for assignment in world.assignments("small"))


def test_a_rack_local_gang_spreads_if_each_rack_of_an_idle_cluster_has_a_straggler() -> None:
    """Guards against a gang that waits for a rack while most of the cluster is free."""
    world = World(*racks(3, 4))
    world.seconds = 60.0
    for n in range(3):
        blocker = StepSpec(count=1, accelerators=1, estimate_ms=60_000, home_rack=f"r1-{n}")
        world.add(job(f"blocker{n}", blocker))
    world.run(0.3)
    world.add(job("gang", gang(4), priority=1, slack_factor=9.0))
    world.run(1.5)
    assert not list(world.assignments("gang"))
    world.run(1.5)
    assert len(list(world.assignments("gang"))) == 4


def test_a_round_computes_room_only_where_seats_changed(monkeypatch) -> None:
    """Guards against decision rounds that cost a search of all workers for each waiting unit."""
    world = World(*racks(4, 4))
    world.seconds = 60.0
    for n in range(16):
        world.add(job(f"old{n}", LARGE))
    world.run(0.5)
    for n in range(20):
        world.add(job(f"waits{n}", gang(4), priority=1))
    world.run(0.2)
    computed = []
    monkeypatch.setattr(fleet, "fit_count", lambda *a, **k: computed.append(1) or 0)
    world.add(job("one-more", gang(4), priority=1))
    world.step()
    assert not computed


def wide_gangs_that_start(world: World, *, small: int, rate: int) -> int:
    """Return how many of four wide gangs start within 8 s of a stream of small tasks."""
    for n in range(small):
        world.add(job(f"small{n}", SMALL))
        world.durations[f"small{n}"] = 1.0 + n % 12 * 0.5
    world.run(0.5)
    step = StepSpec(count=4, memory_mb=140_000, accelerators=8, gang=True, estimate_ms=9_000)
    for n in range(4):
        world.add(job(f"wide{n}", step, slack_factor=2.0))
        world.durations[f"wide{n}"] = 30.0
    started: set[str] = set()
    for n in range(80):
        for k in range(rate):
            world.add(job(f"later{n}-{k}", SMALL, slack_factor=9.0))
            world.durations[f"later{n}-{k}"] = 3.0 + k % 3
        world.run(0.1)
        started |= {
            f"wide{k}" for k in range(4) if any(s.started for s in world.assignments(f"wide{k}"))
        }
    return len(started)


def test_wide_gangs_on_a_small_cluster_do_not_drain_it_for_each_other() -> None:
    """Guards against room kept for so many gangs that none of them starts."""
    assert wide_gangs_that_start(World(*racks(4, 4)), small=128, rate=3) >= 2
