"""Fixtures for tests of the command line."""

from __future__ import annotations

import io
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httpx
import pytest
from rich.console import Console

from zinniaweir.ctl.main import run_command
from zinniaweir.ctl.session import Environment

Reply = tuple[int, Any]
SERVERS = "10.0.0.1:80,10.0.0.2:80"


@dataclass
class FakeEntryProcesses:
    """HTTP transport that answers like entry processes, from a table, with faults by server."""

    replies: dict[str, Reply | Callable[[httpx.Request], Reply]] = field(default_factory=dict)
    """Status and body, or a function that returns them, by method and path as in `GET /v1/jobs`."""
    faults: dict[str, list[type[Exception] | None]] = field(default_factory=dict)
    """Errors by host for its next calls; None stands for a call without an error.

    A ConnectError is raised before the call takes effect, every other error after it.
    """
    calls: list[tuple[str, str, str, Any]] = field(default_factory=list)
    """Host, method, path and body of each call that was handled."""
    clock: float = 0.0
    stdin: bytes = b""

    def __call__(self, request: httpx.Request) -> httpx.Response:
        pending = self.faults.get(request.url.host, [])
        fault = pending.pop(0) if pending else None
        if fault is httpx.ConnectError:
            raise fault("connection refused")
        body = json.loads(request.content) if request.content else None
        self.calls.append((request.url.host, request.method, request.url.path, body))
        reply = self.replies.get(f"{request.method} {request.url.path}", (404, {"reason": "path"}))
        status, answer = reply(request) if callable(reply) else reply
        if fault is not None:
            raise fault("connection lost")
        content = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        return httpx.Response(status, content=content)

    def sleep(self, seconds: float) -> None:
        self.clock += seconds

    def run(self, *tokens: str, server: str = SERVERS) -> tuple[int, str, str]:
        """Run a command line and return its exit code, standard output and standard error."""
        out, errors = (
            Console(file=io.StringIO(), width=110, markup=False, highlight=False, emoji=False)
            for _ in range(2)
        )
        numbers = itertools.count(1)
        environment = Environment(
            console=out,
            errors=errors,
            transport=httpx.MockTransport(self),
            read_input=lambda: self.stdin,
            new_key=lambda: f"{next(numbers):08d}",
            sleep=self.sleep,
            clock=lambda: self.clock,
            user=lambda: "ana",
        )
        code = run_command([*tokens, "--server", server], environment)
        texts = [
            "\n".join(x.rstrip() for x in c.file.getvalue().splitlines()) for c in (out, errors)
        ]
        return code, texts[0], texts[1]


@pytest.fixture
def entries() -> FakeEntryProcesses:
    return FakeEntryProcesses()
