"""Queue of the waiting tickets of one priority, with customers in turn."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zinniaweir.limits.events import Ticket


class FairQueue:
    """Queue that serves customers in turn and the tickets of a customer in order of arrival."""

    def __init__(self) -> None:
        # In the order in which customers are served next.
        self._backlogs: OrderedDict[str, OrderedDict[int, Ticket]] = OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, ticket: Ticket) -> None:
        """Add a ticket after the others of its customer."""
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
        """Remove a waiting ticket.

        Raises:
            KeyError: If the ticket is not in the queue.
        """
        tickets = self._backlogs[ticket.customer]
        del tickets[ticket.ticket_id]
        self._length -= 1
        if not tickets:
            del self._backlogs[ticket.customer]

    def waiting(self, customer: str) -> int:
        """Return the number of waiting tickets of a customer."""
        return len(self._backlogs.get(customer, ()))

    def newest_of_longest_backlog(self) -> Ticket:
        """Return the newest ticket of the customer with the most waiting tickets.

        Raises:
            ValueError: If the queue is empty.
        """
        tickets = max(self._backlogs.values(), key=len)
        return next(reversed(tickets.values()))
