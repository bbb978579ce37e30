"""Results for people as tables and YAML, and for programs as JSON."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import msgspec
import yaml
from rich import box
from rich.status import Status
from rich.table import Table
from rich.text import Text

if TYPE_CHECKING:
    from rich.console import Console


class Output:
    """Write results to standard output, and refusals and progress to standard error."""

    def __init__(self, *, console: Console, errors: Console, as_json: bool) -> None:
        """Write to these consoles.

        Args:
            console: Standard output.
            errors: Standard error.
            as_json: Whether a program reads the results.
        """
        self._console = console
        self._errors = errors
        self._status: Status | None = None
        self._progress = ""
        self.as_json = as_json
        """Whether a program reads the results."""

    def json(self, body: Any) -> None:
        """Write a result for programs."""
        encoded = msgspec.json.format(msgspec.json.encode(body), indent=2).decode()
        self._raw(encoded)

    def yaml(self, value: Any) -> None:
        """Write a value as YAML."""
        text = yaml.safe_dump(value, sort_keys=False, allow_unicode=True, default_flow_style=None)
        self._raw(text.rstrip("\n").removesuffix("\n..."))

    def line(self, text: str) -> None:
        """Write one line."""
        self.end_progress()
        self._console.print(printable(text), soft_wrap=True)

    def table(self, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Write a table, or a line if it has no rows."""
        self.end_progress()
        table = Table(box=box.SIMPLE_HEAD, pad_edge=False, show_edge=False)
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(printable(cell) for cell in row))
        if table.row_count:
            self._console.print(table)
        else:
            self.line("none")

    def error(self, text: str) -> None:
        """Write one line for people to standard error."""
        self.end_progress()
        self._errors.print(printable(text), soft_wrap=True)

    def problems(self, problems: Iterable[dict[str, Any]]) -> None:
        """Write rules that are broken to standard error."""
        for found in problems:
            parts = (found.get("path"), found.get("value"), found.get("rule"))
            self.error(f"  {parts[0]}: {parts[1]}: {parts[2]}")

    def progress(self, text: str) -> None:
        """Show how a wait goes on until the next output; programs get none."""
        if self.as_json or text == self._progress:
            return
        self._progress = text
        if not self._errors.is_terminal:
            self._errors.print(printable(f"… {text}"), soft_wrap=True)
        elif self._status is None:
            self._status = Status(printable(text), console=self._errors)
            self._status.start()
        else:
            self._status.update(printable(text))

    def end_progress(self) -> None:
        """Take away what shows the progress."""
        if self._status is not None:
            self._status.stop()
            self._status = None

    def _raw(self, text: str) -> None:
        self.end_progress()
        self._console.out(text, highlight=False)


def printable(value: Any) -> Text:
    """Return a text that cannot control the terminal; names come from callers."""
    if value is None:
        return Text("-")
    if isinstance(value, float):
        value = f"{value:g}"
    text = str(value)
    return Text("".join(c if c.isprintable() or c == "\n" else "?" for c in text) or "-")


def format_time(at: Any) -> str:
    """Return a wall-clock time in seconds as text in UTC; `-` for none."""
    if not isinstance(at, (int, float)) or at <= 0:
        return "-"
    try:
        return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S")
    except (OverflowError, ValueError, OSError):
        return "-"
