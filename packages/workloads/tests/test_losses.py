"""Tests of the rule that gives up work that crashes its workers."""

from __future__ import annotations

import pytest

from zinniaweir.workloads.losses import CrashRate, crashes_workers, survives, unexplained_losses
from zinniaweir.workloads.records import LossRecord

RARE = 1 / 3_600.0
"""Crashes of a worker that crashes once an hour, per second."""


def losses(*members: int, lasted: float = 0.0, sole: bool = True) -> list[LossRecord]:
    return [
        LossRecord(run, "w", run, sole, members=(member,), lasted_seconds=lasted)
        for run, member in enumerate(members, 1)
    ]


@pytest.mark.parametrize("sole", [True, False])
def test_work_that_crashes_each_worker_at_its_start_is_given_up(sole: bool) -> None:
    """Guards against more starts than two after the third crash."""
    count = 3 if sole else 5
    found = losses(*[0] * count, sole=sole)
    assert crashes_workers(found, members=1, crash_rate=RARE)
    assert not crashes_workers(found[:-1], members=1, crash_rate=RARE)


def test_gang_that_loses_another_member_each_time_is_not_given_up() -> None:
    """Guards against three lost workers that count as proof, whoever ran on them."""
    assert not crashes_workers(losses(0, 1, 2, 3, lasted=3.0), members=4, crash_rate=RARE)
    assert crashes_workers(losses(1, 1, 1), members=4, crash_rate=RARE)


def test_gang_that_fails_at_each_start_is_given_up() -> None:
    """Guards against a gang that crashes a worker at each start for good, each time another one."""
    found = losses(0, 1, 2, 3, 0)
    assert unexplained_losses(found) == 5
    assert crashes_workers(found, members=4, crash_rate=RARE)
    assert not crashes_workers(found[:-1], members=4, crash_rate=RARE)
    assert not crashes_workers(found, members=4, crash_rate=1 / 25.0)


def test_runs_that_lasted_are_weighed_by_how_often_workers_crash() -> None:
    """Guards against long work that is given up since its workers crash now and then."""
    found = losses(0, 0, 0, 0, 0, lasted=1_800.0)
    assert not crashes_workers(found, members=1, crash_rate=RARE)
    assert crashes_workers(found, members=1, crash_rate=RARE / 1_000)


def test_run_clears_a_member_only_if_it_lasts_well_beyond_the_lost_ones() -> None:
    """Guards against a task that crashes its worker late, and is cleared before it does."""
    found = losses(0, 0, lasted=10.0)
    assert not survives(found, member=0, seconds=20.0)
    assert survives(found, member=0, seconds=30.0)


def test_losses_without_members_count_for_all() -> None:
    """Guards against losses of earlier versions, which tell no members, that do not count."""
    found = [LossRecord(run, "w", run, True) for run in (1, 2, 3)]
    assert unexplained_losses(found) == 3
    assert crashes_workers(found, members=4, crash_rate=RARE)


def test_crash_rate_follows_the_watched_crashes() -> None:
    """Guards against crashes of other workers that do not speak for work."""
    rate = CrashRate()
    rate.watch(10, now=100.0)
    before = rate.per_second()
    rate.watch(10, now=1_100.0)
    assert rate.per_second() < before / 20
    rate.add_crash()
    assert rate.per_second() > before / 4
    assert rate.per_second(without=1) < before / 20
    rate.remove_crash()
    assert rate.per_second() < before / 20
