"""Reader that follows one stream of the platform's log."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from zinniaweir.node.adaptive_timeout import AdaptiveTimeout
from zinniaweir.node.boottime import boottime
from zinniaweir.node.ports import (
    KeyedRecord,
    Log,
    LogError,
    NoAnswerError,
    Page,
    Stream,
    TrimmedError,
)
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log

INITIAL_BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 0.1
"""Maximum delay between retries.

Callers retry for only 3 s, so the end of an outage must be noticed soon.
"""
LOST_AFTER_SECONDS: Final = 1.0
"""A stream without a successful read for this long is logged as a lost dependency."""
FAULT_DELAY_SECONDS: Final = 0.5
"""Delay after an unexpected error before the stream is read again."""

T = TypeVar("T")


class Follower:
    """Apply the records of a stream in the order of their offsets.

    Args:
        log_port: The platform's log.
        stream: The stream.
        reset: Called at the start and after a gap, before the newest record of each key is applied.
        apply: Called with each record.
        wait_seconds: How long a read waits for a record.
        read_delay_seconds: Delay between two reads.
        counters: Receives counts of failed reads.
    """

    def __init__(
        self,
        *,
        log_port: Log,
        stream: Stream,
        reset: Callable[[], None],
        apply: Callable[[KeyedRecord], None],
        wait_seconds: float,
        read_delay_seconds: float,
        counters: Counters,
    ) -> None:
        self._log_port = log_port
        self._stream = stream
        self._reset = reset
        self._apply = apply
        self.wait_seconds = wait_seconds
        """How long a read waits for a record, in seconds."""
        self.read_delay_seconds = read_delay_seconds
        """Delay between two reads, in seconds."""
        self._counters = counters
        self._next_offset: int | None = None
        self._fresh_at = float("-inf")
        self._failed_at = float("-inf")
        self._complete = False
        self._dependency_lost = False
        self._loaded = asyncio.Event()
        self._loading = asyncio.Lock()
        self._timeout = AdaptiveTimeout()
        self.on_fresh: Callable[[float, float], None] = lambda _since, _at: None
        """Called after each successful read with the previous and the new value of `fresh_at`."""

    @property
    def fresh_at(self) -> float:
        """When the last read that reached the stream's end was sent, in seconds of `boottime`."""
        return self._fresh_at

    @property
    def age(self) -> float:
        """Seconds since the last read that reached the end of the stream was sent."""
        return boottime() - self._fresh_at

    @property
    def failed_at(self) -> float:
        """When the newest read failed, in seconds of `boottime`; -infinity if it did not."""
        return self._failed_at

    @property
    def next_offset(self) -> int | None:
        """Offset of the next record to read, None before the first load."""
        return self._next_offset

    async def loaded(self) -> None:
        """Wait until the stream has been loaded for the first time."""
        await self._loaded.wait()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await self._step()
                backoff = INITIAL_BACKOFF_SECONDS
                if self.read_delay_seconds and self._complete:
                    await asyncio.sleep(self.read_delay_seconds)
            except LogError as error:
                self._on_failure(error)
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
            except Exception as error:
                # The process would end, and end again on the same input after each restart.
                self._report_fault(error)
                await asyncio.sleep(FAULT_DELAY_SECONDS)

    async def catch_up(self) -> None:
        """Apply all records that are on the log at the time of the call.

        Raises:
            LogError: If the log cannot be read.
        """
        called_at = boottime()
        while self._fresh_at < called_at:
            await self._read(0.0)

    async def _step(self) -> None:
        if self._next_offset is None:
            await self._load()
        else:
            await self._read(self.wait_seconds if self._timeout.last_answered else 0.0)

    async def _load(self) -> None:
        async with self._loading:
            if self._next_offset is None:
                await self._load_pages()

    async def _load_pages(self) -> None:
        sent_at = boottime()
        records: list[KeyedRecord] = []
        page = await self._call(self._log_port.newest(self._stream))
        end = page.end
        records += page.records
        while page.more and (after := _last_key(page)):
            page = await self._call(self._log_port.newest(self._stream, after=after))
            records += page.records
        self._reset()
        for record in records:
            self._apply_record(record)
        self._next_offset = end
        self._complete = True
        self._loaded.set()
        self._on_read(sent_at)
        log("stream_loaded", stream=self._stream, records=len(records), offset=end)

    async def _read(self, wait_seconds: float) -> None:
        start = self._next_offset
        if start is None:
            await self._load()
            return
        sent_at = boottime()
        try:
            tail = await self._call(
                self._log_port.read(
                    self._stream,
                    start,
                    wait_seconds=wait_seconds,
                    timeout_seconds=self._timeout.seconds,
                )
            )
        except NoAnswerError:
            self._timeout.record_timeout()
            raise
        except TrimmedError:
            log("stream_gap", stream=self._stream, offset=start)
            self._next_offset = None
            raise
        # Another read, or a load, may have moved the next offset in the meantime.
        for record in tail.records:
            if record.offset == self._next_offset:
                self._next_offset = record.offset + 1
                self._apply_record(record)
        self._complete = tail.complete
        self._on_read(sent_at)

    async def _call(self, call: Awaitable[T]) -> T:
        """Return the result of a call to the log; an unexpected error counts as no answer."""
        try:
            return await call
        except LogError:
            raise
        except Exception as error:
            self._report_fault(error)
            raise NoAnswerError(f"the log's answer caused {error!r}") from error

    def _report_fault(self, error: Exception) -> None:
        self._counters.add("read_faults", reason=type(error).__name__)
        log("read_fault", stream=self._stream, offset=self._next_offset, error=repr(error))

    def _apply_record(self, record: KeyedRecord) -> None:
        """Apply a record; one that causes an unexpected error is skipped.

        The error would otherwise end the process of every VM, and end it again after each restart.
        """
        try:
            self._apply(record)
        except Exception as error:
            self._counters.add("record_faults", reason=type(error).__name__)
            log(
                "record_fault",
                stream=self._stream,
                key=record.key,
                offset=record.offset,
                error=repr(error),
            )

    def _on_read(self, sent_at: float) -> None:
        self._timeout.record_answer(max(boottime() - sent_at - self.wait_seconds, 0.0))
        self._failed_at = float("-inf")
        if not self._complete:
            return
        since = self._fresh_at
        self._fresh_at = max(since, sent_at)
        if self._dependency_lost:
            self._dependency_lost = False
            log("dependency_regained", dependency=f"log/{self._stream}", offset=self._next_offset)
        self.on_fresh(since, self._fresh_at)

    def _on_failure(self, error: LogError) -> None:
        self._failed_at = boottime()
        self._counters.add("log_read_failures", reason=type(error).__name__)
        if not self._dependency_lost and self.age > LOST_AFTER_SECONDS:
            self._dependency_lost = True
            log(
                "dependency_lost",
                dependency=f"log/{self._stream}",
                error=f"{type(error).__name__}: {error}",
                offset=self._next_offset,
            )


def _last_key(page: Page) -> str:
    """Return the key after which the next page begins; records that are unreadable have none."""
    return next((record.key for record in reversed(page.records) if record.key), "")
