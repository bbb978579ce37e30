"""Calls to workers that wait while as many as allowed are in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Hashable
from typing import Any, TypeAlias

Call: TypeAlias = Coroutine[Any, Any, None]


class CallQueue:
    """Send calls in the order in which they are put, a limited number at a time.

    Thousands of calls at once would keep the event loop from all else, and open as many
    connections.

    Args:
        max_in_flight: Maximum number of calls in flight.
        spawn: Runs a call as a task.
    """

    def __init__(self, *, max_in_flight: int, spawn: Callable[[Call], asyncio.Task[None]]) -> None:
        self._max_in_flight = max_in_flight
        self._spawn = spawn
        self._waiting: dict[Hashable, Callable[[], Call | None]] = {}
        self._in_flight: set[Hashable] = set()
        self._closed = False

    def put(self, key: Hashable, begin: Callable[[], Call | None]) -> None:
        """Add a call, unless one with this key waits or is in flight.

        Args:
            key: What the call is about.
            begin: Returns the call when its turn has come, None if it is not to be sent any more.
        """
        if self._closed or key in self._waiting or key in self._in_flight:
            return
        self._waiting[key] = begin
        self._send()

    def close(self) -> None:
        """Drop the calls that wait; those that are cancelled next make room for no others."""
        self._closed = True
        self._waiting.clear()

    def _send(self) -> None:
        while self._waiting and len(self._in_flight) < self._max_in_flight:
            key = next(iter(self._waiting))
            call = self._waiting.pop(key)()
            if call is None:
                continue
            self._in_flight.add(key)
            self._spawn(call).add_done_callback(lambda _, key=key: self._on_done(key))

    def _on_done(self, key: Hashable) -> None:
        self._in_flight.discard(key)
        self._send()
