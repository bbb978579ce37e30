"""The mutable state of a job and its current attempt."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from zinniaweir.core.allocations import Allocation
from zinniaweir.core.decisions import Reason
from zinniaweir.core.job import Job
from zinniaweir.core.losses import WorkerLoss
from zinniaweir.core.nodes import Slot, Use
from zinniaweir.workloads.losses import needs_isolation

AVOID_SECONDS: Final = 30.0
"""Time after an attempt in which a retry avoids the workers on which the gang failed.

It is limited, because the gang may fit on no other workers.
"""


class Phase(StrEnum):
    """Phase of a gang's life cycle."""

    WAITING = "waiting"
    PARKED = "parked"
    """Cannot run under the current settings and topology."""
    CLAIMING = "claiming"
    """Holds a claim on capacity whose current users are being ended."""
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Gang:
    """The state of a job and its current attempt."""

    job: Job
    sequence: int
    """Order of arrival."""
    phase: Phase = Phase.WAITING
    attempt: int = 0
    done_fraction: float = 0.0
    slots: list[Slot] = field(default_factory=list)
    use: Use = Use.RECLAIMABLE
    allocation: Allocation | None = None
    start_reason: Reason = Reason.FREE_CAPACITY
    placed_at: float = 0.0
    """When the current attempt was placed."""
    started_at: float = 0.0
    ready_at: float = 0.0
    """Since when it waits: the time of arrival or of the end of the last attempt."""
    limit: float | None = None
    """When it will be stopped, or None if it need not end."""
    end_reason: Reason | None = None
    """Why the attempt is ended, or None if it is not."""
    failed_member: int | None = None
    victims: set[str] = field(default_factory=set)
    """Job ids of the gangs whose end this claim waits for."""
    claimants: set[str] = field(default_factory=set)
    """Job ids of the gangs that claim this gang's capacity."""
    exited: set[int] = field(default_factory=set)
    """Numbers of the members that have ended in this attempt."""
    failed_workers: set[str] = field(default_factory=set)
    """Workers on which it failed, except those that were quarantined since."""
    next_preemption_at: float = 0.0
    """When the next preemption search may be made for it."""
    failures: int = 0
    """Number of failed attempts on any workers."""
    cancelled: bool = False
    losses: tuple[WorkerLoss, ...] = ()
    """Attempts that were lost with their workers."""

    def avoided_workers(self, now: float) -> frozenset[str]:
        """Return the workers on which it failed, for a limited time after the last attempt."""
        if not self.failed_workers or now >= self.ready_at + AVOID_SECONDS:
            return frozenset()
        return frozenset(self.failed_workers)

    @property
    def isolated(self) -> bool:
        """Whether nothing else may run on its workers, since it may crash them."""
        return bool(self.losses) and needs_isolation(self.losses)

    def needs_empty_workers(self, now: float) -> bool:
        """Return whether it may only start where nothing runs, for a limited time."""
        return self.isolated and now < self.ready_at + AVOID_SECONDS

    def seconds_run(self, until: float) -> float:
        """Return for how long the current attempt has run at a time, 0 if it had not started."""
        return max(0.0, until - self.started_at) if self.started_at >= self.placed_at else 0.0

    @property
    def placed(self) -> bool:
        """Whether it holds capacity."""
        return bool(self.slots)

    @property
    def ending(self) -> bool:
        """Whether it has been told to checkpoint or stop."""
        return self.phase in (Phase.CHECKPOINTING, Phase.STOPPING)
