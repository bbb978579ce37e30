"""Tests of calls to the log while it is silent towards a part of the VMs."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from zinniaweir.node.boottime import boottime
from zinniaweir.node.ports import KeyedRecord, NoAnswerError, Stream
from zinniaweir.node.relay import DIRECT_RETRY_INTERVAL_SECONDS, RelayLog
from zinniaweir.telemetry.counters import Counters

from .conftest import MemoryLog, MemoryPeers, RefusingLog, UnreachableLog

SILENCE_SECONDS = 0.5
"""Time after which a call to a silent log fails."""


class SilentLog:
    """A log as seen by a VM towards which it can be silent."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.silent = True

    def __getattr__(self, name: str) -> Any:
        return self._wait if self.silent else getattr(self._log, name)

    async def _wait(self, *_args: Any, **_options: Any) -> Any:
        await asyncio.sleep(SILENCE_SECONDS)
        raise NoAnswerError("silent")


def relay_log(direct: Any, peers: dict[str, Any]) -> RelayLog:
    return RelayLog(
        direct=direct,
        peers=MemoryPeers(peers),
        addresses=lambda: list(peers),
        counters=Counters(),
    )


def test_silent_log_delays_only_the_first_call() -> None:
    """Guards against callers that wait for a silent log although other VMs reach it.

    Every call that was due to try the log directly waited for its time-out first.
    """

    async def work() -> None:
        log = MemoryLog()
        relay = relay_log(SilentLog(log), {"v2:1": log})
        record = KeyedRecord(key="a", value=b"1")
        await relay.append([record])
        for _ in range(5):
            await asyncio.sleep(DIRECT_RETRY_INTERVAL_SECONDS)
            started_at = boottime()
            await relay.append([record])
            assert boottime() - started_at < SILENCE_SECONDS / 2

    asyncio.run(work())


def test_log_is_called_directly_again_once_it_answers() -> None:
    """Guards against calls that go through other VMs for good."""

    async def work() -> None:
        log = MemoryLog()
        direct = SilentLog(log)
        relay = relay_log(direct, {"v2:1": log})
        await relay.newest(Stream.JOBS)
        direct.silent = False
        await asyncio.sleep(DIRECT_RETRY_INTERVAL_SECONDS)
        await relay.newest(Stream.JOBS)
        await asyncio.sleep(0.05)
        assert relay.for_peers is direct

    asyncio.run(work())


def test_relayed_append_without_answer_is_not_reported_as_undone() -> None:
    """Guards against a refused job that runs, since a copy of its append took effect.

    The log rejected the direct copy, and the answer to the one through another VM was lost.
    """

    async def work() -> None:
        log = MemoryLog()
        direct = RefusingLog(log)
        direct.refusing = True
        relay = relay_log(direct, {"v2:1": log})
        await relay.newest(Stream.JOBS)
        await asyncio.sleep(DIRECT_RETRY_INTERVAL_SECONDS)
        log.lose_answers = 1
        with pytest.raises(NoAnswerError):
            await relay.append([KeyedRecord(key="a", value=b"1")])
        assert len(log.streams[Stream.JOBS]) == 1

    asyncio.run(work())


def test_log_that_no_vm_reaches_is_an_error() -> None:
    """Guards against calls that never end while the log is silent towards all VMs."""

    async def work() -> None:
        relay = relay_log(SilentLog(MemoryLog()), {"v2:1": UnreachableLog()})
        for _ in range(3):
            with pytest.raises(NoAnswerError):
                await relay.newest(Stream.JOBS)
            await asyncio.sleep(DIRECT_RETRY_INTERVAL_SECONDS)

    asyncio.run(work())
