"""Tests of the link to the scheduler process."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from zinniaweir.entry.scheduler_link import SchedulerLink
from zinniaweir.entry.service import EntryService
from zinniaweir.wire.scheduler_service import Surroundings, WatchReply


def make_link(applied: list[Any]) -> SchedulerLink:
    return SchedulerLink(
        host="h", port=1, on_settings=applied.append, on_surroundings=applied.append
    )


def reply(state: str) -> WatchReply:
    return WatchReply(settings_version=5, settings=None, state=state, surroundings=Surroundings())


def test_leaving_upstreams_stay_known_when_the_scheduler_restarts() -> None:
    """Guards against new work for an upstream that is leaving.

    The scheduler restarted and has not read the VM list, which may be down.
    """
    leaving: list[Any] = []
    service = EntryService.__new__(EntryService)
    service._router = SimpleNamespace(set_leaving=leaving.append)
    service._admission = SimpleNamespace(set_live_vms=lambda _: None)
    for names in (("u1",), None, ()):
        service._apply_surroundings(Surroundings(leaving_upstreams=names))
    assert leaving == [("u1",), ()]


def test_answers_of_a_starting_scheduler_do_not_refresh_the_settings() -> None:
    """Guards against settings that count as current while the scheduler can't read the log.

    It restarted, so it does not know whether operators took a failure domain out meanwhile.
    """

    async def run() -> None:
        link = make_link([])
        link._apply(reply("starting"))
        assert link.is_stale
        link._apply(reply("ready"))
        assert not link.is_stale

    asyncio.run(run())
