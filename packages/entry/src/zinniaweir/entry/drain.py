"""The planned stop of an entry process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_INTERVAL_SECONDS = 0.05


class Drain:
    """Leave the balancer, then end requests in flight, then stop."""

    def __init__(self, *, notice_seconds: float, limit_seconds: float) -> None:
        self._notice_seconds = notice_seconds
        self._limit_seconds = limit_seconds
        self._is_draining = False

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._is_draining

    async def run(self, in_flight: Callable[[], int]) -> None:
        """Wait until the process may end.

        New requests are served during the notice, since the balancer needs time to see the
        failing health check.

        Args:
            in_flight: Returns the number of requests that have no answer yet.
        """
        self._is_draining = True
        log("drain_started", in_flight=in_flight())
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._limit_seconds
        await asyncio.sleep(self._notice_seconds)
        while in_flight() and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        log("drain_ended", in_flight=in_flight())
