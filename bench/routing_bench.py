"""Benchmark of load-balancing algorithms in virtual time, with a slow and a failing upstream."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass
from time import process_time
from typing import TYPE_CHECKING, Final

from zinniaweir.routing import RoutedRequest, Router, RoutingPolicy, SendError
from zinniaweir.routing.choice import CHOICES
from zinniaweir.wire.upstream_service import UpstreamReply, UpstreamRequest
from zinniaweir_testkit.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Sequence

    from zinniaweir.routing import Upstream

FAILURE_DOMAINS: Final = ("diliman", "los-banos", "baguio")
UPSTREAM_COUNT: Final = 24
SLOTS_PER_UPSTREAM: Final = 8
ENTRY_PROCESSES: Final = ((0, 4), (0, 3), (0, 2), (1, 1), (1, 2), (2, 1), (2, 2))
"""Failure domain and load weight of seven entry processes.

The first three, which share a failure domain, get most of the load, so that it overflows.
"""
ONE_WAY_SECONDS: Final = 0.004
"""Network delay in one direction between failure domains; within one it is 0.2 ms."""
WORK_SECONDS: Final = 0.05
SLOW_UPSTREAM: Final = "u1"
SLOW_FACTOR: Final = 5
FAILING_UPSTREAM: Final = "u9"
FAILING_FROM_SECONDS: Final = 2.0
FAILING_UNTIL_SECONDS: Final = 5.0
DEADLINE_SECONDS: Final = 5.0


class SimulatedUpstreams:
    """Simulated upstreams that all entry processes share."""

    def __init__(self, *, seed: int, faults: bool) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.running: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()

    async def handle(self, upstream: Upstream, request: UpstreamRequest) -> UpstreamReply:
        """Run a request if a slot is free, otherwise answer `busy`."""
        name = upstream.name
        if (
            self.faults
            and name == FAILING_UPSTREAM
            and FAILING_FROM_SECONDS <= _now() < FAILING_UNTIL_SECONDS
        ):
            self.answers["broken"] += 1
            raise SendError(reason="broken")
        if self.running[name] >= SLOTS_PER_UPSTREAM:
            self.answers["busy"] += 1
            return UpstreamReply(request_id=request.request_id, state="busy")
        self.running[name] += 1
        try:
            await asyncio.sleep(self._service_seconds(name))
        finally:
            self.running[name] -= 1
        self.answers["done"] += 1
        return UpstreamReply(request_id=request.request_id, state="done")

    def _service_seconds(self, name: str) -> float:
        # The long tail stands for jobs of different sizes under one name.
        seconds = self.random.lognormvariate(-0.32, 0.8) * WORK_SECONDS
        return seconds * SLOW_FACTOR if self.faults and name == SLOW_UPSTREAM else seconds


class SimulatedTransport:
    """Transport of one entry process, with delays between failure domains."""

    def __init__(self, *, upstreams: SimulatedUpstreams, failure_domain: str) -> None:
        self._upstreams = upstreams
        self._failure_domain = failure_domain
        self.sent = 0
        self.sent_remote = 0

    async def send(
        self, upstream: Upstream, request: UpstreamRequest, timeout: float
    ) -> UpstreamReply:
        """Deliver a request and its answer with the delay of the network."""
        is_remote = upstream.failure_domain != self._failure_domain
        self.sent += 1
        self.sent_remote += is_remote
        await asyncio.sleep(ONE_WAY_SECONDS if is_remote else 0.0002)
        reply = await self._upstreams.handle(upstream, request)
        await asyncio.sleep(ONE_WAY_SECONDS if is_remote else 0.0002)
        return reply

    def retire(self, upstream: Upstream) -> None:
        """Do nothing: there are no connections."""


@dataclass(frozen=True, kw_only=True)
class EntryProcess:
    """Entry process with its router, transport and requests per second."""

    router: Router
    transport: SimulatedTransport
    rate: float


def settings() -> dict:
    """Return a settings tree with one service."""
    upstreams = {
        f"u{number}": {
            "host": "127.0.0.1",
            "port": 1 + number,
            "failure_domain": FAILURE_DOMAINS[number * len(FAILURE_DOMAINS) // UPSTREAM_COUNT],
        }
        for number in range(UPSTREAM_COUNT)
    }
    service = {
        "order": 1,
        "slots": SLOTS_PER_UPSTREAM,
        "crossing_cost_ms": 8,
        "upstreams": upstreams,
    }
    return {"services": {"rendering": service}}


async def simulate(*, choice: str, seed: int, load: float, seconds: float, faults: bool) -> dict:
    """Return the results of one run.

    Args:
        choice: Load-balancing algorithm, a key of `CHOICES`.
        seed: Seed of all random generators.
        load: Offered load as a share of the capacity of all slots.
        seconds: Virtual time in seconds during which requests arrive.
        faults: Whether one upstream is slow and another one fails for some time.
    """
    upstreams = SimulatedUpstreams(seed=seed, faults=faults)
    capacity = UPSTREAM_COUNT * SLOTS_PER_UPSTREAM / WORK_SECONDS
    total_weight = sum(weight for _, weight in ENTRY_PROCESSES)
    entries = []
    for number, (domain, weight) in enumerate(ENTRY_PROCESSES):
        transport = SimulatedTransport(upstreams=upstreams, failure_domain=FAILURE_DOMAINS[domain])
        router = Router(
            transport=transport,
            failure_domain=FAILURE_DOMAINS[domain],
            policy=RoutingPolicy(choice=choice),
            random=random.Random(seed * 100 + number),
        )
        router.update(settings())
        entries.append(
            EntryProcess(
                router=router, transport=transport, rate=capacity * load * weight / total_weight
            )
        )
    latencies: list[float] = []
    states: Counter[str] = Counter()
    await asyncio.gather(
        *(
            _generate_load(entry, seed + n, seconds, latencies, states)
            for n, entry in enumerate(entries)
        )
    )
    return _results(entries, upstreams, sorted(latencies), states)


async def _generate_load(
    entry: EntryProcess, seed: int, seconds: float, latencies: list[float], states: Counter[str]
) -> None:
    rng = random.Random(seed)

    async def send_one(idempotent: bool) -> None:
        started_at = _now()
        result = await entry.router.send(
            RoutedRequest(
                customer="parish",
                name="ray-trace",
                idempotent=idempotent,
                deadline_seconds=DEADLINE_SECONDS,
            )
        )
        states[result.state] += 1
        if result.state == "done":
            latencies.append(_now() - started_at)

    tasks = []
    while _now() < seconds:
        await asyncio.sleep(rng.expovariate(entry.rate))
        tasks.append(asyncio.create_task(send_one(rng.random() < 0.5)))
    await asyncio.gather(*tasks)
    await entry.router.drain()


def _results(
    entries: Sequence[EntryProcess],
    upstreams: SimulatedUpstreams,
    latencies: Sequence[float],
    states: Counter[str],
) -> dict:
    total = sum(states.values())
    counters: Counter[str] = Counter()
    for entry in entries:
        for name, reason, value in entry.router.counters.items():
            counters[f"{name}_{reason}"] += value
    sent = sum(entry.transport.sent for entry in entries)
    return {
        "requests": total,
        "mean_ms": round(sum(latencies) / len(latencies) * 1000, 1),
        "p50_ms": round(latencies[len(latencies) // 2] * 1000, 1),
        "p99_ms": round(latencies[int(len(latencies) * 0.99)] * 1000, 1),
        "not_done": total - states["done"],
        "unknown": states["unknown"],
        "tries_per_request": round(sent / total, 3),
        "busy_per_request": round(upstreams.answers["busy"] / total, 3),
        "crossed": round(sum(entry.transport.sent_remote for entry in entries) / sent, 3),
        "hedges": counters["hedges_slow"],
        "ejections": sum(v for name, v in counters.items() if name.startswith("ejections_")),
    }


def _now() -> float:
    return asyncio.get_running_loop().time()


def run(arguments: Sequence[str] = ()) -> None:
    """Print one JSON line for each load and load-balancing algorithm.

    Args:
        arguments: `--seed`, `--seconds`, `--loads`, `--choices` and `--no-faults`.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.3, 0.6, 0.85])
    parser.add_argument("--choices", nargs="+", default=list(CHOICES))
    parser.add_argument("--no-faults", action="store_true")
    options = parser.parse_args(arguments)
    for load in options.loads:
        for choice in options.choices:
            started_at = process_time()
            results = run_virtual(
                simulate(
                    choice=choice,
                    seed=options.seed,
                    load=load,
                    seconds=options.seconds,
                    faults=not options.no_faults,
                )
            )
            seconds_per_request = (process_time() - started_at) / results["requests"]
            line = {"bench": "routing", "seed": options.seed, "choice": choice, "load": load}
            print(
                json.dumps(line | results | {"processor_us": round(seconds_per_request * 1e6)}),
                flush=True,
            )


if __name__ == "__main__":
    import sys

    run(sys.argv[1:])
