"""State of this VM, for operators, the load balancer and metrics scrapers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from zinniaweir.entry.answers import Answer, json_answer, not_run
from zinniaweir.entry.scheduler_link import SchedulerUnavailableError
from zinniaweir.telemetry.metrics import CONTENT_TYPE, render_metrics
from zinniaweir.wire.scheduler_service import VmStatusRequest

if TYPE_CHECKING:
    from zinniaweir.entry.admission import Admission
    from zinniaweir.entry.api import Api, Call
    from zinniaweir.entry.drain import Drain
    from zinniaweir.entry.scheduler_link import SchedulerLink
    from zinniaweir.routing.router import Router
    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.telemetry.timers import Timers

HEALTHY_STATES: Final = frozenset({"ready", "log_unavailable"})
"""States in which the VM stays in the load balancer.

During an outage of the log, idempotent requests are still served.
"""


class StatusApi:
    """Serve health, status, metrics and the report on names."""

    def __init__(
        self,
        *,
        link: SchedulerLink,
        admission: Admission,
        router: Router,
        drain: Drain,
        counters: Counters,
        timers: Timers,
    ) -> None:
        self._link = link
        self._admission = admission
        self._router = router
        self._drain = drain
        self._counters = counters
        self._timers = timers

    def register(self, api: Api) -> None:
        """Register the operations with the API."""
        api.add("GET", r"/healthz", self.health)
        api.add("GET", r"/v1/status", self.status)
        api.add("GET", r"/v1/names", self.names)
        api.add("GET", r"/metrics", self.metrics)

    async def health(self, call: Call) -> Answer:
        """Return the health that the load balancer checks."""
        state = "draining" if self._drain.is_draining else self._link.state
        is_healthy = state in HEALTHY_STATES and not self._link.is_stale
        return json_answer(200 if is_healthy else 503, {"state": state})

    async def status(self, call: Call) -> Answer:
        """Return the state of both processes of this VM."""
        try:
            reply = await self._link.call("VmStatus", VmStatusRequest())
        except SchedulerUnavailableError as error:
            return not_run("scheduler_unavailable", error.reason)
        status = msgspec.to_builtins(reply)
        status["applied_version"] = self._link.settings_version
        status["in_flight"] = self._admission.in_flight
        status["queued"] = self._admission.queued
        status["upstreams"] = self._router.upstreams()
        return json_answer(200, status)

    async def names(self, call: Call) -> Answer:
        """Return corrected and refused names, which operators can add as aliases."""
        limit = int(call.number("limit", 100, maximum=1000))
        return json_answer(200, {"names": self._admission.name_report.entries(limit=limit)})

    async def metrics(self, call: Call) -> Answer:
        """Return the metrics page of this process."""
        page = render_metrics(
            counters=self._counters,
            timers=self._timers,
            gauges={
                "in_flight": self._admission.in_flight,
                "queued": self._admission.queued,
                "settings_version": self._link.settings_version,
            },
        )
        return Answer(status=200, body=page.encode(), content_type=CONTENT_TYPE)
