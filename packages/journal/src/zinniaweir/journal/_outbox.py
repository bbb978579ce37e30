"""Queue of this VM's records that wait to be appended to the log and read back."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Final

MAX_PENDING_RECORDS: Final = 5_000
"""Maximum records that wait; more are refused, so that an outage cannot exhaust the memory."""
MAX_PENDING_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of all records that wait."""
MAX_BATCH_RECORDS: Final = 200
"""Maximum records per append call."""
MAX_BATCH_BYTES: Final = 1024 * 1024
"""Size limit of an append call; a single larger record is sent alone."""


@dataclass(eq=False, kw_only=True)
class PendingRecord:
    """A record whose publisher waits for its read-back."""

    record_id: str
    """Id of the record."""
    data: bytes
    """The encoded record."""
    read_back: asyncio.Future[int]
    """Future with the offset at which the record was read back."""
    first_append_offset: int | None = None
    """Next offset to deliver when the record was first put into a batch."""
    may_appear: bool = False
    """Whether the record may be in the log, because an append call may have taken effect."""


@dataclass(kw_only=True)
class Outbox:
    """Records that wait to be appended, to be read back, or to be proven absent from the log."""

    by_id: dict[str, PendingRecord] = field(default_factory=dict)
    """All records whose publishers wait, by id."""
    queue: deque[PendingRecord] = field(default_factory=deque)
    """Records to append, oldest first."""
    unresolved: list[tuple[float, PendingRecord]] = field(default_factory=list)
    """Records whose append may have taken effect, with the monotonic time at which it failed."""
    pending_bytes: int = 0
    """Size of all records whose publishers wait."""
    has_queued: asyncio.Event = field(default_factory=asyncio.Event)
    """Set while the queue is not empty."""

    def has_capacity(self, records: int, size: int) -> bool:
        """Return whether further records of the given number and total size may be added."""
        return (
            len(self.by_id) + records <= MAX_PENDING_RECORDS
            and self.pending_bytes + size <= MAX_PENDING_BYTES
        )

    def add(self, pending: PendingRecord) -> None:
        """Add a new record to the end of the queue."""
        self.by_id[pending.record_id] = pending
        self.pending_bytes += len(pending.data)
        self.queue.append(pending)
        self.has_queued.set()

    def remove(self, pending: PendingRecord) -> None:
        """Remove a record whose publisher no longer waits; it is not appended again."""
        if self.by_id.pop(pending.record_id, None) is not None:
            self.pending_bytes -= len(pending.data)

    def take_batch(self, *, next_offset: int) -> list[PendingRecord]:
        """Remove and return the next records to append, without those that nobody waits for.

        Args:
            next_offset: Next offset to deliver.
        """
        batch: list[PendingRecord] = []
        size = 0
        while self.queue and len(batch) < MAX_BATCH_RECORDS:
            if self._has_no_waiter(self.queue[0]):
                self.queue.popleft()
                continue
            size += len(self.queue[0].data)
            if batch and size > MAX_BATCH_BYTES:
                break
            pending = self.queue.popleft()
            if pending.first_append_offset is None:
                pending.first_append_offset = next_offset
            batch.append(pending)
        if not self.queue:
            self.has_queued.clear()
        return batch

    def requeue(self, records: list[PendingRecord]) -> None:
        """Put records back at the front of the queue in their order."""
        self.queue.extendleft(reversed(records))
        if self.queue:
            self.has_queued.set()

    def mark_unresolved(self, batch: list[PendingRecord], ended_at: float) -> None:
        """Keep records until a read shows whether their append took effect.

        Records that nobody waits for are removed, so that the list stays bounded in an outage.

        Args:
            batch: The records of a failed append call.
            ended_at: Monotonic time in seconds at which the call failed.
        """
        kept = [entry for entry in self.unresolved if not self._has_no_waiter(entry[1])]
        self.unresolved = kept + [(ended_at, pending) for pending in batch]

    def requeue_absent(self, *, known_as_of: float, lowest_first_offset: int) -> int:
        """Queue again the unresolved records that are proven absent from the log.

        Args:
            known_as_of: Monotonic time in seconds up to which the whole log is known.
            lowest_first_offset: Records first sent when the next offset was lower than this are
                dropped, because a copy could lie outside the window of recent ids.

        Returns:
            The number of records that were queued again.
        """
        if not self.unresolved:
            return 0
        absent: list[PendingRecord] = []
        later: list[tuple[float, PendingRecord]] = []
        for ended_at, pending in self.unresolved:
            if self._has_no_waiter(pending):
                continue
            if ended_at > known_as_of:
                later.append((ended_at, pending))
            elif (pending.first_append_offset or 0) >= lowest_first_offset:
                absent.append(pending)
        self.unresolved = later
        self.requeue(absent)
        return len(absent)

    def _has_no_waiter(self, pending: PendingRecord) -> bool:
        return pending.read_back.done() or pending.record_id not in self.by_id
