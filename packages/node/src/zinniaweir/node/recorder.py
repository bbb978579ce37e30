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
)
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log

MAX_APPEND_BYTES: Final = 1_000_000
"""Size limit of one append; the platform accepts twice as much."""
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
    """

    def __init__(
        self, *, log_port: Log, epoch: int, sequence: int, claimed_at: float, counters: Counters
    ) -> None:
        self._log_port = log_port
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

    async def write(self, records: list[KeyedRecord]) -> None:
        """Append records, and retry without limit until the log answers.

        Raises:
            SupersededError: If another owner has a higher epoch.
        """
        for batch in _batches(records):
            self._sequence += 1
            await self._append_batch(batch, Fence(epoch=self._epoch, sequence=self._sequence))

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


def _batches(records: list[KeyedRecord]) -> list[list[KeyedRecord]]:
    batches: list[list[KeyedRecord]] = [[]]
    size = 0
    for record in records:
        length = len(record.key) + len(record.value or b"")
        if size + length > MAX_APPEND_BYTES and batches[-1]:
            batches.append([])
            size = 0
        batches[-1].append(record)
        size += length
    return batches
