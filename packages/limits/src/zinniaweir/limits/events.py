"""Tickets of requests and their admission events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Literal

PRIORITIES: Final = ("urgent", "normal", "batch")
"""All priorities, highest first."""

RefusalReason = Literal["rate", "queue_full", "shed", "quota", "deadline"]


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """Request for admission."""

    ticket_id: int
    """Number that no other ticket of the controller has."""
    customer: str
    priority: str
    deadline: float = float("inf")
    """Time in seconds by which the request must be finished, on the clock of `now`."""


@dataclass(frozen=True, kw_only=True)
class LimitRefusal:
    """Reason why a request was not admitted and did not run."""

    reason: RefusalReason
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Started:
    """Event of a ticket that was admitted, on arrival or while it waited."""

    ticket: Ticket


@dataclass(frozen=True, kw_only=True)
class Dropped:
    """Event of a ticket that was refused, on arrival or while it waited."""

    ticket: Ticket
    refusal: LimitRefusal
