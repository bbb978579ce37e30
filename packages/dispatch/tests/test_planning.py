"""Tests of the planner under load: placement, waiting, reservation and preemption."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from zinniaweir.dispatch import fleet, planning_pass
from zinniaweir.dispatch.messages import StartAnswer
from zinniaweir.workloads.queues import Customer
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

if TYPE_CHECKING:
    import pytest

    from zinniaweir.dispatch.units import Unit

LARGE = StepSpec(count=1, cpu_millis=26_000, memory_mb=140_000, accelerators=8, estimate_ms=8_000)
SMALL = StepSpec(count=1, cpu_millis=5_600, memory_mb=16_000, accelerators=1, estimate_ms=9_000)
URGENT_QUEUE = {"name": "checks", "priority": 0, "slack_factor": 1.5, "target_seconds": 0.3}


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


def test_urgent_gang_on_full_cluster_preempts_youngest_work() -> None:
    """Guards against urgent callers that wait behind work that can still wait for seconds."""
    cluster = Cluster(*racks(2, 4))
    cluster.seconds = 20.0
    for n in range(8):
        cluster.add(job(f"old{n}" if n < 4 else f"new{n}", LARGE))
        cluster.run(0.2 if n != 3 else 6.0)
    cluster.add(job("urgent", gang(4), **URGENT_QUEUE))
    cluster.run(1.0)
    assert len(list(cluster.assignments("urgent"))) == 4
    stopped = {f["job_id"] for e, f in cluster.events if e == "unit_preempted"}
    assert stopped
    assert all(name.startswith("new") for name in stopped)


def test_job_whose_planning_fails_does_not_stop_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one job that ends the ownership of each VM in turn."""
    choose = planning_pass.choose_workers

    def choose_or_fail(unit: Unit, *args: Any, **options: Any) -> Any:
        if unit.job.job_id == "faulty":
            raise IndexError("unexpected")
        return choose(unit, *args, **options)

    monkeypatch.setattr(planning_pass, "choose_workers", choose_or_fail)
    cluster = Cluster(*racks(1, 1))
    cluster.add(job("faulty", SMALL))
    cluster.add(job("sound", SMALL))
    cluster.run(1.0)
    assert len(list(cluster.assignments("sound"))) == 1
    assert [f["job_id"] for e, f in cluster.events if e == "job_set_aside"] == ["faulty"]


def test_preemption_prefers_work_that_is_saved() -> None:
    """Guards against a burst of urgent work that throws away work which nothing has saved.

    A stopped task that writes checkpoints continues from its stop, however long it has run.
    """
    cluster = Cluster(*racks(1, 2))
    cluster.seconds = 20.0
    cluster.add(job("saved", replace(LARGE, checkpointing=True)))
    cluster.run(6.0)
    cluster.add(job("unsaved", LARGE))
    cluster.run(0.6)
    cluster.add(job("urgent", gang(1), **URGENT_QUEUE))
    cluster.run(1.0)
    assert [f["job_id"] for e, f in cluster.events if e == "unit_preempted"] == ["saved"]


def test_urgent_work_beyond_guarantee_does_not_preempt_costly_work() -> None:
    """Guards against a preemption that loses far more work than the urgent work amounts to."""
    cluster = Cluster(*racks(1, 2))
    cluster.seconds = 60.0
    for n in range(2):
        cluster.add(job(f"old{n}", LARGE))
    cluster.run(30.0)
    cluster.add(job("urgent", gang(2, accelerators=1), **URGENT_QUEUE))
    cluster.run(1.0)
    assert "unit_preempted" not in cluster.event_names()


def test_guaranteed_gang_preempts_borrowed_capacity_at_any_cost() -> None:
    """Guards against guaranteed capacity that is not returned when its customer needs it."""
    cluster = Cluster(*racks(1, 4))
    cluster.configure(Customer(name="parish", api_keys=frozenset(), guaranteed_accelerators=32))
    cluster.seconds = 60.0
    for n in range(4):
        cluster.add(job(f"old{n}", LARGE, customer="other"))
    cluster.run(30.0)
    cluster.add(job("urgent", gang(4), **URGENT_QUEUE))
    cluster.run(2.0)
    assert len(list(cluster.assignments("urgent"))) == 4


def test_stream_of_small_tasks_does_not_starve_large_gang() -> None:
    """Guards against a rack-wide gang that waits because small tasks fill each gap."""
    cluster = Cluster(*racks(1, 4))
    cluster.seconds = 3.0
    for n in range(24):
        cluster.add(job(f"small{n}", SMALL))
    cluster.run(0.5)
    step = StepSpec(count=4, memory_mb=140_000, accelerators=8, gang=True, estimate_ms=3_000)
    cluster.add(job("large", step, slack_factor=2.0))
    for n in range(60):
        cluster.add(job(f"later{n}", SMALL, slack_factor=9.0))
        cluster.run(0.2)
        if any(assignment.started for assignment in cluster.assignments("large")):
            break
    assert any(assignment.started for assignment in cluster.assignments("large"))


def test_small_tasks_are_packed_into_one_rack() -> None:
    """Guards against fragmentation that leaves no rack free for a gang."""
    cluster = Cluster(*racks(2, 4))
    cluster.seconds = 30.0
    for n in range(16):
        cluster.add(job(f"small{n}", SMALL))
        cluster.run(0.1)
    used = {
        assignment.worker[:2] for n in range(16) for assignment in cluster.assignments(f"small{n}")
    }
    assert len(used) == 1


def test_rack_local_gang_waits_for_a_rack_unless_none_is_large_enough() -> None:
    """Guards against a gang that runs three times as long because it spans racks.

    A gang that is larger than any rack must not wait for one.
    """
    cluster = Cluster(*racks(2, 2))
    cluster.seconds = 5.0
    cluster.add(job("blocker", LARGE))
    cluster.run(0.2)
    cluster.add(job("fits", gang(2)))
    cluster.add(job("wide", gang(4), slack_factor=9.0))
    cluster.run(0.5)
    assert len({assignment.worker[:2] for assignment in cluster.assignments("fits")}) == 1
    cluster.run(12.0)
    assert cluster.state("wide") in ("running", "complete")


def test_worker_that_refuses_starts_is_avoided() -> None:
    """Guards against starts that are sent to an unhealthy worker again and again."""
    cluster = Cluster(*racks(1, 2))
    cluster.add(job("j1"))
    cluster.dispatcher.update_workers([f.entry for f in cluster.workers.values()], now=cluster.now)
    cluster.dispatcher.update_view_time(cluster.now, jobs_read_at=cluster.now)
    cluster.poll()
    cluster.dispatcher.plan(now=cluster.now)
    cluster.record_changes()
    (assignment,) = cluster.assignments("j1")
    assert cluster.dispatcher.prepare_start(assignment, now=cluster.now)
    cluster.dispatcher.handle_start_answer(assignment, StartAnswer.UNHEALTHY, now=cluster.now)
    cluster.run(0.3)
    (again,) = cluster.assignments("j1")
    assert again.worker != assignment.worker


def test_jobs_complete_despite_a_worker_that_fails_all_runs() -> None:
    """Guards against sound jobs that use up their attempts on one faulty worker."""
    cluster = Cluster(*racks(1, 4))
    cluster.workers["r0w0"].fails = True
    cluster.seconds = 0.5
    for n in range(12):
        cluster.add(job(f"j{n}", SMALL, max_attempts=2))
        cluster.run(0.4)
    cluster.run(3.0)
    assert [cluster.state(f"j{n}") for n in range(12)] == ["complete"] * 12


def test_workers_are_never_overcommitted_under_overload() -> None:
    """Guards against tasks on a worker that together need more resources than it has."""
    cluster = Cluster(*racks(2, 4))
    cluster.seconds = 1.3
    for n in range(60):
        cluster.add(job(f"l{n}", LARGE if n % 3 else gang(3, accelerators=4), priority=n % 3))
        cluster.run(0.1)
        for worker in cluster.dispatcher.fleet:
            assert worker.used_accelerators <= worker.entry.accelerators
            assert worker.used_memory <= worker.entry.memory_mb
            assert worker.used_cpu <= worker.entry.cpu_millis


def test_stalled_gang_does_not_exclude_all_its_workers() -> None:
    """Guards against sound workers that are excluded because the worker of one member hangs.

    All members of a gang stall when one of them does.
    """
    cluster = Cluster(*racks(1, 4))
    cluster.seconds = 30.0
    cluster.stalled_workers = {"r0w0"}
    cluster.add(job("g", gang(4)))
    cluster.run(4.0)
    usable = [w for w in cluster.workers if cluster.dispatcher.health.usable(w, now=cluster.now)]
    assert {"r0w1", "r0w2", "r0w3"} <= set(usable)


def test_gang_that_waits_for_whole_cluster_lets_others_use_idle_workers() -> None:
    """Guards against a job with nothing running while most of the cluster is reserved and idle."""
    cluster = Cluster(*racks(1, 8))
    cluster.seconds = 30.0
    cluster.add(job("blocker", LARGE))
    cluster.run(0.3)
    cluster.add(job("wide", gang(8, estimate_ms=8_000), slack_factor=2.0))
    cluster.run(0.3)
    long = StepSpec(count=1, accelerators=1, estimate_ms=60_000)
    cluster.add(job("small", long, slack_factor=9.0))
    cluster.run(1.0)
    assert not list(cluster.assignments("small"))
    cluster.run(1.5)
    assert any(assignment.started for assignment in cluster.assignments("small"))


def test_a_rack_local_gang_spreads_if_each_rack_of_an_idle_cluster_has_a_straggler() -> None:
    """Guards against a gang that waits for a whole rack while most of the cluster is free."""
    cluster = Cluster(*racks(3, 4))
    cluster.seconds = 60.0
    for n in range(3):
        blocker = StepSpec(count=1, accelerators=1, estimate_ms=60_000, home_rack=f"r1-{n}")
        cluster.add(job(f"blocker{n}", blocker))
    cluster.run(0.3)
    cluster.add(job("gang", gang(4), priority=1, slack_factor=9.0))
    cluster.run(1.5)
    assert not list(cluster.assignments("gang"))
    cluster.run(1.5)
    assert len(list(cluster.assignments("gang"))) == 4


def test_free_capacity_is_recomputed_only_after_assignments_change(monkeypatch) -> None:
    """Guards against planning passes that examine all workers anew for each waiting unit."""
    cluster = Cluster(*racks(4, 4))
    cluster.seconds = 60.0
    for n in range(16):
        cluster.add(job(f"old{n}", LARGE))
    cluster.run(0.5)
    for n in range(20):
        cluster.add(job(f"waits{n}", gang(4), priority=1))
    cluster.run(0.2)
    computed = []
    monkeypatch.setattr(fleet, "fit_count", lambda *a, **k: computed.append(1) or 0)
    cluster.add(job("one-more", gang(4), priority=1))
    cluster.tick()
    assert not computed


def wide_gangs_that_start(cluster: Cluster, *, small: int, rate: int) -> int:
    """Return how many of four wide gangs start within 8 s of a stream of small tasks.

    Args:
        cluster: The cluster.
        small: Number of small tasks before the gangs.
        rate: Number of small tasks that arrive in each 0.1 s after them.
    """
    for n in range(small):
        cluster.add(job(f"small{n}", SMALL))
        cluster.durations[f"small{n}"] = 1.0 + n % 12 * 0.5
    cluster.run(0.5)
    step = StepSpec(count=4, memory_mb=140_000, accelerators=8, gang=True, estimate_ms=9_000)
    for n in range(4):
        cluster.add(job(f"wide{n}", step, slack_factor=2.0))
        cluster.durations[f"wide{n}"] = 30.0
    started: set[str] = set()
    for n in range(80):
        for k in range(rate):
            cluster.add(job(f"later{n}-{k}", SMALL, slack_factor=9.0))
            cluster.durations[f"later{n}-{k}"] = 3.0 + k % 3
        cluster.run(0.1)
        started |= {
            f"wide{k}" for k in range(4) if any(a.started for a in cluster.assignments(f"wide{k}"))
        }
    return len(started)


def test_wide_gangs_on_small_cluster_do_not_block_each_other() -> None:
    """Guards against reservations for so many gangs that none of them starts."""
    assert wide_gangs_that_start(Cluster(*racks(4, 4)), small=128, rate=3) >= 2
