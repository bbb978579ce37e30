"""Tests of the order and the rate of polls in a large fleet."""

from __future__ import annotations

from collections import Counter

from zinniaweir.node.poll_schedule import (
    BURST_SECONDS,
    IDLE_SHARE,
    LARGE_FLEET_WORKERS,
    MAX_URGENT_IN_FLIGHT,
    MIN_POLLS_PER_SECOND,
    SMALL_FLEET_WORKERS,
    PollClass,
    PollSchedule,
    ThrottleReason,
    Turn,
)

TICK = 0.02


def new_schedule(max_in_flight: int = 10_000) -> PollSchedule[str]:
    schedule = PollSchedule[str](max_in_flight=max_in_flight)
    schedule.resize(LARGE_FLEET_WORKERS + 1)
    return schedule


def turns(schedule: PollSchedule[str], now: float) -> list[Turn[str]]:
    found = []
    while (turn := schedule.next_turn(now)) is not None:
        found.append(turn)
    return found


def request_many(schedule: PollSchedule[str], name: str, poll_class: PollClass, count: int) -> None:
    for number in range(count):
        schedule.request(f"{name}{number}", poll_class, due_at=0.0)


def test_small_fleets_are_not_paced() -> None:
    """Guards against a change for fleets below the bound, and against switching to and fro."""
    schedule = PollSchedule[str](max_in_flight=10)
    schedule.resize(LARGE_FLEET_WORKERS)
    assert not schedule.paced
    schedule.resize(LARGE_FLEET_WORKERS + 1)
    assert schedule.paced
    schedule.resize(SMALL_FLEET_WORKERS)
    assert schedule.paced
    schedule.resize(SMALL_FLEET_WORKERS - 1)
    assert not schedule.paced


def test_polls_a_second_are_bounded() -> None:
    """Guards against 3,000 workers that are polled at once, for which no VM has the processor."""
    schedule = new_schedule()
    request_many(schedule, "w", PollClass.IDLE, 3_000)
    sent = sum(len(turns(schedule, tick * TICK)) for tick in range(51))
    assert sent <= schedule.rate * (1.0 + BURST_SECONDS)
    assert sent > 0.9 * schedule.rate


def test_an_overloaded_owner_polls_less_and_later_more_again() -> None:
    """Guards against polls that delay themselves and everything else: the circle of time-outs."""
    schedule = new_schedule()
    for tick in range(1_000):
        schedule.observe_delay(0.1, now=tick * TICK)
    assert schedule.rate == MIN_POLLS_PER_SECOND
    for tick in range(1_000, 2_000):
        schedule.observe_delay(0.0, now=tick * TICK)
    assert schedule.rate > 2 * MIN_POLLS_PER_SECOND


def test_a_full_link_is_noticed_by_late_answers() -> None:
    """Guards against polls that fill the owner's link, so that it cannot read the log in time."""
    schedule = new_schedule()
    for tick in range(1_000):
        schedule.observe_latency(0.4)
        schedule.observe_delay(0.0, now=tick * TICK)
    assert schedule.rate == MIN_POLLS_PER_SECOND


def test_leases_are_renewed_whatever_the_rate() -> None:
    """Guards against runs that end with their leases, since the owner polls too slowly."""
    schedule = new_schedule()
    request_many(schedule, "idle", PollClass.IDLE, 3_000)
    request_many(schedule, "urgent", PollClass.URGENT, 1_000)
    sent = 0
    for tick in range(20):
        for turn in turns(schedule, tick * TICK):
            if turn.poll_class is PollClass.URGENT:
                sent += 1
            schedule.finish(turn.key)
    assert sent == 1_000


def test_urgent_polls_in_flight_are_bounded() -> None:
    """Guards against a new owner that polls all workers with tasks at once and times out."""
    schedule = new_schedule()
    request_many(schedule, "urgent", PollClass.URGENT, 1_000)
    first = turns(schedule, 1.0)
    assert len(first) == MAX_URGENT_IN_FLIGHT
    schedule.finish(first[0].key)
    assert len(turns(schedule, 1.0)) == 1


def test_idle_workers_keep_a_share_beside_busy_ones() -> None:
    """Guards against idle workers that get no work, since their polls never have their turn."""
    schedule = new_schedule()
    request_many(schedule, "busy", PollClass.BUSY, 3_000)
    request_many(schedule, "idle", PollClass.IDLE, 3_000)
    found = Counter(t.poll_class for tick in range(100) for t in turns(schedule, tick * TICK))
    share = found[PollClass.IDLE] / found.total()
    assert abs(share - IDLE_SHARE) < 0.02


def test_polls_in_flight_are_bounded_and_do_not_wait_near_the_bound() -> None:
    """Guards against a process that runs out of descriptors."""
    schedule = new_schedule(max_in_flight=50)
    request_many(schedule, "busy", PollClass.BUSY, 200)
    found = [turn for tick in range(100) for turn in turns(schedule, tick * TICK)]
    assert len(found) == schedule.in_flight == 50
    assert [turn.may_wait for turn in found] == [True] * 40 + [False] * 10
    assert schedule.throttled[ThrottleReason.CONNECTIONS] == 10


def test_late_polls_of_workers_with_tasks_are_counted() -> None:
    """Guards against an owner that is too slow for its fleet, and nobody is told."""
    schedule = new_schedule()
    request_many(schedule, "busy", PollClass.BUSY, 3_000)
    for tick in range(100):
        turns(schedule, tick * TICK)
    assert schedule.throttled[ThrottleReason.RATE] > 0


def test_a_worker_that_gets_tasks_moves_ahead() -> None:
    """Guards against a lease that lapses while its worker waits among the idle ones."""
    schedule = new_schedule()
    request_many(schedule, "idle", PollClass.IDLE, 3_000)
    schedule.request("idle2999", PollClass.URGENT, due_at=0.0)
    assert schedule.requested_class("idle2999") is PollClass.URGENT
    found = [turn.key for tick in range(1_000) for turn in turns(schedule, tick * TICK)]
    assert found[0] == "idle2999"
    assert len(found) == len(set(found)) == 3_000


def test_removed_and_not_yet_due_workers_get_no_turn() -> None:
    """Guards against polls of workers that are gone, or that were polled a moment ago."""
    schedule = new_schedule()
    schedule.request("gone", PollClass.BUSY, due_at=0.0)
    schedule.withdraw("gone")
    schedule.request("later", PollClass.IDLE, due_at=5.0)
    assert [t.key for tick in range(100) for t in turns(schedule, tick * TICK)] == []
    assert [t.key for t in turns(schedule, 5.0)] == ["later"]
