"""Appends of other VMs that join the owner's own while the log is slow.

A slow log works on one append after the other, so those of many VMs queue behind each other, and
the owner's renewals behind them. Together in one append they take the time of one.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from zinniaweir.node.ports import (
    Fence,
    KeyedRecord,
    Log,
    NoAnswerError,
    NothingDoneError,
    Page,
    Stream,
    Tail,
)


class Collector:
    """Records of callers that wait for the owner's next append."""

    def __init__(self) -> None:
        self._waiting: list[tuple[list[KeyedRecord], asyncio.Future[int]]] = []
        self._in_flight: list[asyncio.Future[int]] = []
        self._closed = False

    @property
    def is_empty(self) -> bool:
        """Whether no records wait."""
        return not self._waiting

    async def append(self, records: list[KeyedRecord]) -> int:
        """Add records to the owner's next append and wait for it.

        Returns:
            Offset of the first record of that append.

        Raises:
            NothingDoneError: If the ownership ended before the append.
            NoAnswerError: If it ended during the append, which may have taken effect.
        """
        if self._closed:
            raise NothingDoneError("this VM does not own scheduling any more")
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._waiting.append((records, future))
        return await future

    def take(self) -> list[KeyedRecord]:
        """Return the records that wait; their append begins."""
        taken, self._waiting = self._waiting, []
        # Whoever no longer waits has given up, and may have been told so.
        taken = [(records, future) for records, future in taken if not future.done()]
        self._in_flight = [future for _, future in taken]
        return [record for records, _ in taken for record in records]

    def finish(self, offset: int) -> None:
        """Report the end of the append to those whose records it held."""
        for future in self._in_flight:
            if not future.done():
                future.set_result(offset)
        self._in_flight = []

    def close(self) -> None:
        """Report the end of the ownership to all that wait."""
        self._closed = True
        for future in self._in_flight:
            if not future.done():
                future.set_exception(NoAnswerError("the ownership ended during the append"))
        for _, future in self._waiting:
            if not future.done():
                future.set_exception(NothingDoneError("the ownership ended before the append"))
        self._in_flight, self._waiting = [], []


class Appender(Protocol):
    """Appends records without a fence."""

    async def append(self, records: list[KeyedRecord]) -> int:
        """Append records and return the offset of the first record of the append."""


class CollectingLog:
    """The log as this VM reaches it, with appends that join the owner's.

    Args:
        log: The log.
        collector: Takes the appends without a fence.
    """

    def __init__(self, *, log: Log, collector: Appender) -> None:
        self._log = log
        self._collector = collector

    async def newest(self, stream: Stream, *, after: str = "") -> Page:
        """Return a page of the newest record of each key."""
        return await self._log.newest(stream, after=after)

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        """Return the records from an offset on."""
        return await self._log.read(
            stream, start, wait_seconds=wait_seconds, timeout_seconds=timeout_seconds
        )

    async def append(
        self,
        records: list[KeyedRecord],
        *,
        fence: Fence | None = None,
        timeout_seconds: float | None = None,
    ) -> int:
        """Append records to the jobs' stream and return the offset of the append's first."""
        if fence is not None:
            return await self._log.append(records, fence=fence, timeout_seconds=timeout_seconds)
        return await self._collector.append(records)
