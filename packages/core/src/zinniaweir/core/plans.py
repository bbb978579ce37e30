"""Plans of gang starts, and the cost of evicting a gang."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from zinniaweir.core.allocations import Allocation
from zinniaweir.core.decisions import Reason
from zinniaweir.core.gangs import Gang, Phase
from zinniaweir.core.nodes import Slot, Use

CHECKPOINT_COST_SECONDS: Final = 5.0
"""Assumed time lost by a checkpoint and a restart, used to compare victims."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartPlan:
    """Where a gang starts, for what use of the capacity, and which gangs end before."""

    slots: list[Slot]
    use: Use
    reason: Reason
    allocation: Allocation | None = None
    allocation_slots: list[int] = field(default_factory=list)
    """Index of the allocation's slot that contains each of the gang's slots."""
    victims: frozenset[str] = frozenset()
    """Gangs that must end before the start."""
    victim_reason: Reason = Reason.GUARANTEE_RECLAIMED


def eviction_cost(gang: Gang, now: float) -> float:
    """Return the work in accelerator-seconds that is lost if a gang is ended.

    A gang without accelerators counts as one accelerator.
    """
    if gang.phase in (Phase.CLAIMING, Phase.STARTING) or gang.ending:
        return 0.0
    lost = CHECKPOINT_COST_SECONDS
    if not gang.job.checkpointable:
        lost += now - gang.started_at
    return max(gang.job.shape.total_accelerators, 1) * lost
