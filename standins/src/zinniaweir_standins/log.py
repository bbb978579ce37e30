"""Stand-in for the platform's append-only log."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import deque
from typing import Annotated, Any

from cyclopts import App, Parameter
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from zinniaweir.wire.log_service import (
    LOG_SERVICE,
    AppendReply,
    AppendRequest,
    LogEntry,
    ReadReply,
    ReadRequest,
)
from zinniaweir.wire.service import ServiceHandler
from zinniaweir_standins.faults import (
    CONTROL_SERVICE,
    FactsRequest,
    FaultReply,
    FaultRequest,
    Faults,
)
from zinniaweir_standins.serving import serve

app = App(name="log", help="Stand-in for the append-only log.")


class LogStandin:
    """Keep appended entries in memory until their retention time has passed.

    The fault `retention_seconds` changes the retention time.
    """

    def __init__(self, *, retention_seconds: float, appends_per_second: float) -> None:
        self._entries: deque[tuple[float, bytes]] = deque()
        self._first_offset = 0
        self._retention_seconds = retention_seconds
        self._appends_per_second = appends_per_second
        self._tokens = appends_per_second
        self._tokens_updated_at = time.monotonic()
        self._appended = asyncio.Event()
        self._appends = 0
        self._reads = 0
        self._history: list[tuple[int, float, bytes]] = []
        self.faults = Faults()
        """Faults that are switched on."""

    @property
    def end(self) -> int:
        """Offset of the next entry to be appended."""
        return self._first_offset + len(self._entries)

    async def append(self, request: AppendRequest) -> AppendReply:
        """Append the entries of one call, which counts once against the append rate.

        Raises:
            GRPCError: If the log is down, the append rate is exceeded or the answer is lost.
        """
        await self.faults.before("append")
        self._consume_token()
        self._appends += 1
        first = self.end
        now = time.monotonic()
        self._entries.extend((now, entry) for entry in request.entries)
        at = time.time()
        self._history.extend(
            (first + index, at, entry) for index, entry in enumerate(request.entries)
        )
        self._appended.set()
        self._appended = asyncio.Event()
        self.faults.after("append")
        return AppendReply(first_offset=first)

    async def read(self, request: ReadRequest) -> ReadReply:
        """Return entries from an offset on, waiting for the next one if asked to.

        Raises:
            GRPCError: If the log is down.
        """
        await self.faults.before()
        self._reads += 1
        self._trim()
        if request.from_offset >= self.end and request.wait_seconds > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._appended.wait(), request.wait_seconds)
            await self.faults.before()
        start = max(request.from_offset, self._first_offset)
        stop = min(start + request.limit, self.end)
        entries = [
            LogEntry(offset=offset, data=self._entries[offset - self._first_offset][1])
            for offset in range(start, stop)
        ]
        return ReadReply(entries=entries, first_offset=self._first_offset, end_offset=self.end)

    async def set_faults(self, request: FaultRequest) -> FaultReply:
        """Replace the faults and return the facts."""
        self.faults.set(request)
        self._retention_seconds = self.faults.value("retention_seconds", self._retention_seconds)
        return FaultReply(facts=self._facts())

    async def get_facts(self, request: FactsRequest) -> FaultReply:
        """Return the facts with the rest of the history.

        The history has each appended entry with its offset and time, also after it was trimmed.
        """
        return FaultReply(facts={**self._facts(), "history": self._history[request.history_from :]})

    def _facts(self) -> dict[str, Any]:
        return {
            "appends": self._appends,
            "reads": self._reads,
            "first": self._first_offset,
            "end": self.end,
        }

    def _consume_token(self) -> None:
        now = time.monotonic()
        gained = (now - self._tokens_updated_at) * self._appends_per_second
        self._tokens = min(self._appends_per_second, self._tokens + gained)
        self._tokens_updated_at = now
        if self._tokens < 1:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "append rate exceeded")
        self._tokens -= 1

    def _trim(self) -> None:
        cutoff = time.monotonic() - self._retention_seconds
        while self._entries and self._entries[0][0] < cutoff:
            self._entries.popleft()
            self._first_offset += 1


@app.default
def run(
    *,
    host: str = "127.0.0.1",
    port: int,
    retention_seconds: float = 3600.0,
    appends_per_second: Annotated[float, Parameter(help="Rate limit.")] = 300.0,
) -> None:
    """Serve the log until a signal comes."""

    async def start() -> None:
        log = LogStandin(retention_seconds=retention_seconds, appends_per_second=appends_per_second)
        await serve(
            host,
            port,
            [
                ServiceHandler(service=LOG_SERVICE, implementation=log),
                ServiceHandler(service=CONTROL_SERVICE, implementation=log),
            ],
        )

    asyncio.run(start())


if __name__ == "__main__":
    app()
