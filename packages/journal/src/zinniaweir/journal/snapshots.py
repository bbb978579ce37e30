"""Snapshots of the folded state as log records: splitting, assembly, search and schedule."""

from __future__ import annotations

import asyncio
import math
import secrets
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from zinniaweir.wire.records import RecordError, SnapshotPart, decode_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.journal.client import LogClient
    from zinniaweir.journal.journal import Journal

MAX_PART_RECORD_BYTES: Final = 64 * 1024
"""Maximum size of the encoded record of a part."""
PART_ENVELOPE_BYTES: Final = 512
"""Space reserved in a record for its envelope and the other fields of a part."""
MAX_PART_PAYLOAD_BYTES: Final = MAX_PART_RECORD_BYTES - PART_ENVELOPE_BYTES
MAX_PARTS: Final = 1_024
"""Limits a compressed snapshot to 64 MB, the memory target of a VM's processes."""
MAX_STATE_BYTES: Final = 256 * 1024 * 1024
"""Limits the memory that a corrupt or malicious part can make a process allocate."""
CHECK_CHUNK_BYTES: Final = 1024 * 1024
"""Chunk size for decompressing a state that is only checked and not kept."""
MAX_INCOMPLETE: Final = 4
"""Maximum snapshots assembled at once; an owner that dies leaves at most one incomplete."""
COMPRESSION_LEVEL: Final = 3
"""Compresses 8 MB in 0.09 s; level 6 takes 0.24 s for a result that is 2% smaller."""
PUBLISH_BATCH_PARTS: Final = 32
"""Parts published at once: 2 MB, which leaves space in the outbox for other records."""
SCAN_LIMIT: Final = 256
"""Maximum entries per read of a scan."""
SCAN_TIMEOUT_SECONDS: Final = 5.0
INITIAL_SCAN_RECORDS: Final = SCAN_LIMIT
"""Records at the end of the log that the first scan reads.

At the size expected in two years, a snapshot has about 100 parts and 10 minutes of log hold about
100 records. If no snapshot is complete within this span, a longer span is scanned.
"""
SCAN_GROWTH_FACTOR: Final = 4
"""Factor by which each further scan is longer."""

SNAPSHOT_INTERVAL_SECONDS: Final = 600.0
"""Maximum time between snapshots."""
SNAPSHOT_INTERVAL_RECORDS: Final = 5_000
"""Maximum offsets between snapshots."""
MAX_RETENTION_FRACTION: Final = 0.25
"""Part of the log's retention that limits the snapshot interval and the outage time."""
RETRY_DELAY_SECONDS: Final = 60.0
"""Time after which a snapshot that was started but is not complete is started again."""
MIN_OUTAGE_SECONDS: Final = 60.0
"""Time without contact to the log that counts as an outage."""


class SnapshotError(Exception):
    """A state is too large to be split, or its compressed bytes are corrupt."""


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The folded state as of an offset."""

    snapshot_id: str
    epoch: int
    """Epoch of the shard `snapshot` under which the snapshot was written."""
    through_offset: int
    """Last offset that the state contains; a journal starts at the next offset."""
    payload: bytes
    """The encoded state; empty if the assembler does not keep it."""


@dataclass(frozen=True, kw_only=True)
class SnapshotSearchResult:
    """Result of a search of the log for a snapshot."""

    snapshot: Snapshot | None
    """Newest complete snapshot, or None."""
    first_offset: int
    """Oldest offset that the log holds."""
    end_offset: int
    """Offset of the next append, as of the last read."""

    @property
    def start_offset(self) -> int | None:
        """Offset at which a journal can start: after the snapshot, or at 0 if the log is whole.

        None if the log holds neither a usable snapshot nor its first entry.
        """
        if self.snapshot is not None and self.snapshot.through_offset + 1 >= self.first_offset:
            return self.snapshot.through_offset + 1
        return 0 if self.first_offset == 0 else None


@dataclass(kw_only=True)
class _Incomplete:
    """Parts received so far of an incomplete snapshot."""

    epoch: int
    through_offset: int
    count: int
    parts: dict[int, bytes] = field(default_factory=dict)


def split_snapshot(payload: bytes, *, epoch: int, through_offset: int) -> list[SnapshotPart]:
    """Compress a state and split it into parts whose records have at most 64 KB each.

    This takes about 10 ms per megabyte. `publish_snapshot` runs it in a thread, so that heartbeats
    are not delayed.

    Args:
        payload: The encoded state.
        epoch: Current epoch of the shard `snapshot`.
        through_offset: Last offset that the state contains.

    Raises:
        SnapshotError: If the state exceeds `MAX_STATE_BYTES`, or `MAX_PARTS` when compressed.
    """
    compressed = zlib.compress(payload, COMPRESSION_LEVEL)
    count = -(-len(compressed) // MAX_PART_PAYLOAD_BYTES)
    if count > MAX_PARTS or len(payload) > MAX_STATE_BYTES:
        raise SnapshotError(
            f"state of {len(payload)} bytes in {count} parts exceeds the limits of a snapshot"
        )
    snapshot_id = secrets.token_hex(8)
    return [
        SnapshotPart(
            snapshot_id=snapshot_id,
            epoch=epoch,
            through_offset=through_offset,
            index=index,
            count=count,
            payload=compressed[
                index * MAX_PART_PAYLOAD_BYTES : (index + 1) * MAX_PART_PAYLOAD_BYTES
            ],
        )
        for index in range(count)
    ]


async def publish_snapshot(
    journal: Journal, payload: bytes, *, epoch: int, through_offset: int, timeout: float
) -> None:
    """Split a state and publish its parts.

    Args:
        journal: Journal through which the parts are published.
        payload: The encoded state.
        epoch: Current epoch of the shard `snapshot`.
        through_offset: Last offset that the state contains.
        timeout: Maximum wait for each batch of `PUBLISH_BATCH_PARTS` parts, in seconds.

    Raises:
        SnapshotError: If the state exceeds `MAX_STATE_BYTES`, or `MAX_PARTS` when compressed.
        PublishError: If a part was refused or not read back in time; the snapshot stays incomplete.
    """
    parts = await asyncio.to_thread(
        split_snapshot, payload, epoch=epoch, through_offset=through_offset
    )
    for start in range(0, len(parts), PUBLISH_BATCH_PARTS):
        await journal.publish_many(parts[start : start + PUBLISH_BATCH_PARTS], timeout=timeout)


class SnapshotAssembler:
    """Assemble snapshots from parts that may be interleaved, reordered or repeated.

    Parts with an epoch below the highest received one come from a previous owner and are ignored.

    Args:
        keeps_payload: Whether complete snapshots hold their state. Without it, the state is only
            checked for errors, which saves the memory of a whole state.
    """

    def __init__(self, *, keeps_payload: bool = True) -> None:
        self._keeps_payload = keeps_payload
        self._incomplete: OrderedDict[str, _Incomplete] = OrderedDict()
        self._highest_epoch = -1
        self._newest: Snapshot | None = None

    @property
    def newest(self) -> Snapshot | None:
        """The complete snapshot with the highest `through_offset`, or None."""
        return self._newest

    def add(self, offset: int, part: SnapshotPart) -> Snapshot | None:
        """Add a part and return its snapshot if this part completes it.

        Args:
            offset: Offset of the part's record.
            part: The part.
        """
        if not self._is_plausible(offset, part):
            return None
        if part.epoch > self._highest_epoch:
            self._highest_epoch = part.epoch
            self._incomplete.clear()
        incomplete = self._find_or_create(part)
        if incomplete is None:
            return None
        incomplete.parts.setdefault(part.index, part.payload)
        if len(incomplete.parts) < incomplete.count:
            return None
        del self._incomplete[part.snapshot_id]
        return self._complete(part.snapshot_id, incomplete)

    def _is_plausible(self, offset: int, part: SnapshotPart) -> bool:
        return (
            part.epoch >= self._highest_epoch
            and part.epoch <= offset
            and 0 <= part.through_offset < offset
            and 0 < part.count <= MAX_PARTS
            and 0 <= part.index < part.count
            and len(part.payload) <= MAX_PART_RECORD_BYTES
            and (self._newest is None or part.through_offset > self._newest.through_offset)
        )

    def _find_or_create(self, part: SnapshotPart) -> _Incomplete | None:
        incomplete = self._incomplete.get(part.snapshot_id)
        if incomplete is None:
            incomplete = _Incomplete(
                epoch=part.epoch, through_offset=part.through_offset, count=part.count
            )
            self._incomplete[part.snapshot_id] = incomplete
            if len(self._incomplete) > MAX_INCOMPLETE:
                self._incomplete.popitem(last=False)
        identity = (incomplete.epoch, incomplete.through_offset, incomplete.count)
        if identity != (part.epoch, part.through_offset, part.count):
            return None
        return incomplete

    def _complete(self, snapshot_id: str, incomplete: _Incomplete) -> Snapshot | None:
        compressed = b"".join(incomplete.parts[index] for index in range(incomplete.count))
        try:
            payload = (
                _decompress(compressed) if self._keeps_payload else _check_compressed(compressed)
            )
        except SnapshotError:
            return None
        self._newest = Snapshot(
            snapshot_id=snapshot_id,
            epoch=incomplete.epoch,
            through_offset=incomplete.through_offset,
            payload=payload,
        )
        return self._newest


def _decompress(compressed: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        payload = stream.decompress(compressed, MAX_STATE_BYTES)
    except zlib.error as error:
        raise SnapshotError(str(error)) from error
    if not stream.eof:
        raise SnapshotError("compressed state is truncated or exceeds the size limit")
    return payload


def _check_compressed(compressed: bytes) -> bytes:
    """Check compressed bytes as `_decompress` does, in little memory, and return empty bytes."""
    stream = zlib.decompressobj()
    size = 0
    try:
        for start in range(0, len(compressed), MAX_PART_PAYLOAD_BYTES):
            chunk = compressed[start : start + MAX_PART_PAYLOAD_BYTES]
            while chunk and size <= MAX_STATE_BYTES:
                size += len(stream.decompress(chunk, CHECK_CHUNK_BYTES))
                chunk = stream.unconsumed_tail
    except zlib.error as error:
        raise SnapshotError(str(error)) from error
    if not stream.eof or size > MAX_STATE_BYTES:
        raise SnapshotError("compressed state is truncated or exceeds the size limit")
    return b""


async def find_snapshot(
    client: LogClient,
    *,
    on_progress: Callable[[int], None] | None = None,
) -> SnapshotSearchResult:
    """Scan the end of the log for the newest complete snapshot, over ever longer spans.

    Args:
        client: Client of the log.
        on_progress: Called after each read of a scan with the next offset to read.

    Raises:
        LogCallError: If a read fails.
    """
    bounds = await client.read(0, limit=1, wait_seconds=0.0, timeout=SCAN_TIMEOUT_SECONDS)
    span = INITIAL_SCAN_RECORDS
    while True:
        start = max(bounds.first_offset, bounds.end_offset - span)
        result = await _scan(client, start, on_progress)
        if result.snapshot is not None or start <= bounds.first_offset:
            return result
        span *= SCAN_GROWTH_FACTOR


async def _scan(
    client: LogClient, start: int, on_progress: Callable[[int], None] | None
) -> SnapshotSearchResult:
    """Scan from an offset to the end for the newest snapshot whose parts all lie there."""
    assembler = SnapshotAssembler()
    offset = start
    while True:
        reply = await client.read(
            offset, limit=SCAN_LIMIT, wait_seconds=0.0, timeout=SCAN_TIMEOUT_SECONDS
        )
        for entry in reply.entries:
            _add_entry(assembler, entry.offset, entry.data)
        offset = reply.entries[-1].offset + 1 if reply.entries else reply.end_offset
        if on_progress is not None:
            on_progress(offset)
        if offset >= reply.end_offset:
            return SnapshotSearchResult(
                snapshot=assembler.newest,
                first_offset=reply.first_offset,
                end_offset=reply.end_offset,
            )


def _add_entry(assembler: SnapshotAssembler, offset: int, data: bytes) -> None:
    try:
        body = decode_record(data).body
    except RecordError:
        return
    if isinstance(body, SnapshotPart):
        assembler.add(offset, body)


class SnapshotPolicy:
    """Decide when the owner of the shard `snapshot` publishes the next one.

    Args:
        retention_seconds: How long the log keeps records.
        now: Monotonic time in seconds.
    """

    def __init__(self, *, retention_seconds: float, now: float) -> None:
        self._interval_seconds = min(
            SNAPSHOT_INTERVAL_SECONDS, MAX_RETENTION_FRACTION * retention_seconds
        )
        self._min_outage_seconds = min(
            MIN_OUTAGE_SECONDS, MAX_RETENTION_FRACTION * retention_seconds
        )
        self._last_at = now
        self._last_through_offset = -1
        self._reachable_at = now
        self._is_due_after_outage = False
        self._started_at = -math.inf

    def on_snapshot_started(self, now: float) -> None:
        """Report that a snapshot is being published, so that no second one is started meanwhile."""
        self._started_at = now

    def update_log_reachability(self, reachable: bool, now: float) -> None:
        """Report whether the log is reachable; the end of an outage makes a snapshot due."""
        if not reachable:
            return
        if now - self._reachable_at > self._min_outage_seconds:
            self._is_due_after_outage = True
        self._reachable_at = now

    def on_snapshot_complete(self, *, through_offset: int, now: float) -> None:
        """Report a complete snapshot that was read from the log, from any writer.

        Args:
            through_offset: Last offset that the snapshot contains.
            now: Monotonic time in seconds.
        """
        self._last_at = now
        self._last_through_offset = max(self._last_through_offset, through_offset)
        self._started_at = -math.inf
        self._is_due_after_outage = False

    def is_due(self, *, next_offset: int, now: float) -> bool:
        """Return whether a snapshot is due.

        Args:
            next_offset: First offset that is not folded.
            now: Monotonic time in seconds.
        """
        if next_offset == 0 or now - self._started_at < RETRY_DELAY_SECONDS:
            return False
        return (
            self._is_due_after_outage
            or now - self._last_at >= self._interval_seconds
            or next_offset - 1 - self._last_through_offset >= SNAPSHOT_INTERVAL_RECORDS
        )
