"""Job specifications: steps that depend on each other, each with a number of equal tasks."""

from __future__ import annotations

from typing import Final

import msgspec

MAX_STEPS: Final = 64
"""Maximum number of steps in one job; a larger job is rejected."""
MAX_TASKS: Final = 10_000
"""Maximum number of tasks in one job; a larger job is rejected."""


class SpecError(Exception):
    """A job specification is inconsistent or too large."""


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step: a number of equal tasks."""

    count: int
    """Number of tasks."""
    cpu_millis: int = 0
    """Thousandths of a core for each task."""
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    """The caller's estimate of one task's duration, often far off."""
    depends_on: tuple[int, ...] = ()
    """Indexes of earlier steps that must be done before this one starts."""
    checkpointing: bool = False
    """Whether the tasks write checkpoints, from which a later run continues."""
    gang: bool = False
    """Whether the tasks only run together."""
    rack_local: bool = False
    """Whether the tasks are slower on more than one rack."""
    required_label: str = ""
    """Label that a worker must have, empty for any worker."""
    home_rack: str = ""
    """Rack where the data is, empty if none is preferred."""
    max_per_worker: int = 0
    """Maximum number of the step's tasks on one worker, 0 for no limit."""


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A job: the payload for its workers, and its steps."""

    payload: str
    steps: tuple[StepSpec, ...]


def check_spec(spec: JobSpec) -> None:
    """Check that a specification is consistent and within the size limits.

    Raises:
        SpecError: If it is not.
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
