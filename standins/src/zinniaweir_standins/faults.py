"""Faults that tests switch on in a running stand-in."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from zinniaweir.wire.service import Method, Service

HOLD_POLL_INTERVAL_SECONDS: Final = 0.02
"""Interval at which a held call checks whether the hold was lifted."""


class FaultRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to replace the faults of a stand-in; an absent field means no such fault."""

    down: bool = False
    """Refuse every call."""
    delay_seconds: float = 0.0
    """Delay before each call is handled."""
    lose_answers: int = 0
    """Number of upcoming calls that take effect but are answered with an error."""
    settings: dict[str, Any] = {}
    """Further faults by name, most of them specific to one kind of stand-in."""


class FactsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for the facts that leaves the faults unchanged."""

    history_from: int = 0
    """Number of history entries that the caller has already."""


class FaultReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply with the facts that the stand-in recorded."""

    facts: dict[str, Any]


CONTROL_SERVICE = Service(
    name="StandinControl",
    methods=(
        Method(name="SetFaults", request=FaultRequest, reply=FaultReply),
        Method(name="GetFacts", request=FactsRequest, reply=FaultReply),
    ),
)


class Faults:
    """Apply the current faults before and after the handling of a call.

    Every stand-in supports the settings `hold`, a list of methods whose calls wait until they
    are taken off the list, and `lose`, the number of upcoming answers to lose by method. They
    affect only calls whose method is passed to `before` and `after`.
    """

    def __init__(self) -> None:
        self.current = FaultRequest()
        """Faults that are switched on."""
        self.held: list[dict[str, Any]] = []
        """Calls that were held, with the method and the time of arrival."""
        self._answers_to_lose = 0
        self._lose_by_method: dict[str, int] = {}

    def set(self, request: FaultRequest) -> None:
        """Replace all faults."""
        self.current = request
        self._answers_to_lose = request.lose_answers
        self._lose_by_method = dict(request.settings.get("lose", {}))

    def value(self, name: str, default: Any) -> Any:
        """Return a value of the settings, or the default if it is absent."""
        return self.current.settings.get(name, default)

    async def before(self, method: str = "") -> None:
        """Delay, hold or refuse a call before it takes effect.

        Args:
            method: Name of the method, for faults of one method only.

        Raises:
            GRPCError: If the stand-in is down.
        """
        if method in self.value("hold", ()):
            self.held.append({"method": method, "at": time.time()})
            while method in self.value("hold", ()):
                await asyncio.sleep(HOLD_POLL_INTERVAL_SECONDS)
        if self.current.delay_seconds:
            await asyncio.sleep(self.current.delay_seconds)
        if self.current.down:
            raise GRPCError(Status.UNAVAILABLE, "stand-in is down")

    def after(self, method: str = "") -> None:
        """Lose the answer of a call that took effect.

        Args:
            method: Name of the method, for faults of one method only.

        Raises:
            GRPCError: If this answer is to be lost.
        """
        if self._lose_by_method.get(method, 0) > 0:
            self._lose_by_method[method] -= 1
            raise GRPCError(Status.UNAVAILABLE, f"answer of {method} lost after the effect")
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            raise GRPCError(Status.UNAVAILABLE, "answer lost after the effect")
