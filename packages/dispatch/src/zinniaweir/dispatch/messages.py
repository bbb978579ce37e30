"""Messages between the owner and workers, independent of the platform's wire format."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class TaskId(NamedTuple):
    """Identifier of one task of a job."""

    job_id: str
    step: int
    """Index of the step in the job."""
    index: int
    """Index of the task in the step."""


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
    """The other members of its gang did not start in time."""
    LOST = "lost"
    """Its worker is lost, or it never started."""


@dataclass(frozen=True, kw_only=True)
class ActiveRun:
    """A run that a worker lists as running."""

    task: TaskId
    run: int
    """Number of the run; runs of one task are numbered upwards."""
    checkpoint: str
    """Newest checkpoint, empty if there is none."""
    percent: int
    """Progress in percent of the work."""


@dataclass(frozen=True, kw_only=True)
class EndedRun:
    """A run that a worker lists as ended."""

    number: int
    """Sequence number among the ends of one incarnation of the worker."""
    task: TaskId | None
    """None if the worker's name for the task is not a valid task id."""
    run: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, kw_only=True)
class Listing:
    """A worker's answer to a poll: its clock and its runs."""

    incarnation: int
    clock_ms: int
    """The worker's own clock in milliseconds."""
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    unrecognized_runs: int = 0
    """Number of running entries whose name is not a valid task id."""
    running_tasks: frozenset[TaskId] = frozenset()
    """Tasks that run there with a number of the run that cannot be read."""
    invalid_rows: int = 0
    """Number of entries of which a part cannot be read; the others hold."""
    more_ends: bool = False
    """Whether the worker may have more ends than it lists, so that a run may be on neither list."""


@dataclass(frozen=True, kw_only=True)
class WorkerEntry:
    """An entry of the platform's list of workers."""

    worker: str
    service: str
    """Group of workers that it belongs to."""
    address: str
    """As `host:port`."""
    failure_domain: str
    rack: str
    labels: frozenset[str]
    incarnation: int
    """Start time of the worker's incarnation, by its clock, which may step; it orders nothing."""
    draining: bool
    cpu_millis: int
    memory_mb: int
    accelerators: int
    remaining_seconds: float | None = None
    """Minimum time from the report until a draining worker departs, None if it is unknown."""
    report_number: int = 0
    """Sequence number of the report within the incarnation; 0 if reports are not numbered."""
    reported_ms: int | None = None
    """The worker's clock when it made the report, in milliseconds; None if it does not tell."""

    def is_older_than(self, other: WorkerEntry) -> bool:
        """Return whether the same incarnation of the worker made another report later.

        Args:
            other: An entry of the same worker.
        """
        return self.incarnation == other.incarnation and self.report_number < other.report_number


class StartAnswer(StrEnum):
    """How a worker answered a start."""

    STARTED = "started"
    STALE_EPOCH = "stale_epoch"
    """The worker knows an owner with a higher epoch."""
    OLD_RUN = "old_run"
    """The run has ended or was stopped on the worker, or the worker knows a newer run."""
    TOO_LATE = "too_late"
    """The start arrived after its deadline."""
    NO_ROOM = "no_room"
    """The worker lacks free resources."""
    OTHER_LIFE = "other_life"
    """Another incarnation of the worker received the start."""
    UNHEALTHY = "unhealthy"
    """The worker reports itself unhealthy."""
    INVALID = "invalid"
    """The worker rejected the start as malformed."""
    NOT_SENT = "not_sent"
    """The worker cannot have received the start."""
    UNKNOWN = "unknown"
    """No answer; the start may still take effect."""


@dataclass(frozen=True, kw_only=True)
class Acknowledgement:
    """The newest end of a worker's incarnation that the worker may discard once it is recorded."""

    worker: str
    incarnation: int
    number: int
