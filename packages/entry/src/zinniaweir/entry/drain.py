"""Planned stop of an entry process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_INTERVAL_SECONDS = 0.05
"""Interval between checks for requests in flight."""


class Drain:
    """Wait for the load balancer to stop sending, then for the requests in flight.

    Args:
        notice_seconds: Time that the load balancer gets to see the failing health check.
        limit_seconds: Maximum duration of the drain, the notice included.
    """

    def __init__(self, *, notice_seconds: float, limit_seconds: float) -> None:
        self._notice_seconds = notice_seconds
        self._limit_seconds = limit_seconds
        self._is_draining = False

    @property
    def is_draining(self) -> bool:
        """Whether the drain has started."""
        return self._is_draining

    async def run(self, in_flight: Callable[[], int]) -> None:
        """Wait until the process may stop.

        New requests are still served during the notice, because the load balancer needs time to
        see the failing health check.

        Args:
            in_flight: Returns the number of requests in flight.
        """
        self._is_draining = True
        log("drain_started", in_flight=in_flight())
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._limit_seconds
        await asyncio.sleep(self._notice_seconds)
        while in_flight() and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        log("drain_ended", in_flight=in_flight())
