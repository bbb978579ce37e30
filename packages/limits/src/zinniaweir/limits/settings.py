"""Limits of customers in the settings tree."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, kw_only=True)
class CustomerLimits:
    """Limits of one customer; a limit that the settings don't have is infinite."""

    requests_per_second: float = float("inf")
    burst: float = float("inf")
    """Number of requests that may arrive in a burst."""
    queued_requests: float = float("inf")
    """Number of requests that may wait at a time on this VM."""
    queued_jobs: float = float("inf")
    """Number of jobs that may be queued at a time."""


def customer_limits(
    settings: Mapping[str, Any], *, share: float = 1.0
) -> dict[str, CustomerLimits]:
    """Return the limits by customer.

    Args:
        settings: The complete settings tree, of which only `customers` is used.
        share: Share of a customer's requests that this process serves, such as 1/7 with seven
            entry processes. It scales the rate, the burst and the limit of queued requests; the
            latter two stay at least one unless they are zero.
    """
    customers = settings.get("customers") or {}
    return {
        name: _limits((entry or {}).get("limits") or {}, share) for name, entry in customers.items()
    }


def _limits(entry: Mapping[str, Any], share: float) -> CustomerLimits:
    rate = float(entry.get("requests_per_second", "inf"))
    # The default burst is one second of the rate.
    burst = float(entry.get("burst", rate))
    return CustomerLimits(
        requests_per_second=rate * share,
        burst=_scaled(burst, share),
        queued_requests=_scaled(float(entry.get("queued_requests", "inf")), share),
        queued_jobs=float(entry.get("queued_jobs", "inf")),
    )


def _scaled(limit: float, share: float) -> float:
    """Return the share of a limit, but at least one unless the limit is zero."""
    return max(1.0, limit * share) if limit > 0 else 0.0
