"""Connection to the scheduler process of the same VM."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.telemetry.logs import log
from zinniaweir.wire.scheduler_service import SCHEDULER_SERVICE, Surroundings, WatchRequest
from zinniaweir.wire.service import RemoteError, ServiceClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.wire.scheduler_service import WatchReply

WATCH_WAIT_SECONDS: Final = 2.0
"""Maximum wait of one `Watch` call; the scheduler process answers a change at once."""
WATCH_GRACE_SECONDS: Final = 1.0
"""Time beyond the wait before a `Watch` call times out."""
STARTING: Final = "starting"
"""State of a scheduler process that has not read the log to its end since its start."""
STALE_AFTER_SECONDS: Final = 4.0
"""Age of the last reply from which the settings count as stale.

A failure domain may have been drained since then. Replies of a starting process don't count.
"""
RETRY_DELAY_SECONDS: Final = 0.5
"""Delay before the next `Watch` call after a failed one."""


class SchedulerUnavailableError(Exception):
    """The scheduler process did not reply."""

    def __init__(self, *, reason: str, is_unsent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        """Reason that the gRPC client gave."""
        self.is_unsent = is_unsent
        """Whether it is proven that the request was not sent."""


class SchedulerLink:
    """Call the scheduler process and follow its settings and state."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        on_settings: Callable[[WatchReply], None],
        on_surroundings: Callable[[Surroundings], None],
    ) -> None:
        self._client = ServiceClient(service=SCHEDULER_SERVICE, host=host, port=port)
        self._on_settings = on_settings
        self._on_surroundings = on_surroundings
        self._surroundings = Surroundings()
        self._state = "scheduler_unavailable"
        self._settings_version = -1
        self._last_reply_at = -math.inf

    @property
    def is_stale(self) -> bool:
        """Whether the settings may have changed without this process having noticed."""
        return time.monotonic() - self._last_reply_at > STALE_AFTER_SECONDS

    @property
    def state(self) -> str:
        """State of the VM as last reported, `scheduler_unavailable` after a failed watch."""
        return self._state

    @property
    def settings_version(self) -> int:
        """Version of the applied settings, -1 before the first."""
        return self._settings_version

    async def call(self, name: str, request: Any, *, timeout: float = 5.0) -> Any:
        """Call a method of the scheduler process and return the reply.

        Args:
            name: Name of the method.
            request: The request message.
            timeout: Timeout in seconds.

        Raises:
            SchedulerUnavailableError: If no reply came.
        """
        try:
            return await self._client.call(name, request, timeout=timeout)
        except RemoteError as error:
            raise SchedulerUnavailableError(reason=str(error), is_unsent=error.is_unsent) from error

    async def run(self) -> None:
        """Follow the settings and the state of the VM until cancelled."""
        while True:
            request = WatchRequest(
                settings_version=self._settings_version,
                state=self._state,
                surroundings=self._surroundings,
                wait_seconds=WATCH_WAIT_SECONDS,
            )
            try:
                reply = await self.call(
                    "Watch", request, timeout=WATCH_WAIT_SECONDS + WATCH_GRACE_SECONDS
                )
            except SchedulerUnavailableError as error:
                if self._state != "scheduler_unavailable":
                    log("scheduler_lost", reason=error.reason)
                self._state = "scheduler_unavailable"
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            self._apply(reply)

    def _apply(self, reply: WatchReply) -> None:
        if reply.state != self._state:
            log("vm_state_changed", before=self._state, after=reply.state)
        self._state = reply.state
        if reply.state != STARTING:
            self._last_reply_at = time.monotonic()
        if reply.surroundings != self._surroundings:
            self._surroundings = reply.surroundings
            self._on_surroundings(reply.surroundings)
        if reply.settings is None:
            return
        self._on_settings(reply)
        self._settings_version = reply.settings_version
        log("settings_applied", version=reply.settings_version)
