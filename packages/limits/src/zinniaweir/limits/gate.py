"""Admission control for asyncio tasks."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from zinniaweir.limits.admission import AdmissionController, Event
from zinniaweir.limits.events import LimitRefusal, Started, Ticket
from zinniaweir.limits.settings import customer_limits

if TYPE_CHECKING:
    from collections.abc import Mapping

    from zinniaweir.telemetry.counters import Counters


class Permit:
    """Permission to run one request; the holder releases it when the request has ended."""

    def __init__(self, *, gate: AdmissionGate, ticket: Ticket) -> None:
        self._gate = gate
        self._ticket = ticket
        self._released = False

    def release(self) -> None:
        """Free the slot for the next request; further calls do nothing."""
        if not self._released:
            self._released = True
            self._gate._finish(self._ticket)

    def __enter__(self) -> Permit:
        return self

    def __exit__(self, *_: object) -> None:
        self.release()


class AdmissionGate:
    """Admission controller on the running event loop, whose callers wait for admission.

    Args:
        in_flight: Maximum number of requests in flight.
        queued: Maximum number of waiting requests.
        counters: Counts refusals by reason; new counters if None.
    """

    def __init__(self, *, in_flight: int, queued: int, counters: Counters | None = None) -> None:
        self._controller = AdmissionController(
            in_flight=in_flight, queued=queued, counters=counters
        )
        self._waiting: dict[int, asyncio.Future[LimitRefusal | None]] = {}
        self._ids = count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that are not finished."""
        return self._controller.in_flight

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return self._controller.queued

    def update(self, settings: Mapping[str, Any], *, share: float = 1.0) -> None:
        """Apply the limits of a settings tree; waiting requests stay queued.

        Args:
            settings: The complete settings tree.
            share: Share of each customer's requests that this process serves.
        """
        limits = customer_limits(settings, share=share)
        self._apply(self._controller.update(limits, now=_now()))

    async def enter(
        self, *, customer: str, priority: str, deadline_seconds: float = float("inf")
    ) -> Result[Permit, LimitRefusal]:
        """Wait for admission and return a permit, or the refusal.

        Args:
            customer: Name of the customer.
            priority: One of `urgent`, `normal` or `batch`.
            deadline_seconds: Time in seconds within which the request must be finished.
        """
        now = _now()
        ticket = Ticket(
            ticket_id=next(self._ids),
            customer=customer,
            priority=priority,
            deadline=now + deadline_seconds,
        )
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket.ticket_id] = future
        self._apply(self._controller.offer(ticket, now=now))
        self._set_timer()
        try:
            refusal = await future
        except asyncio.CancelledError:
            self._handle_cancellation(ticket, future)
            raise
        if refusal is not None:
            return Error(refusal)
        return Ok(Permit(gate=self, ticket=ticket))

    def job_refusal(self, customer: str, *, queued_jobs: int) -> LimitRefusal | None:
        """Return why a customer may not queue one more job, or None.

        A job within the quota is charged to the customer's rate.
        """
        refusal = self._controller.job_refusal(customer, queued_jobs=queued_jobs)
        return refusal or self._controller.consume_rate(customer, now=_now())

    def _finish(self, ticket: Ticket) -> None:
        self._apply(self._controller.finish(ticket, now=_now()))
        self._set_timer()

    def _handle_cancellation(
        self, ticket: Ticket, future: asyncio.Future[LimitRefusal | None]
    ) -> None:
        self._waiting.pop(ticket.ticket_id, None)
        if not future.done() or future.cancelled():
            self._controller.withdraw(ticket)
        elif future.result() is None:
            self._finish(ticket)

    def _apply(self, events: list[Event]) -> None:
        for event in events:
            future = self._waiting.pop(event.ticket.ticket_id)
            if not future.done():
                future.set_result(None if isinstance(event, Started) else event.refusal)
            elif isinstance(event, Started):
                # The caller was cancelled in the same iteration of the event loop.
                asyncio.get_running_loop().call_soon(self._finish, event.ticket)

    def _set_timer(self) -> None:
        earliest = self._controller.next_deadline
        if earliest == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_at = earliest
        if earliest < float("inf"):
            self._timer = asyncio.get_running_loop().call_at(earliest, self._expire)

    def _expire(self) -> None:
        self._timer_at = float("inf")
        self._apply(self._controller.expire(now=_now()))
        self._set_timer()


def _now() -> float:
    return asyncio.get_running_loop().time()
