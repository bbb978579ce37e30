"""Stand-in for an upstream with a number of slots, such as a rendering or permit service."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import Any

from cyclopts import App

from zinniaweir.wire.service import ServiceHandler
from zinniaweir.wire.upstream_service import (
    UPSTREAM_SERVICE,
    UpstreamReply,
    UpstreamRequest,
)
from zinniaweir_standins.faults import (
    CONTROL_SERVICE,
    FactsRequest,
    FaultReply,
    FaultRequest,
    Faults,
)
from zinniaweir_standins.serving import serve

app = App(name="upstream", help="Stand-in for an upstream with slots.")


class UpstreamStandin:
    """Answer each request with the upstream's name and the request's body, and count the runs.

    Runs are counted by idempotency key, or by request id if there is no key.

    Faults:
        leaving: All requests are refused with the state `leaving`.
        not_mine_prefix: Requests whose name has this prefix are refused as `not_mine`.
        truncate: Answers contain only the first half of the body.
        cross: Answers have a wrong request id.
        work_seconds: Duration of a run, in place of the configured one.
        jitter_seconds: Maximum random addition to the duration.
        fail: Requests run and then fail.
    """

    def __init__(self, *, name: str, slots: int, work_seconds: float, seed: int) -> None:
        self._name = name
        self._slots = slots
        self._work_seconds = work_seconds
        self._random = random.Random(seed)
        self._running = 0
        self._peak = 0
        self._runs: Counter[str] = Counter()
        self._handled = 0
        self._last_started_at = 0.0
        self._history: list[dict[str, Any]] = []
        self.faults = Faults()
        """Faults that are switched on."""

    async def handle(self, request: UpstreamRequest) -> UpstreamReply:
        """Run a request, or answer why it was not run."""
        await self.faults.before("handle")
        if self.faults.value("leaving", False):
            return UpstreamReply(request_id=request.request_id, state="leaving")
        if request.name.startswith(self.faults.value("not_mine_prefix", "\0")):
            return UpstreamReply(request_id=request.request_id, state="not_mine")
        if self._running >= self._slots:
            return UpstreamReply(request_id=request.request_id, state="busy")
        return await self._run(request)

    async def set_faults(self, request: FaultRequest) -> FaultReply:
        """Replace the faults and return the facts."""
        self.faults.set(request)
        return FaultReply(facts=self._facts())

    async def get_facts(self, request: FactsRequest) -> FaultReply:
        """Return the facts with the rest of the history and the calls that were held."""
        return FaultReply(
            facts={
                **self._facts(),
                "history": self._history[request.history_from :],
                "held": self.faults.held,
            }
        )

    def _facts(self) -> dict[str, Any]:
        return {
            "name": self._name,
            "handled": self._handled,
            "running": self._running,
            "peak": self._peak,
            "runs": dict(self._runs),
            "last_started_at": self._last_started_at,
        }

    async def _run(self, request: UpstreamRequest) -> UpstreamReply:
        self._running += 1
        self._peak = max(self._peak, self._running)
        self._handled += 1
        self._last_started_at = asyncio.get_running_loop().time()
        self._runs[request.key or request.request_id] += 1
        self._history.append(
            {
                "at": time.time(),
                "request_id": request.request_id,
                "customer": request.customer,
                "key": request.key,
                "body": request.body.decode(errors="replace"),
            }
        )
        try:
            await asyncio.sleep(self._duration())
        finally:
            self._running -= 1
        self.faults.after("handle")
        if self.faults.value("fail", False):
            return UpstreamReply(request_id=request.request_id, state="failed", reason="fault")
        body = b"%s:%s" % (self._name.encode(), request.body)
        sent = body[: len(body) // 2] if self.faults.value("truncate", False) else body
        crossed = self.faults.value("cross", False)
        return UpstreamReply(
            request_id="other" if crossed else request.request_id,
            state="done",
            body=sent,
            body_length=len(body),
        )

    def _duration(self) -> float:
        work = self.faults.value("work_seconds", self._work_seconds)
        return work + self._random.random() * self.faults.value("jitter_seconds", 0.0)


@app.default
def run(
    *,
    host: str = "127.0.0.1",
    port: int,
    name: str,
    slots: int = 8,
    work_seconds: float = 0.02,
    not_mine_prefix: str = "",
    seed: int = 1,
) -> None:
    """Serve requests until a signal comes."""

    async def start() -> None:
        standin = UpstreamStandin(name=name, slots=slots, work_seconds=work_seconds, seed=seed)
        if not_mine_prefix:
            standin.faults.set(FaultRequest(settings={"not_mine_prefix": not_mine_prefix}))
        await serve(
            host,
            port,
            [
                ServiceHandler(service=UPSTREAM_SERVICE, implementation=standin),
                ServiceHandler(service=CONTROL_SERVICE, implementation=standin),
            ],
        )

    asyncio.run(start())


if __name__ == "__main__":
    app()
