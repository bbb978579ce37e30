"""Tests of an owner's fenced appends."""

from __future__ import annotations

import asyncio
from typing import Any

from zinniaweir.node.boottime import boottime
from zinniaweir.node.ports import Fence, KeyedRecord, NoAnswerError
from zinniaweir.node.recorder import Recorder
from zinniaweir.telemetry.counters import Counters

from .conftest import MemoryLog


def test_repeated_append_confirms_no_ownership_after_another_owners_claim() -> None:
    """Guards against leases that are renewed for longer than the next owner waits.

    An append takes effect without an answer, and is repeated after another owner has claimed.
    """
    record = KeyedRecord(key="owner", value=b"")
    claimed_at: list[float] = []

    class SupersedingLog(MemoryLog):
        async def append(self, records: list[KeyedRecord], **options: Any) -> int:
            offset = await super().append(records, **options)
            if not claimed_at:
                claimed_at.append(boottime())
                await super().append([record], fence=Fence(epoch=2, sequence=0))
                raise NoAnswerError("lost")
            return offset

    async def work() -> None:
        log = SupersedingLog(epoch=1)
        recorder = Recorder(
            log_port=log, epoch=1, sequence=0, claimed_at=boottime(), counters=Counters()
        )
        await recorder.write([record])
        assert recorder.confirmed_at <= claimed_at[0]

    asyncio.run(work())
