"""Admission control: rate limits, the limit of requests in flight, queues and load shedding."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from sortedcontainers import SortedKeyList

from zinniaweir.limits.bucket import TokenBucket
from zinniaweir.limits.events import (
    PRIORITIES,
    Dropped,
    LimitRefusal,
    RefusalReason,
    Started,
    Ticket,
)
from zinniaweir.limits.fair_queue import FairQueue
from zinniaweir.limits.service_time import ServiceTimes
from zinniaweir.limits.settings import CustomerLimits
from zinniaweir.telemetry.counters import Counters

if TYPE_CHECKING:
    from collections.abc import Mapping

LOWER_PRIORITY_INTERVAL: Final = 16
"""Every 16th request that leaves the queues is one of a lower waiting priority, so that steady
urgent load doesn't starve batch requests. It costs the higher priorities at most 1/16 of the
slots."""

Event = Started | Dropped


class AdmissionController:
    """Decide which requests run, wait or are refused.

    The controller does no I/O and reads no clock: the caller passes the time and acts on the
    returned events.

    Args:
        in_flight: Maximum number of requests in flight.
        queued: Maximum number of waiting requests.
        counters: Counts refusals by reason; new counters if None.
    """

    def __init__(self, *, in_flight: int, queued: int, counters: Counters | None = None) -> None:
        self._in_flight_limit = in_flight
        self._queued_limit = queued
        self._counters = counters or Counters()
        self._limits: dict[str, CustomerLimits] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._queues = {priority: FairQueue() for priority in PRIORITIES}
        self._by_deadline: SortedKeyList = SortedKeyList(key=_deadline_key)
        self._service_times = ServiceTimes()
        self._started_at: dict[int, float] = {}
        self._dequeued = 0

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that are not finished."""
        return len(self._started_at)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._by_deadline)

    @property
    def next_deadline(self) -> float:
        """Earliest deadline of the waiting requests in seconds, infinite if none wait."""
        return self._by_deadline[0].deadline if self._by_deadline else float("inf")

    def update(
        self,
        limits: Mapping[str, CustomerLimits],
        *,
        now: float,
        in_flight: int | None = None,
        queued: int | None = None,
    ) -> list[Event]:
        """Apply new limits; waiting requests stay queued, even above a lowered limit.

        Args:
            limits: Limits by customer.
            now: Current time in seconds.
            in_flight: New limit of requests in flight; unchanged if None.
            queued: New limit of waiting requests; unchanged if None.

        Returns:
            Events of waiting tickets that were admitted or dropped.
        """
        self._in_flight_limit = self._in_flight_limit if in_flight is None else in_flight
        self._queued_limit = self._queued_limit if queued is None else queued
        self._limits = dict(limits)
        self._buckets = {name: self._bucket(name, new, now) for name, new in limits.items()}
        return self._start_waiting(now)

    def offer(self, ticket: Ticket, *, now: float) -> list[Event]:
        """Admit, queue or refuse a request.

        Args:
            ticket: The request; its id must be new.
            now: Current time in seconds.

        Returns:
            The event of the ticket, unless it waits. If it waits, the event of the ticket that was
            shed for it, or an empty list.
        """
        refusal = self._immediate_refusal(ticket, now)
        if refusal is not None:
            return [self._drop(ticket, refusal)]
        if not self.queued and self.in_flight < self._in_flight_limit:
            return [self._start(ticket, now)]
        events: list[Event] = []
        if self.queued >= self._queued_limit:
            victim = self._choose_victim(ticket)
            if victim is None:
                return [self._drop(ticket, _new_refusal("queue_full"))]
            self._remove(victim)
            events.append(self._drop(victim, _new_refusal("shed", f"for {ticket.priority}")))
        self._queues[ticket.priority].push(ticket)
        self._by_deadline.add(ticket)
        return events

    def finish(self, ticket: Ticket, *, now: float) -> list[Event]:
        """Record the end of an admitted request and admit waiting ones."""
        started_at = self._started_at.pop(ticket.ticket_id)
        self._service_times.record(ticket.priority, now - started_at)
        return self._start_waiting(now)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request whose caller was cancelled, if it is waiting."""
        if ticket in self._by_deadline:
            self._remove(ticket)

    def expire(self, *, now: float) -> list[Event]:
        """Drop waiting requests whose deadline has passed."""
        events: list[Event] = []
        while self._by_deadline and self.next_deadline <= now:
            ticket = self._by_deadline[0]
            self._remove(ticket)
            events.append(self._drop(ticket, _new_refusal("deadline", "passed while waiting")))
        return events

    def job_refusal(self, customer: str, *, queued_jobs: int) -> LimitRefusal | None:
        """Return why a customer may not queue one more job, or None if it may.

        Args:
            customer: Name of the customer.
            queued_jobs: Number of jobs of the customer that are queued already.
        """
        limits = self._limits.get(customer, CustomerLimits())
        if queued_jobs < limits.queued_jobs:
            return None
        self._counters.add("limit_refusals", reason="quota")
        return _new_refusal("quota", f"{queued_jobs} jobs are queued")

    def consume_rate(self, customer: str, *, now: float) -> LimitRefusal | None:
        """Charge a call that never waits, such as a job submission, to the customer's rate.

        Returns:
            The refusal if the rate is exceeded, otherwise None.
        """
        bucket = self._buckets.get(customer)
        if bucket is None or bucket.consume(now):
            return None
        self._counters.add("limit_refusals", reason="rate")
        return _new_refusal("rate")

    def _bucket(self, name: str, new: CustomerLimits, now: float) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            return TokenBucket(rate=new.requests_per_second, burst=new.burst, now=now)
        bucket.reconfigure(rate=new.requests_per_second, burst=new.burst, now=now)
        return bucket

    def _immediate_refusal(self, ticket: Ticket, now: float) -> LimitRefusal | None:
        if ticket.deadline <= now:
            return _new_refusal("deadline", "passed on arrival")
        limits = self._limits.get(ticket.customer)
        if limits is not None:
            waiting = sum(queue.waiting(ticket.customer) for queue in self._queues.values())
            # The quota limits waiting requests, and with a free slot the request doesn't wait.
            if waiting >= limits.queued_requests and not self._has_free_slot():
                return _new_refusal("quota", f"{waiting} requests are queued")
            if not self._buckets[ticket.customer].consume(now):
                return _new_refusal("rate")
        # With a free slot the request runs in any case: otherwise outdated, longer service times
        # could refuse all requests, and no new times would be recorded.
        if not self._has_free_slot() and now + self._expected_time(ticket) > ticket.deadline:
            return _new_refusal("deadline", "can't be met")
        return None

    def _has_free_slot(self) -> bool:
        return not self.queued and self.in_flight < self._in_flight_limit

    def _expected_time(self, ticket: Ticket) -> float:
        """Return a lower estimate in seconds of the time until a request would finish."""
        rank = PRIORITIES.index(ticket.priority)
        ahead = sum(len(self._queues[priority]) for priority in PRIORITIES[:rank])
        # Customers take turns within a priority, so only the customer's own requests are
        # guaranteed to go first.
        ahead += self._queues[ticket.priority].waiting(ticket.customer)
        wait = ahead * self._service_times.mean() / max(1, self._in_flight_limit)
        return wait + self._service_times.fastest(ticket.priority)

    def _choose_victim(self, ticket: Ticket) -> Ticket | None:
        rank = PRIORITIES.index(ticket.priority)
        for priority in reversed(PRIORITIES[rank + 1 :]):
            if self._queues[priority]:
                return self._queues[priority].newest_of_longest_backlog()
        queue = self._queues[ticket.priority]
        if not queue:
            return None
        candidate = queue.newest_of_longest_backlog()
        # A customer loses a ticket only to one that has fewer tickets, the new one included.
        if queue.waiting(candidate.customer) > queue.waiting(ticket.customer) + 1:
            return candidate
        return None

    def _start_waiting(self, now: float) -> list[Event]:
        events: list[Event] = []
        while self.queued and self.in_flight < self._in_flight_limit:
            ticket = self._next_queue().pop()
            self._by_deadline.remove(ticket)
            if now + self._service_times.fastest(ticket.priority) > ticket.deadline:
                events.append(self._drop(ticket, _new_refusal("deadline", "can't be met")))
                continue
            events.append(self._start(ticket, now))
        return events

    def _next_queue(self) -> FairQueue:
        waiting = [queue for queue in self._queues.values() if queue]
        self._dequeued += 1
        if len(waiting) > 1 and self._dequeued % LOWER_PRIORITY_INTERVAL == 0:
            return waiting[1 + self._dequeued // LOWER_PRIORITY_INTERVAL % (len(waiting) - 1)]
        return waiting[0]

    def _start(self, ticket: Ticket, now: float) -> Started:
        self._started_at[ticket.ticket_id] = now
        return Started(ticket=ticket)

    def _remove(self, ticket: Ticket) -> None:
        self._queues[ticket.priority].remove(ticket)
        self._by_deadline.remove(ticket)

    def _drop(self, ticket: Ticket, refusal: LimitRefusal) -> Dropped:
        self._counters.add("limit_refusals", reason=refusal.reason)
        return Dropped(ticket=ticket, refusal=refusal)


def _new_refusal(reason: RefusalReason, detail: str = "") -> LimitRefusal:
    return LimitRefusal(reason=reason, detail=detail)


def _deadline_key(ticket: Ticket) -> tuple[float, int]:
    return (ticket.deadline, ticket.ticket_id)
