"""Memory of each kind of state in the scheduler process and the entry process."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import msgspec

from bench.capacity import populations
from bench.capacity.fit import print_fit
from bench.capacity.meters import HOST, NullCounters, bytes_held, worker_standins
from bench.capacity.settings_change import NoTransport
from zinniaweir.entry.admission import Admission
from zinniaweir.routing.router import Router
from zinniaweir.scheduler.jobs import MAX_ENDED_JOBS
from zinniaweir.scheduler.leases import LeaseSettings
from zinniaweir.scheduler.worker_link import WorkerLink
from zinniaweir.telemetry.timers import Timers

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

WAITING: Final = (1_000, 4_000, 16_000)
MEMBERS: Final = (1, 8, 32, 128)
RUNNING_JOBS: Final = 200
ENDED: Final = (500, 1_000, MAX_ENDED_JOBS)
RETIRED: Final = (2_000, 8_000, 18_000)
CLAIMS: Final = (5_000, 20_000, 40_000)
CUSTOMERS: Final = (4, 50, 150)
WORKERS: Final = (24, 400, 1_600)
UPSTREAMS: Final = (24, 200, 800)
LINKS: Final = (16, 64, 256)


def measure(seed: int) -> None:
    """Print the memory of each kind of item, by number of items."""
    _print(seed, "waiting job", WAITING, _jobs)
    _print(
        seed,
        f"task of {RUNNING_JOBS} running jobs",
        [RUNNING_JOBS * members for members in MEMBERS],
        lambda n: _jobs(RUNNING_JOBS, members=n // RUNNING_JOBS),
    )
    _print(seed, "ended job", ENDED, lambda n: _jobs(n, ended=True))
    _print(seed, "retired key", RETIRED, lambda n: _jobs(MAX_ENDED_JOBS + n, ended=True))
    _print(seed, "ledger entry", CLAIMS, _claims)
    for owner, build in (("scheduler", _fold), ("entry", _entry)):
        _print(seed, f"customer in {owner}", CUSTOMERS, partial(build, workers=400, upstreams=24))
        _print(seed, f"worker in {owner}", WORKERS, lambda n, build=build: build(4, n, 24))
        _print(seed, f"upstream in {owner}", UPSTREAMS, partial(build, 4, 24))
    with worker_standins(max(LINKS)) as ports:
        points = [(n, asyncio.run(_links(ports[:n]))) for n in LINKS]
    print_fit("memory connected worker", unit="bytes", per="workers", seed=seed, points=points)


def _print(seed: int, name: str, sizes: Sequence[int], build: Callable[[int], Any]) -> None:
    points = [(size, bytes_held(partial(build, size))) for size in sizes]
    print_fit(f"memory {name}", unit="bytes", per=f"{name}s", seed=seed, points=points)


def _jobs(count: int, *, members: int = 0, ended: bool = False) -> populations.StateBuilder:
    builder = populations.StateBuilder()
    for number in range(count):
        bodies = list(populations.submitted([number], max(members, 1)))
        if members:
            bodies += populations.started([number], builder.epoch, members)
        if ended:
            bodies += populations.finished([number], builder.epoch)
        for body in bodies:
            builder.fold(body)
    return builder


def _claims(count: int) -> populations.StateBuilder:
    builder = populations.StateBuilder()
    for number in range(count):
        builder.fold_all(populations.encode_claims([number]))
    return builder


def _fold(customers: int, workers: int, upstreams: int) -> populations.StateBuilder:
    """Return the state of a scheduler process with settings of a given size."""
    builder = populations.StateBuilder()
    builder.put("", populations.settings_tree(customers, workers, upstreams))
    return builder


def _entry(customers: int, workers: int, upstreams: int) -> list[Any]:
    """Return what the entry process keeps of the settings that it receives."""
    tree = populations.settings_tree(customers, workers, upstreams)
    encoded = populations.encode_for_entry(tree)
    del tree
    return asyncio.run(_apply(msgspec.msgpack.decode(encoded)))


async def _apply(tree: dict[str, Any]) -> list[Any]:
    admission = Admission(max_in_flight=200, counters=NullCounters())
    router = Router(
        transport=NoTransport(), failure_domain="fd0", counters=NullCounters(), timers=Timers()
    )
    admission.update(tree)
    router.update(tree)
    return [admission, router]


async def _links(ports: list[int]) -> int:
    """Return the memory of links with a waiting long poll, without the kernel's buffers."""
    leases = LeaseSettings(idle_seconds=30.0)
    gc.collect()
    tracemalloc.start()
    links = [
        WorkerLink(
            worker=f"w{port}", host=HOST, port=port, epoch=1, leases=leases, post=lambda _: None
        )
        for port in ports
    ]
    running = [asyncio.create_task(link.run()) for link in links]
    await asyncio.sleep(4.0)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    return size
