"""Terminal output: tables and YAML for people, JSON for programs."""

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
    """Writer of results to standard output, and of refusals and progress to standard error."""

    def __init__(self, *, console: Console, errors: Console, as_json: bool) -> None:
        """Initialize the output.

        Args:
            console: Console of standard output.
            errors: Console of standard error.
            as_json: Whether results are written as JSON for programs.
        """
        self._console = console
        self._errors = errors
        self._status: Status | None = None
        self._progress = ""
        self.as_json = as_json
        """Whether results are written as JSON for programs."""

    def json(self, body: Any) -> None:
        """Write a result as indented JSON."""
        encoded = msgspec.json.format(msgspec.json.encode(body), indent=2).decode()
        self._raw(encoded)

    def yaml(self, value: Any) -> None:
        """Write a value as YAML."""
        text = yaml.safe_dump(value, sort_keys=False, allow_unicode=True, default_flow_style=None)
        self._raw(text.rstrip("\n").removesuffix("\n..."))

    def line(self, text: str) -> None:
        """Write a line to standard output."""
        self.end_progress()
        self._console.print(printable(text), soft_wrap=True)

    def table(self, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Write a table, or the line `none` if it has no rows."""
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
        """Write a line to standard error."""
        self.end_progress()
        self._errors.print(printable(text), soft_wrap=True)

    def problems(self, problems: Iterable[dict[str, Any]]) -> None:
        """Write settings problems to standard error, each on a line."""
        for found in problems:
            parts = (found.get("path"), found.get("value"), found.get("rule"))
            self.error(f"  {parts[0]}: {parts[1]}: {parts[2]}")

    def progress(self, text: str) -> None:
        """Show the progress of a wait on standard error, unless results are written as JSON.

        A terminal shows a spinner until the next output; other destinations get a line for each
        new text.
        """
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
        """Remove the progress spinner, if one is shown."""
        if self._status is not None:
            self._status.stop()
            self._status = None

    def _raw(self, text: str) -> None:
        self.end_progress()
        self._console.out(text, highlight=False)


def printable(value: Any) -> Text:
    """Return a value as text without control characters, or `-` if it is None or empty.

    Names come from callers and could otherwise control the terminal.
    """
    if value is None:
        return Text("-")
    if isinstance(value, float):
        value = f"{value:g}"
    text = str(value)
    return Text("".join(c if c.isprintable() or c == "\n" else "?" for c in text) or "-")


def format_time(at: Any) -> str:
    """Format a wall-clock time in seconds as date and time in UTC, or `-` if it is not valid."""
    if not isinstance(at, (int, float)) or at <= 0:
        return "-"
    try:
        return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S")
    except (OverflowError, ValueError, OSError):
        return "-"
