"""Non-blocking output of log lines.

If the reader is slow, lines are dropped and no caller waits.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable
from typing import Final, TextIO

MAX_QUEUED_LINES: Final = 3_000
"""Maximum number of queued lines; at about 300 bytes each they take less than a megabyte."""
EVENT_BURST: Final = 1_500.0
"""Maximum burst of lines of one event."""
EVENTS_PER_SECOND: Final = 150.0
"""Sustained rate of lines of one event, beyond the burst."""


class EventRateLimiter:
    """Limit the lines of each event by a token bucket.

    A flood of one event then leaves the lines of other events readable.

    Args:
        clock: Returns the time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._tokens: dict[str, tuple[float, float]] = {}
        self._suppressed: dict[str, int] = {}

    def admit(self, event: str) -> int | None:
        """Decide whether a line of an event is written.

        Args:
            event: Name of the event.

        Returns:
            None to suppress the line, otherwise the number of lines of the event that were
            suppressed since the last admitted one.
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
    """Write lines to a stream in a separate thread.

    Args:
        stream: Destination of the lines.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        threading.Thread(target=self._write, name="log-writer", daemon=True).start()

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the queue was full or a write failed."""
        return self._dropped

    def put(self, line: str) -> None:
        """Queue a line; it is dropped if the queue is full."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._dropped += 1

    def flush(self, seconds: float) -> None:
        """Wait until the queue is empty; the last lines may still be about to be written.

        Args:
            seconds: Maximum wait in seconds.
        """
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
