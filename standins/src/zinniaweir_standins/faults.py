"""Faults that a test switches on in a running stand-in."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from zinniaweir.wire.service import Method, Service

HOLD_POLL_INTERVAL_SECONDS: Final = 0.02


class FaultRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Sets the faults of a stand-in; fields that are absent reset to no fault."""

    down: bool = False
    """Refuse every call."""
    delay_seconds: float = 0.0
    """Wait before each call is handled."""
    lose_answers: int = 0
    """Number of next calls that take effect but whose answer is an error."""
    settings: dict[str, Any] = {}
    """Values that only this kind of stand-in knows."""


class FactsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the facts without a change of the faults."""

    history_from: int = 0
    """Number of entries of the history that the caller has already."""


class FaultReply(msgspec.Struct, frozen=True, kw_only=True):
    """Facts that the stand-in counted."""

    facts: dict[str, Any]


CONTROL_SERVICE = Service(
    name="StandinControl",
    methods=(
        Method(name="SetFaults", request=FaultRequest, reply=FaultReply),
        Method(name="GetFacts", request=FactsRequest, reply=FaultReply),
    ),
)


class Faults:
    """Apply the current faults around the handling of a call.

    Every stand-in knows the settings `hold`, a list of methods whose calls wait until it is
    lifted, and `lose`, the number of next answers to lose by method.
    """

    def __init__(self) -> None:
        self.current = FaultRequest()
        """The faults in force."""
        self.held: list[dict[str, Any]] = []
        """Calls that were held, with their times."""
        self._answers_to_lose = 0
        self._lose_by_method: dict[str, int] = {}

    def set(self, request: FaultRequest) -> None:
        """Replace the faults in force."""
        self.current = request
        self._answers_to_lose = request.lose_answers
        self._lose_by_method = dict(request.settings.get("lose", {}))

    def value(self, name: str, default: Any) -> Any:
        """Return a value that only this kind of stand-in knows."""
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
