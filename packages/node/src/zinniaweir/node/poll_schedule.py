"""Order and rate of an owner's polls of a large fleet, without I/O or access to a clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Final, Generic, TypeVar

from zinniaweir.dispatch.fleet import LARGE_FLEET_WORKERS

SMALL_FLEET_WORKERS: Final = 500
"""Number of workers below which polls are not paced any more."""
INITIAL_POLLS_PER_SECOND: Final = 600.0
MIN_POLLS_PER_SECOND: Final = 300.0
MAX_POLLS_PER_SECOND: Final = 1_500.0
MAX_URGENT_IN_FLIGHT: Final = 96
"""Number of polls of the urgent class that are in flight at a time.

They are answered at once, so this many keep a processor busy and none waits long for it.
"""
IDLE_SHARE: Final = 0.25
"""Minimum share of polls for idle workers while workers with tasks are due as well."""
MAX_IDLE_CREDIT: Final = 8.0
"""Limit of the polls that idle workers can catch up on."""
BURST_SECONDS: Final = 0.05
"""Polls that were not due are made up for up to this time."""
RATE_INTERVAL_SECONDS: Final = 0.5
"""Interval between changes of the rate."""
HIGH_DELAY_SECONDS: Final = 0.03
"""Mean delay of the event loop above which the rate falls."""
LOW_DELAY_SECONDS: Final = 0.012
"""Mean delay of the event loop below which the rate rises."""
HIGH_LATENCY_SECONDS: Final = 0.25
"""Mean duration of polls that do not wait above which the rate falls.

A link that is full delays the log's answers too, and polls time out after 0.6 s.
"""
LOW_LATENCY_SECONDS: Final = 0.12
"""Mean duration of polls that do not wait below which the rate rises."""
RATE_DECREASE: Final = 0.8
"""Factor on the rate if the event loop or answers are delayed."""
RATE_INCREASE: Final = 1.1
"""Factor on the rate if neither is delayed."""
WAITING_SHARE: Final = 0.8
"""Share of the connections up to which polls wait for ends of runs; beyond it none does."""
THROTTLED_DELAY_SECONDS: Final = 0.3
"""A poll of a worker with tasks that is later than this counts as throttled."""

K = TypeVar("K", bound=Hashable)


class PollClass(IntEnum):
    """Class of a poll; a lower one goes first."""

    URGENT = 0
    """Of a worker with tasks whose lease must be renewed now, or that was never listed."""
    BUSY = 1
    """Of a worker with tasks."""
    IDLE = 2
    """Of a worker without tasks."""


class ThrottleReason(StrEnum):
    """What limits the polls."""

    RATE = "rate"
    """Processor time or link of the VM."""
    CONNECTIONS = "connections"
    """Descriptors of the process."""


@dataclass(frozen=True, kw_only=True)
class Turn(Generic[K]):
    """Permission to poll a worker now."""

    key: K
    poll_class: PollClass
    may_wait: bool
    """Whether the poll may wait for the end of a run."""


class _Mean:
    """Mean of the values since it was last taken, 0 without any."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._count = 0

    def add(self, value: float) -> None:
        self._sum += value
        self._count += 1

    def take(self) -> float:
        mean = self._sum / self._count if self._count else 0.0
        self._sum, self._count = 0.0, 0
        return mean


class PollSchedule(Generic[K]):
    """Decide which worker is polled next.

    Polls of workers with tasks go before those of idle workers, which keep a share. The rate
    follows the delay of the event loop and that of answers, which tell on every VM whether its
    processor or its link is overloaded. Urgent polls are bounded by their number in flight instead
    of by the rate, so leases are renewed also if the rate is too low.

    Args:
        max_in_flight: Maximum number of polls in flight.
    """

    def __init__(self, *, max_in_flight: int) -> None:
        self._max_in_flight = max_in_flight
        self._paced = False
        self._rate = INITIAL_POLLS_PER_SECOND
        self._tokens = 0.0
        self._refilled_at: float | None = None
        self._idle_credit = 0.0
        self._queues: dict[PollClass, list[tuple[float, int, K]]] = {c: [] for c in PollClass}
        self._waiting: dict[K, tuple[PollClass, int, float]] = {}
        """Class, number and due time of each request."""
        self._in_flight: dict[K, PollClass] = {}
        self._urgent_in_flight = 0
        self._numbers = itertools.count()
        self._delays = _Mean()
        self._latencies = _Mean()
        self._rated_at: float | None = None
        self.throttled: dict[ThrottleReason, int] = dict.fromkeys(ThrottleReason, 0)
        """Number of polls of workers with tasks that were late, by reason, since it was reset."""

    @property
    def paced(self) -> bool:
        """Whether the fleet is large; otherwise every worker is polled all the time."""
        return self._paced

    @property
    def rate(self) -> float:
        """Polls a second."""
        return self._rate

    @property
    def in_flight(self) -> int:
        """Number of polls in flight."""
        return len(self._in_flight)

    def resize(self, workers: int) -> None:
        """Record the number of workers."""
        limit = SMALL_FLEET_WORKERS if self._paced else LARGE_FLEET_WORKERS + 1
        self._paced = workers >= limit

    def request(self, key: K, poll_class: PollClass, *, due_at: float) -> None:
        """Ask for a turn, or change the class and the due time of a request.

        Args:
            key: The worker.
            poll_class: The class.
            due_at: Time before which the worker need not be polled, in seconds.
        """
        number = next(self._numbers)
        self._waiting[key] = (poll_class, number, due_at)
        heapq.heappush(self._queues[poll_class], (due_at, number, key))

    def requested_class(self, key: K) -> PollClass | None:
        """Return the class of a worker's request, None if it has none."""
        found = self._waiting.get(key)
        return found and found[0]

    def withdraw(self, key: K) -> None:
        """Drop the request of a worker."""
        self._waiting.pop(key, None)

    def finish(self, key: K) -> None:
        """Record that the poll of a worker has ended."""
        if self._in_flight.pop(key, None) is PollClass.URGENT:
            self._urgent_in_flight -= 1

    def next_turn(self, now: float) -> Turn[K] | None:
        """Return the next poll to send, None if none is due or allowed.

        Args:
            now: Current time in seconds.
        """
        self._refill(now)
        chosen = self._choose(now)
        if chosen is None:
            return None
        poll_class, key = chosen
        _, _, due_at = self._waiting.pop(key)
        self._in_flight[key] = poll_class
        late_seconds = max(now - due_at, 0.0)
        may_wait = (
            poll_class is PollClass.BUSY and self.in_flight <= WAITING_SHARE * self._max_in_flight
        )
        if poll_class is PollClass.URGENT:
            self._urgent_in_flight += 1
        else:
            self._tokens -= 1.0
            if poll_class is PollClass.BUSY:
                self._count_throttled(late_seconds, may_wait=may_wait)
        return Turn(key=key, poll_class=poll_class, may_wait=may_wait)

    def observe_delay(self, seconds: float, *, now: float) -> None:
        """Record by how much the event loop was late, and adapt the rate.

        Args:
            seconds: The delay.
            now: Current time in seconds.
        """
        self._delays.add(seconds)
        if self._rated_at is None:
            self._rated_at = now
        if now - self._rated_at < RATE_INTERVAL_SECONDS:
            return
        self._rated_at = now
        delay, latency = self._delays.take(), self._latencies.take()
        if delay > HIGH_DELAY_SECONDS or latency > HIGH_LATENCY_SECONDS:
            self._rate = max(self._rate * RATE_DECREASE, MIN_POLLS_PER_SECOND)
        elif delay < LOW_DELAY_SECONDS and latency < LOW_LATENCY_SECONDS:
            self._rate = min(self._rate * RATE_INCREASE, MAX_POLLS_PER_SECOND)

    def observe_latency(self, seconds: float) -> None:
        """Record how long a poll took that was answered and did not wait, in seconds."""
        self._latencies.add(seconds)

    def _refill(self, now: float) -> None:
        since = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = now
        self._tokens = min(self._tokens + self._rate * (now - since), self._rate * BURST_SECONDS)

    def _choose(self, now: float) -> tuple[PollClass, K] | None:
        if self.in_flight >= self._max_in_flight:
            return None
        if self._urgent_in_flight < MAX_URGENT_IN_FLIGHT:
            urgent = self._pop_due(PollClass.URGENT, now)
            if urgent is not None:
                return PollClass.URGENT, urgent
        if self._tokens < 1.0:
            return None
        if self._idle_credit >= 1.0:
            idle = self._pop_due(PollClass.IDLE, now)
            if idle is not None:
                self._idle_credit -= 1.0
                return PollClass.IDLE, idle
        busy = self._pop_due(PollClass.BUSY, now)
        if busy is not None:
            self._idle_credit = min(
                self._idle_credit + IDLE_SHARE / (1.0 - IDLE_SHARE), MAX_IDLE_CREDIT
            )
            return PollClass.BUSY, busy
        idle = self._pop_due(PollClass.IDLE, now)
        return None if idle is None else (PollClass.IDLE, idle)

    def _pop_due(self, poll_class: PollClass, now: float) -> K | None:
        """Remove and return the request of a class that has been due for longest."""
        queue = self._queues[poll_class]
        while queue and queue[0][0] <= now:
            _, number, key = heapq.heappop(queue)
            found = self._waiting.get(key)
            if found is not None and found[1] == number:
                return key
        return None

    def _count_throttled(self, late_seconds: float, *, may_wait: bool) -> None:
        if not may_wait:
            self.throttled[ThrottleReason.CONNECTIONS] += 1
        elif late_seconds > THROTTLED_DELAY_SECONDS:
            self.throttled[ThrottleReason.RATE] += 1
