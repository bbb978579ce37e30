"""Command that renders an HTML report from records."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from zinniaweir.ctl import exits


def register(app: App) -> None:
    """Add the command to the program."""
    app.command(report)


def report(
    *files: Path,
    output: Annotated[Path, Parameter(name=("--output", "-o"))] = Path("report.html"),
    title: str = "zinniaweir report",
) -> None:
    """Make one HTML page with plots from records of benchmarks or of jobs.

    Args:
        files: Output of `python -m bench …` or of `zinniaweir jobs --json`.
        output: File to write.
        title: Title of the page.
    """
    # Imported here because the plotting library takes half a second to load.
    from zinniaweir.report.page import render_page
    from zinniaweir.report.plots import PlotsUnavailableError
    from zinniaweir.report.records import RecordsError, read_records

    try:
        page = render_page(read_records(files), title=title)
        output.write_text(page, encoding="utf-8")
    except (RecordsError, PlotsUnavailableError, OSError) as error:
        print(f"report: {error}", file=sys.stderr)
        sys.exit(exits.INVALID)
    print(f"wrote {output}")
