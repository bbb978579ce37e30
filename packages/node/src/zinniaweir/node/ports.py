"""What the process of a VM needs from the platform; an adapter implements it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from zinniaweir.dispatch.messages import Listing, StartAnswer, TaskId, WorkerEntry
from zinniaweir.workloads.queues import Configuration


class LogError(Exception):
    """The platform's log did not do what was asked."""


class NothingDoneError(LogError):
    """The log refused the call, or the call did not reach it."""


class NoAnswerError(LogError):
    """No answer came; the call may have taken effect, or may do so later."""


class SupersededError(LogError):
    """A writer with a higher epoch, or at the same place, was first."""


class TrimmedError(LogError):
    """The records that were asked for are gone."""


class WorkerCallError(Exception):
    """A worker could not be asked."""


class StaleEpochError(WorkerCallError):
    """The worker knows an owner with a higher epoch."""


class OtherLifeError(WorkerCallError):
    """Another life of a worker answers at the address."""


class Stream(StrEnum):
    """The streams of the platform's log."""

    JOBS = "jobs"
    OPERATORS = "operators"
    WORKERS = "workers"


@dataclass(frozen=True, kw_only=True)
class KeyedRecord:
    """A value under a key; without a value the key is dropped."""

    key: str
    value: bytes | None
    offset: int = 0


@dataclass(frozen=True, kw_only=True)
class Page:
    """Some of the newest records of a stream."""

    records: tuple[KeyedRecord, ...]
    more: bool
    end: int


@dataclass(frozen=True, kw_only=True)
class Tail:
    """Records from an offset on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(frozen=True, kw_only=True)
class Fence:
    """Marks appends of an owner; the log rejects those of a lower epoch."""

    epoch: int
    sequence: int


class Log(Protocol):
    """The platform's log. All methods raise the errors above."""

    async def newest(self, stream: Stream, *, after: str = "") -> Page:
        """Return a page of the newest record of each key."""

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, patience_seconds: float
    ) -> Tail:
        """Return records from an offset on; wait for one if there is none.

        Args:
            stream: The stream.
            start: The first offset.
            wait_seconds: How long the log waits for a record.
            patience_seconds: Time for the answer beyond that.
        """

    async def append(
        self,
        records: list[KeyedRecord],
        *,
        fence: Fence | None = None,
        patience_seconds: float | None = None,
    ) -> int:
        """Append records to the jobs' stream as a whole and return the first one's offset.

        Args:
            records: The records.
            fence: Marks an owner's append.
            patience_seconds: Time for the answer, the adapter's own by default.
        """


class Workers(Protocol):
    """Calls to workers."""

    async def start(
        self,
        entry: WorkerEntry,
        task: TaskId,
        *,
        run: int,
        payload: str,
        checkpoint: str,
        deadline_ms: int,
        epoch: int,
    ) -> StartAnswer:
        """Start a task."""

    async def stop(self, entry: WorkerEntry, task: TaskId, *, run: int, epoch: int) -> None:
        """Stop a run; return when the worker acknowledged it."""

    async def look(
        self,
        entry: WorkerEntry,
        *,
        epoch: int,
        noted: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> Listing:
        """Return a worker's lists, renew its lease and forget its ends up to `noted`."""


@dataclass(frozen=True, kw_only=True)
class Evacuation:
    """A failure domain that gets no work while the record is there."""

    failure_domain: str


class Decoder(Protocol):
    """Decodes what operators and workers keep on the platform; broken records give None."""

    def operators(self, record: KeyedRecord) -> Configuration | Evacuation | None:
        """Return what an operators' record says."""

    def worker(self, record: KeyedRecord) -> WorkerEntry | None:
        """Return the worker that an entry names."""
