"""What a caller asks to run: a job of steps, each with tasks of one size."""

from __future__ import annotations

from typing import Final

import msgspec

MAX_STEPS: Final = 64
"""Steps in one job; a larger graph is refused."""
MAX_TASKS: Final = 10_000
"""Tasks in one job; a larger one is refused."""


class SpecError(Exception):
    """A job that contradicts itself or that is too large."""


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step: a number of equal tasks."""

    count: int
    cpu_millis: int = 0
    """Thousandths of a core for each task."""
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    """The caller's estimate of one task's duration, often far off."""
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    """The tasks run only together."""
    rack_local: bool = False
    """The tasks are slower when they are on more than one rack."""
    required_label: str = ""
    home_rack: str = ""
    """Rack where the data is."""
    max_per_worker: int = 0
    """Largest number of the step's tasks on one worker, 0 for any."""


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A job: a payload for the workers, and its steps."""

    payload: str
    steps: tuple[StepSpec, ...]


def check_spec(spec: JobSpec) -> None:
    """Check a job for contradictions.

    Raises:
        SpecError: If it can never run as described.
    """
    if not spec.steps:
        raise SpecError("a job needs at least one step")
    if len(spec.steps) > MAX_STEPS:
        raise SpecError(f"a job has at most {MAX_STEPS} steps")
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        raise SpecError(f"a job has at most {MAX_TASKS} tasks")
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            raise SpecError(f"step {number}: count must be at least 1")
        if min(step.cpu_millis, step.memory_mb, step.accelerators, step.max_per_worker) < 0:
            raise SpecError(f"step {number}: sizes must not be negative")
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            raise SpecError(f"step {number}: depends_on must name earlier steps")
