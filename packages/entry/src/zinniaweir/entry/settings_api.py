"""Operations on settings, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import msgspec

from zinniaweir.entry.answers import json_answer, not_run
from zinniaweir.entry.scheduler_link import SchedulerUnavailableError
from zinniaweir.wire.scheduler_service import (
    GetSettingsRequest,
    HistoryRequest,
    PutSettingsRequest,
)

if TYPE_CHECKING:
    from zinniaweir.entry.answers import Answer
    from zinniaweir.entry.api import Api, Call
    from zinniaweir.entry.scheduler_link import SchedulerLink

PUT_TIMEOUT_SECONDS: Final = 8.0
"""Timeout of a `PutSettings` call."""

_PUT_STATUS: Final = {
    "accepted": 200,
    "reviewed": 200,
    "invalid": 400,
    "conflict": 409,
    "not_run": 503,
    "unknown": 504,
}


class PutBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """JSON body of a settings change."""

    value: Any
    base_version: int
    """Version that the author knew; the change conflicts with a newer version of the subtree."""
    author: str = ""
    note: str = ""
    review: bool = False
    """Whether to check the change without applying it."""


class SettingsApi:
    """Forward operations on settings to the scheduler process."""

    def __init__(self, *, link: SchedulerLink) -> None:
        self._link = link

    def register(self, api: Api) -> None:
        """Register the operations with the API."""
        api.add("GET", r"/v1/settings/?(.*)", self.get)
        api.add("PUT", r"/v1/settings/?(.*)", self.put)
        api.add("GET", r"/v1/history/?(.*)", self.history)

    async def get(self, call: Call) -> Answer:
        """Return the value at a path and the version of its subtree."""
        try:
            reply = await self._link.call("GetSettings", GetSettingsRequest(path=call.argument))
        except SchedulerUnavailableError as error:
            return not_run("scheduler_unavailable", error.reason)
        if not reply.found:
            return json_answer(
                404,
                {
                    "state": "not_run",
                    "reason": "unknown_path",
                    "detail": call.argument,
                    "version": reply.version,
                },
            )
        return json_answer(
            200, {"path": call.argument, "version": reply.version, "value": reply.value}
        )

    async def put(self, call: Call) -> Answer:
        """Replace the value at a path, or only review the change."""
        body: PutBody = call.decode(PutBody)
        request = PutSettingsRequest(
            path=call.argument,
            value=body.value,
            base_version=body.base_version,
            author=body.author,
            note=body.note,
            review_only=body.review,
        )
        try:
            reply = await self._link.call("PutSettings", request, timeout=PUT_TIMEOUT_SECONDS)
        except SchedulerUnavailableError as error:
            if error.is_unsent:
                return not_run("scheduler_unavailable", error.reason)
            return json_answer(504, {"state": "unknown", "reason": "scheduler_unavailable"})
        return json_answer(_PUT_STATUS[reply.state], reply)

    async def history(self, call: Call) -> Answer:
        """Return the changes at, below or above a path, including refused ones."""
        limit = int(call.number("limit", 100, maximum=1000))
        request = HistoryRequest(path=call.argument, limit=limit)
        try:
            return json_answer(200, await self._link.call("History", request))
        except SchedulerUnavailableError as error:
            return not_run("scheduler_unavailable", error.reason)
