"""Context of a command: its options, client and output."""

from __future__ import annotations

import getpass
import os
import secrets
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import httpx
from cyclopts import Parameter
from rich.console import Console

from zinniaweir.ctl import exits
from zinniaweir.ctl.client import READ_TIMEOUT_SECONDS, Answer, Client
from zinniaweir.ctl.output import Output
from zinniaweir.settings.yaml_text import MAX_BYTES, load_yaml

NON_TERMINAL_COLUMNS = 160
"""Width of output that does not go to a terminal."""


FileName = Annotated[str, Parameter(allow_leading_hyphen=True)]
"""Name of a file, or `-` for standard input, which must not be parsed as an option."""


class UsageError(Exception):
    """The command line is invalid, or a file that it names cannot be read."""


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class Options:
    """Options of every command."""

    server: Annotated[str, Parameter(env_var="ZINNIAWEIR_SERVER")] = ""
    """Entry processes as HOST:PORT, separated by commas; the next is tried if one is down."""
    json: Annotated[bool, Parameter(negative="")] = False
    """Print the answer as JSON, for programs."""
    timeout: float = READ_TIMEOUT_SECONDS
    """Seconds to wait for an answer."""


def _console(stderr: bool) -> Console:
    stream = sys.stderr if stderr else sys.stdout
    width = None if stream.isatty() else NON_TERMINAL_COLUMNS
    return Console(stderr=stderr, width=width, markup=False, highlight=False, emoji=False)


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return os.environ.get("USER", "")


@dataclass(frozen=True, kw_only=True)
class Environment:
    """Consoles, network, clock and user of the program; tests replace parts of it."""

    console: Console = field(default_factory=lambda: _console(stderr=False))
    errors: Console = field(default_factory=lambda: _console(stderr=True))
    transport: httpx.BaseTransport | None = None
    read_input: Callable[[], bytes] = field(
        default=lambda: sys.stdin.buffer.read(MAX_BYTES + 1), repr=False
    )
    new_key: Callable[[], str] = field(default=lambda: secrets.token_hex(16), repr=False)
    sleep: Callable[[float], None] = time.sleep
    clock: Callable[[], float] = time.monotonic
    user: Callable[[], str] = _user


class Session:
    """Context of one running command."""

    def __init__(self, *, options: Options, environment: Environment) -> None:
        """Initialize the client and the output without calling a server.

        Raises:
            UsageError: If the address of a server is invalid.
        """
        servers = tuple(_server_url(part) for part in options.server.split(",") if part.strip())
        self.environment = environment
        """Consoles, network, clock and user of the program."""
        self.output = Output(
            console=environment.console, errors=environment.errors, as_json=options.json
        )
        """Writer of results, refusals and progress."""
        self._client = Client(
            servers=servers, transport=environment.transport, read_timeout_seconds=options.timeout
        )

    @property
    def client(self) -> Client:
        """Client for the servers.

        Raises:
            UsageError: If no server is named.
        """
        if not self._client.servers:
            raise UsageError("name a server with --server or ZINNIAWEIR_SERVER")
        return self._client

    def close(self) -> None:
        """Remove the progress spinner and close all connections."""
        self.output.end_progress()
        self._client.close()

    def read_bytes(self, file: str) -> bytes:
        """Return the content of a file, or of standard input for `-`.

        Reads at most one byte beyond `MAX_BYTES`, which is enough for `load_yaml` to refuse it.

        Raises:
            UsageError: If the file cannot be read.
        """
        if file == "-":
            return self.environment.read_input()
        try:
            with Path(file).open("rb") as opened:
                return opened.read(MAX_BYTES + 1)
        except OSError as error:
            raise UsageError(f"{file}: {error.strerror}") from error

    def read_yaml(self, file: str) -> Any:
        """Return the value of a YAML file, or of standard input for `-`.

        Raises:
            UsageError: If the file cannot be read.
            SettingsError: If the content is not YAML that `load_yaml` accepts.
        """
        return load_yaml(self.read_bytes(file))

    def write_answer(self, answer: Answer, render: Callable[[dict[str, Any]], None]) -> int:
        """Write an answer and return its exit code.

        Args:
            answer: The answer.
            render: Writes the body for people if the exit code is `DONE`.
        """
        if self.output.as_json:
            self.output.json(answer.body)
        elif answer.code == exits.DONE:
            render(answer.body)
        else:
            self.write_refusal(answer)
        return answer.code

    def write_refusal(self, answer: Answer) -> None:
        """Write the state and the reasons of a refused call to standard error."""
        names = {exits.NOT_FOUND: "not found", exits.UNREACHABLE: "unreachable"}
        state = answer.text("state") or names.get(answer.code, f"status {answer.status}")
        fields = (answer.text("reason"), answer.text("detail"), answer.text("error"))
        parts = list(dict.fromkeys(part for part in fields if part))
        self.output.error(": ".join([state, *parts]))
        self.output.problems(answer.body.get("problems") or [])
        if nearest := answer.body.get("nearest"):
            names_text = ", ".join(nearest) if isinstance(nearest, list) else str(nearest)
            self.output.error(f"  nearest names: {names_text}")


def _server_url(server: str) -> str:
    server = server.strip().rstrip("/")
    url = server if "://" in server else f"http://{server}"
    try:
        parsed = httpx.URL(url)
    except httpx.InvalidURL as error:
        raise UsageError(f"server {server}: {error}") from error
    if parsed.scheme not in ("http", "https") or not parsed.host:
        raise UsageError(f"server {server}: expected HOST:PORT or an http URL")
    return url
