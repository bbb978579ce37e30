"""Decides which connections make way when all take too much memory, or one address too many.

There are no sockets here; the HTTP server reports what its connections do.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FIELD_BYTES: Final = 256
"""Memory of a header beside its text."""
HANDLING_COPIES: Final = 2
"""Copies of a body while its request is in flight: as received and as sent on."""
REPORT_SECONDS: Final = 1.0
"""Interval between two log lines on refusals with the same reason."""


@dataclass(eq=False, slots=True, kw_only=True)
class Holding:
    """What one connection takes."""

    address: str
    """Client's address without its port."""
    held_bytes: int = 0
    since: float = 0.0
    """Time in seconds from which the connection has held bytes without a break."""
    is_in_flight: bool = False
    """Whether its request has been submitted; such a connection does not make way."""


class ConnectionBudget:
    """Limits that all connections of the entry process share.

    Args:
        max_held_bytes: Maximum bytes of all requests that have arrived in part or are in flight.
        max_per_address: Maximum number of connections of one address.
    """

    def __init__(self, *, max_held_bytes: int, max_per_address: int) -> None:
        self._max_held_bytes = max_held_bytes
        self._max_per_address = max_per_address
        self._holders: set[Holding] = set()
        self._held_bytes = 0
        self._per_address: dict[str, int] = {}
        self._reported_at: dict[str, float] = {}
        self._unreported: dict[str, int] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes that all connections hold."""
        return self._held_bytes

    def open(self, address: str) -> tuple[Holding, bool]:
        """Take in a connection; return it, and whether its address has too many."""
        count = self._per_address.get(address, 0) + 1
        self._per_address[address] = count
        return Holding(address=address), count > self._max_per_address

    def close(self, holding: Holding) -> None:
        """Take out a connection; call it once for each."""
        self.hold(holding, 0, 0.0)
        left = self._per_address[holding.address] - 1
        if left:
            self._per_address[holding.address] = left
        else:
            del self._per_address[holding.address]

    def hold(self, holding: Holding, held_bytes: int, now: float) -> Holding | None:
        """Set what a connection holds.

        Returns:
            The connection that has to make way, None if there is enough memory: the one that has
            held most for longest, or the given one if all others are in flight. Call again until
            it is None.
        """
        if not holding.held_bytes:
            holding.since = now
        self._held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        if held_bytes:
            self._holders.add(holding)
        else:
            self._holders.discard(holding)
        if self._held_bytes <= self._max_held_bytes:
            return None
        waiting = [other for other in self._holders if not other.is_in_flight]
        if not waiting:
            return holding
        return max(waiting, key=lambda other: other.held_bytes * (now - other.since))

    def report(self, reason: str, now: float) -> int:
        """Return how many refusals a log line has to tell now, 0 if it has to wait."""
        count = self._unreported.get(reason, 0) + 1
        if now - self._reported_at.get(reason, -REPORT_SECONDS) < REPORT_SECONDS:
            self._unreported[reason] = count
            return 0
        self._reported_at[reason] = now
        self._unreported[reason] = 0
        return count
