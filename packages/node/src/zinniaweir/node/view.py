"""A VM's view of the platform: settings, workers and jobs, as read from the log."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Final

from zinniaweir.dispatch.messages import WorkerEntry
from zinniaweir.node.boottime import boottime
from zinniaweir.node.follower import Follower
from zinniaweir.node.ports import Decoder, Evacuation, KeyedRecord, Log, Stream
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.workloads.job_table import JobTable
from zinniaweir.workloads.queues import Configuration
from zinniaweir.workloads.records import (
    Cancellation,
    EarlyCancellation,
    OwnerClaim,
    RecordError,
    Submission,
    decode_record,
)

JOBS_READ_WAIT_SECONDS: Final = 0.3
"""How long a read of the jobs' stream waits; its age limits how early a silent owner is noticed."""
REPLICA_READ_DELAY_SECONDS: Final = 0.1
"""Delay between reads of the jobs' stream on a larger VM that does not own scheduling."""
SMALL_VM_READ_DELAY_SECONDS: Final = 0.4
"""The same on a smaller VM.

Each read is paid for, and large fleets consist mostly of smaller VMs, which own scheduling only if
no larger one runs. The state of an open job is read when a caller asks for it.
"""
OPERATORS_READ_SHARE: Final = 0.25
"""How long a read of the settings waits, as a share of the age up to which they may be used."""
OWNER_READ_WAIT_SECONDS: Final = 0.25
"""How long the owner's reads of settings and workers wait; its starts need a fresh view of both."""
WORKERS_READ_DELAY_SECONDS: Final = 0.25
"""Delay between reads of the workers' stream, which changes with each heartbeat."""


class View:
    """Fold the streams of the platform's log into settings, workers and jobs.

    Args:
        log_port: The platform's log.
        decoder: Decodes operators' and workers' records.
        replica_read_delay_seconds: Delay between reads of the jobs' stream while this VM does not
            own scheduling.
        max_age_seconds: Maximum age of the settings with which callers are served.
        counters: Receives counts of invalid records and failed reads.
    """

    def __init__(
        self,
        *,
        log_port: Log,
        decoder: Decoder,
        replica_read_delay_seconds: float,
        max_age_seconds: float,
        counters: Counters,
    ) -> None:
        self._decoder = decoder
        self._counters = counters
        self._replica_read_delay_seconds = replica_read_delay_seconds
        self._operators_wait_seconds = OPERATORS_READ_SHARE * max_age_seconds
        self._job_table = JobTable(clock=boottime)
        self._configuration: Configuration | None = None
        self._evacuated: dict[str, str] = {}
        self._workers: dict[str, WorkerEntry] = {}
        self.workers_changes = 0
        """Number of records of the list of workers that were read."""
        self.jobs = self._follower(
            log_port, Stream.JOBS, self._reset_jobs, self._apply_job, JOBS_READ_WAIT_SECONDS
        )
        """Follower of the system's own records."""
        self.operators = self._follower(
            log_port,
            Stream.OPERATORS,
            self._reset_operators,
            self._apply_operator,
            self._operators_wait_seconds,
        )
        """Follower of the operators' settings."""
        self.workers = self._follower(
            log_port,
            Stream.WORKERS,
            self._reset_workers,
            self._apply_worker,
            OWNER_READ_WAIT_SECONDS,
        )
        """Follower of the platform's list of workers; runs only on the owner."""
        self.workers.read_delay_seconds = WORKERS_READ_DELAY_SECONDS
        self.set_owner(False)
        self.on_submission: Callable[[Submission], None] = lambda _: None
        """Called with each accepted job that is read."""
        self.on_cancellation: Callable[[str], None] = lambda _: None
        """Called with the id of each job whose cancellation is read.

        An early cancellation counts once its job is read as well.
        """
        self.on_claim: Callable[[OwnerClaim], None] = lambda _: None
        """Called with each ownership claim that is read."""
        self.on_change: Callable[[], None] = lambda: None
        """Called after each record of settings or workers."""

    @property
    def job_table(self) -> JobTable:
        """The jobs, the ownership claim and the addresses of VMs."""
        return self._job_table

    @property
    def configuration(self) -> Configuration | None:
        """The newest settings, None before the first are read."""
        return self._configuration

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of failure domains under evacuation, which get no work."""
        return frozenset(self._evacuated.values())

    @property
    def decisions_fresh_at(self) -> float:
        """When both settings and workers were last up to date, in seconds of `boottime`."""
        return min(self.operators.fresh_at, self.workers.fresh_at)

    @property
    def age(self) -> float:
        """Seconds since both settings and jobs were last known to be up to date."""
        return max(self.operators.age, self.jobs.age)

    def set_owner(self, is_owner: bool) -> None:
        """Read more often while this VM owns scheduling."""
        self.jobs.read_delay_seconds = 0.0 if is_owner else self._replica_read_delay_seconds
        self.operators.wait_seconds = (
            OWNER_READ_WAIT_SECONDS if is_owner else self._operators_wait_seconds
        )

    def worker_entries(self) -> Iterable[WorkerEntry]:
        """Return the entries of all workers on the platform's list."""
        return self._workers.values()

    def _follower(
        self,
        log_port: Log,
        stream: Stream,
        reset: Callable[[], None],
        apply: Callable[[KeyedRecord], None],
        wait_seconds: float,
    ) -> Follower:
        return Follower(
            log_port=log_port,
            stream=stream,
            reset=reset,
            apply=apply,
            wait_seconds=wait_seconds,
            read_delay_seconds=0.0,
            counters=self._counters,
        )

    def _reset_jobs(self) -> None:
        self._job_table = JobTable(clock=boottime)

    def _apply_job(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._job_table.apply(record.key, None)
            return
        try:
            decoded = decode_record(record.value)
        except RecordError as error:
            self._ignore_record(Stream.JOBS, record, str(error))
            return
        self._job_table.apply(record.key, decoded)
        match decoded:
            case Submission():
                self.on_submission(decoded)
                self._report_cancelled(decoded.job_id)
            case Cancellation():
                self.on_cancellation(decoded.job_id)
            case EarlyCancellation():
                self._report_cancelled(decoded.job_id)
            case OwnerClaim():
                self.on_claim(decoded)

    def _report_cancelled(self, job_id: str) -> None:
        entry = self._job_table.get(job_id)
        if entry is not None and entry.cancelled:
            self.on_cancellation(job_id)

    def _reset_operators(self) -> None:
        self._evacuated = {}

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
                self._ignore_record(Stream.OPERATORS, record, "invalid operators' record")
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

    def _reset_workers(self) -> None:
        self._workers = {}
        self.workers_changes += 1

    def _apply_worker(self, record: KeyedRecord) -> None:
        self.workers_changes += 1
        if record.value is None:
            if self._workers.pop(record.key, None) is not None:
                log("worker_entry_removed", worker=record.key)
        else:
            entry = self._decoder.worker(record)
            if entry is None:
                # What it says now cannot be read and may be that it drains, so its former entry
                # does not hold either, as after a reload of the list.
                self._ignore_record(Stream.WORKERS, record, "invalid worker entry")
                self._workers.pop(record.key, None)
                self.on_change()
                return
            before = self._workers.get(record.key)
            if before is not None and entry.is_older_than(before):
                # Writes without an answer may take effect late; what the worker said since holds.
                self._counters.add("outdated_reports", reason=Stream.WORKERS)
                log(
                    "worker_entry_outdated",
                    worker=entry.worker,
                    report=entry.report_number,
                    newest=before.report_number,
                    draining=entry.draining,
                    life=entry.incarnation,
                )
                return
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

    def _ignore_record(self, stream: Stream, record: KeyedRecord, why: str) -> None:
        self._counters.add("broken_records", reason=stream)
        log("record_ignored", stream=stream, key=record.key, offset=record.offset, why=why)
