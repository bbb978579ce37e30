"""Times that the platform promises, as the owner's decisions use them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TimeLimits:
    """Times that the platform promises for its workers."""

    max_lease_seconds: float = 6.0
    start_lease_seconds: float = 3.0
    """A start that arrives later is rejected, and the first look must renew it within this."""
    renewal_grace_seconds: float = 5.0
    """How long an owner that cannot write to the log goes on renewing leases. Longer would keep
    work alive in longer outages, and would delay the restart of work on lost workers."""
    job_retention_seconds: float = 180.0
    """How long an ended job can be asked for."""
