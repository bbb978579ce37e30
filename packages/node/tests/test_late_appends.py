"""Tests of records that a VM would send long after their callers have left."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from zinniaweir.node import relay as relay_module
from zinniaweir.node import service as service_module
from zinniaweir.node.answers import OutcomeUnknown, Refused
from zinniaweir.node.boottime import boottime
from zinniaweir.node.ports import Fence, KeyedRecord, NothingDoneError

from .conftest import PARISH, TERMS, MemoryLog, MemoryWorkers, RefusingLog
from .test_node import SPEC, deadline, new_node, run, running

if TYPE_CHECKING:
    import pytest


class KeptConnectionLog(RefusingLog):
    """A log whose calls leave at once, and whose VM is suspended after the first submission."""

    def __init__(self, log: MemoryLog, *, suspend: Callable[[], None]) -> None:
        super().__init__(log)
        self.sent = 0
        self._suspend = suspend

    async def append(
        self,
        records: list[KeyedRecord],
        *,
        fence: Fence | None = None,
        timeout_seconds: float | None = None,
    ) -> int:
        if not records[0].key.startswith("s/"):
            return await self._log.append(records, fence=fence, timeout_seconds=timeout_seconds)
        self.sent += 1
        asyncio.get_running_loop().call_later(
            service_module.APPEND_RETRY_DELAY_SECONDS / 2, self._suspend
        )
        raise NothingDoneError("refused")


def test_record_is_not_sent_after_its_callers_deadline(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a submission that a VM sends when it wakes long after it was suspended."""

    def suspend() -> None:
        for module in (service_module, relay_module):
            monkeypatch.setattr(module, "boottime", lambda: boottime() + 200.0)

    log = KeptConnectionLog(memory_log, suspend=suspend)

    async def work() -> None:
        node = new_node("v1", log, MemoryWorkers())
        async with running(node):
            answer = await node.service.submit(PARISH, TERMS, "a1", SPEC, deadline=deadline())
            assert isinstance(answer, Refused)
            await asyncio.sleep(0.1)
            assert log.sent == 1

    run(work())


def test_record_is_not_sent_for_ever_to_a_caller_that_states_a_late_deadline(
    memory_log: MemoryLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a submission that arrives after all that was known of its job is gone."""
    monkeypatch.setattr(service_module, "MAX_APPEND_SECONDS", 0.5)

    async def work() -> None:
        node = new_node("v1", memory_log, MemoryWorkers())
        async with running(node):
            memory_log.down = True
            answer = await node.service.submit(
                PARISH, TERMS, "a1", SPEC, deadline=boottime() + 86_400.0
            )
            assert isinstance(answer, OutcomeUnknown)

    run(work())
