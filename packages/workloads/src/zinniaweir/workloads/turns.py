"""Turns of customers whose work waits for the same capacity."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from zinniaweir.workloads.shares import CustomerShares


class Head(NamedTuple):
    """The next work of a customer."""

    order: Any
    """Sort key among customers whose ratios are on the same step; lower ones go first."""
    latest_start: float
    """Latest start with which it is in time, in seconds; infinity if there is none."""
    waiting_since: float
    """Since when it has been waiting, in seconds."""


@dataclass(frozen=True, kw_only=True)
class TurnLimits:
    """When work lets other work go first that would otherwise be late."""

    last_chance_seconds: float
    """Work that must start within this time may go first."""
    spare_seconds: float
    """Work that may start this much later and still be in time loses nothing by a short wait."""
    wait_seconds: float
    """Time after which waiting work does not let others go first.

    Otherwise a stream of nearly late work would starve it.
    """


class Turns:
    """Choose the customer that is next: the one that holds least of its part.

    Args:
        shares: What customers hold, which the caller updates as it places work.
        limits: When work lets other work go first.
        now: Current time in seconds.
    """

    def __init__(self, *, shares: CustomerShares, limits: TurnLimits, now: float) -> None:
        self._shares = shares
        self._limits = limits
        self._now = now
        self._heads: dict[str, Head] = {}

    def set_head(self, customer: str, head: Head | None) -> None:
        """Set the next work of a customer, None if it has none left."""
        if head is None:
            self._heads.pop(customer, None)
        else:
            self._heads[customer] = head

    def choose(self) -> str | None:
        """Return the customer that is next, None if none has work left.

        A customer whose work loses nothing by it lets work of others go first that has its last
        chance to be in time.
        """
        first = min(self._heads, key=self._key, default=None)
        if first is None or not self._may_wait(self._heads[first]):
            return first
        pressing = [c for c, head in self._heads.items() if self._has_last_chance(head)]
        return min(pressing, key=self._key, default=first)

    def _key(self, customer: str) -> tuple[int, Any, str]:
        return self._shares.level(customer), self._heads[customer].order, customer

    def _may_wait(self, head: Head) -> bool:
        limits = self._limits
        return (
            head.latest_start - self._now > limits.spare_seconds
            and self._now - head.waiting_since < limits.wait_seconds
        )

    def _has_last_chance(self, head: Head) -> bool:
        return 0 <= head.latest_start - self._now < self._limits.last_chance_seconds
