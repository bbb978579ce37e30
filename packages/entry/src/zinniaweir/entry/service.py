"""Components of the entry process that run in the asyncio thread."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from zinniaweir.entry.admission import Admission
from zinniaweir.entry.api import Api
from zinniaweir.entry.drain import Drain
from zinniaweir.entry.jobs_api import JobsApi
from zinniaweir.entry.requests_api import RequestsApi
from zinniaweir.entry.scheduler_link import SchedulerLink
from zinniaweir.entry.settings_api import SettingsApi
from zinniaweir.entry.status_api import StatusApi
from zinniaweir.routing.grpc_transport import GrpcTransport
from zinniaweir.routing.router import Router
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.timers import Timers

if TYPE_CHECKING:
    from zinniaweir.entry.answers import Answer
    from zinniaweir.entry.http_reader import HttpRequest
    from zinniaweir.settings.process import EntrySettings
    from zinniaweir.wire.scheduler_service import Surroundings, WatchReply


class EntryService:
    """Create and connect the components of the entry process.

    All methods run in the asyncio thread.
    """

    def __init__(self, *, settings: EntrySettings) -> None:
        self._settings = settings
        self._in_flight = 0
        self._counters = Counters()
        self._drain = Drain(
            notice_seconds=settings.drain_notice_seconds,
            limit_seconds=settings.drain_limit_seconds,
        )
        self._api = Api()

    async def start(self) -> None:
        """Create the components and start to follow the scheduler process."""
        counters = self._counters
        timers = Timers()
        settings = self._settings
        self._admission = Admission(max_in_flight=settings.max_in_flight, counters=counters)
        self._router = Router(
            transport=GrpcTransport(),
            failure_domain=settings.failure_domain,
            counters=counters,
            timers=timers,
        )
        link = SchedulerLink(
            host=settings.scheduler.host,
            port=settings.scheduler.port,
            on_settings=self._apply_settings,
            on_surroundings=self._apply_surroundings,
        )
        self._register_apis(link, counters, timers)
        self._link_task = asyncio.create_task(link.run())

    def count_refusal(self, reason: str) -> None:
        """Count a refusal by the HTTP server."""
        self._counters.add("http_refusals", reason=reason)

    async def answer(self, request: HttpRequest) -> Answer:
        """Return the answer to one HTTP request."""
        self._in_flight += 1
        try:
            answer = await self._api.answer(request)
            if answer.refusal:
                self._counters.add("refused_calls", reason=answer.refusal)
            return answer
        finally:
            self._in_flight -= 1

    async def drain(self) -> None:
        """Drain requests and flush their outcomes, then stop following the scheduler process."""
        await self._drain.run(lambda: self._in_flight)
        await self._router.drain()
        await self._requests_api.flush_outcomes()
        self._link_task.cancel()

    def _register_apis(self, link: SchedulerLink, counters: Counters, timers: Timers) -> None:
        self._requests_api = RequestsApi(
            link=link,
            admission=self._admission,
            router=self._router,
            counters=counters,
            timers=timers,
        )
        self._requests_api.register(self._api)
        JobsApi(link=link, admission=self._admission).register(self._api)
        SettingsApi(link=link).register(self._api)
        StatusApi(
            link=link,
            admission=self._admission,
            router=self._router,
            drain=self._drain,
            counters=counters,
            timers=timers,
        ).register(self._api)

    def _apply_surroundings(self, surroundings: Surroundings) -> None:
        if surroundings.leaving_upstreams is not None:
            # A scheduler process that restarted does not know them before it has read the VM list.
            self._router.set_leaving(surroundings.leaving_upstreams)
        self._admission.set_live_vms(surroundings.live_vms)

    def _apply_settings(self, reply: WatchReply) -> None:
        self._admission.update(reply.settings)
        self._router.update(reply.settings)
