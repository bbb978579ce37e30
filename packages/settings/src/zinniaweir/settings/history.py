"""Bounded history of settings changes and record ids."""

from __future__ import annotations

from collections import deque
from heapq import merge
from itertools import islice
from typing import TYPE_CHECKING, Any, Final

import msgspec

from zinniaweir.settings.paths import is_below, parse_path
from zinniaweir.wire.scheduler_service import Change

if TYPE_CHECKING:
    from zinniaweir.settings.paths import Path

MAX_ACCEPTED_CHANGES: Final = 1_000
MAX_REFUSED_CHANGES: Final = 500
"""Limited separately, so that a script in a loop cannot evict accepted changes."""
MAX_RECORD_IDS: Final = 2_048
"""Enough for more than a day at 1,700 changes a day; a failed append is retried within seconds."""


class History:
    """The newest accepted and refused changes, and the newest record ids."""

    def __init__(self) -> None:
        self._accepted: deque[Change] = deque(maxlen=MAX_ACCEPTED_CHANGES)
        self._refused: deque[Change] = deque(maxlen=MAX_REFUSED_CHANGES)
        self._offsets: dict[str, int] = {}

    def offset_of(self, record_id: str) -> int | None:
        """Return the offset of the first record with an id, or None if the id is not recent."""
        return self._offsets.get(record_id)

    def add(self, record_id: str, change: Change) -> None:
        """Add a change and its record id."""
        (self._accepted if change.accepted else self._refused).append(change)
        self._offsets[record_id] = change.offset
        if len(self._offsets) > MAX_RECORD_IDS:
            del self._offsets[next(iter(self._offsets))]

    def find(self, record_id: str) -> Change | None:
        """Return the change of a record, or None if it is no longer kept."""
        offset = self._offsets.get(record_id)
        if offset is None:
            return None
        kept = (*reversed(self._accepted), *reversed(self._refused))
        return next((change for change in kept if change.offset == offset), None)

    def changes_for(self, path: Path, limit: int) -> list[Change]:
        """Return changes at, below or above a path, newest first."""
        newest = merge(
            reversed(self._accepted), reversed(self._refused), key=lambda c: c.offset, reverse=True
        )
        return list(islice((c for c in newest if _is_related(c.path, path)), max(limit, 0)))

    def snapshot(self) -> dict[str, Any]:
        """Return the history as plain data."""
        return {
            "accepted": [msgspec.structs.astuple(change) for change in self._accepted],
            "refused": [msgspec.structs.astuple(change) for change in self._refused],
            "record_ids": list(self._offsets.items()),
        }

    @classmethod
    def restore(cls, data: dict[str, Any]) -> History:
        """Return a history with the state of a snapshot."""
        history = cls()
        names = Change.__struct_fields__
        for kept, key in ((history._accepted, "accepted"), (history._refused, "refused")):
            kept.extend(
                msgspec.convert(dict(zip(names, c, strict=True)), Change) for c in data[key]
            )
        history._offsets = {str(record_id): int(offset) for record_id, offset in data["record_ids"]}
        return history


def _is_related(changed: str, path: Path) -> bool:
    segments, _ = parse_path(changed)
    return is_below(segments, path) or is_below(path, segments)
