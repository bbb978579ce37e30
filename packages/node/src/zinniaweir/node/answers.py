"""What callers are answered, in the product's words."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from zinniaweir.workloads.records import JobState


class Refusal(StrEnum):
    """Why a call is refused; the work it names has not run because of it."""

    NO_SETTINGS = "no_settings"
    VIEW_TOO_OLD = "view_too_old"
    LOG_UNAVAILABLE = "log_unavailable"
    UNSUPPORTED = "unsupported"
    """The queue needs what this version does not do."""


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The call took effect and is stored."""


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The call had no effect and will have none."""

    reason: Refusal
    retry_after_seconds: int = 1


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """The call may have taken effect; it may be repeated with the same id."""


@dataclass(frozen=True, kw_only=True)
class UnknownJob:
    """No such job was accepted."""


@dataclass(frozen=True, kw_only=True)
class StateOf:
    """How far a job is."""

    state: JobState


@dataclass(frozen=True, kw_only=True)
class Pending:
    """How many jobs of a queue have not started."""

    count: int
