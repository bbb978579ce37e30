"""Cancellations that every version can read, of jobs that were cancelled early."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

from zinniaweir.node.ports import KeyedRecord, Log, LogError
from zinniaweir.node.view import View
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log
from zinniaweir.workloads.records import Cancellation, cancellation_key, encode_record

CONFIRM_DELAY_SECONDS: Final = (0.3, 0.9)
"""Range of the delay before a VM that does not own scheduling confirms a cancellation.

An owner of this version has done so by then. Otherwise some VM comes first, and the others read its
record.
"""
CONFIRM_RETRY_SECONDS: Final = 0.5
"""Time in which this VM's own record is read back before it looks again."""


class CancellationConfirmer:
    """Append the cancellations of jobs that only an early cancellation keeps from running.

    An owner of an earlier version cannot read the early one and runs such a job.

    Args:
        view: State of the platform as read from the log.
        log_port: The platform's log.
        is_owner: Returns whether this VM owns scheduling.
        counters: Receives counts of confirmed cancellations and failures.
    """

    def __init__(
        self, *, view: View, log_port: Log, is_owner: Callable[[], bool], counters: Counters
    ) -> None:
        self._view = view
        self._log_port = log_port
        self._is_owner = is_owner
        self._counters = counters
        self._wake = asyncio.Event()

    def notify(self) -> None:
        """Look for such jobs after a read of the log."""
        if self._view.job_table.unconfirmed_cancellations:
            self._wake.set()

    async def run(self) -> None:
        """Confirm cancellations until cancelled."""
        while True:
            await self._wake.wait()
            if not self._is_owner():
                await asyncio.sleep(random.uniform(*CONFIRM_DELAY_SECONDS))
            for job_id in self._view.job_table.unconfirmed_cancellations:
                entry = self._view.job_table.get(job_id)
                if entry is not None and entry.needs_cancellation:
                    await self._confirm(job_id)
            await asyncio.sleep(CONFIRM_RETRY_SECONDS)
            self._wake.clear()

    async def _confirm(self, job_id: str) -> None:
        """Append a job's cancellation; after a failure the next read of the log tries again."""
        record = KeyedRecord(
            key=cancellation_key(job_id),
            value=encode_record(Cancellation(job_id=job_id, at=time.time())),
        )
        try:
            await self._log_port.append([record])
        except LogError as error:
            self._counters.add("cancellation_confirmations", reason=type(error).__name__)
            return
        except Exception as error:
            # It would end the process, and that of each other VM.
            self._counters.add("cancellation_confirmations", reason=type(error).__name__)
            log("confirmation_fault", job_id=job_id, error=repr(error))
            return
        self._counters.add("cancellation_confirmations", reason="appended")
        log("cancellation_confirmed", job_id=job_id)
