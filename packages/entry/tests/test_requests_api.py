"""Tests of requests to upstreams: admission, idempotency claims and outcomes."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from zinniaweir.entry.admission import Admission
from zinniaweir.entry.answers import Answer
from zinniaweir.entry.api import Call
from zinniaweir.entry.requests_api import RequestsApi
from zinniaweir.entry.scheduler_link import SchedulerUnavailableError
from zinniaweir.routing.request import RouteResult
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.timers import Timers
from zinniaweir.wire.scheduler_service import ClaimReply, FinishReply

SETTINGS = {
    "customers": {
        "parish": {"jobs": {"check": {}}, "priorities": ["normal"]},
        "slow": {"limits": {"requests_per_second": 1, "burst": 1}},
    }
}
GRANTED = ClaimReply(granted=True, claim_id="c1")
DURABLE = FinishReply(durable=True)
NO_REPLY = SchedulerUnavailableError(reason="Claim: timeout", is_unsent=False)


class FakeLink:
    """Scheduler link with fixed replies that records the calls."""

    def __init__(self, claim: Any = GRANTED, finish: Any = DURABLE) -> None:
        self.replies = {"Claim": claim, "Finish": finish}
        self.calls: list[tuple[str, Any]] = []
        self.is_stale = False
        self.state = "ready"

    async def call(self, name: str, request: Any, *, timeout: float) -> Any:
        self.calls.append((name, request))
        reply = self.replies[name]
        if isinstance(reply, Exception):
            raise reply
        return reply


class FakeRouter:
    """Router with a fixed result that records the requests."""

    def __init__(self, result: RouteResult | Exception | None = None) -> None:
        self.result = result or RouteResult(state="done", body=b"14.6", upstream="u1")
        self.sent: list[Any] = []

    async def send(self, request: Any) -> RouteResult:
        self.sent.append(request)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


def make_api(link: FakeLink, router: FakeRouter) -> RequestsApi:
    counters = Counters()
    admission = Admission(max_in_flight=2, counters=counters)
    admission.update(SETTINGS)
    return RequestsApi(
        link=link, admission=admission, router=router, counters=counters, timers=Timers()
    )


async def serve(api: RequestsApi, **fields: Any) -> tuple[Answer, dict[str, Any]]:
    body = {"customer": "parish", "name": "check", "idempotent": False, "key": "k", **fields}
    call = Call(argument="", query={}, body=msgspec.json.encode(body))
    answer = await api.serve(call)
    await api.flush_outcomes()
    return answer, msgspec.json.decode(answer.body)


async def serve_one(
    link: FakeLink, router: FakeRouter, **fields: Any
) -> tuple[Answer, dict[str, Any]]:
    return await serve(make_api(link, router), **fields)


@pytest.mark.parametrize(
    ("fields", "status", "reason"),
    [
        ({"customer": "nobody"}, 404, "unknown_customer"),
        ({"name": "other"}, 404, "unknown_name"),
        ({"priority": "urgent"}, 400, "priority_not_allowed"),
        ({"key": ""}, 400, "invalid"),
        ({"key": "k" * 201}, 400, "invalid"),
        ({"deadline_seconds": 0}, 400, "invalid"),
    ],
)
def test_refused_request_is_neither_claimed_nor_sent(
    fields: dict[str, Any], status: int, reason: str
) -> None:
    """A refusal says `not_run`, so the work must not have been claimed or sent."""
    link, router = FakeLink(), FakeRouter()
    answer, body = asyncio.run(serve_one(link, router, **fields))
    assert (answer.status, body["state"], body["reason"]) == (status, "not_run", reason)
    assert router.sent == link.calls == []


@pytest.mark.parametrize("change", [{"is_stale": True}, {"state": "isolated"}])
def test_stale_settings_refuse_requests(change: dict[str, Any]) -> None:
    """With stale settings, work could go to a failure domain that has been drained."""
    link, router = FakeLink(), FakeRouter()
    for name, value in change.items():
        setattr(link, name, value)
    answer, body = asyncio.run(serve_one(link, router, idempotent=True))
    assert (answer.status, body["reason"]) == (503, "settings_stale")
    assert router.sent == []


def test_request_above_the_rate_is_refused_before_the_claim() -> None:
    """Limits must be checked before the claim, or refused work would hold its key."""
    link, router = FakeLink(), FakeRouter()

    async def run() -> dict[str, Any]:
        api = make_api(link, router)
        fields = {"customer": "slow", "name": "x", "deadline_seconds": 0.05}
        await serve(api, **fields)
        return (await serve(api, **{**fields, "key": "k2"}))[1]

    body = asyncio.run(run())
    assert body["state"] == "not_run"
    assert len(router.sent) == 1
    assert [name for name, _ in link.calls] == ["Claim", "Finish"]


@pytest.mark.parametrize(
    ("claim", "state", "reason"),
    [
        (NO_REPLY, "not_run", "scheduler_unavailable"),
        (ClaimReply(granted=False, state="not_run", reason="log_unavailable"), "not_run", None),
        (ClaimReply(granted=False, state="not_run", reason="key_reused"), "not_run", None),
        (ClaimReply(granted=False, state="unknown", reason="in_progress"), "unknown", None),
        (ClaimReply(granted=False, state="done", answer=b"earlier"), "done", None),
    ],
)
def test_request_without_a_granted_claim_is_never_sent(
    claim: Any, state: str, reason: str | None
) -> None:
    """Sending without a granted claim could run the work twice, also if the reply was lost."""
    link, router = FakeLink(claim), FakeRouter()
    _, body = asyncio.run(serve_one(link, router))
    assert body["state"] == state
    assert reason in (None, body["reason"])
    assert body["body"] == ("earlier" if state == "done" else "")
    assert router.sent == []
    assert [name for name, _ in link.calls] == ["Claim"]


@pytest.mark.parametrize(
    ("state", "recorded"),
    [("done", "done"), ("failed", "failed"), ("unknown", "unknown"), ("not_run", "released")],
)
def test_outcome_finishes_the_claim(state: str, recorded: str) -> None:
    """A claim must not stay open after the outcome, nor be released for work that may have run."""
    link, router = FakeLink(), FakeRouter(RouteResult(state=state, reason="r", body=b"b"))
    _, body = asyncio.run(serve_one(link, router))
    finish = link.calls[-1][1]
    assert body["state"] == state
    assert (finish.claim_id, finish.state, finish.answer) == ("c1", recorded, b"b")


def test_lost_finish_call_keeps_the_answer() -> None:
    """The client must get the outcome even if the call that records it fails."""
    link, router = FakeLink(finish=NO_REPLY), FakeRouter()
    answer, body = asyncio.run(serve_one(link, router))
    assert (answer.status, body["state"], body["body"]) == (200, "done", "14.6")


def test_router_exception_releases_the_permit_and_keeps_the_claim() -> None:
    """An exception of the router must neither leak a permit nor release the claim.

    The work may have run, so a release would allow a second run.
    """
    link, router = FakeLink(), FakeRouter(RuntimeError("bug"))

    async def run() -> int:
        api = make_api(link, router)
        for number in range(5):
            with pytest.raises(RuntimeError):
                await serve(api, key=f"k{number}")
        return api._admission.in_flight

    assert asyncio.run(run()) == 0
    assert {name for name, _ in link.calls} == {"Claim"}
