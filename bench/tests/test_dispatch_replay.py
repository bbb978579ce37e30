"""Tests of the load benchmark of the dispatcher."""

from __future__ import annotations

from dataclasses import replace

from bench.dispatch.heavy_workloads import heavy_boards
from bench.dispatch.replay import Replay
from bench.dispatch.workloads import Burst, arrivals, grown_aconcagua


def test_a_light_load_earns_all_its_worth_and_a_burst_less() -> None:
    """Guards against results that do not depend on the load."""
    grown = grown_aconcagua()
    kinds = tuple(
        replace(kind, rate=kind.rate / 12, prefilled=1, max_tasks=16) for kind in grown.kinds
    )
    small = replace(grown, workers=32, kinds=kinds)
    worth = []
    for load, bursts in ((0.5, ()), (3.0, (Burst(kind="", factor=3.0, at=2.0, seconds=6.0),))):
        replay = Replay(deployment=small)
        jobs = arrivals(small, seed=1, seconds=10.0, load=load, bursts=bursts, racks=replay.racks)
        worth.append(replay.run(jobs, seconds=40.0).worth)
    assert worth[0] > 0.95
    assert worth[1] < worth[0]


def test_fast_workers_are_learned() -> None:
    """Guards against speeds that are learned wrongly from a load with wild estimates.

    Slowness that passes must not hide the fast workers.
    """
    deployment = heavy_boards()
    jobs = list(arrivals(deployment, seed=1, seconds=30.0, load=1.0, racks=("r0-0",)))
    replay = Replay(deployment=deployment)
    replay.run(jobs, seconds=30.0)
    faster = {name for name, speed in replay.learned_speeds.items() if speed > 1.0}
    fast = {f"w{n}" for n, speed in enumerate(deployment.speeds) if speed > 1.0}
    slow = {f"w{n}" for n, speed in enumerate(deployment.speeds) if speed < 1.0}
    assert len(faster & fast) > 0.4 * len(fast)
    assert not faster & slow
