"""Worker health: excludes workers that refuse starts, fail runs or stall, for a while."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

FIRST_PAUSE_SECONDS: Final = 1.0
"""Pause of a worker after a refused start; it doubles with each refusal."""
LONGEST_PAUSE_SECONDS: Final = 8.0
FAILURES_TO_PAUSE: Final = 2
"""Number of different jobs in a row whose failure on a worker pauses it.

A single failure may be the job's own fault.
"""
FAILURE_PAUSE_SECONDS: Final = 5.0
"""Pause of a worker after repeated failures, before it is tried again."""
STALL_SECONDS: Final = 1.5
"""A run without progress for this long is stalled; workers report progress in percent."""


@dataclass(kw_only=True)
class _Standing:
    refusals: int = 0
    paused_until: float = 0.0
    failed_jobs: set[str] = field(default_factory=set)
    probing: bool = False
    stalled_until: float = 0.0


class Health:
    """Health of workers, judged by the outcome of starts and runs on them."""

    def __init__(self) -> None:
        self._standings: dict[str, _Standing] = {}

    def refused(self, worker: str, *, now: float) -> None:
        """Record a start that a worker refused because it reports itself unhealthy."""
        standing = self._standing(worker)
        pause = min(FIRST_PAUSE_SECONDS * 2**standing.refusals, LONGEST_PAUSE_SECONDS)
        standing.refusals += 1
        standing.paused_until = max(standing.paused_until, now + pause)

    def failed(self, worker: str, job_id: str, *, now: float) -> bool:
        """Record a failed run.

        Returns:
            Whether the worker is paused because of it.
        """
        standing = self._standing(worker)
        standing.failed_jobs.add(job_id)
        if not standing.probing and len(standing.failed_jobs) < FAILURES_TO_PAUSE:
            return False
        standing.paused_until = max(standing.paused_until, now + FAILURE_PAUSE_SECONDS)
        standing.probing = True
        return True

    def succeeded(self, worker: str) -> None:
        """Record a successful run, which resets the worker's health."""
        self._standings.pop(worker, None)

    def stalled(self, worker: str, *, now: float) -> None:
        """Record a stalled run, which excludes the worker for as long as it is reported."""
        self._standing(worker).stalled_until = now + STALL_SECONDS

    def usable(self, worker: str, *, now: float) -> bool:
        """Return whether a worker may receive work."""
        standing = self._standings.get(worker)
        return standing is None or now >= max(standing.paused_until, standing.stalled_until)

    def suspicion(self, worker: str) -> int:
        """Return how many different jobs failed on a worker since the last success there."""
        standing = self._standings.get(worker)
        return len(standing.failed_jobs) if standing else 0

    def forget(self, worker: str) -> None:
        """Reset the health of a worker whose incarnation ended."""
        self._standings.pop(worker, None)

    def _standing(self, worker: str) -> _Standing:
        return self._standings.setdefault(worker, _Standing())
