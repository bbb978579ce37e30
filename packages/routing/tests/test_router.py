"""Tests of the router in virtual time, on a transport with given answers and faults."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from zinniaweir.routing import RoutedRequest, Router, RoutingPolicy, SendError
from zinniaweir.wire.upstream_service import UpstreamReply, UpstreamRequest
from zinniaweir_testkit.virtual_time import run_virtual


class FakeTransport:
    """Upstreams whose answers depend on their name and the number of the attempt."""

    def __init__(self, behave) -> None:
        self.behave = behave
        self.sent: list[tuple[str, UpstreamRequest]] = []
        self.running: Counter[str] = Counter()
        self.peak: Counter[str] = Counter()
        self.retired: list[str] = []

    async def send(self, upstream, request, timeout):
        self.sent.append((upstream.name, request))
        self.running[upstream.name] += 1
        self.peak[upstream.name] = max(self.peak[upstream.name], self.running[upstream.name])
        try:
            answer = self.behave(upstream.name, len(self.sent))
            if asyncio.iscoroutine(answer):
                answer = await answer
            await asyncio.sleep(0.001)
        finally:
            self.running[upstream.name] -= 1
        if isinstance(answer, Exception):
            raise answer
        return reply(request, answer) if isinstance(answer, str) else answer(request)

    def retire(self, upstream) -> None:
        self.retired.append(upstream.name)


def reply(request: UpstreamRequest, state: str = "done") -> UpstreamReply:
    body = request.body
    return UpstreamReply(
        request_id=request.request_id, state=state, body=body, body_length=len(body)
    )


def crossed(request: UpstreamRequest) -> UpstreamReply:
    return UpstreamReply(request_id="other", state="done", body=b"wrong", body_length=5)


def crossed_busy(request: UpstreamRequest) -> UpstreamReply:
    return UpstreamReply(request_id="other", state="busy")


def truncated(request: UpstreamRequest) -> UpstreamReply:
    return UpstreamReply(request_id=request.request_id, state="done", body=b"wro", body_length=5)


def settings_tree(*, upstreams=("u1", "u2", "u3", "u4"), slots=8, out=(), **services) -> dict:
    """Settings with u1 and u2 in the local failure domain and the others in the remote one."""
    entries = services or {"rendering": {"order": 1, "upstreams": upstreams}}
    return {
        "topology": {
            "failure_domains": {
                name: {"state": "out" if name in out else "in"} for name in ("local", "remote")
            }
        },
        "services": {
            name: {
                "order": entry["order"],
                "slots": slots,
                "connections": 60,
                "crossing_cost_ms": 8,
                "upstreams": {
                    upstream: {
                        "host": "127.0.0.1",
                        "port": 1 + number,
                        "failure_domain": "local" if upstream in ("u1", "u2") else "remote",
                    }
                    for number, upstream in enumerate(entry["upstreams"])
                },
            }
            for name, entry in entries.items()
        },
    }


def request(*, idempotent=False, deadline=2.0, priority="normal", name="job") -> RoutedRequest:
    return RoutedRequest(
        customer="parish",
        name=name,
        priority=priority,
        idempotent=idempotent,
        body=b"hello",
        deadline_seconds=deadline,
    )


def make_router(transport, settings=None, **policy) -> Router:
    router = Router(
        transport=transport,
        failure_domain="local",
        policy=RoutingPolicy(**policy),
        random=random.Random(1),
    )
    router.update(settings or settings_tree())
    return router


def answer_after(seconds: float, answer):
    async def wait():
        await asyncio.sleep(seconds)
        return answer

    return wait()


def run(scenario) -> None:
    run_virtual(scenario())


@pytest.mark.parametrize(
    ("fault", "attempts", "state", "reason"),
    [
        ("busy", 2, "done", ""),
        ("leaving", 2, "done", ""),
        (SendError(reason="unreachable", is_unsent=True), 2, "done", ""),
        (SendError(reason="broken"), 1, "unknown", "broken"),
        (SendError(reason="rejected"), 1, "unknown", "rejected"),
        (SendError(reason="timeout"), 1, "unknown", "timeout"),
        (RuntimeError("fault in the transport"), 1, "unknown", "broken"),
        (crossed, 1, "unknown", "crossed"),
        (crossed_busy, 1, "unknown", "crossed"),
        (truncated, 1, "unknown", "truncated"),
        ("no such state", 1, "unknown", "malformed"),
        ("failed", 1, "failed", ""),
    ],
)
def test_non_idempotent_request_is_retried_only_if_it_provably_did_not_run(
    fault, attempts, state, reason
) -> None:
    """A non-idempotent request must not run twice or be wrongly reported as not run.

    Both could follow from a lost, crossed, truncated or malformed answer.
    """

    async def scenario() -> None:
        transport = FakeTransport(lambda _, number: fault if number == 1 else "done")
        result = await make_router(transport).send(request())
        assert (result.attempts, result.state, result.reason) == (attempts, state, reason)
        assert len(transport.sent) == attempts
        assert result.body == (b"hello" if state in ("done", "failed") else b"")

    run(scenario)


@pytest.mark.parametrize("fault", [crossed, truncated, SendError(reason="broken")])
def test_idempotent_request_survives_wrong_and_lost_answers(fault) -> None:
    """A crossed or truncated answer must not reach a caller; the request is sent again."""

    async def scenario() -> None:
        transport = FakeTransport(lambda _, number: fault if number % 3 else "done")
        result = await make_router(transport).send(request(idempotent=True))
        assert (result.state, result.body, result.attempts) == ("done", b"hello", 3)
        ids = [sent.request_id for _, sent in transport.sent]
        assert len(set(ids)) == 3
        assert len({name for name, _ in transport.sent}) == 3
        assert bool(transport.retired) == (not isinstance(fault, SendError))

    run(scenario)


def test_idempotent_request_that_times_out_is_unknown_by_its_deadline() -> None:
    """A request that timed out must not be reported as not run, nor long after its deadline."""

    async def scenario() -> None:
        transport = FakeTransport(lambda *_: answer_after(5, "done"))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        result = await make_router(transport).send(request(idempotent=True, deadline=0.1))
        assert (result.state, result.reason) == ("unknown", "timeout")
        assert loop.time() - started_at < 0.5

    run(scenario)


def test_refusal_after_a_lost_attempt_is_unknown() -> None:
    """A request that all upstreams refuse must not be reported as not run.

    An earlier attempt of it, whose answer was lost, may have run.
    """

    async def scenario() -> None:
        def behave(_, number):
            return SendError(reason="broken") if number == 1 else "busy"

        result = await make_router(FakeTransport(behave)).send(
            request(idempotent=True, deadline=0.2)
        )
        assert (result.state, result.reason) == ("unknown", "broken")

    run(scenario)


def test_all_busy_is_not_run_with_bounded_attempts() -> None:
    """Waiting requests must not send a flood of attempts to busy upstreams."""

    async def scenario() -> None:
        transport = FakeTransport(lambda *_: "busy")
        router = make_router(transport)
        sends = [router.send(request(deadline=0.5)) for _ in range(50)]
        results = await asyncio.gather(*sends)
        assert {(result.state, result.reason) for result in results} == {("not_run", "deadline")}
        # Four upstreams, each with a backoff that doubles from 2 ms up to 100 ms.
        assert len(transport.sent) < 50 + 4 * 8 * 12
        assert router.counters.value("retries", reason="busy") > 0

    run(scenario)


def test_slots_are_respected_and_higher_priorities_go_first() -> None:
    """An upstream must not get more attempts than slots, or batch requests before urgent ones."""

    async def scenario() -> None:
        order = []
        transport = FakeTransport(lambda *_: answer_after(0.01, "done"))
        router = make_router(transport, settings_tree(slots=2), max_waiting=12)

        async def send(priority):
            result = await router.send(request(priority=priority))
            order.append((priority, result.state, result.reason))

        await asyncio.gather(
            *(send("batch") for _ in range(20)), *(send("urgent") for _ in range(8))
        )
        assert max(transport.peak.values()) == 2
        refused = Counter(reason for _, state, reason in order if state == "not_run")
        assert refused == {"shed": 8}
        done = [priority for priority, state, _ in order if state == "done"]
        assert done[8:16] == ["urgent"] * 8
        assert len(done) == 20

    run(scenario)


def test_local_failure_domain_is_preferred_until_it_is_full() -> None:
    """Requests must not leave their failure domain needlessly, or wait for it when it is full."""

    async def scenario() -> None:
        transport = FakeTransport(lambda *_: answer_after(0.01, "done"))
        router = make_router(transport, settings_tree(slots=4))
        results = await asyncio.gather(*(router.send(request()) for _ in range(4)))
        assert {result.upstream for result in results} == {"u1", "u2"}
        results = await asyncio.gather(*(router.send(request()) for _ in range(16)))
        assert Counter(result.upstream for result in results) == dict.fromkeys(
            ("u1", "u2", "u3", "u4"), 4
        )

    run(scenario)


def test_retry_storm_is_bounded_by_the_budget() -> None:
    """Retries must not multiply the load on a service whose attempts all fail."""

    async def scenario() -> None:
        transport = FakeTransport(lambda *_: SendError(reason="broken"))
        router = make_router(transport, eject_failures=10**9)
        count = 300
        for _ in range(count // 10):
            sends = [router.send(request(idempotent=True)) for _ in range(10)]
            assert {result.state for result in await asyncio.gather(*sends)} == {"unknown"}
        assert len(transport.sent) <= count + 10 + 0.2 * count
        assert router.counters.value("retry_refusals", reason="budget") > 0

    run(scenario)


def test_flaky_upstream_is_ejected_probed_and_readmitted() -> None:
    """A failing upstream must not keep getting work, and must get it again after it recovers."""

    async def scenario() -> None:
        broken = {"u1"}

        def behave(name, _):
            return SendError(reason="broken") if name in broken else "done"

        transport = FakeTransport(behave)
        router = make_router(transport, initial_ejection=0.05, max_ejection=0.1)
        for _ in range(60):
            assert (await router.send(request(idempotent=True))).state == "done"
        assert router.upstreams()["u1"] == "ejected"
        assert Counter(name for name, _ in transport.sent)["u1"] < 15
        broken.clear()
        await asyncio.sleep(0.15)
        for _ in range(20):
            await router.send(request(idempotent=True))
        assert router.upstreams()["u1"] == "in"
        assert router.counters.value("ejections", reason="broken") == 1

    run(scenario)


def test_no_more_than_the_maximum_share_is_ejected() -> None:
    """An outage of all upstreams must not eject all of them."""

    async def scenario() -> None:
        transport = FakeTransport(lambda *_: SendError(reason="unreachable", is_unsent=True))
        router = make_router(transport)
        results = await asyncio.gather(*(router.send(request()) for _ in range(100)))
        assert {(result.state, result.reason) for result in results} == {("not_run", "unreachable")}
        assert list(router.upstreams().values()).count("ejected") == 2
        assert router.counters.value("ejections_refused", reason="share") > 0

    run(scenario)


def test_slow_upstream_is_ejected() -> None:
    """An upstream that answers correctly but far slower than the others must not keep its work."""

    async def scenario() -> None:
        transport = FakeTransport(
            lambda name, _: answer_after(0.1 if name == "u1" else 0.003, "done")
        )
        router = make_router(transport)
        for _ in range(40):
            await asyncio.gather(*(router.send(request(idempotent=True)) for _ in range(8)))
        assert router.counters.value("ejections", reason="slow") == 1
        assert router.upstreams()["u1"] == "ejected"

    run(scenario)


def test_late_answer_of_a_hedged_attempt_is_dropped() -> None:
    """A late answer must not be delivered twice or to another caller after a hedge was faster.

    Its slot must not count as free while the attempt runs, and hedges must not exceed their
    budget.
    """

    async def scenario() -> None:
        slow = set()

        def behave(name, _):
            return answer_after(0.5 if name in slow else 0.01, "done")

        transport = FakeTransport(behave)
        router = make_router(
            transport, settings_tree(upstreams=("u1", "u3")), hedge_reserve=2, hedge_share=0.0
        )
        for _ in range(40):
            await router.send(request())
        slow.add("u1")
        results = [await router.send(request(idempotent=True)) for _ in range(2)]
        assert {(r.state, r.body, r.attempts) for r in results} == {("done", b"hello", 2)}
        assert sum(transport.running.values()) == 2
        assert (await router.send(request(idempotent=True))).attempts == 1
        assert router.counters.value("hedges", reason="slow") == 2
        assert router.counters.value("hedge_refusals", reason="budget") == 1
        assert (await router.send(request(idempotent=False))).attempts == 1

    run(scenario)


@pytest.mark.parametrize("hedge_answer", ["busy", SendError(reason="broken")])
def test_hedges_do_not_hide_the_losses_of_a_request(hedge_answer) -> None:
    """Guards against BUDGET: a request that crashes upstream after upstream.

    Losses counted only if no other attempt of the same round ended after them.
    """

    async def scenario() -> None:
        crashes = 0

        def behave(_, number):
            nonlocal crashes
            if number <= 40:
                return answer_after(0.01, "done")
            if number % 2 or hedge_answer != "busy":
                crashes += 1
                return answer_after(0.05, SendError(reason="broken"))
            return answer_after(0.1, hedge_answer)

        transport = FakeTransport(behave)
        router = make_router(transport, hedge_reserve=100, retry_reserve=100, eject_failures=10**9)
        for _ in range(40):
            await router.send(request())
        result = await router.send(request(idempotent=True, deadline=10.0))
        assert (result.state, result.reason) == ("unknown", "broken")
        assert router.counters.value("hedges", reason="slow") > 0
        assert crashes <= RoutingPolicy().max_failed_attempts + 1

    run(scenario)


def test_not_mine_falls_through_and_a_timeout_does_not() -> None:
    """A request must not run at the legacy service after the new service may have run it."""
    services = {
        "permits": {"order": 1, "upstreams": ("u1",)},
        "legacy": {"order": 2, "upstreams": ("u3",)},
    }

    async def scenario() -> None:
        answers = {"u1": "not_mine", "u3": "done"}
        transport = FakeTransport(lambda name, _: answers[name])
        router = make_router(transport, settings_tree(**services))
        assert (await router.send(request())).upstream == "u3"
        answers["u3"] = "not_mine"
        result = await router.send(request())
        assert (result.state, result.reason) == ("not_run", "not_mine")
        answers.update(u1=SendError(reason="timeout"), u3="done")
        result = await router.send(request())
        assert (result.state, result.reason, result.attempts) == ("unknown", "timeout", 1)
        settings = settings_tree(**services)
        settings["policy"] = {"services_for_jobs": {"job": ["legacy"], "other": ["none"]}}
        router.update(settings)
        result = await router.send(request())
        assert (result.upstream, result.attempts) == ("u3", 1)
        assert (await router.send(request(name="other"))).reason == "no_service"

    run(scenario)


def test_leaving_and_out_upstreams_get_no_new_work() -> None:
    """Leaving upstreams must get no new work (property 7).

    Nor must upstreams in a failure domain that operators took out.
    """

    async def scenario() -> None:
        leaving = {"u1"}
        transport = FakeTransport(lambda name, _: "leaving" if name in leaving else "done")
        router = make_router(transport)
        for _ in range(20):
            assert (await router.send(request())).state == "done"
        assert [name for name, _ in transport.sent].count("u1") == 1
        router.set_leaving(["u2"])
        router.update(settings_tree(out=("remote",)))
        result = await router.send(request(deadline=1.0))
        assert (result.state, result.reason) == ("not_run", "no_upstream")
        assert router.upstreams() == {"u1": "leaving", "u2": "leaving", "u3": "out", "u4": "out"}
        router.update(settings_tree())
        assert (await router.send(request())).upstream in ("u3", "u4")

    run(scenario)


def test_settings_change_and_drain_keep_requests_in_flight() -> None:
    """Requests in flight or waiting must not fail when an upstream is removed or loses slots."""

    async def scenario() -> None:
        transport = FakeTransport(lambda *_: answer_after(0.05, "done"))
        router = make_router(transport, settings_tree(upstreams=("u1", "u3"), slots=2))
        tasks = [asyncio.create_task(router.send(request())) for _ in range(8)]
        await asyncio.sleep(0.01)
        assert (router.in_flight, router.waiting) == (8, 4)
        router.update(settings_tree(upstreams=("u2",), slots=1))
        assert sorted(transport.retired) == ["u1", "u3"]
        await router.drain()
        assert router.in_flight == 0
        assert {task.result().state for task in tasks} == {"done"}
        served = Counter(task.result().upstream for task in tasks)
        assert served == {"u1": 2, "u3": 2, "u2": 4}
        assert transport.peak["u2"] == 1
        waiting = [asyncio.create_task(router.send(request())) for _ in range(2)]
        await asyncio.sleep(0.01)
        router.update({"services": {}})
        states = [(task.state, task.reason) for task in await asyncio.gather(*waiting)]
        assert states == [("done", ""), ("not_run", "no_upstream")]

    run(scenario)


def test_cancelled_callers_leak_no_slots() -> None:
    """Callers that are cancelled at any moment must not leak slots.

    An attempt of a non-idempotent request must not be cut off with its caller.
    """

    async def scenario() -> None:
        transport = FakeTransport(lambda *_: answer_after(0.02, "done"))
        router = make_router(transport, settings_tree(upstreams=("u1",), slots=2))
        rng = random.Random(7)
        for _ in range(100):
            idempotent = rng.random() < 0.5
            task = asyncio.create_task(router.send(request(idempotent=idempotent)))
            await asyncio.sleep(rng.choice((0, 0, 0.001, 0.01)))
            task.cancel()
        await router.drain()
        await asyncio.sleep(0.05)
        assert sum(transport.running.values()) == 0
        results = await asyncio.gather(*(router.send(request()) for _ in range(4)))
        assert {result.state for result in results} == {"done"}
        assert transport.peak["u1"] == 2

    run(scenario)
