"""Durations that the deployment's settings allow for views, leases and retention."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class TimeLimits:
    """Limits on the age of views, on the leases of workers and on the retention of jobs."""

    max_lease_seconds: float = 6.0
    """Maximum lease of a worker, which owners of other versions may have given."""
    lease_seconds: float = 6.0
    """Lease that a worker is given; tasks of a worker that is lost wait until it has expired."""
    start_lease_seconds: float = 3.0
    """Time from the first copy of a start after which no copy of it takes effect."""
    renewal_grace_seconds: float = 5.0
    """How long an owner that cannot write to the log continues to renew leases.

    A longer time keeps work alive in longer outages, but delays the restart of work on lost
    workers.
    """
    job_retention_seconds: float = 180.0
    """How long an ended job is kept, so that its state can be queried."""
    max_call_view_age_seconds: float = 2.0
    """Maximum age of the settings with which callers are served.

    Keys may have been revoked and routes changed since.
    """
    start_permission_seconds: float = 2.0
    """Maximum age of the settings and the list of workers when a worker begins a start.

    It may have begun to drain, or its failure domain may have been evacuated, since. The worker
    enforces the limit, so a start that is held up on its way takes no effect.
    """
    cancellation_seconds: float = 3.0
    """Maximum age of the records of jobs when a worker begins a start.

    The job may have been cancelled since.
    """
    start_delivery_seconds: float = 0.5
    """Time that a start may take to reach its worker, before its permission ends."""

    @property
    def max_start_view_age_seconds(self) -> float:
        """Maximum age of the settings and the list of workers when a start leaves this VM."""
        return self.start_permission_seconds - self.start_delivery_seconds
