"""Tests of admission control: rates, queues, quotas, shedding and the gate for asyncio tasks."""

from __future__ import annotations

import asyncio
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from zinniaweir.limits import (
    AdmissionController,
    AdmissionGate,
    CustomerLimits,
    Dropped,
    Started,
    Ticket,
    customer_limits,
)
from zinniaweir.telemetry.counters import Counters


def ticket(number: int, customer: str = "a", priority: str = "normal", deadline: float = 1e9):
    return Ticket(ticket_id=number, customer=customer, priority=priority, deadline=deadline)


def reasons(events) -> list[str]:
    return [event.refusal.reason for event in events if isinstance(event, Dropped)]


def started(events) -> list[int]:
    return [event.ticket.ticket_id for event in events if isinstance(event, Started)]


def test_rate_and_burst_are_enforced_and_counted() -> None:
    """A customer must not exceed its rate, nor get tokens when the clock steps back."""
    counters = Counters()
    admission = AdmissionController(in_flight=1000, queued=10, counters=counters)
    admission.update({"a": CustomerLimits(requests_per_second=10, burst=5)}, now=0.0)
    offers = [admission.offer(ticket(n), now=0.0) for n in range(6)]
    assert sum((started(events) for events in offers), []) == [0, 1, 2, 3, 4]
    assert reasons(offers[5]) == ["rate"]
    assert reasons(admission.offer(ticket(7), now=-5.0)) == ["rate"]
    assert started(admission.offer(ticket(8), now=0.15)) == [8]
    assert counters.value("limit_refusals", reason="rate") == 2


def test_full_queue_sheds_the_lowest_priority_first() -> None:
    """Urgent requests must not be refused while batch requests wait."""
    admission = AdmissionController(in_flight=1, queued=2)
    admission.offer(ticket(0), now=0.0)
    admission.offer(ticket(1, priority="batch"), now=0.0)
    admission.offer(ticket(2, priority="normal"), now=0.0)
    events = admission.offer(ticket(3, priority="urgent"), now=0.0)
    assert [(e.ticket.ticket_id, e.refusal.reason) for e in events] == [(1, "shed")]
    assert reasons(admission.offer(ticket(4, priority="batch"), now=0.0)) == ["queue_full"]
    assert started(admission.finish(ticket(0), now=1.0)) == [3]


def test_customers_share_a_priority_fairly() -> None:
    """A customer with a long queue must not delay or crowd out the others."""
    admission = AdmissionController(in_flight=1, queued=10)
    admission.offer(ticket(0, "x"), now=0.0)
    for number in range(1, 11):
        admission.offer(ticket(number, "greedy"), now=0.0)
    events = admission.offer(ticket(11, "small"), now=0.0)
    assert [(e.ticket.customer, e.refusal.reason) for e in events] == [("greedy", "shed")]
    assert started(admission.finish(ticket(0, "x"), now=1.0)) == [1]
    assert started(admission.finish(ticket(1, "greedy"), now=2.0)) == [11]


def test_steady_urgent_load_does_not_starve_batch() -> None:
    """A batch request must not wait as long as urgent requests keep arriving."""
    admission = AdmissionController(in_flight=1, queued=100)
    current = ticket(0, priority="urgent")
    admission.offer(current, now=0.0)
    admission.offer(ticket(1, priority="batch"), now=0.0)
    order = []
    for number in range(2, 40):
        admission.offer(ticket(number, priority="urgent"), now=0.0)
        (event,) = admission.finish(current, now=0.0)
        current = event.ticket
        order.append(current.ticket_id)
    assert order.index(1) < 20


def test_request_that_cannot_meet_its_deadline_is_dropped() -> None:
    """Slots must not be spent on answers that come too late for their callers."""
    admission = AdmissionController(in_flight=1, queued=100)
    for number in range(10):
        admission.offer(ticket(number), now=float(number))
        admission.finish(ticket(number), now=number + 1.0)
    admission.offer(ticket(10), now=10.0)
    admission.offer(ticket(11, deadline=12.5), now=10.0)
    assert reasons(admission.offer(ticket(12, deadline=10.5), now=10.0)) == ["deadline"]
    assert reasons(admission.finish(ticket(10), now=12.0)) == ["deadline"]
    admission.offer(ticket(13), now=13.0)
    admission.offer(ticket(14, deadline=15.5), now=13.0)
    assert reasons(admission.expire(now=15.4)) == []
    assert reasons(admission.expire(now=15.5)) == ["deadline"]
    admission.finish(ticket(13), now=16.0)
    # An outdated service time must not refuse all requests, or no new time would be recorded.
    assert started(admission.offer(ticket(15, deadline=16.1), now=16.0)) == [15]


def test_quota_counts_waiting_requests_and_jobs() -> None:
    """One customer must not fill the queue with its requests.

    Its quota must not refuse a request that doesn't wait.
    """
    admission = AdmissionController(in_flight=1, queued=100)
    admission.update({"a": CustomerLimits(queued_requests=1, queued_jobs=2)}, now=0.0)
    assert started(admission.offer(ticket(0), now=0.0)) == [0]
    assert admission.offer(ticket(1), now=0.0) == []
    assert reasons(admission.offer(ticket(2), now=0.0)) == ["quota"]
    assert admission.job_refusal("a", queued_jobs=1) is None
    assert admission.job_refusal("a", queued_jobs=2).reason == "quota"


def test_update_keeps_waiting_requests() -> None:
    """A settings change must not drop waiting requests or refill spent bursts."""
    admission = AdmissionController(in_flight=1, queued=10)
    admission.update({"a": CustomerLimits(requests_per_second=1, burst=3)}, now=0.0)
    for number in range(3):
        admission.offer(ticket(number), now=0.0)
    limits = {"a": CustomerLimits(requests_per_second=1, burst=9, queued_requests=0)}
    assert admission.update(limits, now=0.0, queued=0) == []
    assert admission.queued == 2
    assert reasons(admission.offer(ticket(3, "b", "batch"), now=0.0)) == ["queue_full"]
    assert reasons(admission.offer(ticket(4, "a"), now=0.0)) == ["quota"]
    assert started(admission.update({}, now=0.0, in_flight=3)) == [1, 2]


def test_limits_are_read_and_divided_between_processes() -> None:
    """A customer must not get its full rate from each entry process.

    A limit that the settings don't have must not refuse everything.
    """
    limits = {"requests_per_second": 70, "burst": 3, "queued_requests": 14, "queued_jobs": 5}
    read = customer_limits({"customers": {"a": {"limits": limits}, "b": None}}, share=1 / 7)
    assert read["a"].requests_per_second == 10
    assert (read["a"].burst, read["a"].queued_requests, read["a"].queued_jobs) == (1, 2, 5)
    assert read["b"] == CustomerLimits()
    none = {"requests_per_second": 0, "queued_requests": 0}
    read = customer_limits({"customers": {"a": {"limits": none}}})
    assert (read["a"].burst, read["a"].queued_requests) == (0, 0)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "finish", "withdraw", "expire", "retune"]),
        st.sampled_from("abc"),
        st.sampled_from(["urgent", "normal", "batch"]),
        st.floats(0.0, 3.0),
    ),
    max_size=80,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_every_ticket_has_at_most_one_outcome_within_the_limits(steps) -> None:
    """Tickets must not be lost, admitted twice, or admitted after their refusal."""
    admission = AdmissionController(in_flight=2, queued=4)
    outcomes: Counter[int] = Counter()
    running: list[Ticket] = []
    waiting: dict[int, Ticket] = {}
    now = 0.0

    def record(events) -> None:
        for event in events:
            outcomes[event.ticket.ticket_id] += 1
            waiting.pop(event.ticket.ticket_id)
            if isinstance(event, Started):
                running.append(event.ticket)

    for number, (step, customer, priority, value) in enumerate(steps):
        now += value / 10
        if step == "offer":
            new = ticket(number, customer, priority, now + value)
            waiting[number] = new
            record(admission.offer(new, now=now))
        elif step == "finish" and running:
            record(admission.finish(running.pop(0), now=now))
        elif step == "withdraw" and waiting:
            admission.withdraw(waiting.pop(next(iter(waiting))))
        elif step == "expire":
            record(admission.expire(now=now))
        elif step == "retune":
            limits = CustomerLimits(requests_per_second=value * 10, burst=value * 3)
            record(admission.update({customer: limits}, now=now))
        assert admission.in_flight == len(running) <= 2
        assert admission.queued == len(waiting) <= 4
    assert all(count == 1 for count in outcomes.values())


def test_cancelled_request_releases_its_slot() -> None:
    """Slots must not leak when callers are cancelled while they wait or when just admitted."""

    async def scenario() -> None:
        gate = AdmissionGate(in_flight=1, queued=5)
        first = (await gate.enter(customer="a", priority="normal")).ok
        waiters = [
            asyncio.create_task(gate.enter(customer="a", priority="normal")) for _ in range(3)
        ]
        await asyncio.sleep(0)
        waiters[0].cancel()
        first.release()
        waiters[1].cancel()
        permit = (await asyncio.wait_for(waiters[2], 1.0)).ok
        permit.release()
        permit.release()
        await asyncio.sleep(0)
        assert (gate.in_flight, gate.queued) == (0, 0)
        with (await gate.enter(customer="a", priority="normal")).ok:
            late = await gate.enter(customer="a", priority="batch", deadline_seconds=0.02)
        assert late.error.reason == "deadline"

    asyncio.run(scenario())
