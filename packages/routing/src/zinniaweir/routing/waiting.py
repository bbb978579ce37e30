"""Waiting list of requests for slots of one service."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from zinniaweir.routing.request import PRIORITIES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from zinniaweir.routing.upstream_state import Slot


@dataclass(frozen=True, kw_only=True, eq=False)
class Waiter:
    """One waiting request; its future gets a slot or the reason of a refusal."""

    priority: str
    name: str
    """Name of the job."""
    idempotent: bool
    tried_upstreams: frozenset[str]
    """Names of upstreams that failed the request or were so slow that it was hedged."""
    is_retry: bool = False
    """Whether the request was sent before; a retry goes before the others of its priority."""
    future: asyncio.Future[Slot | str] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class WaitingList:
    """Bounded list by priority, in order of arrival within a priority."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._by_priority: dict[str, OrderedDict[Waiter, None]] = {
            priority: OrderedDict() for priority in PRIORITIES
        }

    def __len__(self) -> int:
        return sum(map(len, self._by_priority.values()))

    def __iter__(self) -> Iterator[Waiter]:
        for waiters in self._by_priority.values():
            yield from tuple(waiters)

    def has_ahead(self, priority: str) -> bool:
        """Return whether requests of this or a higher priority are waiting."""
        rank = PRIORITIES.index(priority)
        return any(self._by_priority[higher] for higher in PRIORITIES[: rank + 1])

    def add(self, waiter: Waiter) -> bool:
        """Add a request; return False if the list is full of equal or higher priorities.

        If the list is full, the newest request of the lowest priority below the new one is refused
        with `shed`.
        """
        if len(self) >= self._limit and not self._shed_below(waiter.priority):
            return False
        waiters = self._by_priority[waiter.priority]
        waiters[waiter] = None
        waiters.move_to_end(waiter, last=not waiter.is_retry)
        return True

    def remove(self, waiter: Waiter) -> None:
        """Remove a request if it is still waiting."""
        self._by_priority[waiter.priority].pop(waiter, None)

    def _shed_below(self, priority: str) -> bool:
        rank = PRIORITIES.index(priority)
        for lower in reversed(PRIORITIES[rank + 1 :]):
            if self._by_priority[lower]:
                victim, _ = self._by_priority[lower].popitem()
                if not victim.future.done():
                    victim.future.set_result("shed")
                return True
        return False
