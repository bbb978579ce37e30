"""Worker health: excludes workers that reject starts, fail runs or stall, for a while."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

INITIAL_PAUSE_SECONDS: Final = 1.0
"""Pause of a worker after a rejected start; it doubles with each rejection."""
MAX_PAUSE_SECONDS: Final = 8.0
"""Maximum pause after rejected starts."""
MIN_FAILED_JOBS_TO_PAUSE: Final = 2
"""Number of different jobs in a row whose failure on a worker pauses it.

A single failure may be the job's own fault.
"""
FAILURE_PAUSE_SECONDS: Final = 5.0
"""Pause of a worker after repeated failures, before it is tried again."""
STALL_TIMEOUT_SECONDS: Final = 1.5
"""A run without progress for this long is stalled; workers report progress in percent.

Its worker is excluded for the same time after each poll that lists the stalled run.
"""


@dataclass(kw_only=True)
class _WorkerState:
    rejections: int = 0
    paused_until: float = 0.0
    failed_jobs: set[str] = field(default_factory=set)
    on_probation: bool = False
    """Whether a single failure pauses it again; true from the first such pause to a success."""
    stalled_until: float = 0.0


class WorkerHealth:
    """Health of workers, judged by the outcome of starts and runs rather than by their reports."""

    def __init__(self) -> None:
        self._states: dict[str, _WorkerState] = {}

    def record_rejection(self, worker: str, *, now: float) -> None:
        """Record a start that a worker rejected because it reports itself unhealthy."""
        state = self._state_of(worker)
        pause = min(INITIAL_PAUSE_SECONDS * 2**state.rejections, MAX_PAUSE_SECONDS)
        state.rejections += 1
        state.paused_until = max(state.paused_until, now + pause)

    def record_failure(self, worker: str, job_id: str, *, now: float) -> bool:
        """Record a failed run.

        Returns:
            Whether the worker is paused because of it.
        """
        state = self._state_of(worker)
        state.failed_jobs.add(job_id)
        if not state.on_probation and len(state.failed_jobs) < MIN_FAILED_JOBS_TO_PAUSE:
            return False
        state.paused_until = max(state.paused_until, now + FAILURE_PAUSE_SECONDS)
        state.on_probation = True
        return True

    def record_success(self, worker: str) -> None:
        """Record a successful run, which resets the worker's health."""
        self._states.pop(worker, None)

    def record_stall(self, worker: str, *, now: float) -> None:
        """Record a stalled run, which excludes the worker until some time after the last record."""
        self._state_of(worker).stalled_until = now + STALL_TIMEOUT_SECONDS

    def usable(self, worker: str, *, now: float) -> bool:
        """Return whether a worker may receive work."""
        state = self._states.get(worker)
        return state is None or now >= max(state.paused_until, state.stalled_until)

    def failed_job_count(self, worker: str) -> int:
        """Return how many different jobs failed on a worker since the last success there."""
        state = self._states.get(worker)
        return len(state.failed_jobs) if state else 0

    def discard(self, worker: str) -> None:
        """Reset the health of a worker whose incarnation ended."""
        self._states.pop(worker, None)

    def _state_of(self, worker: str) -> _WorkerState:
        return self._states.setdefault(worker, _WorkerState())
