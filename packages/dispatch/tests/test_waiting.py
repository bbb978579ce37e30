"""Tests that no job waits with nothing running while an idle cluster has room for it."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from zinniaweir.dispatch.units import Unit
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

MAX_WAIT_SECONDS = 3.0
"""Time for which a job may have nothing running although there is room for it."""
IDLE_SHARE = 0.5
"""The promise holds while less than this share of the accelerators is in use."""
ROOM_FACTOR = 2
"""The promise holds if the free capacity is this multiple of what the unit needs."""
STEPS = (
    StepSpec(count=6, cpu_millis=5_600, memory_mb=16_000, accelerators=1, estimate_ms=3_000),
    StepSpec(count=2, cpu_millis=26_000, memory_mb=75_000, accelerators=8, estimate_ms=3_000),
    StepSpec(
        count=3, cpu_millis=26_000, accelerators=8, estimate_ms=3_000, gang=True, rack_local=True
    ),
    StepSpec(count=4, cpu_millis=7_500, accelerators=4, estimate_ms=1_000, gang=True),
    StepSpec(count=3, cpu_millis=7_500, accelerators=2, estimate_ms=2_000, max_per_worker=1),
)


def new_cluster() -> Cluster:
    return Cluster(
        *(worker_entry(f"r{rack}w{n}", rack=f"r1-{rack}") for rack in range(3) for n in range(4))
    )


def overdue_units(cluster: Cluster) -> list[Unit]:
    """Return the units that wait too long although the cluster is idle and has room for them."""
    dispatcher = cluster.dispatcher
    usable = [
        worker
        for worker in dispatcher.fleet
        if not dispatcher._planner.exclusion_reason(worker, cluster.now)
    ]
    used = sum(worker.used_accelerators for worker in usable)
    if used >= IDLE_SHARE * sum(worker.entry.accelerators for worker in usable):
        return []
    return [
        unit
        for owned in dispatcher.jobs.values()
        if not any(owned.assignments)
        for unit in owned.ready_units()
        if cluster.now - unit.waiting_since > MAX_WAIT_SECONDS
        and sum(worker.fits(unit.demand) for worker in usable) >= ROOM_FACTOR * len(unit.indexes)
    ]


def disturb(cluster: Cluster, rng: Random) -> None:
    """Silence, restart or drain a worker, or end a disturbance."""
    fake = rng.choice(list(cluster.workers.values()))
    match rng.randrange(4):
        case 0:
            fake.silent = not fake.silent
        case 1:
            fake.runs.clear()
            fake.ended.clear()
            fake.end_count = 0
            fake.entry = replace(fake.entry, incarnation=fake.entry.incarnation + 1)
        case 2:
            fake.entry = replace(fake.entry, draining=True, remaining_seconds=4.0)
        case 3:
            fake.entry = replace(fake.entry, draining=False, remaining_seconds=None)


@pytest.mark.parametrize("seed", [*range(12), 25, 38, 61])
def test_no_job_waits_while_an_idle_cluster_has_room(seed: int) -> None:
    """Guards against a task that is not started again after its worker or its gang was lost."""
    rng = Random(seed)
    cluster = new_cluster()
    cluster.seconds = 3.0
    for tick in range(300):
        if tick < 200 and rng.random() < 0.08:
            priority = rng.randrange(3)
            cluster.add(job(f"j{tick}", rng.choice(STEPS), name=f"q{priority}", priority=priority))
        if tick < 200 and rng.random() < 0.05:
            disturb(cluster, rng)
        cluster.tick()
        assert not overdue_units(cluster)
