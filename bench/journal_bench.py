"""Measures publish latency, catch-up and idle processor time of a journal."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import socket
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from zinniaweir.journal.client import LogCallError, LogClient
from zinniaweir.journal.journal import Journal
from zinniaweir.wire.records import RequestClaimed, encode_record, new_record

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator, Sequence

APPENDS_PER_SECOND = 300.0
"""Maximum rate of appends while the log is filled for the catch-up."""


class _NullCounters:
    """Counters that count nothing."""

    def add(self, name: str, *, reason: str = "", amount: int = 1) -> None:
        """Ignore the count."""


def run(arguments: Sequence[str] = ()) -> None:
    """Print JSON lines on a journal whose log stand-in runs in a separate process on loopback."""
    parser = argparse.ArgumentParser(prog="journal_bench")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--records", type=int, default=21_384)
    options = parser.parse_args(list(arguments))
    with _log_process() as port:
        asyncio.run(_measure(port, options))


async def _measure(port: int, options: argparse.Namespace) -> None:
    client = LogClient(host="127.0.0.1", port=port)
    await _wait_for(client)
    _print(await _publish_latency(port, options.rate, options.seconds))
    _print(await _catch_up(port, client, options.records))
    _print(await _idle(port, options.seconds))
    client.close()


async def _publish_latency(port: int, rate: float, seconds: float) -> dict[str, float | str]:
    histogram = HdrHistogram(1, 60_000_000, 3)
    failures = 0

    async def publish(journal: Journal) -> None:
        nonlocal failures
        started = time.perf_counter()
        try:
            await journal.publish(_claim(), timeout=5.0)
            histogram.record_value(max(1, int((time.perf_counter() - started) * 1e6)))
        except Exception:
            failures += 1

    async with _running_journal(port) as journal, asyncio.TaskGroup() as group:
        started = time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + number / rate - time.monotonic()))
            group.create_task(publish(journal))
    return {
        "bench": "journal_publish",
        "rate": rate,
        "count": histogram.get_total_count(),
        "failures": failures,
        "p50_ms": histogram.get_value_at_percentile(50) / 1e3,
        "p99_ms": histogram.get_value_at_percentile(99) / 1e3,
        "max_ms": histogram.get_max_value() / 1e3,
    }


async def _catch_up(port: int, client: LogClient, records: int) -> dict[str, float | str]:
    for start in range(0, records, 200):
        batch = [_encoded() for _ in range(min(200, records - start))]
        await client.append(batch, timeout=5.0)
        await asyncio.sleep(1 / APPENDS_PER_SECOND)
    started = time.perf_counter()
    async with _running_journal(port) as journal:
        while not journal.caught_up:
            await asyncio.sleep(0.005)
        return {
            "bench": "journal_catch_up",
            "records": journal.next_offset,
            "seconds": round(time.perf_counter() - started, 3),
        }


async def _idle(port: int, seconds: float) -> dict[str, float | str]:
    async with _running_journal(port) as journal:
        while not journal.caught_up:
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        wall_seconds, cpu_seconds = time.monotonic(), time.process_time()
        await asyncio.sleep(seconds)
        wall_seconds, cpu_seconds = (
            time.monotonic() - wall_seconds,
            time.process_time() - cpu_seconds,
        )
    return {
        "bench": "journal_idle",
        "seconds": round(wall_seconds, 2),
        "core_share": round(cpu_seconds / wall_seconds, 5),
    }


@contextlib.asynccontextmanager
async def _running_journal(port: int) -> AsyncIterator[Journal]:
    client = LogClient(host="127.0.0.1", port=port)
    journal = Journal(
        vm="bench",
        client=client,
        on_record=lambda offset, record: None,
        on_invalid=lambda offset, fault: None,
        relay=_no_relay,
        counters=_NullCounters(),
    )
    task = asyncio.create_task(journal.run())
    try:
        yield journal
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        client.close()


async def _no_relay(from_offset: int) -> None:
    return None


def _claim() -> RequestClaimed:
    return RequestClaimed(key="k" * 24, customer="parish", digest=b"d" * 32, claimed_at=0.0)


def _encoded() -> bytes:
    return encode_record(new_record(vm="bench", body=_claim()))


def _print(line: dict[str, float | str]) -> None:
    print(json.dumps(line), flush=True)


async def _wait_for(client: LogClient) -> None:
    for _ in range(100):
        try:
            await client.read(0, limit=1, wait_seconds=0.0, timeout=1.0)
            return
        except LogCallError:
            await asyncio.sleep(0.1)
    raise RuntimeError("the log stand-in did not start")


@contextlib.contextmanager
def _log_process() -> Iterator[int]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    command = [sys.executable, "-m", "zinniaweir_standins.log", "--port", str(port)]
    process = subprocess.Popen(command)
    try:
        yield port
    finally:
        process.terminate()
        process.wait()


if __name__ == "__main__":
    run(sys.argv[1:])
