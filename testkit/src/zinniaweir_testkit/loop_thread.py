"""Runs an asyncio event loop in a background thread, for relays and calls to stand-ins."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


class LoopThread:
    """Event loop in a background thread, for use from blocking test code."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Any], timeout: float = 15.0) -> Any:
        """Run a coroutine in the loop and return its result.

        Args:
            coroutine: The coroutine.
            timeout: Longest wait in seconds.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout)

    def call(self, function: Callable[[], Any]) -> Any:
        """Run a plain function in the loop and return its result."""

        async def run() -> Any:
            return function()

        return self.run(run())

    def close(self) -> None:
        """Stop the loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)
