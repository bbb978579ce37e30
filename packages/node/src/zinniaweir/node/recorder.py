"""Fenced, exactly-once appends of an owner's records to the log."""

from __future__ import annotations

import asyncio
from typing import Final

from zinniaweir.node.adaptive_timeout import AdaptiveTimeout
from zinniaweir.node.boottime import boottime
from zinniaweir.node.ports import (
    Fence,
    KeyedRecord,
    Log,
    NoAnswerError,
    NothingDoneError,
    RejectedError,
)
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log

MAX_APPEND_BYTES: Final = 1_000_000
"""Size limit of one append; the platform accepts twice as much."""
DEFAULT_MAX_RECORD_BYTES: Final = 262_144
"""Size limit of a record if the platform does not state one."""
KEY_LENGTH_BYTES: Final = 1
"""Size of the length of a record's key."""
RETRY_DELAY_SECONDS: Final = 0.1
"""Delay before an append that the log rejected is retried."""
SLOW_APPEND_SECONDS: Final = 1.0
"""An append that is retried for longer than this is logged."""


class Recorder:
    """Append records with the owner's epoch and a sequence number.

    A retried append keeps its sequence number, so it takes effect only once.

    Args:
        log_port: The platform's log.
        epoch: The owner's epoch.
        sequence: Sequence number of the epoch's first append, the claim.
        claimed_at: When the claim was first sent, in seconds of `boottime`.
        counters: Receives counts of retries.
        max_record_bytes: Size limit of a record; larger ones are not sent.
    """

    def __init__(
        self,
        *,
        log_port: Log,
        epoch: int,
        sequence: int,
        claimed_at: float,
        counters: Counters,
        max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES,
    ) -> None:
        self._log_port = log_port
        self._max_record_bytes = max_record_bytes
        self._epoch = epoch
        self._counters = counters
        self._sequence = sequence
        self._timeout = AdaptiveTimeout()
        self._confirmed_at = claimed_at
        self._pending_since: float | None = None

    @property
    def confirmed_at(self) -> float:
        """A time in seconds of `boottime` at which no other owner had appended a record.

        It is when the first copy of the last confirmed append was sent that may have taken effect.
        """
        return self._confirmed_at

    @property
    def pending_seconds(self) -> float:
        """Seconds since the append in flight was first attempted, 0 if there is none."""
        return 0.0 if self._pending_since is None else boottime() - self._pending_since

    async def write(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        """Append records, and retry without limit until the log answers.

        Returns:
            The records that the log does not take; the others are appended.

        Raises:
            SupersededError: If another owner has a higher epoch.
        """
        fitting: list[KeyedRecord] = []
        rejected: list[KeyedRecord] = []
        for record in records:
            if record_bytes(record) <= self._max_record_bytes:
                fitting.append(record)
            else:
                rejected.append(record)
                self._report_rejected(record, "too_large")
        for batch in split_records(fitting, max_bytes=MAX_APPEND_BYTES):
            rejected += await self._write_batch(batch)
        return rejected

    async def _write_batch(self, batch: list[KeyedRecord]) -> list[KeyedRecord]:
        """Append a batch, or those of its records that the log takes; return the others.

        An append that was rejected has taken no sequence number.
        """
        fence = Fence(epoch=self._epoch, sequence=self._sequence + 1)
        try:
            await self._append_batch(batch, fence)
        except RejectedError as error:
            if len(batch) == 1:
                self._report_rejected(batch[0], str(error))
                return batch
            middle = len(batch) // 2
            rejected = await self._write_batch(batch[:middle])
            return rejected + await self._write_batch(batch[middle:])
        self._sequence += 1
        return []

    def _report_rejected(self, record: KeyedRecord, error: str) -> None:
        self._counters.add("rejected_records", reason="append")
        log("record_rejected", key=record.key, bytes=record_bytes(record), error=error)

    async def _append_batch(self, records: list[KeyedRecord], fence: Fence) -> None:
        self._pending_since = started = boottime()
        # The log answers a repeated append like the first copy, also after another owner's claim.
        effective_at: float | None = None
        slow = False
        try:
            while True:
                sent_at = boottime()
                try:
                    await self._log_port.append(
                        records, fence=fence, timeout_seconds=self._timeout.seconds
                    )
                except (NothingDoneError, NoAnswerError) as error:
                    self._counters.add("owner_append_retries", reason=type(error).__name__)
                    if isinstance(error, NoAnswerError):
                        effective_at = sent_at if effective_at is None else effective_at
                        self._timeout.record_timeout()
                    if not slow and sent_at - started > SLOW_APPEND_SECONDS:
                        slow = True
                        log("owner_append_delayed", sequence=fence.sequence, error=str(error))
                    if isinstance(error, NothingDoneError):
                        await asyncio.sleep(RETRY_DELAY_SECONDS)
                    continue
                self._confirmed_at = sent_at if effective_at is None else effective_at
                self._timeout.record_answer(boottime() - sent_at)
                return
        finally:
            self._pending_since = None


def record_bytes(record: KeyedRecord) -> int:
    """Return the size of a record on the log: its key, the length of the key and the value."""
    return KEY_LENGTH_BYTES + len(record.key.encode()) + len(record.value or b"")


def split_records(records: list[KeyedRecord], *, max_bytes: int) -> list[list[KeyedRecord]]:
    """Split records into batches of a limited size, in their order.

    Args:
        records: The records.
        max_bytes: Size limit of a batch; a larger record has a batch of its own.
    """
    batches: list[list[KeyedRecord]] = []
    size = 0
    for record in records:
        length = record_bytes(record)
        if not batches or size + length > max_bytes:
            batches.append([])
            size = 0
        batches[-1].append(record)
        size += length
    return batches
