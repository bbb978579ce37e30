"""What workers tell and what they are told, in the product's words."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class TaskId(NamedTuple):
    """One task of a job."""

    job_id: str
    step: int
    index: int


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease expired."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The rest of its gang did not come in time."""
    LOST = "lost"
    """Its worker is gone, or it never started."""


@dataclass(frozen=True, kw_only=True)
class ActiveRun:
    """A run that a worker lists as present."""

    task: TaskId
    run: int
    checkpoint: str
    percent: int


@dataclass(frozen=True, kw_only=True)
class EndedRun:
    """A run that a worker lists as ended."""

    number: int
    """Counts the ends of one life of the worker."""
    task: TaskId | None
    """None where the name is not one of the system's."""
    run: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, kw_only=True)
class Listing:
    """All that one worker says of its runs."""

    incarnation: int
    clock_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    unrecognized_runs: int = 0
    """Rows whose task is not named as the system names tasks."""


@dataclass(frozen=True, kw_only=True)
class WorkerEntry:
    """A worker as the platform's list has it."""

    worker: str
    service: str
    address: str
    failure_domain: str
    rack: str
    labels: frozenset[str]
    incarnation: int
    draining: bool
    cpu_millis: int
    memory_mb: int
    accelerators: int


class StartAnswer(StrEnum):
    """How a worker answered a start."""

    STARTED = "started"
    STALE_EPOCH = "stale_epoch"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    OTHER_LIFE = "other_life"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    """The worker cannot have received it."""
    UNKNOWN = "unknown"
    """No answer; it may still take effect."""


@dataclass(frozen=True, kw_only=True)
class Acknowledgement:
    """The newest end of a worker's life that is on the log."""

    worker: str
    incarnation: int
    number: int
