"""Command that reconstructs the timeline of a job from log lines."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import ExitStack
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from zinniaweir.ctl import exits


def register(app: App) -> None:
    """Add the command to the program."""
    app.command(explain)


def explain(
    job_id: str,
    *,
    logs: Annotated[list[Path] | None, Parameter(name="--logs", consume_multiple=True)] = None,
    json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> None:
    """Tell what happened to a job, and why, from the log lines of all processes.

    Args:
        job_id: The caller's id of the job.
        logs: Files with log lines; standard input if there are none.
        json: Print the timeline as JSON, for programs.
    """
    # Imported here because no other command needs it.
    from zinniaweir.report.job_timeline import JobTimelineError, build_job_timeline

    try:
        timeline = build_job_timeline(job_id, _lines(logs or []))
    except (JobTimelineError, OSError) as error:
        print(f"explain: {error}", file=sys.stderr)
        sys.exit(exits.NOT_FOUND if isinstance(error, JobTimelineError) else exits.INVALID)
    if json:
        sys.stdout.write(msgspec.json.encode(timeline, enc_hook=str).decode() + "\n")
        return
    for line in timeline.lines:
        at = datetime.fromtimestamp(line.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        extra_fields = " ".join(f"{name}={value}" for name, value in line.extra_fields.items())
        print(f"{at} {line.vm} {line.event} {extra_fields}".rstrip())
    if timeline.broken_lines:
        print(f"explain: {timeline.broken_lines} lines could not be read", file=sys.stderr)
    print(f"cause: {timeline.cause}")


def _lines(paths: list[Path]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
        return
    with ExitStack() as stack:
        for path in paths:
            yield from stack.enter_context(path.open(encoding="utf-8", errors="replace"))
