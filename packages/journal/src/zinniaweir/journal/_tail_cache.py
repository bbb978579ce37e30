"""Cache of recent undecoded log entries for peers that cannot reach the log."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from zinniaweir.wire.log_service import LogEntry

MAX_ENTRIES: Final = 8_192
"""Maximum number of cached entries."""
MAX_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of the cached entries; all processes of a VM together may use 64 MB."""
MAX_REPLY_BYTES: Final = 1024 * 1024
"""Size limit of the entries in a reply; a single larger entry is returned alone."""


class TailCache:
    """The newest entries of the log, with contiguous offsets."""

    def __init__(self) -> None:
        self._entries: deque[LogEntry] = deque()
        self._bytes = 0

    def add(self, entry: LogEntry) -> None:
        """Add an entry; if it does not follow the last one, the cache is emptied first."""
        if self._entries and entry.offset != self._entries[-1].offset + 1:
            self.clear()
        self._entries.append(entry)
        self._bytes += len(entry.data)
        while len(self._entries) > MAX_ENTRIES or self._bytes > MAX_BYTES:
            self._bytes -= len(self._entries.popleft().data)

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self._bytes = 0

    def holds_from(self, offset: int, *, end: int) -> bool:
        """Return whether all entries from an offset up to `end` (exclusive) are cached."""
        return offset >= end or bool(self._entries and self._entries[0].offset <= offset)

    def slice(self, from_offset: int, limit: int) -> list[LogEntry]:
        """Return entries from an offset on, limited by `limit` and `MAX_REPLY_BYTES`."""
        if not self._entries:
            return []
        skipped = max(0, from_offset - self._entries[0].offset)
        reply_entries: list[LogEntry] = []
        size = 0
        for entry in islice(self._entries, skipped, skipped + max(0, limit)):
            size += len(entry.data)
            if reply_entries and size > MAX_REPLY_BYTES:
                break
            reply_entries.append(entry)
        return reply_entries
