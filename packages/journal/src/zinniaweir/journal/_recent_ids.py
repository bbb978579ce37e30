"""Detection of record ids that already appeared at recent offsets."""

from __future__ import annotations

from collections import deque
from typing import Final

WINDOW_OFFSETS: Final = 16_384
"""Number of offsets over which a repeated id is recognized; about 3.9 MB when full.

A record is appended again only while its publisher waits and the log has grown by less than half
of this window since the first append. A copy thus falls outside the window only if 8,192 records
are appended during one append call. A call takes at most 2 s while the log answers fast, and in
that time 7 VMs with 100 non-idempotent requests per second each write 2,800 records (a claim and
an answer per request). A slow log, with timeouts of up to 6 s, accepts fewer. A copy outside the
window reaches the fold, where epochs and claim ids make it harmless.
"""


class RecentIds:
    """Ids of the records at the last `WINDOW_OFFSETS` offsets.

    A record is a copy if its id appeared at any of these offsets. Nothing before them has an
    influence, so VMs that started to read at different offsets decide alike.
    """

    def __init__(self) -> None:
        self._order: deque[tuple[int, str]] = deque()
        self._latest: dict[str, int] = {}

    def add(self, offset: int, record_id: str) -> bool:
        """Add the id at an offset and return whether it is new within the window."""
        while self._order and self._order[0][0] < offset - WINDOW_OFFSETS:
            old_offset, old_id = self._order.popleft()
            if self._latest[old_id] == old_offset:
                del self._latest[old_id]
        is_new = record_id not in self._latest
        self._latest[record_id] = offset
        self._order.append((offset, record_id))
        return is_new

    def clear(self) -> None:
        """Remove all ids."""
        self._order.clear()
        self._latest.clear()
