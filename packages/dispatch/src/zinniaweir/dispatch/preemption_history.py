"""How often and when a unit was preempted, and what follows from that."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

BATCH_PRIORITY: Final = 2
"""Priority from which on work is batch work, for which nobody waits."""
MAX_PREEMPTIONS: Final = 3
"""Number of preemptions after which a unit is protected from urgent work, not from a guarantee."""
RECENT_SECONDS: Final = 2.0
"""Time for which a unit counts as just preempted; urgent gangs of one burst arrive within it."""
RESTART_DELAY_SECONDS: Final = 0.5
"""Minimum wait after the first preemption while urgent work keeps arriving, doubled by each one.

A run that begins sooner has the least work to lose, so the next urgent gang stops it again.
"""


@dataclass(kw_only=True, slots=True)
class PreemptionHistory:
    """Preemptions of one unit by one owner; the next owner counts anew."""

    count: int = 0
    """Number of preemptions, for urgent work and for guarantees."""
    last_at: float = float("-inf")
    """When it was last preempted, in seconds."""

    def record(self, now: float) -> None:
        """Count a preemption.

        Args:
            now: Current time in seconds.
        """
        self.count += 1
        self.last_at = now

    @property
    def protected(self) -> bool:
        """Whether only a guarantee may preempt the unit."""
        return self.count >= MAX_PREEMPTIONS

    def is_recent(self, now: float) -> bool:
        """Return whether the unit was just preempted."""
        return now - self.last_at < RECENT_SECONDS

    @property
    def restart_at(self) -> float:
        """Earliest time of the next run while urgent work keeps arriving, in seconds."""
        if not self.count:
            return self.last_at
        return self.last_at + RESTART_DELAY_SECONDS * 2 ** (min(self.count, MAX_PREEMPTIONS) - 1)
