"""Messages and service of the platform's append-only log."""

from __future__ import annotations

import msgspec

from zinniaweir.wire.service import Method, Service


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to append entries in one operation."""

    entries: list[bytes]


class AppendReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `AppendRequest`."""

    first_offset: int
    """Offset of the first appended entry."""


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the log with its offset."""

    offset: int
    data: bytes


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for entries from an offset on."""

    from_offset: int
    limit: int = 1000
    """Maximum number of entries."""
    wait_seconds: float = 0.0
    """Maximum time that the log waits if there are no entries yet."""


class ReadReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `ReadRequest`: entries, and the range of offsets that the log holds."""

    entries: list[LogEntry]
    first_offset: int
    """Oldest offset that the log holds."""
    end_offset: int
    """Offset of the next append."""


LOG_SERVICE = Service(
    name="Log",
    methods=(
        Method(name="Append", request=AppendRequest, reply=AppendReply),
        Method(name="Read", request=ReadRequest, reply=ReadReply),
    ),
)
