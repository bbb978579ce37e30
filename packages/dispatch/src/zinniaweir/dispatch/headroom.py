"""Headroom: free capacity that patient work leaves to the urgent gangs that keep arriving."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Sequence
from typing import Final

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.ordering import URGENT_PRIORITY
from zinniaweir.dispatch.preemption_history import BATCH_PRIORITY
from zinniaweir.dispatch.units import Unit

ARRIVAL_WINDOW_SECONDS: Final = 3.0
"""Time over which the arrivals of urgent gangs are averaged."""
MIN_ARRIVALS: Final = 4
"""Number of gangs in that time below which nothing is kept, as no stream of them is seen."""
COVERED_SECONDS: Final = 1.0
"""Arrivals of this time are served from the headroom; a stop for a gang takes up to 0.9 s."""
ACTIVE_SECONDS: Final = 5.0
"""Time after the last preemption, or the last use of kept workers, for which capacity is kept."""
MAX_HEADROOM_SHARE: Final = 0.15
"""Maximum share of all accelerators that is kept, so that patient work goes on in any burst."""


class Headroom:
    """Number of accelerators to keep free, from recent urgent gangs and what they took.

    It is zero unless urgent work has just preempted other work, or has just used what was kept.
    """

    def __init__(self) -> None:
        self.kept: frozenset[str] = frozenset()
        """Workers that the last planning pass kept."""
        self._arrivals: deque[tuple[float, int]] = deque()
        """Time and accelerators of the urgent units that were placed recently."""
        self._needed_at = float("-inf")
        self._withheld_at = float("-inf")

    def record_placement(self, unit: Unit, workers: Iterable[Worker], *, now: float) -> None:
        """Record that a unit was placed; only urgent ones count.

        Args:
            unit: The unit.
            workers: The worker of each of its tasks.
            now: Current time in seconds.
        """
        if unit.job.terms.priority != URGENT_PRIORITY:
            return
        self._arrivals.append((now, len(unit.indexes) * unit.step.accelerators))
        used = any(worker.name in self.kept for worker in workers)
        if used and now - self._withheld_at < ARRIVAL_WINDOW_SECONDS:
            self._needed_at = now

    def record_preemption(self, now: float) -> None:
        """Record that work was preempted for an urgent unit."""
        self._needed_at = now

    def record_withheld(self, now: float) -> None:
        """Record that patient work waits although kept workers have capacity for it."""
        self._withheld_at = now

    def accelerators(self, *, now: float, total: int) -> int:
        """Return the number of accelerators to keep free.

        Args:
            now: Current time in seconds.
            total: Accelerators of all usable workers.
        """
        while self._arrivals and now - self._arrivals[0][0] > ARRIVAL_WINDOW_SECONDS:
            self._arrivals.popleft()
        if now - self._needed_at > ACTIVE_SECONDS or len(self._arrivals) < MIN_ARRIVALS:
            return 0
        taken = sum(accelerators for _, accelerators in self._arrivals)
        wanted = taken * COVERED_SECONDS / ARRIVAL_WINDOW_SECONDS
        return min(int(wanted), int(MAX_HEADROOM_SHARE * total))


class KeptWorkers:
    """Workers that one planning pass keeps for urgent work; chosen once patient work asks.

    Args:
        headroom: What to keep.
        workers: Workers that may be used.
        now: Current time in seconds.
    """

    def __init__(self, *, headroom: Headroom, workers: Sequence[Worker], now: float) -> None:
        self._headroom = headroom
        self._workers = workers
        self._now = now
        self._kept: frozenset[str] | None = None

    def closed_to(self, unit: Unit) -> frozenset[str]:
        """Return the kept workers if they are closed to a unit.

        They are closed to batch work and to units that were just preempted: the next urgent gang
        would preempt them there.
        """
        priority = unit.job.terms.priority
        if priority == URGENT_PRIORITY:
            return frozenset()
        if priority < BATCH_PRIORITY and not unit.preemptions.is_recent(self._now):
            return frozenset()
        if self._kept is None:
            total = sum(worker.entry.accelerators for worker in self._workers)
            accelerators = self._headroom.accelerators(now=self._now, total=total)
            self._kept = self._headroom.kept = workers_to_keep(self._workers, accelerators)
        return self._kept

    def withhold(self, workers: Iterable[Worker]) -> bool:
        """Return whether any of the workers is kept, and record that patient work waits for it.

        Args:
            workers: Workers with capacity for a unit that found no other.
        """
        withheld = any(worker.name in (self._kept or ()) for worker in workers)
        if withheld:
            self._headroom.record_withheld(self._now)
        return withheld


def workers_to_keep(workers: Iterable[Worker], accelerators: int) -> frozenset[str]:
    """Choose workers whose free accelerators are kept for urgent gangs.

    Workers with the most free accelerators come first, as large tasks need them, and those of one
    rack together, as most gangs are rack-local.

    Args:
        workers: Workers that may be used.
        accelerators: Number of free accelerators to keep.

    Returns:
        Names of workers that have this many free accelerators, or all that have any.
    """
    if accelerators <= 0:
        return frozenset()
    free = [worker for worker in workers if worker.free_accelerators > 0]
    by_rack: dict[str, int] = defaultdict(int)
    for worker in free:
        by_rack[worker.entry.rack] += worker.free_accelerators
    free.sort(key=lambda w: (-w.free_accelerators, -by_rack[w.entry.rack], w.entry.rack, w.name))
    kept: list[str] = []
    left = accelerators
    for worker in free:
        if left <= 0:
            break
        kept.append(worker.name)
        left -= worker.free_accelerators
    return frozenset(kept)
