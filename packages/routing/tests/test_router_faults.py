"""Tests of the router in virtual time under random faults and settings changes."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from zinniaweir.routing import RoutedRequest, Router, RouteResult, SendError
from zinniaweir.wire.upstream_service import UpstreamReply, UpstreamRequest
from zinniaweir_testkit.virtual_time import run_virtual

FAILURE_DOMAINS = ("diliman", "los-banos", "baguio")
SLOTS = 2


class FaultyUpstreams:
    """Upstreams with every kind of fault, which count the runs of each request."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.runs: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self.sent_to: list[tuple[float, str]] = []
        self.faults_disabled = False

    async def send(self, upstream, request: UpstreamRequest, timeout: float) -> UpstreamReply:
        self.sent_to.append((asyncio.get_running_loop().time(), upstream.name))
        # `run` applies the faults that come after the request has started to run.
        fault = "none" if self.faults_disabled else self.rng.choice(
            ("none", "none", "none", "refused", "hangs", "lost before", "lost after", "late",
             "crossed", "truncated", "leaving", "not mine", "failed")
        )  # fmt: skip
        if fault == "refused":
            raise SendError(reason="unreachable", is_unsent=True)
        await asyncio.sleep(self.rng.random() * 0.01)
        if fault == "hangs":
            await asyncio.sleep(60)
        if fault == "lost before":
            raise SendError(reason="broken")
        if fault in ("leaving", "not mine"):
            return self.answer(request, fault.replace(" ", "_"))
        if self.running[upstream.name] >= SLOTS:
            return self.answer(request, "busy")
        return await self.run(upstream.name, request, fault)

    async def run(self, name: str, request: UpstreamRequest, fault: str) -> UpstreamReply:
        self.running[name] += 1
        self.runs[request.key] += 1
        try:
            await asyncio.sleep(1.0 if fault == "late" else self.rng.random() * 0.02)
        finally:
            self.running[name] -= 1
        if fault == "lost after":
            raise SendError(reason="rejected")
        if fault == "crossed":
            return UpstreamReply(request_id="other", state="done", body=b"x", body_length=1)
        if fault == "truncated":
            return UpstreamReply(
                request_id=request.request_id, state="done", body=b"", body_length=9
            )
        return self.answer(request, "failed" if fault == "failed" else "done")

    def answer(self, request: UpstreamRequest, state: str) -> UpstreamReply:
        body = request.body if state == "done" else b""
        return UpstreamReply(
            request_id=request.request_id, state=state, body=body, body_length=len(body)
        )

    def retire(self, upstream) -> None:
        pass


def random_settings(rng: random.Random) -> dict:
    def service(name: str, order: int) -> dict:
        return {
            "order": order,
            "slots": SLOTS,
            "upstreams": {
                f"{name}-u{number}": {
                    "host": "127.0.0.1",
                    "port": number,
                    "failure_domain": FAILURE_DOMAINS[number % 3],
                }
                for number in range(6)
                if rng.random() < 0.8
            },
        }

    domains = {name: {"state": rng.choice(("in", "in", "out"))} for name in FAILURE_DOMAINS}
    return {
        "topology": {"failure_domains": domains},
        "services": {"new": service("new", 1), "legacy": service("legacy", 2)},
    }


@pytest.mark.parametrize("seed", range(12))
def test_results_match_what_ran_under_every_fault(seed: int) -> None:
    """A caller must not get the answer to another request, or "not run" for a request that ran.

    A non-idempotent request must not run twice (properties 4, 5 and 6). Upstreams fail in every way
    and the settings keep changing.
    """

    async def scenario() -> None:
        rng = random.Random(seed)
        upstreams = FaultyUpstreams(rng)
        routers = [
            Router(transport=upstreams, failure_domain=name, random=rng) for name in FAILURE_DOMAINS
        ]

        async def change_settings() -> None:
            while True:
                settings_tree = random_settings(rng)
                for router in routers:
                    router.update(settings_tree)
                    router.set_leaving(rng.sample(["new-u1", "new-u2", "legacy-u3"], 1))
                await asyncio.sleep(rng.random() * 0.5)

        async def send(number: int) -> tuple[RoutedRequest, RouteResult]:
            await asyncio.sleep(rng.random() * 5)
            request = RoutedRequest(
                customer="parish",
                name="permit-renewal",
                key=f"key-{number}",
                body=f"body-{number}".encode(),
                idempotent=rng.random() < 0.5,
                priority=rng.choice(("urgent", "normal", "batch")),
                deadline_seconds=rng.choice((0.02, 0.2, 2.0)),
            )
            started_at = asyncio.get_running_loop().time()
            result = await rng.choice(routers).send(request)
            assert asyncio.get_running_loop().time() - started_at <= request.deadline_seconds + 1e-6
            return request, result

        changes = asyncio.create_task(change_settings())
        answered = await asyncio.gather(*(send(number) for number in range(1500)))
        changes.cancel()
        # Slow and hanging attempts must end before the runs are compared.
        await asyncio.sleep(10)
        for request, result in answered:
            runs = upstreams.runs[request.key]
            assert request.idempotent or runs <= 1
            assert result.state != "not_run" or runs == 0, result
            assert result.state not in ("done", "failed") or runs >= 1
            assert result.state != "done" or result.body == request.body
        states = Counter(result.state for _, result in answered)
        assert min(states[state] for state in ("done", "failed", "not_run", "unknown")) > 0
        await assert_no_slot_leaks(routers, upstreams)

    run_virtual(scenario())


async def assert_no_slot_leaks(routers: list[Router], upstreams: FaultyUpstreams) -> None:
    upstreams.faults_disabled = True
    for router in routers:
        await router.drain()
    await asyncio.sleep(1)
    states = [
        state for router in routers for pool in router._pools.values() for state in pool.states
    ]
    assert sum(state.in_flight for state in states) == 0
    assert not any(state.is_probing for state in states)


def test_out_failure_domain_gets_nothing_after_the_settings_change() -> None:
    """A failure domain that operators took out must get no more attempts.

    Retries, hedges, probes and waiting requests could still go there.
    """

    async def scenario() -> None:
        rng = random.Random(5)
        upstreams = FaultyUpstreams(rng)
        router = Router(transport=upstreams, failure_domain="diliman", random=rng)
        settings_tree = random_settings(random.Random(1))
        domains = settings_tree["topology"]["failure_domains"]
        domains.update({name: {"state": "in"} for name in FAILURE_DOMAINS})
        router.update(settings_tree)

        async def send(number: int) -> None:
            await asyncio.sleep(number * 0.004)
            await router.send(
                RoutedRequest(customer="a", name="b", idempotent=True, deadline_seconds=1.0)
            )

        sends = asyncio.gather(*(send(number) for number in range(1000)))
        await asyncio.sleep(2.0)
        domains["diliman"] = {"state": "out"}
        router.update(settings_tree)
        out = {
            name
            for service in settings_tree["services"].values()
            for name, upstream in service["upstreams"].items()
            if upstream["failure_domain"] == "diliman"
        }
        before = sum(name in out for _, name in upstreams.sent_to)
        await sends
        assert before > 0
        assert sum(name in out for _, name in upstreams.sent_to) == before

    run_virtual(scenario())
