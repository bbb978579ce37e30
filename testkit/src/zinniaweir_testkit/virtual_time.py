"""Event loop whose clock advances to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances a clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if not events and timeout is None:
            raise RuntimeError("deadlock: no task can run and no timer is set")
        if not events and timeout:
            self.now += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time for code without sockets; sleeping takes no real time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds since the start of the loop."""
        return self._virtual_selector.now


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion in virtual time and return its result.

    Args:
        coroutine: The coroutine.

    Raises:
        RuntimeError: If it waits while no task can run and no timer is set.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
