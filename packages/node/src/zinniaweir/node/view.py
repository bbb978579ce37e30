"""What a VM knows of the platform: settings, workers and jobs, each with its age."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Final

from zinniaweir.dispatch.messages import WorkerEntry
from zinniaweir.node.follower import Follower
from zinniaweir.node.ports import Decoder, Evacuation, KeyedRecord, Log, Stream
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.workloads.job_table import JobTable
from zinniaweir.workloads.queues import Configuration
from zinniaweir.workloads.records import (
    Cancellation,
    OwnerClaim,
    RecordError,
    Submission,
    decode_record,
)

READ_SECONDS: Final = 0.5
"""How long a read waits for a record; it bounds the age of what is known in calm."""
JOBS_READ_SECONDS: Final = 0.3
"""The same for the jobs' stream, which tells when an owner falls silent."""
REPLICA_PAUSE_SECONDS: Final = 0.1
"""Least time between reads of the jobs' stream on a VM that does not own scheduling."""
OWNER_READ_SECONDS: Final = 0.25
"""The same for the streams on which the owner's starts depend."""
WORKERS_PAUSE_SECONDS: Final = 0.25
"""Least time between reads of the workers' stream, which changes with each heartbeat."""


class View:
    """Fold the platform's streams.

    Args:
        log_port: The platform's log.
        decoder: Decodes operators' and workers' records.
        counters: Counts broken records and failed reads.
    """

    def __init__(self, *, log_port: Log, decoder: Decoder, counters: Counters) -> None:
        self._decoder = decoder
        self._counters = counters
        self._book = JobTable()
        self._configuration: Configuration | None = None
        self._evacuated: dict[str, str] = {}
        self._workers: dict[str, WorkerEntry] = {}
        self.jobs = self._follower(
            log_port, Stream.JOBS, self._reset_jobs, self._apply_job, JOBS_READ_SECONDS
        )
        """Follows the system's own records."""
        self.operators = self._follower(
            log_port, Stream.OPERATORS, self._reset_operators, self._apply_operator
        )
        """Follows the operators' settings."""
        self.workers = self._follower(
            log_port,
            Stream.WORKERS,
            self._reset_workers,
            self._apply_worker,
            OWNER_READ_SECONDS,
        )
        """Follows the list of workers; run by the owner alone."""
        self.jobs.pause_seconds = REPLICA_PAUSE_SECONDS
        self.workers.pause_seconds = WORKERS_PAUSE_SECONDS
        self.on_submission: Callable[[Submission], None] = lambda _: None
        """Called with each acceptance that is read."""
        self.on_cancellation: Callable[[str], None] = lambda _: None
        """Called with the id of each cancelled job."""
        self.on_claim: Callable[[OwnerClaim], None] = lambda _: None
        """Called with each claim of ownership."""
        self.on_change: Callable[[], None] = lambda: None
        """Called when settings or workers changed."""

    @property
    def book(self) -> JobTable:
        """The jobs."""
        return self._book

    @property
    def configuration(self) -> Configuration | None:
        """The newest settings, None before the first."""
        return self._configuration

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains that get no work."""
        return frozenset(self._evacuated.values())

    @property
    def decisions_fresh_at(self) -> float:
        """When settings and workers were both known to be the newest, in seconds."""
        return min(self.operators.fresh_at, self.workers.fresh_at)

    @property
    def age(self) -> float:
        """Seconds since settings and jobs were both known to be the newest."""
        return max(self.operators.age, self.jobs.age)

    def worker_entries(self) -> Iterable[WorkerEntry]:
        """Return all workers of the platform's list."""
        return self._workers.values()

    def _follower(
        self,
        log_port: Log,
        stream: Stream,
        reset: Callable[[list[KeyedRecord]], None],
        apply: Callable[[KeyedRecord], None],
        wait_seconds: float = READ_SECONDS,
    ) -> Follower:
        return Follower(
            log_port=log_port,
            stream=stream,
            reset=reset,
            apply=apply,
            wait_seconds=wait_seconds,
            pause_seconds=0.0,
            counters=self._counters,
        )

    def _reset_jobs(self, records: list[KeyedRecord]) -> None:
        self._book = JobTable()
        for record in records:
            self._apply_job(record)

    def _apply_job(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._book.apply(record.key, None)
            return
        try:
            decoded = decode_record(record.value)
        except RecordError as error:
            self._broken(Stream.JOBS, record, str(error))
            return
        self._book.apply(record.key, decoded)
        match decoded:
            case Submission():
                self.on_submission(decoded)
            case Cancellation():
                self.on_cancellation(decoded.job_id)
            case OwnerClaim():
                self.on_claim(decoded)

    def _reset_operators(self, records: list[KeyedRecord]) -> None:
        self._evacuated = {}
        for record in records:
            self._apply_operator(record)

    def _apply_operator(self, record: KeyedRecord) -> None:
        if record.value is None:
            ended = self._evacuated.pop(record.key, None)
            if ended is not None:
                log("evacuation_ended", failure_domain=ended, offset=record.offset)
            self.on_change()
            return
        match self._decoder.operators(record):
            case Configuration() as configuration:
                self._configure(configuration, record.offset)
            case Evacuation() as evacuation:
                self._evacuated[record.key] = evacuation.failure_domain
                log("evacuation_began", failure_domain=evacuation.failure_domain)
            case None:
                self._broken(Stream.OPERATORS, record, "not understood")
        self.on_change()

    def _configure(self, configuration: Configuration, offset: int) -> None:
        if self._configuration and configuration.version <= self._configuration.version:
            return
        self._configuration = configuration
        log(
            "configuration_applied",
            version=configuration.version,
            offset=offset,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
            at=round(time.time(), 3),
        )

    def _reset_workers(self, records: list[KeyedRecord]) -> None:
        self._workers = {}
        for record in records:
            self._apply_worker(record)

    def _apply_worker(self, record: KeyedRecord) -> None:
        if record.value is None:
            if self._workers.pop(record.key, None) is not None:
                log("worker_entry_removed", worker=record.key)
        else:
            entry = self._decoder.worker(record)
            if entry is None:
                self._broken(Stream.WORKERS, record, "names no worker")
                return
            before = self._workers.get(record.key)
            self._workers[record.key] = entry
            if (
                before is None
                or before.draining != entry.draining
                or before.incarnation != entry.incarnation
            ):
                log(
                    "worker_entry_changed",
                    worker=entry.worker,
                    draining=entry.draining,
                    failure_domain=entry.failure_domain,
                    life=entry.incarnation,
                )
        self.on_change()

    def _broken(self, stream: Stream, record: KeyedRecord, why: str) -> None:
        self._counters.add("broken_records", reason=stream)
        log("record_ignored", stream=stream, key=record.key, offset=record.offset, why=why)
