"""Appends the records of the outbox to the log in batches."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from zinniaweir.journal._adaptive_timeout import MAX_TIMEOUT_SECONDS, AdaptiveTimeout
from zinniaweir.journal._backoff import Backoff
from zinniaweir.journal._rate_limiter import AppendRateLimiter
from zinniaweir.journal.client import LogCallError

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.journal._counting import CounterSink
    from zinniaweir.journal._outbox import Outbox, PendingRecord
    from zinniaweir.journal.client import LogClient

BATCH_SECONDS: Final = 0.005
"""Time that an append call waits for further records to join its batch."""
MIN_APPEND_TIMEOUT_SECONDS: Final = 2.0
"""Minimum timeout of an append."""


class Appender:
    """Append the records of the outbox to the log, one call at a time.

    This keeps the records of a VM in the order in which they were published, except for records
    that are appended again.

    Args:
        client: Client of the log.
        outbox: Holds the records to append.
        counters: Counts failures by reason.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        client: LogClient,
        outbox: Outbox,
        counters: CounterSink,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._outbox = outbox
        self._counters = counters
        self._clock = clock
        self._rate_limiter = AppendRateLimiter(now=clock())
        self._append_timeout = AdaptiveTimeout(
            minimum=MIN_APPEND_TIMEOUT_SECONDS, maximum=MAX_TIMEOUT_SECONDS
        )

    async def run(self, next_offset: Callable[[], int]) -> None:
        """Append until cancelled.

        Args:
            next_offset: Returns the next offset to deliver.
        """
        backoff = Backoff()
        while True:
            await self._outbox.has_queued.wait()
            await asyncio.sleep(BATCH_SECONDS)
            await asyncio.sleep(self._rate_limiter.acquire(self._clock()))
            # After the waits, so that no record is appended whose publisher gave up meanwhile.
            batch = self._outbox.take_batch(next_offset=next_offset())
            if not batch:
                continue
            try:
                await self._append(batch)
                backoff.reset()
            except LogCallError as error:
                self._on_append_failure(error, batch)
                await asyncio.sleep(backoff.next_delay())

    async def _append(self, batch: list[PendingRecord]) -> None:
        sent_at = self._clock()
        previous_may_appear = [pending.may_appear for pending in batch]
        for pending in batch:
            pending.may_appear = True
        try:
            await self._client.append(
                [pending.data for pending in batch], timeout=self._append_timeout.seconds
            )
        except LogCallError as error:
            if not error.may_have_taken_effect:
                for pending, may_appear in zip(batch, previous_may_appear, strict=True):
                    pending.may_appear = may_appear
            raise
        self._append_timeout.record_answer(self._clock() - sent_at)

    def _on_append_failure(self, error: LogCallError, batch: list[PendingRecord]) -> None:
        self._counters.add("journal_append_failures", reason=error.reason)
        if error.reason == "timeout":
            self._append_timeout.record_timeout()
        if error.may_have_taken_effect:
            self._outbox.mark_unresolved(batch, self._clock())
        else:
            self._outbox.requeue(batch)
