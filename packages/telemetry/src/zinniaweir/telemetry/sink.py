"""Writes lines without ever blocking the caller: a slow reader costs lines, never time."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from typing import Final, TextIO

MAX_QUEUED_LINES: Final = 3_000
"""Lines that wait for a slow reader; at some 300 bytes each they take less than a megabyte."""
EVENT_BURST: Final = 1_500.0
"""Lines of one event that are written at once."""
EVENTS_PER_SECOND: Final = 150.0
"""Lines of one event per second beyond the burst."""


class EventRateLimiter:
    """Bound the lines of each event, so that a storm of one leaves the others readable.

    Args:
        clock: Returns the time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._tokens: dict[str, tuple[float, float]] = {}
        self._suppressed: dict[str, int] = {}

    def admit(self, event: str) -> int | None:
        """Return how many lines of the event were left out before this one, None to leave it out.

        Args:
            event: Name of the event.
        """
        now = self._clock()
        tokens, updated_at = self._tokens.get(event, (EVENT_BURST, now))
        tokens = min(EVENT_BURST, tokens + (now - updated_at) * EVENTS_PER_SECOND)
        if tokens < 1.0:
            self._tokens[event] = (tokens, now)
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return None
        self._tokens[event] = (tokens - 1.0, now)
        return self._suppressed.pop(event, 0)


class LineSink:
    """Write lines to a stream from a thread of its own.

    Args:
        stream: Where the lines go.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        threading.Thread(target=self._write, name="log-writer", daemon=True).start()

    @property
    def dropped(self) -> int:
        """Lines that were lost since the reader was too slow."""
        return self._dropped

    def put(self, line: str) -> None:
        """Queue a line; it is dropped if the queue is full."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._dropped += 1

    def flush(self, seconds: float) -> None:
        """Wait until the queue is empty, but no longer than some seconds."""
        deadline = time.monotonic() + seconds
        while not self._lines.empty() and time.monotonic() < deadline:
            time.sleep(0.005)

    def _write(self) -> None:
        while True:
            line = self._lines.get()
            try:
                self._stream.write(line)
                while not self._lines.empty():
                    self._stream.write(self._lines.get_nowait())
                self._stream.flush()
            except OSError:
                self._dropped += 1
