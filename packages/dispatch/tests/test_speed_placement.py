"""Tests of the choice among workers of unequal speed."""

from __future__ import annotations

from collections.abc import Mapping

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.placement import choose_workers
from zinniaweir.dispatch.units import OwnedJob, Unit
from zinniaweir.workloads.spec import StepSpec

from .conftest import job, worker_entry


def unit_of(count: int, *, priority: int, **step: object) -> Unit:
    spec = StepSpec(count=count, accelerators=8, gang=True, **step)
    return OwnedJob(job("j", spec, priority=priority), now=0.0).units[0]


def choose(unit: Unit, levels: Mapping[str, int], **options: object) -> list[str] | None:
    """Return the names of the chosen workers; the first letter of a name tells its rack."""
    workers = [Worker(entry=worker_entry(name, rack=name[0])) for name in levels]
    chosen = choose_workers(
        unit, workers, rack_use={}, speed_level=lambda w: levels[w.name], **options
    )
    return None if chosen is None else sorted(worker.name for worker in chosen)


MIXED = {"a0": 0, "a1": 4, "a2": 0, "a3": 4, "a4": -1, "a5": 0, "a6": -1, "a7": 0}


def test_urgent_gang_gets_the_fast_workers_and_patient_work_the_others() -> None:
    """Guards against urgent gangs that are late on slow workers while fast ones run batch work."""
    assert choose(unit_of(2, priority=0), MIXED) == ["a1", "a3"]
    assert choose(unit_of(1, priority=0), MIXED) in (["a1"], ["a3"])
    assert choose(unit_of(2, priority=2), MIXED) == ["a4", "a6"]
    slow_or_fast = {"a0": 4, "a1": 3, "a2": -1}
    assert choose(unit_of(1, priority=2), slow_or_fast) == ["a2"]


def test_gang_gets_members_of_like_speed() -> None:
    """Guards against fast workers that wait for the slow member of their gang."""
    usual = ["a0", "a2", "a5", "a7"]
    assert choose(unit_of(4, priority=0), MIXED) == usual
    assert choose(unit_of(4, priority=1), MIXED) == usual
    assert choose(unit_of(3, priority=1), MIXED) == sorted(usual)[:3]


def test_speed_never_makes_a_gang_wait_or_spread() -> None:
    """Guards against a gang without workers although there are some of unlike speed."""
    for priority in (0, 1):
        assert len(choose(unit_of(8, priority=priority), MIXED) or []) == 8
        racks = {"a0": 0, "a1": 0, "b0": 4, "c0": 4}
        gang = unit_of(2, priority=priority, rack_local=True)
        assert choose(gang, racks, spread_allowed=True) == ["a0", "a1"]
        wide = unit_of(3, priority=priority, rack_local=True)
        spread = {"a0": 0, "a1": 4, "b0": 4, "c0": 4}
        usual = choose(wide, dict.fromkeys(spread, 0), spread_allowed=True)
        assert choose(wide, spread, spread_allowed=True) == usual == ["a0", "a1", "b0"]


def test_failures_and_home_rack_come_before_speed() -> None:
    """Guards against fast workers that fail their runs, or are far from the data."""
    failed = {"a1": 2, "a3": 2}
    assert choose(unit_of(2, priority=0), MIXED, penalty=lambda name: failed.get(name, 0)) == [
        "a0",
        "a2",
    ]
    home = unit_of(2, priority=0, home_rack="b")
    assert choose(home, {"a0": 4, "a1": 4, "b0": 0, "b1": 0, "b2": -1}) == ["b0", "b1"]


def test_order_is_unchanged_where_all_speeds_are_alike() -> None:
    """Guards against another placement on fleets whose workers are alike."""
    for priority in (0, 1, 2):
        unit = unit_of(3, priority=priority, rack_local=True)
        workers = [Worker(entry=worker_entry(f"{r}{n}", rack=r)) for r in "ab" for n in range(4)]
        usual = choose_workers(unit, workers, rack_use={"b": 3})
        assert usual == choose_workers(
            unit, workers, rack_use={"b": 3}, speed_level=lambda worker: 0
        )
