"""Times that the platform promises, as the owner's decisions use them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Times that the platform promises for its workers."""

    longest_lease_seconds: float = 6.0
    lease_of_start_seconds: float = 3.0
    """A start that arrives later is rejected, and the first look must renew it within this."""
    renewal_seconds: float = 5.0
    """How long an owner that cannot write to the log goes on renewing leases. Longer would keep
    work alive in longer outages, and would delay the restart of work on lost workers."""
    keep_seconds: float = 180.0
    """How long an ended job can be asked for."""
