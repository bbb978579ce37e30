"""Command line and main program of the entry process."""

from __future__ import annotations

import asyncio
import os
import resource
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from cyclopts import App

from zinniaweir.settings.command import settings_from_command_line
from zinniaweir.settings.process import EntrySettings
from zinniaweir.telemetry.logs import log, start_logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.entry.answers import Answer
    from zinniaweir.entry.http_reader import HttpRequest

RESERVED_OPEN_FILES: Final = 256
"""File descriptors reserved for upstreams, the scheduler process and the process itself."""

BYTES_PER_MB: Final = 1_000_000
REQUEST_MEMORY_SHARE: Final = 0.125
"""Share of the memory for requests that have arrived in part or are in flight."""

app = App(name="zinniaweir-entry", help="Serve HTTP to callers and operators.")


@app.default
def start(settings: Path, *, check: bool = False) -> None:
    """Run the entry process until a signal comes.

    Args:
        settings: YAML file with the settings of the process.
        check: Only check the settings, then exit.
    """
    checked = settings_from_command_line(settings, EntrySettings, check=check)
    if checked is None:
        return
    start_logs(process="entry", vm=checked.vm)
    EntryProcess(settings=checked).run()


class EntryProcess:
    """Run the HTTP server in the main thread and everything else in an asyncio thread."""

    def __init__(self, *, settings: EntrySettings) -> None:
        from zinniaweir.entry.service import EntryService

        self._settings = settings
        self._loop = asyncio.new_event_loop()
        self._service = EntryService(settings=settings)

    def run(self) -> None:
        """Serve until a signal comes, then drain."""
        from circuits.core.pollers import EPoll
        from circuits.web import BaseServer

        from zinniaweir.entry.connection_budget import ConnectionBudget
        from zinniaweir.entry.http import HttpFrontend

        thread = threading.Thread(target=self._run_loop, name="asyncio", daemon=True)
        thread.start()
        asyncio.run_coroutine_threadsafe(self._service.start(), self._loop).result()
        server = BaseServer((self._settings.host, self._settings.http_port), display_banner=False)
        # The default poller uses select, which fails for file descriptors above 1023.
        EPoll().register(server)
        HttpFrontend(
            submit=self._submit,
            on_stop=self._drain,
            on_refused=self._count_refusal,
            budget=ConnectionBudget(
                max_held_bytes=_held_bytes_limit(self._settings.memory_mb),
                max_per_address=self._settings.max_connections_per_address,
            ),
            max_connections=_connection_limit(self._settings.max_connections),
            idle_seconds=self._settings.idle_seconds,
            receive_seconds=self._settings.receive_seconds,
        ).register(server)
        log("listening", port=self._settings.http_port)
        server.run()
        log("stopped")

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _submit(self, request: HttpRequest, reply: Callable[[Answer], None]) -> None:
        def run() -> None:
            task = asyncio.ensure_future(self._service.answer(request))
            task.add_done_callback(lambda done: reply(done.result()))

        self._loop.call_soon_threadsafe(run)

    def _count_refusal(self, reason: str) -> None:
        self._loop.call_soon_threadsafe(self._service.count_refusal, reason)

    def _drain(self, on_drained: Callable[[], Any]) -> None:
        future = asyncio.run_coroutine_threadsafe(self._service.drain(), self._loop)
        future.add_done_callback(lambda _: on_drained())


def _held_bytes_limit(memory_mb: int) -> int:
    """Return the bytes that requests may hold on a machine, 0 MB for the one that is present."""
    present = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return int(REQUEST_MEMORY_SHARE * (memory_mb * BYTES_PER_MB or present))


def _connection_limit(wanted: int) -> int:
    """Return the wanted number of connections, lowered to what the open-files limit allows."""
    open_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = max(1, open_files - RESERVED_OPEN_FILES)
    if allowed < wanted:
        log("connection_limit_lowered", wanted=wanted, allowed=allowed, open_files=open_files)
    return min(wanted, allowed)


def run() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    run()
