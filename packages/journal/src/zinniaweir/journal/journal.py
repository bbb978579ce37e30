"""Follows the log in offset order and publishes records, confirmed by reading them back."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from zinniaweir.journal._adaptive_timeout import MAX_TIMEOUT_SECONDS, AdaptiveTimeout
from zinniaweir.journal._appender import Appender
from zinniaweir.journal._backoff import Backoff
from zinniaweir.journal._outbox import Outbox, PendingRecord
from zinniaweir.journal._recent_ids import WINDOW_OFFSETS, RecentIds
from zinniaweir.journal._tail_cache import TailCache
from zinniaweir.journal.client import LogCallError
from zinniaweir.wire.peer_service import TailReply
from zinniaweir.wire.records import RecordError, decode_record, encode_record, new_record
from zinniaweir.wire.service import RemoteError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from zinniaweir.journal._counting import CounterSink
    from zinniaweir.journal.client import LogClient
    from zinniaweir.wire.log_service import LogEntry, ReadReply
    from zinniaweir.wire.records import Body, Record

    TailRelay = Callable[[int], Awaitable[TailReply | None]]

READ_WAIT_SECONDS: Final = 0.5
"""Maximum time for which the log holds a read open while it has no new entry."""
MIN_READ_TIMEOUT_SECONDS: Final = 1.5
"""Minimum timeout of a read: `READ_WAIT_SECONDS` plus 1 s for the log to answer."""
READ_LIMIT: Final = 256
"""Maximum entries per read; at 64 KB each, a reply stays within 16 MB."""
MAX_RECORD_BYTES: Final = 1_200_000
"""Maximum size of an encoded record: a request body of 1 MB and its envelope."""
LOG_UNREACHABLE_SECONDS: Final = 1.0
"""Time without a successful read after which the log counts as unreachable.

Twice `READ_WAIT_SECONDS`, and short enough for a relayed read within the 2 s freshness limit.
"""
RELAY_INTERVAL_SECONDS: Final = 0.25
"""Delay before each check whether the relay is needed, and after a read that reached the end."""
RELAY_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a relayed read."""


class GapError(Exception):
    """The log was trimmed beyond, or ends before, the next offset to deliver."""

    def __init__(
        self, *, reason: str, next_offset: int, first_offset: int, end_offset: int
    ) -> None:
        super().__init__(
            f"{reason}: next offset {next_offset}, log holds {first_offset} to {end_offset}"
        )
        self.reason = reason
        """`trimmed` if retention removed the next entry, `rewound` if the log ends before it."""
        self.next_offset = next_offset
        """Offset of the next record to deliver."""
        self.first_offset = first_offset
        """Oldest offset that the log holds."""
        self.end_offset = end_offset
        """Offset of the next append."""


class PublishError(Exception):
    """A record was refused, or not read back before the timeout."""

    def __init__(self, *, reason: str, may_appear: bool, record_id: str) -> None:
        super().__init__(f"{reason}: record {record_id}, may appear: {may_appear}")
        self.reason = reason
        """One of `log_unavailable`, `queue_full`, `too_large` or `closed`."""
        self.may_appear = may_appear
        """Whether the record may be in the log, or appear there later."""
        self.record_id = record_id
        """Id of the record."""


@dataclass(frozen=True, kw_only=True)
class Published:
    """Result of a publish: the record was read back from the log."""

    offset: int
    """Offset at which the record was delivered; later copies are skipped."""
    record_id: str
    """Id of the record."""


class Journal:
    """Deliver the records of the log in offset order, each once, and publish own records.

    A record whose id already appeared within the last `WINDOW_OFFSETS` offsets is a copy and is
    not delivered. All VMs must agree on which records are copies. A journal that starts after a
    snapshot therefore first reads that many offsets before its start, without delivering them.

    Args:
        vm: Name of this VM, written into its records.
        client: Client of the log; the caller closes it after `run`.
        on_record: Called with the offset and the record; must not block.
        on_invalid: Called with the offset of an entry that holds no record and the decoding error.
        counters: Counts failures by reason.
        relay: Fetches the entries that another VM holds from an offset on, or returns None. May
            raise only `RemoteError` or `OSError`. Used while this VM cannot read the log.
        on_gap: Called with a `GapError`; the journal then waits for `start_at`. If None, `run`
            raises the error.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        vm: str,
        client: LogClient,
        on_record: Callable[[int, Record], None],
        on_invalid: Callable[[int, str], None],
        counters: CounterSink,
        relay: TailRelay | None = None,
        on_gap: Callable[[GapError], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._vm = vm
        self._client = client
        self._on_record = on_record
        self._on_invalid = on_invalid
        self._relay = relay
        self._counters = counters
        self._on_gap = on_gap
        self._clock = clock
        self._next_offset = 0
        self._read_offset = 0
        self._position_generation = 0
        self._has_position = asyncio.Event()
        self._has_position.set()
        self._known_as_of: float | None = None
        self._last_reply_at = -math.inf
        self._read_failed = True
        self._read_timeout = AdaptiveTimeout(
            minimum=MIN_READ_TIMEOUT_SECONDS, maximum=MAX_TIMEOUT_SECONDS
        )
        self._recent_ids = RecentIds()
        self._cache = TailCache()
        self._outbox = Outbox()
        self._appender = Appender(
            client=client, outbox=self._outbox, counters=counters, clock=clock
        )
        self._closed = False

    @property
    def next_offset(self) -> int:
        """Offset of the next record to deliver."""
        return self._next_offset

    @property
    def caught_up(self) -> bool:
        """Whether the end of the log was reached since the start, the last gap or `start_at`."""
        return self._known_as_of is not None

    @property
    def log_reachable(self) -> bool:
        """Whether this VM's own reads of the log succeed; relayed reads do not count."""
        return (
            not self._read_failed and self._clock() - self._last_reply_at <= LOG_UNREACHABLE_SECONDS
        )

    def freshness_age(self, now: float) -> float:
        """Return for how many seconds the log may have grown unseen; infinite unless caught up.

        Args:
            now: Monotonic time in seconds.
        """
        return math.inf if self._known_as_of is None else max(0.0, now - self._known_as_of)

    def is_fresh(self, max_age: float, now: float) -> bool:
        """Return whether all records appended until `max_age` seconds ago are known."""
        return self.freshness_age(now) <= max_age

    def start_at(self, offset: int) -> None:
        """Continue at an offset after the state before it was loaded from a snapshot or a peer.

        Args:
            offset: First offset to deliver, which is `through_offset + 1` of the loaded state.
        """
        self._position_generation += 1
        self._next_offset = offset
        self._read_offset = max(0, offset - WINDOW_OFFSETS)
        self._known_as_of = None
        self._recent_ids.clear()
        self._cache.clear()
        self._has_position.set()

    def tail(self, from_offset: int, limit: int) -> TailReply:
        """Return recent undecoded entries for a peer that cannot reach the log.

        Args:
            from_offset: First offset that the peer has not read.
            limit: Maximum number of entries.
        """
        complete = self._cache.holds_from(from_offset, end=self._next_offset)
        return TailReply(
            entries=self._cache.slice(from_offset, limit) if complete else [],
            complete=complete,
            end_offset=self._next_offset,
            fresh_age_seconds=self.freshness_age(self._clock()),
        )

    async def run(self) -> None:
        """Read the log and append own records until cancelled.

        Raises:
            GapError: If there is a gap and `on_gap` is None.
        """
        self._closed = False
        loops = [self._follow_log(), self._appender.run(lambda: self._next_offset)]
        if self._relay is not None:
            loops.append(self._follow_relay(self._relay))
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._close_outbox()

    async def publish(self, body: Body, *, timeout: float) -> Published:
        """Append a record and wait until it was delivered through `on_record`.

        Args:
            body: The record's body.
            timeout: Maximum wait in seconds; the record is not appended again afterwards.

        Raises:
            PublishError: If the record was refused, or not read back before the timeout.
        """
        (published,) = await self.publish_many([body], timeout=timeout)
        return published

    async def publish_many(self, bodies: Sequence[Body], timeout: float) -> list[Published]:
        """Append records in order and wait until all were delivered through `on_record`.

        Args:
            bodies: The records' bodies.
            timeout: Maximum wait for all of them, in seconds.

        Raises:
            PublishError: If any record was refused, or not read back before the timeout. It names
                the first such record; other records may be in the log.
        """
        records = [self._new_pending(body) for body in bodies]
        if not records:
            return []
        self._check_limits(records)
        for pending in records:
            self._outbox.add(pending)
        try:
            await asyncio.wait([pending.read_back for pending in records], timeout=timeout)
            return [self._result(pending) for pending in records]
        finally:
            for pending in records:
                self._outbox.remove(pending)
                pending.read_back.cancel()

    def _new_pending(self, body: Body) -> PendingRecord:
        record = new_record(vm=self._vm, body=body)
        return PendingRecord(
            record_id=record.id,
            data=encode_record(record),
            read_back=asyncio.get_running_loop().create_future(),
        )

    def _check_limits(self, records: list[PendingRecord]) -> None:
        for pending in records:
            if len(pending.data) > MAX_RECORD_BYTES:
                self._refuse("too_large", pending)
        if self._closed:
            self._refuse("closed", records[0])
        if not self._outbox.has_capacity(len(records), sum(len(record.data) for record in records)):
            self._refuse("queue_full", records[0])

    def _refuse(self, reason: str, pending: PendingRecord) -> None:
        self._counters.add("journal_publish_failures", reason=reason)
        raise PublishError(reason=reason, may_appear=False, record_id=pending.record_id)

    def _result(self, pending: PendingRecord) -> Published:
        if pending.read_back.done() and not pending.read_back.cancelled():
            return Published(offset=pending.read_back.result(), record_id=pending.record_id)
        reason = "closed" if self._closed else "log_unavailable"
        self._counters.add("journal_publish_failures", reason=reason)
        raise PublishError(
            reason=reason, may_appear=pending.may_appear, record_id=pending.record_id
        )

    def _close_outbox(self) -> None:
        self._closed = True
        for pending in list(self._outbox.by_id.values()):
            pending.read_back.cancel()

    async def _follow_log(self) -> None:
        backoff = Backoff()
        while True:
            await self._has_position.wait()
            try:
                await self._read_log()
                backoff.reset()
            except LogCallError as error:
                self._on_read_failure(error)
                await asyncio.sleep(backoff.next_delay())

    async def _read_log(self) -> None:
        sent_at, generation, next_offset_before = (
            self._clock(),
            self._position_generation,
            self._next_offset,
        )
        reply: ReadReply = await self._client.read(
            self._read_offset,
            limit=READ_LIMIT,
            # The first read after a failure does not wait, so that the end of an outage is noticed
            # at once.
            wait_seconds=0.0 if self._read_failed else READ_WAIT_SECONDS,
            timeout=self._read_timeout.seconds,
        )
        self._last_reply_at = self._clock()
        self._read_failed = False
        self._read_timeout.record_answer(self._last_reply_at - sent_at)
        if generation != self._position_generation or not self._check_bounds(
            next_offset_before, reply
        ):
            return
        self._ingest(reply.entries)
        if self._read_offset >= reply.end_offset:
            self._on_end_reached(sent_at)

    def _on_read_failure(self, error: LogCallError) -> None:
        self._read_failed = True
        self._counters.add("journal_read_failures", reason=error.reason)
        if error.reason == "timeout":
            self._read_timeout.record_timeout()

    def _check_bounds(self, next_offset_before: int, reply: ReadReply) -> bool:
        if reply.end_offset < next_offset_before:
            return self._stop_at_gap("rewound", reply)
        if reply.first_offset > self._next_offset:
            return self._stop_at_gap("trimmed", reply)
        # Offsets before the start only fill the window of recent ids, so trimmed ones are skipped.
        self._read_offset = max(self._read_offset, reply.first_offset)
        return True

    def _stop_at_gap(self, reason: str, reply: ReadReply) -> bool:
        self._counters.add("journal_gaps", reason=reason)
        self._known_as_of = None
        self._has_position.clear()
        error = GapError(
            reason=reason,
            next_offset=self._next_offset,
            first_offset=reply.first_offset,
            end_offset=reply.end_offset,
        )
        if self._on_gap is None:
            raise error
        self._on_gap(error)
        return False

    def _ingest(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            if entry.offset < self._read_offset:
                continue
            if entry.offset > self._read_offset:
                self._counters.add("journal_read_failures", reason="not_contiguous")
                return
            self._read_offset = entry.offset + 1
            self._deliver(entry)

    def _deliver(self, entry: LogEntry) -> None:
        self._cache.add(entry)
        try:
            record = decode_record(entry.data)
        except RecordError as error:
            if self._advance(entry.offset):
                self._counters.add("journal_invalid_records")
                self._on_invalid(entry.offset, str(error))
            return
        is_new = self._recent_ids.add(entry.offset, record.id)
        if not self._advance(entry.offset):
            return
        if not is_new:
            self._counters.add("journal_duplicate_records")
            return
        self._on_record(entry.offset, record)
        pending = self._outbox.by_id.get(record.id)
        if pending is not None and not pending.read_back.done():
            pending.read_back.set_result(entry.offset)

    def _advance(self, offset: int) -> bool:
        if offset < self._next_offset:
            return False
        self._next_offset = offset + 1
        return True

    def _on_end_reached(self, known_as_of: float) -> None:
        if self._known_as_of is None or known_as_of > self._known_as_of:
            self._known_as_of = known_as_of
        requeued = self._outbox.requeue_absent(
            known_as_of=self._known_as_of,
            lowest_first_offset=self._next_offset - WINDOW_OFFSETS // 2,
        )
        if requeued:
            self._counters.add("journal_appends_repeated", amount=requeued)

    async def _follow_relay(self, relay: TailRelay) -> None:
        has_more = False
        while True:
            if not has_more:
                await asyncio.sleep(RELAY_INTERVAL_SECONDS)
            await self._has_position.wait()
            has_more = not self.log_reachable and await self._read_relay(relay)

    async def _read_relay(self, relay: TailRelay) -> bool:
        sent_at, generation = self._clock(), self._position_generation
        try:
            async with asyncio.timeout(RELAY_TIMEOUT_SECONDS):
                reply = await relay(self._read_offset)
        except (RemoteError, OSError) as error:
            self._counters.add("journal_relay_failures", reason=type(error).__name__)
            return False
        if (
            reply is None
            or generation != self._position_generation
            or not self._has_position.is_set()
        ):
            return False
        return self._apply_tail(reply, sent_at)

    def _apply_tail(self, reply: TailReply, sent_at: float) -> bool:
        if not reply.complete:
            self._counters.add("journal_relay_failures", reason="incomplete")
            # The peer may lack offsets before the start. They serve only to recognize copies, so
            # the next read begins at the next offset to deliver.
            skips_window = self._read_offset < self._next_offset
            self._read_offset = max(self._read_offset, self._next_offset)
            return skips_window
        before = self._read_offset
        self._ingest(reply.entries)
        age = reply.fresh_age_seconds
        if self._read_offset >= reply.end_offset and 0 <= age < math.inf:
            self._on_end_reached(sent_at - age)
        return self._read_offset > before
