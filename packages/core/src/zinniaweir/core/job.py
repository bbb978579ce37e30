"""Jobs and priorities as callers declare them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Literal, TypeAlias

from zinniaweir.core.shape import Shape

Priority: TypeAlias = Literal["urgent", "normal", "batch"]
PRIORITIES: Final[tuple[Priority, ...]] = ("urgent", "normal", "batch")
"""All priorities, the highest first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A job, which is one gang of tasks of which all run or none."""

    job_id: str
    customer: str
    name: str
    priority: Priority
    shape: Shape
    declared_seconds: float
    submitted_at: float
    deadline: float | None = None
    checkpointable: bool = False
    idempotent: bool = True

    @property
    def reclaimable(self) -> bool:
        """Whether it can be checkpointed, or stopped and run again; only such jobs may borrow."""
        return self.checkpointable or self.idempotent
