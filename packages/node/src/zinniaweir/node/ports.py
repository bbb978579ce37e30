"""Interfaces that the process of a VM needs from the platform, implemented by an adapter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from zinniaweir.dispatch.messages import Listing, StartAnswer, TaskId, WorkerEntry
from zinniaweir.workloads.queues import Configuration


class LogError(Exception):
    """A call to the platform's log failed."""


class NothingDoneError(LogError):
    """The log rejected the call, or the call did not reach it; it had no effect."""


class NoAnswerError(LogError):
    """The call was not answered; it may have taken effect, or may do so later."""


class SupersededError(LogError):
    """An append with a higher epoch, or with a conflicting sequence number, came first."""


class RejectedError(LogError):
    """The log does not take the records of an append, however often it is repeated."""


class TrimmedError(LogError):
    """The requested records are no longer on the log."""


class WorkerCallError(Exception):
    """A call to a worker failed."""


class StaleEpochError(WorkerCallError):
    """The worker knows an owner with a higher epoch."""


class OtherLifeError(WorkerCallError):
    """Another incarnation of a worker answers at the address."""


class Stream(StrEnum):
    """The streams of the platform's log."""

    JOBS = "jobs"
    """Records of jobs, VMs and the ownership, written by this system."""
    OPERATORS = "operators"
    """Settings and evacuations, written by operators."""
    WORKERS = "workers"
    """The platform's list of workers."""


@dataclass(frozen=True, kw_only=True)
class KeyedRecord:
    """A record of a stream: a value under a key, or the removal of the key if there is none."""

    key: str
    value: bytes | None
    offset: int = 0


@dataclass(frozen=True, kw_only=True)
class Page:
    """A page of the newest records of a stream."""

    records: tuple[KeyedRecord, ...]
    more: bool
    """Whether there are keys after the last one of this page."""
    end: int
    """Offset that follows the newest record of the stream."""


@dataclass(frozen=True, kw_only=True)
class Tail:
    """The records of a stream from an offset on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    """Offset at which the next read starts."""
    end: int = 0
    """End of the stream when it was read; a long tail takes several reads.

    0 in the answer of a VM that runs an earlier version.
    """

    @property
    def complete(self) -> bool:
        """Whether it contains all records up to the end of the stream."""
        return self.next_offset >= self.end


@dataclass(frozen=True, kw_only=True)
class Fence:
    """Fencing token and sequence number of an owner's append.

    The log rejects appends of a lower epoch.
    """

    epoch: int
    sequence: int


class Log(Protocol):
    """The platform's log; every method raises `LogError` if the call fails."""

    async def newest(self, stream: Stream, *, after: str = "") -> Page:
        """Return a page of the newest record of each key.

        Args:
            stream: The stream.
            after: Last key of the previous page, empty for the first page.
        """

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        """Return the records from an offset on, and wait for one if there is none.

        Args:
            stream: The stream.
            start: The first offset.
            wait_seconds: How long the log waits for a record.
            timeout_seconds: Timeout of the call in addition to the wait.
        """

    async def append(
        self,
        records: list[KeyedRecord],
        *,
        fence: Fence | None = None,
        timeout_seconds: float | None = None,
    ) -> int:
        """Append records to the jobs' stream atomically and return the offset of the first.

        Args:
            records: The records.
            fence: Fencing token and sequence number of an owner's append, else None.
            timeout_seconds: Timeout of the call; the adapter's own by default.

        Raises:
            RejectedError: If the log takes none of the records, as one of them is not valid there.
        """


class WorkerClient(Protocol):
    """Client for calls to workers."""

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
        send_until: float,
    ) -> StartAnswer:
        """Start a run of a task.

        Args:
            entry: The worker.
            task: The task.
            run: Number of the run.
            payload: Passed to the task.
            checkpoint: Checkpoint to resume from, empty for none.
            deadline_ms: Time on the worker's clock after which it rejects the start.
            epoch: The owner's fencing token.
            send_until: Time in seconds of `boottime` after which the start must not be sent.
        """

    async def stop(self, entry: WorkerEntry, task: TaskId, *, run: int, epoch: int) -> None:
        """Stop a run and return when the worker has acknowledged the stop.

        Raises:
            StaleEpochError: If the worker knows an owner with a higher epoch.
            WorkerCallError: If the call failed otherwise.
        """

    async def poll(
        self,
        entry: WorkerEntry,
        *,
        epoch: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> Listing:
        """Poll a worker for its running and ended runs, and renew its lease.

        Args:
            entry: The worker.
            epoch: The owner's fencing token.
            acknowledged: Number of the newest end that is on the log; the worker may discard it
                and earlier ones.
            lease_until_ms: End of the lease on the worker's clock, None to leave it as it is.
            wait_seconds: How long the worker waits for an end before it answers.

        Raises:
            StaleEpochError: If the worker knows an owner with a higher epoch.
            WorkerCallError: If the call failed otherwise.
        """


@dataclass(frozen=True, kw_only=True)
class Evacuation:
    """A failure domain that gets no work while its record exists."""

    failure_domain: str


class Decoder(Protocol):
    """Decoder of operators' and workers' records; invalid records give None."""

    def operators(self, record: KeyedRecord) -> Configuration | Evacuation | None:
        """Return the settings or the evacuation in an operators' record."""

    def worker(self, record: KeyedRecord) -> WorkerEntry | None:
        """Return the worker in an entry of the platform's list."""
