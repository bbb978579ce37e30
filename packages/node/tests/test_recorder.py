"""Tests of an owner's fenced appends."""

from __future__ import annotations

import asyncio
from typing import Any

from zinniaweir.node.boottime import boottime
from zinniaweir.node.ports import Fence, KeyedRecord, NoAnswerError, RejectedError, Stream
from zinniaweir.node.recorder import Recorder
from zinniaweir.telemetry.counters import Counters

from .conftest import MemoryLog


def test_repeated_append_confirms_no_ownership_after_another_owners_claim() -> None:
    """Guards against leases that are renewed for longer than the next owner waits.

    An append takes effect without an answer, and is repeated after another owner has claimed.
    """
    record = KeyedRecord(key="owner", value=b"")
    claimed_at: list[float] = []

    class SupersedingLog(MemoryLog):
        async def append(self, records: list[KeyedRecord], **options: Any) -> int:
            offset = await super().append(records, **options)
            if not claimed_at:
                claimed_at.append(boottime())
                await super().append([record], fence=Fence(epoch=2, sequence=0))
                raise NoAnswerError("lost")
            return offset

    async def work() -> None:
        log = SupersedingLog(epoch=1)
        recorder = Recorder(
            log_port=log, epoch=1, sequence=0, claimed_at=boottime(), counters=Counters()
        )
        await recorder.write([record])
        assert recorder.confirmed_at <= claimed_at[0]

    asyncio.run(work())


class PickyLog(MemoryLog):
    """A log that does not take records with some values."""

    sent = 0

    async def append(self, records: list[KeyedRecord], **options: Any) -> int:
        self.sent += len(records)
        if any(record.value == b"odd" for record in records):
            raise RejectedError("400")
        return await super().append(records, **options)


def test_record_that_the_log_does_not_take_delays_no_other() -> None:
    """Guards against an append that is repeated for ever, and with it all that follows."""

    async def work() -> None:
        log = PickyLog(epoch=1)
        recorder = Recorder(
            log_port=log, epoch=1, sequence=0, claimed_at=boottime(), counters=Counters()
        )
        values = [b"1", b"2", b"odd", b"4", b"odd", b"6"]
        records = [KeyedRecord(key=str(n), value=value) for n, value in enumerate(values)]
        async with asyncio.timeout(5):
            rejected = await recorder.write(records)
            assert not await recorder.write([KeyedRecord(key="owner", value=b"beat")])
        assert [record.key for record in rejected] == ["2", "4"]
        stored = [record.value for record in log.streams[Stream.JOBS]]
        assert stored == [b"1", b"2", b"4", b"6", b"beat"]

    asyncio.run(work())


def test_record_over_the_size_limit_is_not_sent() -> None:
    """Guards against appends that the log has to reject, in ever smaller parts."""

    async def work() -> None:
        log = PickyLog(epoch=1)
        recorder = Recorder(
            log_port=log,
            epoch=1,
            sequence=0,
            claimed_at=boottime(),
            counters=Counters(),
            max_record_bytes=8,
        )
        fitting = KeyedRecord(key="a", value=b"123456")
        too_large = KeyedRecord(key="b", value=b"1234567")
        assert await recorder.write([too_large, fitting]) == [too_large]
        assert log.sent == 1

    asyncio.run(work())
