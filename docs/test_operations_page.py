"""Checks the page for on-call engineers against the programs and recorded log lines."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from zinniaweir.ctl.explain_command import explain
from zinniaweir.report.job_timeline import JobTimelineError, build_job_timeline
from zinniaweir.telemetry.events import EVENTS

DOCS = Path(__file__).parent
PAGE = (DOCS / "OPERATIONS.md").read_text()
SOURCES = [
    path
    for folder in ("packages/node", "packages/dispatch", "platform")
    for path in sorted((DOCS.parent / folder / "src").rglob("*.py"))
]
EXPLAIN_COMMANDS = re.findall(
    r"^\$ zinniaweir explain (\S+) --logs docs/(\S+)$", PAGE, re.MULTILINE
)
CAUSES = [" ".join(c.split()) for c in re.findall(r"^    cause: (.*(?:\n    \S.*)*)", PAGE, re.M)]


def calls(names: set[str]) -> set[str]:
    """Return the strings that are the first argument of calls to these functions or methods."""
    found = set()
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            first = node.args[0]
            if name in names and isinstance(first, ast.Constant) and isinstance(first.value, str):
                found.add(first.value)
    return found


def test_every_event_is_known_and_explained() -> None:
    """Guards against a table of events that differs from the code, and events the page lacks."""
    logged = calls({"log", "_log"})
    assert logged == set(EVENTS)
    for event, meaning in EVENTS.items():
        assert f"| `{event}` | {meaning} |" in PAGE


def test_every_counter_is_explained() -> None:
    """Guards against counters that the page lacks."""
    counted = calls({"add", "count", "_count"}) - {""}
    for counter in counted:
        assert f"| `{counter}` |" in PAGE, counter


@pytest.mark.parametrize(("command", "cause"), list(zip(EXPLAIN_COMMANDS, CAUSES, strict=True)))
def test_explain_command_ends_at_the_cause_on_the_page(
    command: tuple[str, str], cause: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an example on the page whose log lines lead to another cause, or to none."""
    job_id, file = command
    explain(job_id, logs=[DOCS / file])
    assert capsys.readouterr().out.splitlines()[-1] == f"cause: {cause}"


def test_lines_of_vms_with_different_clocks_are_ordered() -> None:
    """Guards against a timeline out of order where the clocks of two VMs differ.

    The clock of VM `b` is 5 s ahead, as the lines on the same configuration show.
    """
    lines = [
        '{"message_type": "configuration_applied", "vm": "a", "timestamp": 100.0, "version": 1}',
        '{"message_type": "configuration_applied", "vm": "b", "timestamp": 105.0, "version": 1}',
        '{"message_type": "job_taken", "vm": "a", "timestamp": 100.2, "job_id": "j"}',
        '{"message_type": "submission_answered", "vm": "b", "timestamp": 105.1, "job_id": "j"}',
        "not a line",
        '{"vm": 3}',
    ]
    timeline = build_job_timeline("j", lines)
    assert [line.event for line in timeline.lines] == ["submission_answered", "job_taken"]
    assert timeline.broken_lines == 1


def test_an_unknown_id_is_an_error() -> None:
    """Guards against a cause that is reported for a job that no log line names."""
    with pytest.raises(JobTimelineError):
        build_job_timeline("nobody", [])
