"""Durations of worker leases."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class LeaseSettings:
    """Durations of leases and long polls, in seconds."""

    first_seconds: float = 5.0
    """Lease of a new start; limits how long a member runs if its gang does not become complete."""
    lease_seconds: float = 20.0
    """Lease that each renewal grants."""
    renew_seconds: float = 5.0
    """Interval between renewals."""
    reserve_seconds: float = 5.0
    """How long a worker holds a reservation."""
    idle_seconds: float = 10.0
    """Long poll of a worker without gangs; affects only how soon a dead idle worker is detected."""
