"""Fixtures: the log stand-in, and journals that record what they deliver."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter

import pytest

from zinniaweir.journal.client import LogClient
from zinniaweir.journal.journal import Journal
from zinniaweir.wire.log_service import LOG_SERVICE
from zinniaweir.wire.records import JobsCancelled
from zinniaweir.wire.service import ServiceHandler, make_server
from zinniaweir_standins.faults import FaultRequest
from zinniaweir_standins.log import LogStandin


class Counts:
    def __init__(self):
        self.values = Counter()

    def add(self, name, *, reason="", amount=1):
        self.values[name, reason] += amount


class Follower:
    """Journal that keeps what it delivered."""

    def __init__(self, client, vm="vm1", **options):
        self.delivered = []
        self.invalid = []
        self.gaps = []
        self.counts = Counts()
        self.client = client
        self.journal = Journal(
            vm=vm,
            client=client,
            on_record=lambda offset, record: self.delivered.append((offset, record)),
            on_invalid=lambda offset, fault: self.invalid.append(offset),
            on_gap=self.gaps.append,
            counters=self.counts,
            **options,
        )

    @property
    def labels(self):
        return [record.body.label for _, record in self.delivered]

    async def publish(self, label, timeout=3.0):
        return await self.journal.publish(JobsCancelled(label=label), timeout=timeout)

    @contextlib.asynccontextmanager
    async def running(self):
        task = asyncio.create_task(self.journal.run())
        try:
            yield self
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            if isinstance(self.client, LogClient):
                self.client.close()


class StandinLog:
    """Log stand-in on a free loopback port."""

    def __init__(self, server, standin):
        self.standin = standin
        self.port = server._server.sockets[0].getsockname()[1]

    def client(self):
        return LogClient(host="127.0.0.1", port=self.port)

    def fault(self, **fields):
        self.standin.faults.set(FaultRequest(**fields))


@contextlib.asynccontextmanager
async def open_log(*, retention_seconds=3600.0, appends_per_second=300.0):
    standin = LogStandin(retention_seconds=retention_seconds, appends_per_second=appends_per_second)
    server = make_server([ServiceHandler(service=LOG_SERVICE, implementation=standin)])
    await server.start("127.0.0.1", 0)
    try:
        yield StandinLog(server, standin)
    finally:
        server.close()
        await server.wait_closed()


async def until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def kit():
    class Kit:
        counts = Counts
        follower = Follower
        log = staticmethod(open_log)
        until = staticmethod(until)

    return Kit
