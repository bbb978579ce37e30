"""Shares that customers hold of capacity that is too small for all of their work."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

DEFAULT_WEIGHT: Final = 1.0
"""Weight of a customer without a stated one."""
MIN_WEIGHT: Final = 1e-3
"""Weight that counts for a customer whose stated weight is lower."""
EXCESS_FACTOR: Final = 3.0
"""A customer holds far more than its part if it holds so many times more in relation to the rest.

These are 75% if it is one of two equal customers, and 25% if it is one of ten.
"""
SHORTAGE_RATIO: Final = 0.5
"""A customer holds far less than its part of the capacity below this ratio of the two."""
RATIO_STEP: Final = 0.1
"""Ratios are compared in steps of this size; a smaller difference is no reason to be late."""


def dominant_share(used: Sequence[float], capacity: Sequence[float]) -> float:
    """Return the largest of the shares of all resources.

    Args:
        used: Amount in use of each resource.
        capacity: Amount of each resource in the same order and units; 0 if there is none.
    """
    return max((u / c for u, c in zip(used, capacity, strict=True) if c > 0), default=0.0)


def within_limits(amounts: Sequence[float], limits: Sequence[float | None]) -> bool:
    """Return whether amounts of resources are within limits, None for no limit."""
    return all(m is None or a <= m for a, m in zip(amounts, limits, strict=True))


def demand_within(
    wanted: Sequence[float], *, used: Sequence[float], limits: Sequence[float | None]
) -> list[float]:
    """Return the amount of each resource that is wanted and may be used in addition.

    Args:
        wanted: Amount of each resource that waiting work wants.
        used: Amount in use.
        limits: Limits of wanted and used amounts together, None for no limit.
    """
    return [
        w if m is None else min(w, max(m - u, 0))
        for w, u, m in zip(wanted, used, limits, strict=True)
    ]


class CustomerShares:
    """Ratio of what each customer holds to its part of the capacity, 1 if the two are equal.

    What a customer holds is its dominant share; its part is its weight among those of all
    customers that hold something or wait.

    Args:
        capacity: Amount of each resource.
        used: Amount in use of each resource, by customer.
        weights: Stated weight by customer.
        waiting: Customers that wait.
    """

    def __init__(
        self,
        *,
        capacity: Sequence[float],
        used: Mapping[str, Sequence[float]],
        weights: Mapping[str, float],
        waiting: Iterable[str],
    ) -> None:
        self._capacity = capacity
        self._used = {customer: list(amounts) for customer, amounts in used.items()}
        active = sorted({*waiting, *(c for c, amounts in used.items() if any(amounts))})
        counted = {c: max(weights.get(c, DEFAULT_WEIGHT), MIN_WEIGHT) for c in active}
        total = sum(counted.values())
        self._parts = {customer: weight / total for customer, weight in counted.items()}
        self._ratios = {customer: self._compute_ratio(customer) for customer in active}

    def add(self, customer: str, amounts: Sequence[float]) -> None:
        """Count work of an active customer that is placed."""
        before = self._used.get(customer) or [0.0] * len(self._capacity)
        self._used[customer] = [a + b for a, b in zip(before, amounts, strict=True)]
        self._ratios[customer] = self._compute_ratio(customer)

    def ratio(self, customer: str) -> float:
        """Return what an active customer holds as a ratio of its part of the capacity."""
        return self._ratios[customer]

    def level(self, customer: str) -> int:
        """Return the ratio of an active customer in whole steps, to compare customers by."""
        return int(self._ratios[customer] / RATIO_STEP)

    def is_uneven(self, waiting: Collection[str]) -> bool:
        """Return whether a customer holds far more than its part while another is far below it.

        Args:
            waiting: The active customers that wait.
        """
        if all(self._ratios[customer] >= SHORTAGE_RATIO for customer in waiting):
            return False
        return any(self._holds_excess(customer) for customer in self._ratios)

    def _holds_excess(self, customer: str) -> bool:
        part = self._parts[customer]
        share = self._ratios[customer] * part
        return share * (1.0 - part) > EXCESS_FACTOR * part * (1.0 - share)

    def _compute_ratio(self, customer: str) -> float:
        used = self._used.get(customer)
        if used is None:
            return 0.0
        return dominant_share(used, self._capacity) / self._parts[customer]
