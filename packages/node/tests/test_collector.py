"""Tests of a log that is slow while many VMs accept jobs: their appends join the owner's."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from zinniaweir.node.answers import Accepted
from zinniaweir.node.collector import Collector
from zinniaweir.node.node import Node
from zinniaweir.node.ports import Fence, KeyedRecord, NoAnswerError, NothingDoneError, Stream

from .conftest import PARISH, TERMS, MemoryLog, MemoryWorkers
from .test_node import SPEC, deadline, new_node, run, running, until

APPEND_SECONDS = 0.15
JOBS = 40
"""More jobs than a slow log can append one by one before their callers give up."""


class SerialLog(MemoryLog):
    """A log that works on one append after the other."""

    def __init__(self) -> None:
        super().__init__()
        self._lock = asyncio.Lock()

    async def append(
        self,
        records: list[KeyedRecord],
        *,
        fence: Fence | None = None,
        timeout_seconds: float | None = None,
    ) -> int:
        async with self._lock:
            return await super().append(records, fence=fence, timeout_seconds=timeout_seconds)


class LogOfNode:
    """The log that a VM offers to other VMs."""

    def __init__(self) -> None:
        self.node: Node | None = None

    def __getattr__(self, name: str) -> Any:
        assert self.node is not None
        return getattr(self.node.log_for_peers, name)


def test_slow_log_accepts_the_jobs_of_all_vms_in_time() -> None:
    """Guards against callers that give up, and owners that are replaced, while the log is slow."""

    async def work() -> None:
        log = SerialLog()
        log.put(Stream.OPERATORS, "config", b"1")
        offers = {f"v{n}:1": LogOfNode() for n in range(4)}
        nodes = [new_node(f"v{n}", log, MemoryWorkers(), peers=dict(offers)) for n in range(4)]
        for node, offer in zip(nodes, offers.values(), strict=True):
            offer.node = node
        async with running(*nodes):
            await until(lambda: any(node.owner for node in nodes))
            await until(lambda: all(len(node.view.job_table.vms) == 4 for node in nodes))
            log.append_seconds = APPEND_SECONDS
            await until(
                lambda: all((c := node.view.job_table.claim) and c.collects for node in nodes)
            )
            owners = [node.owner for node in nodes]
            answers = await asyncio.gather(
                *(
                    nodes[n % 4].service.submit(PARISH, TERMS, f"a{n}", SPEC, deadline=deadline())
                    for n in range(JOBS)
                )
            )
            assert answers == [Accepted()] * JOBS
            assert [node.owner for node in nodes] == owners

    run(work())


def test_records_are_reported_as_their_append_went() -> None:
    """Guards against a job that is refused as not accepted although it is on the log."""

    async def work() -> None:
        collector = Collector()
        first = asyncio.create_task(collector.append([KeyedRecord(key="a", value=b"1")]))
        await asyncio.sleep(0)
        assert [record.key for record in collector.take()] == ["a"]
        collector.finish(7)
        assert await first == 7
        in_flight = asyncio.create_task(collector.append([KeyedRecord(key="b", value=b"1")]))
        await asyncio.sleep(0)
        collector.take()
        waiting = asyncio.create_task(collector.append([KeyedRecord(key="c", value=b"1")]))
        await asyncio.sleep(0)
        collector.close()
        with pytest.raises(NoAnswerError):
            await in_flight
        with pytest.raises(NothingDoneError):
            await waiting
        with pytest.raises(NothingDoneError):
            await collector.append([KeyedRecord(key="d", value=b"1")])

    asyncio.run(work())
