"""Coroutines that wait for a change of one item of the state."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Waiters:
    """Let coroutines wait for changes of an item, identified by a key."""

    def __init__(self) -> None:
        self._futures: dict[str, set[asyncio.Future[None]]] = defaultdict(set)

    def wake(self, key: str) -> None:
        """Wake all coroutines that wait for a key."""
        for future in self._futures.pop(key, ()):
            if not future.done():
                future.set_result(None)

    async def wait_until(self, key: str, condition: Callable[[], bool], *, timeout: float) -> bool:
        """Wait until a condition holds, checking it after each change of a key.

        Args:
            key: The key whose changes can make the condition true.
            condition: Returns whether to stop waiting.
            timeout: Maximum time to wait in seconds.

        Returns:
            Whether the condition holds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while not condition():
            remaining = deadline - loop.time()
            if remaining <= 0:
                return False
            future = loop.create_future()
            self._futures[key].add(future)
            try:
                async with asyncio.timeout(remaining):
                    await future
            except TimeoutError:
                return condition()
            finally:
                waiting = self._futures.get(key)
                if waiting is not None:
                    waiting.discard(future)
                    if not waiting:
                        del self._futures[key]
        return True
