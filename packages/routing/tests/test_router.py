from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest

from zinniaweir.routing import RoutedRequest, Router, RoutingPolicy, SendError
from zinniaweir.wire.upstream_service import UpstreamReply, UpstreamRequest
from zinniaweir_testkit.virtual_time import run_virtual


class FakeTransport:
    """Upstreams that answer as a function of the upstream's name and the number of its try."""

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


def crossed_proof(request: UpstreamRequest) -> UpstreamReply:
    return UpstreamReply(request_id="other", state="busy")


def truncated(request: UpstreamRequest) -> UpstreamReply:
    return UpstreamReply(request_id=request.request_id, state="done", body=b"wro", body_length=5)


def tree(*, upstreams=("u1", "u2", "u3", "u4"), slots=8, out=(), **services) -> dict:
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


def make(transport, settings=None, **policy) -> Router:
    router = Router(
        transport=transport,
        failure_domain="local",
        policy=RoutingPolicy(**policy),
        random=random.Random(1),
    )
    router.update(settings or tree())
    return router


def sleeping(seconds: float, answer):
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
        (crossed_proof, 1, "unknown", "crossed"),
        (truncated, 1, "unknown", "truncated"),
        ("no such state", 1, "unknown", "malformed"),
        ("failed", 1, "failed", ""),
    ],
)
def test_non_idempotent_request_is_tried_again_only_after_a_proof(
    fault, attempts, state, reason
) -> None:
    # Guards against a second run of a non-idempotent request, and against a false "not run".
    async def scenario() -> None:
        transport = FakeTransport(lambda _, number: fault if number == 1 else "done")
        result = await make(transport).send(request())
        assert (result.attempts, result.state, result.reason) == (attempts, state, reason)
        assert len(transport.sent) == attempts
        assert result.body == (b"hello" if state in ("done", "failed") else b"")

    run(scenario)


@pytest.mark.parametrize("fault", [crossed, truncated, SendError(reason="broken")])
def test_idempotent_request_survives_wrong_and_lost_answers(fault) -> None:
    # Guards against a crossed or truncated answer that reaches a caller.
    async def scenario() -> None:
        transport = FakeTransport(lambda _, number: fault if number % 3 else "done")
        result = await make(transport).send(request(idempotent=True))
        assert (result.state, result.body, result.attempts) == ("done", b"hello", 3)
        ids = [sent.request_id for _, sent in transport.sent]
        assert len(set(ids)) == 3
        assert len({name for name, _ in transport.sent}) == 3
        assert bool(transport.retired) == (not isinstance(fault, SendError))

    run(scenario)


def test_idempotent_request_that_timed_out_is_unknown_and_not_late() -> None:
    # Guards against "not run" after a timeout, and against answers long after the deadline.
    async def scenario() -> None:
        transport = FakeTransport(lambda *_: sleeping(5, "done"))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        result = await make(transport).send(request(idempotent=True, deadline=0.1))
        assert (result.state, result.reason) == ("unknown", "timeout")
        assert loop.time() - started_at < 0.5

    run(scenario)


def test_lost_try_makes_a_later_refusal_unknown() -> None:
    # Guards against "not run" when an earlier try of the same request may have run.
    async def scenario() -> None:
        def behave(_, number):
            return SendError(reason="broken") if number == 1 else "busy"

        result = await make(FakeTransport(behave)).send(request(idempotent=True, deadline=0.2))
        assert (result.state, result.reason) == ("unknown", "broken")

    run(scenario)


def test_all_busy_is_not_run_with_bounded_attempts() -> None:
    # Guards against a storm of tries at busy upstreams.
    async def scenario() -> None:
        transport = FakeTransport(lambda *_: "busy")
        router = make(transport)
        sends = [router.send(request(deadline=0.5)) for _ in range(50)]
        results = await asyncio.gather(*sends)
        assert {(result.state, result.reason) for result in results} == {("not_run", "deadline")}
        # Four upstreams, each with a pause that doubles from 2 ms to 100 ms.
        assert len(transport.sent) < 50 + 4 * 8 * 12
        assert router.counters.value("retries", reason="busy") > 0

    run(scenario)


def test_slots_are_respected_and_priorities_go_first() -> None:
    # Guards against more tries than slots, and against urgent requests behind batch ones.
    async def scenario() -> None:
        order = []
        transport = FakeTransport(lambda *_: sleeping(0.01, "done"))
        router = make(transport, tree(slots=2), max_waiting=12)

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
    # Guards against paying for crossings that aren't needed, and against waiting for full ones.
    async def scenario() -> None:
        transport = FakeTransport(lambda *_: sleeping(0.01, "done"))
        router = make(transport, tree(slots=4))
        results = await asyncio.gather(*(router.send(request()) for _ in range(4)))
        assert {result.upstream for result in results} == {"u1", "u2"}
        results = await asyncio.gather(*(router.send(request()) for _ in range(16)))
        assert Counter(result.upstream for result in results) == dict.fromkeys(
            ("u1", "u2", "u3", "u4"), 4
        )

    run(scenario)


def test_retry_storm_is_bounded_by_the_budget() -> None:
    # Guards against retries that multiply the load on a service that fails everything.
    async def scenario() -> None:
        transport = FakeTransport(lambda *_: SendError(reason="broken"))
        router = make(transport, eject_failures=10**9)
        count = 300
        for _ in range(count // 10):
            sends = [router.send(request(idempotent=True)) for _ in range(10)]
            assert {result.state for result in await asyncio.gather(*sends)} == {"unknown"}
        assert len(transport.sent) <= count + 10 + 0.2 * count
        assert router.counters.value("retry_refusals", reason="budget") > 0

    run(scenario)


def test_flaky_upstream_is_ejected_probed_and_readmitted() -> None:
    # Guards against work that keeps going to a failing upstream, or never returns to it.
    async def scenario() -> None:
        broken = {"u1"}

        def behave(name, _):
            return SendError(reason="broken") if name in broken else "done"

        transport = FakeTransport(behave)
        router = make(transport, initial_ejection=0.05, max_ejection=0.1)
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


def test_no_more_than_the_stated_share_is_ejected() -> None:
    # Guards against an outage of everything that ejects everything.
    async def scenario() -> None:
        transport = FakeTransport(lambda *_: SendError(reason="unreachable", is_unsent=True))
        router = make(transport)
        results = await asyncio.gather(*(router.send(request()) for _ in range(100)))
        assert {(result.state, result.reason) for result in results} == {("not_run", "unreachable")}
        assert list(router.upstreams().values()).count("ejected") == 2
        assert router.counters.value("ejections_refused", reason="share") > 0

    run(scenario)


def test_slow_upstream_is_ejected() -> None:
    # Guards against an upstream that answers correctly but far slower than its peers.
    async def scenario() -> None:
        transport = FakeTransport(lambda name, _: sleeping(0.1 if name == "u1" else 0.003, "done"))
        router = make(transport)
        for _ in range(40):
            await asyncio.gather(*(router.send(request(idempotent=True)) for _ in range(8)))
        assert router.counters.value("ejections", reason="slow") == 1
        assert router.upstreams()["u1"] == "ejected"

    run(scenario)


def test_hedge_wins_and_its_late_loser_reaches_nobody() -> None:
    # Guards against a late answer that is delivered twice or to another caller, a slot that is
    # counted free while the loser runs, and hedges beyond their budget.
    async def scenario() -> None:
        slow = set()

        def behave(name, _):
            return sleeping(0.5 if name in slow else 0.01, "done")

        transport = FakeTransport(behave)
        router = make(transport, tree(upstreams=("u1", "u3")), hedge_reserve=2, hedge_share=0.0)
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


def test_not_mine_moves_on_and_a_timeout_does_not() -> None:
    # Guards against a request that runs at the legacy service after the new one may have run it.
    services = {
        "permits": {"order": 1, "upstreams": ("u1",)},
        "legacy": {"order": 2, "upstreams": ("u3",)},
    }

    async def scenario() -> None:
        answers = {"u1": "not_mine", "u3": "done"}
        transport = FakeTransport(lambda name, _: answers[name])
        router = make(transport, tree(**services))
        assert (await router.send(request())).upstream == "u3"
        answers["u3"] = "not_mine"
        result = await router.send(request())
        assert (result.state, result.reason) == ("not_run", "not_mine")
        answers.update(u1=SendError(reason="timeout"), u3="done")
        result = await router.send(request())
        assert (result.state, result.reason, result.attempts) == ("unknown", "timeout", 1)
        settings = tree(**services)
        settings["policy"] = {"services_for_jobs": {"job": ["legacy"], "other": ["none"]}}
        router.update(settings)
        result = await router.send(request())
        assert (result.upstream, result.attempts) == ("u3", 1)
        assert (await router.send(request(name="other"))).reason == "no_service"

    run(scenario)


def test_leaving_and_out_upstreams_get_no_new_work() -> None:
    # Guards against promise 7, and against work in a failure domain that operators took out.
    async def scenario() -> None:
        leaving = {"u1"}
        transport = FakeTransport(lambda name, _: "leaving" if name in leaving else "done")
        router = make(transport)
        for _ in range(20):
            assert (await router.send(request())).state == "done"
        assert [name for name, _ in transport.sent].count("u1") == 1
        router.set_leaving(["u2"])
        router.update(tree(out=("remote",)))
        result = await router.send(request(deadline=1.0))
        assert (result.state, result.reason) == ("not_run", "no_upstream")
        assert router.upstreams() == {"u1": "leaving", "u2": "leaving", "u3": "out", "u4": "out"}
        router.update(tree())
        assert (await router.send(request())).upstream in ("u3", "u4")

    run(scenario)


def test_settings_change_and_drain_cut_off_nothing() -> None:
    # Guards against requests in flight or waiting that break when an upstream or slot count goes.
    async def scenario() -> None:
        transport = FakeTransport(lambda *_: sleeping(0.05, "done"))
        router = make(transport, tree(upstreams=("u1", "u3"), slots=2))
        tasks = [asyncio.create_task(router.send(request())) for _ in range(8)]
        await asyncio.sleep(0.01)
        assert (router.in_flight, router.waiting) == (8, 4)
        router.update(tree(upstreams=("u2",), slots=1))
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
    # Guards against slots lost to callers that go away at any moment, and against a
    # non-idempotent try that is cut off with its caller.
    async def scenario() -> None:
        transport = FakeTransport(lambda *_: sleeping(0.02, "done"))
        router = make(transport, tree(upstreams=("u1",), slots=2))
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
