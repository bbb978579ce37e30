"""Costs of a region's owner for its workers: syncs, usage events and gang starts."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

from bench.capacity.fit import REPEATS, print_fit
from bench.capacity.meters import HOST, Counts, log_standin, wire_bytes, worker_standins
from zinniaweir.journal.client import LogClient
from zinniaweir.journal.journal import Journal
from zinniaweir.scheduler.gangs import Gang, GangRunner
from zinniaweir.scheduler.leases import LeaseSettings
from zinniaweir.scheduler.worker_link import WorkerLink
from zinniaweir.wire.records import JobSpec, Member
from zinniaweir.wire.worker_service import ReserveRequest, StartRequest

if TYPE_CHECKING:
    from collections.abc import Callable

WORKERS: Final = (8, 32, 128, 256)
TASKS: Final = (0, 4, 16)
"""Running tasks of each worker, each of a gang of its own; 25,000 on 1,600 workers are 16."""
MEMBERS: Final = (1, 8, 32, 128)
WINDOW_SECONDS: Final = 5.0
RENEW_SECONDS: Final = 0.5
"""Shorter than in a deployment, so that a window holds enough syncs."""
PAYLOAD: Final = b'{"seconds": 100000}'


class _CountingLink(WorkerLink):
    """Counts the answered syncs of a link."""

    answered = 0

    def _on_answer(self, reply: Any) -> None:
        self.answered += 1
        super()._on_answer(reply)


def measure_syncs(seed: int) -> None:
    """Print processor time and bytes of a sync by workers and running tasks."""
    per_sync: dict[int, list[tuple[float, float]]] = {tasks: [] for tasks in TASKS}
    by_tasks: list[tuple[float, float]] = []
    bytes_by_tasks: list[tuple[float, float]] = []
    with worker_standins(max(WORKERS)) as ports:
        for epoch, tasks in enumerate(TASKS, start=1):
            for workers in WORKERS:
                rate, processor, size = asyncio.run(_syncs(ports[:workers], tasks, epoch))
                per_sync[tasks].append((rate, 1e6 * processor))
                if workers == max(WORKERS):
                    by_tasks.append((tasks, 1e6 * processor / rate))
                    bytes_by_tasks.append((tasks, size))
            print_fit(
                f"sync_processor_us_a_second_with_{tasks}_tasks",
                unit="us",
                per="syncs a second",
                seed=seed,
                points=per_sync[tasks],
            )
    print_fit("sync_processor", unit="us", per="tasks of a worker", seed=seed, points=by_tasks)
    print_fit("sync_wire", unit="bytes", per="tasks of a worker", seed=seed, points=bytes_by_tasks)


async def _syncs(ports: list[int], tasks: int, epoch: int) -> tuple[float, float, float]:
    """Return syncs a second, processor time of a second, and wire bytes of a sync."""
    leases = LeaseSettings(renew_seconds=RENEW_SECONDS, idle_seconds=RENEW_SECONDS)
    links = [_link(_CountingLink, port, epoch, leases) for port in ports]
    for link in links:
        await _run_tasks(link, tasks, epoch)
    running = [asyncio.create_task(link.run()) for link in links]
    # The stand-in reports the usage of a task once it has run for two seconds.
    await asyncio.sleep(3.0)
    answered, size = _totals(links)
    processor, started = time.process_time(), time.monotonic()
    await asyncio.sleep(WINDOW_SECONDS)
    processor, seconds = time.process_time() - processor, time.monotonic() - started
    answered_after, size_after = _totals(links)
    # A call that is cut by the close of its connection is no error of the measurement.
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    syncs = answered_after - answered
    return syncs / seconds, processor / seconds, (size_after - size) / syncs


def _link(
    kind: type[WorkerLink],
    port: int,
    epoch: int,
    leases: LeaseSettings,
    post: Callable[[Any], None] = lambda _: None,
) -> WorkerLink:
    return kind(worker=f"w{port}", host=HOST, port=port, epoch=epoch, leases=leases, post=post)


def _totals(links: list[_CountingLink]) -> tuple[int, int]:
    return sum(link.answered for link in links), sum(wire_bytes(link._client) for link in links)


async def _run_tasks(link: WorkerLink, tasks: int, epoch: int) -> None:
    for number in range(tasks):
        job_id = f"job-{epoch:04x}{number:012x}"
        reserve = ReserveRequest(
            epoch=epoch,
            job_id=job_id,
            attempt=1,
            member=0,
            accelerators=(),
            cores=1,
            memory_bytes=2**30,
            ttl_seconds=10.0,
        )
        start = StartRequest(
            epoch=epoch, job_id=job_id, attempt=1, name="sweep", lease_seconds=60, payload=PAYLOAD
        )
        await link.command("Reserve", reserve)
        await link.command("Start", start)
        link.start_renewing(job_id, 1)


def measure_gang_starts(seed: int) -> None:
    """Print processor time and wall time of a gang's start by its members."""
    processor: list[tuple[float, float]] = []
    wall: list[tuple[float, float]] = []
    with log_standin() as log_port, worker_standins(max(MEMBERS)) as ports:
        for members in MEMBERS:
            runs = sorted(asyncio.run(_gang_starts(log_port, ports, members)))
            processor.append((members, runs[len(runs) // 2][0]))
            wall.append((members, sorted(run[1] for run in runs)[len(runs) // 2]))
    print_fit("gang_start_processor", unit="ms", per="members", seed=seed, points=processor)
    print_fit("gang_start_wall", unit="ms", per="members", seed=seed, points=wall)


async def _gang_starts(log_port: int, ports: list[int], members: int) -> list[tuple[float, float]]:
    """Return processor and wall time in milliseconds of several starts on open connections."""
    client = LogClient(host=HOST, port=log_port)
    journal = Journal(
        vm="vm1",
        client=client,
        on_record=lambda _offset, _record: None,
        on_invalid=lambda _offset, _fault: None,
        counters=Counts(),
    )
    following = asyncio.create_task(journal.run())
    leases = LeaseSettings()
    links = {f"w{port}": _link(WorkerLink, port, 1, leases) for port in ports}
    runner = GangRunner(
        region="luzon",
        epoch=1,
        journal=journal,
        links=links,
        leases=leases,
        start_refusal=lambda _gang: "",
    )
    results = []
    for attempt in range(1, 2 + 2 * REPEATS):
        gang = _gang(list(links), members, attempt)
        processor, started = time.process_time(), time.monotonic()
        outcome = await runner.start(gang)
        await runner.record_start(gang)
        if not outcome.started:
            raise RuntimeError(outcome.reason)
        results.append(
            (1e3 * (time.process_time() - processor), 1e3 * (time.monotonic() - started))
        )
        await runner.stop(gang)
    following.cancel()
    await asyncio.gather(following, return_exceptions=True)
    client.close()
    for link in links.values():
        link._client.close()
    # The first start opens the connections.
    return results[1:]


def _gang(workers: list[str], members: int, attempt: int) -> Gang:
    return Gang(
        job_id=f"job-{members}",
        attempt=attempt,
        spec=JobSpec(customer="parish", name="sweep", members=members, payload=PAYLOAD),
        members=tuple(
            Member(member=number, worker=workers[number], accelerators=(0,))
            for number in range(members)
        ),
        done_fraction=0.0,
    )
