"""The part of the settings that the core uses."""

from __future__ import annotations

from dataclasses import dataclass, field

from zinniaweir.core.job import PRIORITIES, Priority
from zinniaweir.core.shape import Guarantee


@dataclass(frozen=True, kw_only=True, slots=True)
class Customer:
    """Quotas, weight and permitted priorities of a customer."""

    name: str
    quota_cores: int | None = None
    quota_memory_bytes: int | None = None
    quota_accelerators: int | None = None
    quota_running_jobs: int | None = None
    weight: float | None = None
    """Share in relation to other customers while capacity is short, None if not stated."""
    priorities: tuple[Priority, ...] = PRIORITIES


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """Limits and rates of the scheduling policy; all times in seconds."""

    reclaim_seconds: dict[Priority, float] = field(
        default_factory=lambda: {"urgent": 4.0, "normal": 10.0, "batch": 60.0}
    )
    """How long a gang may take to checkpoint when a job of this priority claims its capacity."""
    return_starts_per_second: float = 2.0
    """Gang starts for each failure domain during the ramp after its return."""
    return_ramp_seconds: float = 60.0
    """Duration of the ramp after a failure domain returned."""
    drain_seconds: float = 60.0
    """How long gangs in a failure domain that is out may checkpoint, or continue if they cannot."""
    parked_seconds: float = 600.0
    """How long a job that cannot run is kept in case settings or topology change."""
    start_seconds: float = 30.0
    """How long a start may stay unanswered before the gang is stopped."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Customers, guarantees in settings order, and policy."""

    customers: tuple[Customer, ...] = ()
    """Customers that are not listed have no quota."""
    guarantees: tuple[Guarantee, ...] = ()
    policy: Policy = field(default_factory=Policy)
