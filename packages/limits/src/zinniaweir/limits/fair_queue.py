"""Waiting tickets of one priority, shared fairly between customers."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zinniaweir.limits.events import Ticket


class FairQueue:
    """Serve customers in turn, and the tickets of one customer in order of arrival."""

    def __init__(self) -> None:
        # The first customer is the next to be served.
        self._backlogs: OrderedDict[str, OrderedDict[int, Ticket]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, ticket: Ticket) -> None:
        """Add a ticket behind the others of its customer."""
        self._backlogs.setdefault(ticket.customer, OrderedDict())[ticket.ticket_id] = ticket
        self._length += 1

    def pop(self) -> Ticket:
        """Remove and return the next ticket and move its customer to the end.

        Raises:
            KeyError: If the queue is empty.
        """
        customer, tickets = next(iter(self._backlogs.items()))
        ticket = next(iter(tickets.values()))
        self._backlogs.move_to_end(customer)
        self.remove(ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that waits.

        Raises:
            KeyError: If it does not wait here.
        """
        tickets = self._backlogs[ticket.customer]
        del tickets[ticket.ticket_id]
        self._length -= 1
        if not tickets:
            del self._backlogs[ticket.customer]

    def waiting(self, customer: str) -> int:
        """Return how many tickets of a customer wait."""
        return len(self._backlogs.get(customer, ()))

    def newest_of_longest_backlog(self) -> Ticket:
        """Return the newest ticket of the customer with the most tickets.

        Raises:
            ValueError: If the queue is empty.
        """
        tickets = max(self._backlogs.values(), key=len)
        return next(reversed(tickets.values()))
