"""Tests of following a stream while it is loaded, trimmed or unreachable."""

from __future__ import annotations

import asyncio
import time

import pytest

from zinniaweir.node.follower import Follower
from zinniaweir.node.ports import KeyedRecord, NoAnswerError, Page, Stream, Tail, TrimmedError
from zinniaweir.telemetry.counters import Counters

from .conftest import MemoryLog


class Fold:
    """The newest value of each key, as the follower applied it."""

    def __init__(self) -> None:
        self.values: dict[str, bytes | None] = {}

    def reset(self) -> None:
        self.values = {}

    def apply(self, record: KeyedRecord) -> None:
        self.values[record.key] = record.value


def follower(log: MemoryLog, fold: Fold) -> Follower:
    return Follower(
        log_port=log,
        stream=Stream.JOBS,
        reset=fold.reset,
        apply=fold.apply,
        wait_seconds=0.02,
        read_delay_seconds=0.0,
        counters=Counters(),
    )


class SlowFirstPageLog(MemoryLog):
    """A log whose first page arrives after later records were appended and read."""

    asked = 0

    async def newest(self, stream: Stream, *, after: str = "") -> Page:
        page = await super().newest(stream, after=after)
        self.asked += 1
        if self.asked == 1:
            await asyncio.sleep(0.1)
        return page

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        tail = await super().read(
            stream, start, wait_seconds=wait_seconds, timeout_seconds=timeout_seconds
        )
        await asyncio.sleep(0.03)
        return tail


class ShortTailLog(MemoryLog):
    """A log whose reads return one record at a time."""

    reads = 0

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        self.reads += 1
        tail = await super().read(
            stream, start, wait_seconds=wait_seconds, timeout_seconds=timeout_seconds
        )
        return Tail(
            records=tail.records[:1],
            next_offset=start + len(tail.records[:1]),
            end=len(self.streams[stream]),
        )


def test_a_view_is_fresh_only_at_the_end_of_the_stream() -> None:
    """Guards against work on a worker that has left.

    A VM that had not read for a while counted as fresh after a first read of a long backlog.
    """

    async def work() -> None:
        log, fold = ShortTailLog(), Fold()
        log.put(Stream.JOBS, "a", b"1")
        stream_follower = follower(log, fold)
        await stream_follower.catch_up()
        before = stream_follower.fresh_at
        for n in range(5):
            log.put(Stream.JOBS, "a", str(n).encode())
        await stream_follower._read(0.0)
        assert stream_follower.fresh_at == before
        await stream_follower.catch_up()
        assert fold.values == {"a": b"4"}
        assert stream_follower.fresh_at > before
        assert log.reads == 5

    asyncio.run(work())


def test_a_suspension_ages_the_view(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against acting on a view from before a suspension of the VM.

    The monotonic clock stands still while a VM is suspended.
    """

    async def work() -> None:
        stream_follower = follower(MemoryLog(), Fold())
        await stream_follower.catch_up()
        assert stream_follower.age < 1.0
        read_clock = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", lambda clock: read_clock(clock) + 60.0)
        assert stream_follower.age >= 60.0

    asyncio.run(work())


def test_a_record_that_causes_an_error_is_skipped() -> None:
    """Guards against one record that ends the process of every VM, again after each restart."""

    class FaultyFold(Fold):
        def apply(self, record: KeyedRecord) -> None:
            if record.key == "bad":
                raise IndexError("unexpected")
            super().apply(record)

    async def work() -> None:
        log, fold = MemoryLog(), FaultyFold()
        log.put(Stream.JOBS, "bad", b"1")
        stream_follower = follower(log, fold)
        await stream_follower.catch_up()
        log.put(Stream.JOBS, "bad", b"2")
        log.put(Stream.JOBS, "good", b"3")
        await stream_follower.catch_up()
        assert fold.values == {"good": b"3"}

    asyncio.run(work())


def test_concurrent_loads_leave_no_gap() -> None:
    """Guards against an accepted job that a VM never reads.

    A slow load reset the next offset while a read from a later offset was in flight.
    """

    async def work() -> None:
        log, fold = SlowFirstPageLog(), Fold()
        log.put(Stream.JOBS, "a", b"1")
        stream_follower = follower(log, fold)
        running = asyncio.create_task(stream_follower.run())
        await asyncio.sleep(0.01)
        catch_ups = []
        for n in range(20):
            catch_ups.append(asyncio.create_task(stream_follower.catch_up()))
            await asyncio.sleep(0.015)
            log.put(Stream.JOBS, f"k{n}", b"1")
        await asyncio.gather(*catch_ups)
        await asyncio.sleep(0.2)
        running.cancel()
        assert set(fold.values) == {"a", *(f"k{n}" for n in range(20))}

    asyncio.run(work())


class TrimmingLog(MemoryLog):
    """A log whose first read fails because the records were trimmed."""

    trimmed = False

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        if not self.trimmed:
            self.trimmed = True
            raise TrimmedError("gone")
        return await super().read(
            stream, start, wait_seconds=wait_seconds, timeout_seconds=timeout_seconds
        )


def test_a_gap_is_filled_from_the_newest_records() -> None:
    """Guards against a view without the changes that were trimmed before they were read."""

    async def work() -> None:
        log, fold = TrimmingLog(), Fold()
        log.put(Stream.JOBS, "a", b"1")
        stream_follower = follower(log, fold)
        running = asyncio.create_task(stream_follower.run())
        await stream_follower.loaded()
        log.put(Stream.JOBS, "b", b"2")
        await asyncio.sleep(0.4)
        running.cancel()
        assert fold.values == {"a": b"1", "b": b"2"}

    asyncio.run(work())


def test_end_of_outage_is_noticed_within_a_second() -> None:
    """Guards against callers that are refused long after an outage of the log has ended."""

    async def work() -> None:
        log, fold = MemoryLog(), Fold()
        stream_follower = follower(log, fold)
        running = asyncio.create_task(stream_follower.run())
        await stream_follower.loaded()
        log.down = True
        await asyncio.sleep(1.5)
        log.down = False
        await asyncio.sleep(0.5)
        assert stream_follower.age < 0.5
        running.cancel()

    asyncio.run(work())


class FaultyLog(MemoryLog):
    """A log of which one call causes an error that is no `LogError`."""

    def __init__(self, fault: str) -> None:
        super().__init__()
        self.fault = fault

    async def newest(self, stream: Stream, *, after: str = "") -> Page:
        self._fail("newest")
        return await super().newest(stream, after=after)

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        self._fail("read")
        return await super().read(
            stream, start, wait_seconds=wait_seconds, timeout_seconds=timeout_seconds
        )

    def _fail(self, call: str) -> None:
        if call == self.fault:
            self.fault = ""
            raise OverflowError("unexpected")


@pytest.mark.parametrize("fault", ["newest", "read", "on_fresh"])
def test_unexpected_error_of_a_read_does_not_end_the_follower(fault: str) -> None:
    """Guards against an answer that ends the process of every VM, again after each restart."""

    async def work() -> None:
        log, fold = FaultyLog(fault), Fold()
        log.put(Stream.JOBS, "a", b"1")
        stream_follower = follower(log, fold)
        if fault == "on_fresh":
            stream_follower.on_fresh = lambda _since, _at: log._fail("on_fresh")
        running = asyncio.create_task(stream_follower.run())
        async with asyncio.timeout(2.0):
            await stream_follower.loaded()
            await asyncio.sleep(0.05)
            log.put(Stream.JOBS, "b", b"2")
            while set(fold.values) != {"a", "b"}:
                await asyncio.sleep(0.01)
        assert log.fault == ""
        assert not running.done()
        running.cancel()

    asyncio.run(work())


def test_unexpected_error_of_a_read_is_no_answer_for_who_catches_up() -> None:
    """Guards against a process that ends because the log's answer confirms its claim oddly."""

    async def work() -> None:
        stream_follower = follower(FaultyLog("newest"), Fold())
        with pytest.raises(NoAnswerError):
            await stream_follower.catch_up()
        await stream_follower.catch_up()

    asyncio.run(work())


class UnreadableKeyLog(MemoryLog):
    """A log with pages of two records, of which the last one's key cannot be read."""

    async def newest(self, stream: Stream, *, after: str = "") -> Page:
        if after == "":
            first, odd = KeyedRecord(key="a", value=b"1"), KeyedRecord(key="", value=b"")
            return Page(records=(first, odd), more=True, end=3)
        assert after == "a"
        odd, last = KeyedRecord(key="", value=b""), KeyedRecord(key="c", value=b"3")
        return Page(records=(odd, last), more=False, end=3)


def test_page_that_ends_with_an_unreadable_key_does_not_end_the_load() -> None:
    """Guards against the jobs or workers of all later pages that a VM never reads."""
    fold = Fold()
    asyncio.run(follower(UnreadableKeyLog(), fold).catch_up())
    assert set(fold.values) == {"a", "", "c"}
