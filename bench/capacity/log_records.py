"""Costs of log records for the VM that writes them and for each VM that applies them."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING, Final

from bench.capacity import populations
from bench.capacity.fit import median_of, print_fit, print_row
from bench.capacity.meters import HOST, NullCounters, log_standin
from zinniaweir.journal.client import LogClient
from zinniaweir.journal.journal import Journal
from zinniaweir.wire.records import Record, decode_record

if TYPE_CHECKING:
    from collections.abc import Callable

BATCHES: Final = (1, 8, 32, 128)
"""Numbers of records that are published together in one append."""
PUBLISH_ROUNDS: Final = 40
"""Appends that are averaged for each batch size."""
STATE_JOBS: Final = (1_000, 4_000, 16_000)
"""Numbers of jobs in the state that records are folded into."""
FOLDED_RECORDS: Final = 2_000
IDLE_SECONDS: Final = (4.0, 8.0, 16.0)


def measure_publishing(seed: int) -> None:
    """Print the writer's cost of a batch, from the call to its read-back, by batch size."""
    with log_standin() as port:
        points = [(size, 1e3 * asyncio.run(_publish(port, size))) for size in BATCHES]
    print_fit("publish_processor", unit="ms", per="records of a batch", seed=seed, points=points)


async def _publish(port: int, size: int) -> float:
    client = LogClient(host=HOST, port=port)
    journal = _journal(client)
    journal_task = asyncio.create_task(journal.run())
    bodies = list(populations.submitted(range(size)))
    await journal.publish_many(bodies, timeout=10.0)
    cpu_seconds = time.process_time()
    for _ in range(PUBLISH_ROUNDS):
        await journal.publish_many(bodies, timeout=10.0)
    cpu_seconds = time.process_time() - cpu_seconds
    journal_task.cancel()
    await asyncio.gather(journal_task, return_exceptions=True)
    client.close()
    return cpu_seconds / PUBLISH_ROUNDS


def _journal(
    client: LogClient, on_record: Callable[[int, Record], None] = lambda _offset, _record: None
) -> Journal:
    return Journal(
        vm="vm1",
        client=client,
        on_record=on_record,
        on_invalid=lambda _offset, _fault: None,
        counters=NullCounters(),
    )


def measure_rest(seed: int) -> None:
    """Print the cost of following a log to which nothing is appended, by time."""
    with log_standin() as port:
        points = [(seconds, 1e3 * asyncio.run(_idle(port, seconds))) for seconds in IDLE_SECONDS]
    print_fit("log_rest_processor", unit="ms", per="seconds", seed=seed, points=points)


async def _idle(port: int, seconds: float) -> float:
    client = LogClient(host=HOST, port=port)
    journal_task = asyncio.create_task(_journal(client).run())
    await asyncio.sleep(1.0)
    cpu_seconds = time.process_time()
    await asyncio.sleep(seconds)
    cpu_seconds = time.process_time() - cpu_seconds
    journal_task.cancel()
    await asyncio.gather(journal_task, return_exceptions=True)
    client.close()
    return cpu_seconds


def measure_folds(seed: int) -> None:
    """Print the cost of decoding and folding one record by kind and by jobs in the state."""
    for kind in ("JobSubmitted", "JobPlaced+JobStarted", "JobFinished", "claim and answer"):
        points = [(jobs, 1e6 * median_of(partial(_fold, kind, jobs))) for jobs in STATE_JOBS]
        print_fit(f"fold {kind}", unit="us", per="jobs in the state", seed=seed, points=points)
    for members in (1, 32, 128):
        data = populations.encode_bodies(populations.started([0], 1, members))[0]
        print_row("bytes JobPlaced", seed=seed, members=members, value=len(data))
        seconds = median_of(partial(_decode_seconds, data))
        print_row("decode JobPlaced", seed=seed, members=members, unit="us", value=1e6 * seconds)
    sizes = {
        "JobSubmitted": populations.encode_bodies(populations.submitted([0]))[0],
        "JobFinished": populations.encode_bodies(populations.finished([0], 1))[0],
        "RequestClaimed": populations.encode_claims([0])[0],
        "RequestFinished": populations.encode_claims([0])[1],
    }
    for kind, data in sizes.items():
        print_row(f"bytes {kind}", seed=seed, value=len(data))


def _fold(kind: str, jobs: int) -> float:
    """Return processor seconds per record."""
    builder = populations.StateBuilder()
    before = range(jobs)
    new = range(jobs, jobs + FOLDED_RECORDS)
    builder.fold_all(populations.encode_bodies(populations.submitted(before)))
    if kind == "JobSubmitted":
        records = populations.encode_bodies(populations.submitted(new))
    elif kind == "claim and answer":
        records = populations.encode_claims(new)
    else:
        builder.fold_all(populations.encode_bodies(populations.submitted(new)))
        records = populations.encode_bodies(populations.started(new, builder.epoch))
        if kind == "JobFinished":
            builder.fold_all(records)
            records = populations.encode_bodies(populations.finished(new, builder.epoch))
    cpu_seconds = time.process_time()
    builder.fold_all(records)
    return (time.process_time() - cpu_seconds) / len(records)


def _decode_seconds(data: bytes) -> float:
    cpu_seconds = time.process_time()
    for _ in range(FOLDED_RECORDS):
        decode_record(data)
    return (time.process_time() - cpu_seconds) / FOLDED_RECORDS
