"""The HTML page of a report."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.report import plots

if TYPE_CHECKING:
    from zinniaweir.report.records import Records, Replay

STYLE: Final = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; color: #222; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
table { border-collapse: collapse; font-size: 13px; }
td, th { border-bottom: 1px solid #ddd; padding: .25rem .7rem; text-align: right; }
td:first-child, th:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
"""


def render_page(records: Records, *, title: str) -> str:
    """Render a report as a self-contained HTML page.

    Args:
        records: Records to show.
        title: Title of the page.

    Raises:
        PlotsUnavailableError: If the plotting library is not installed.
    """
    parts = [f"<h1>{html.escape(title)}</h1>"]
    if records.replays:
        parts.append(_section("Policies", plots.policy_comparison(records.replays)))
        parts.append(_replay_table(records.replays))
    for workload, seed in sorted({(line.workload, line.seed) for line in records.timelines}):
        lines = [x for x in records.timelines if (x.workload, x.seed) == (workload, seed)]
        name = f"{workload}, seed {seed}"
        parts.append(_section(f"Work over time: {name}", plots.work_over_time(lines)))
        parts.append(_section(f"Fragmentation: {name}", plots.fragmentation_over_time(lines)))
    if records.jobs:
        parts.append(_section("Completion time", plots.completion_of_jobs(records.jobs)))
        parts.append(_section("Waiting and running jobs", plots.jobs_over_time(records.jobs)))
    if records.others:
        parts.append("<h2>Other results</h2>")
        parts += [_result_table(line) for line in records.others]
    head = f'<meta charset="utf-8"><title>{html.escape(title)}</title><style>{STYLE}</style>'
    return (
        f"<!DOCTYPE html>\n<html><head>{head}</head><body>\n{chr(10).join(parts)}\n</body></html>\n"
    )


def _section(title: str, figure: str) -> str:
    return f"<h2>{html.escape(title)}</h2>\n{figure}"


def _replay_table(replays: list[Replay]) -> str:
    rows = [
        (
            f"{replay.workload}, seed {replay.seed}, {replay.policy}",
            f"{replay.completion['all']['mean']:g}",
            f"{replay.completion['all']['p99']:g}",
            f"{replay.fragmentation['mean']:g}",
            f"{replay.outage_work['share']:g}",
        )
        for replay in replays
    ]
    head = ("replay", "completion mean, s", "p99, s", "fragmentation", "work through outage")
    return _table(head, rows)


def _result_table(line: dict[str, Any]) -> str:
    rows = [(str(name), str(value)) for name, value in line.items()]
    return _table(("metric", "value"), rows)


def _table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    top = "".join(f"<th>{html.escape(cell)}</th>" for cell in head)
    body = "".join(
        f"<tr>{''.join(f'<td>{html.escape(cell)}</td>' for cell in row)}</tr>" for row in rows
    )
    return f"<table><tr>{top}</tr>{body}</table>"
