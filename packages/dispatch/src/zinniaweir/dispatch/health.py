"""Which workers are avoided for a while: those that refuse, fail or stand still."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

FIRST_PAUSE_SECONDS: Final = 1.0
"""How long a worker that refused a start gets no work; it doubles with each refusal."""
LONGEST_PAUSE_SECONDS: Final = 8.0
FAILURES_TO_PAUSE: Final = 2
"""Different jobs that fail on a worker in a row; one alone may be the job's own fault."""
FAILURE_PAUSE_SECONDS: Final = 5.0
"""How long a worker that fails what it starts gets no work before it is tried again."""
STALL_SECONDS: Final = 1.5
"""Without progress for this long a run stands still; progress comes in hundredths of the work."""


@dataclass(kw_only=True)
class _Standing:
    refusals: int = 0
    paused_until: float = 0.0
    failed_jobs: set[str] = field(default_factory=set)
    probing: bool = False
    stalled_until: float = 0.0


class Health:
    """Standing of workers, judged by what they do rather than by what they say."""

    def __init__(self) -> None:
        self._standings: dict[str, _Standing] = {}

    def refused(self, worker: str, *, now: float) -> None:
        """Take a refused start of a worker that calls itself unhealthy."""
        standing = self._standing(worker)
        pause = min(FIRST_PAUSE_SECONDS * 2**standing.refusals, LONGEST_PAUSE_SECONDS)
        standing.refusals += 1
        standing.paused_until = max(standing.paused_until, now + pause)

    def failed(self, worker: str, job_id: str, *, now: float) -> bool:
        """Take a failed run.

        Returns:
            Whether the worker is paused for it.
        """
        standing = self._standing(worker)
        standing.failed_jobs.add(job_id)
        if not standing.probing and len(standing.failed_jobs) < FAILURES_TO_PAUSE:
            return False
        standing.paused_until = max(standing.paused_until, now + FAILURE_PAUSE_SECONDS)
        standing.probing = True
        return True

    def succeeded(self, worker: str) -> None:
        """Take a run that was done; it clears the worker."""
        self._standings.pop(worker, None)

    def stalled(self, worker: str, *, now: float) -> None:
        """Take a run that stands still; the worker is avoided while it does."""
        self._standing(worker).stalled_until = now + STALL_SECONDS

    def usable(self, worker: str, *, now: float) -> bool:
        """Return whether a worker may get work."""
        standing = self._standings.get(worker)
        return standing is None or now >= max(standing.paused_until, standing.stalled_until)

    def suspicion(self, worker: str) -> int:
        """Return how many jobs failed on a worker since a run was done there."""
        standing = self._standings.get(worker)
        return len(standing.failed_jobs) if standing else 0

    def forget(self, worker: str) -> None:
        """Drop what was known of a life that ended."""
        self._standings.pop(worker, None)

    def _standing(self, worker: str) -> _Standing:
        return self._standings.setdefault(worker, _Standing())
