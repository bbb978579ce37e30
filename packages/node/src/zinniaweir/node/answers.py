"""Answers to callers, independent of the protocol that they are sent with."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from zinniaweir.workloads.records import JobState


class Refusal(StrEnum):
    """Reason of a refusal; a refused call has no effect."""

    NO_SETTINGS = "no_settings"
    VIEW_TOO_OLD = "view_too_old"
    LOG_UNAVAILABLE = "log_unavailable"
    UNSUPPORTED = "unsupported"
    """The queue requires a feature that this version lacks."""
    EXCEEDS_QUOTA = "exceeds_quota"
    """A gang or a task of the job needs more than its customer may use at a time."""
    TOO_LARGE = "too_large"
    """The job does not fit into a record of the log."""
    CANCELLED = "cancelled"
    """The job was cancelled before it was on the log, so it never runs."""
    TOO_MANY_CANCELLATIONS = "too_many_cancellations"
    """The customer has cancelled too many jobs that are not on the log."""


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The call took effect and is stored on the log."""


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The call had no effect and will have none."""

    reason: Refusal
    retry_after_seconds: int = 1


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """The call may have taken effect; the caller may repeat it with the same id."""


@dataclass(frozen=True, kw_only=True)
class UnknownJob:
    """The job is not known, or belongs to another customer."""


@dataclass(frozen=True, kw_only=True)
class StateOf:
    """The state of a job."""

    state: JobState


@dataclass(frozen=True, kw_only=True)
class Pending:
    """The number of jobs of a queue that have not started."""

    count: int
