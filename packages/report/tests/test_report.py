"""Tests of the HTML report."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from html.parser import HTMLParser

import pytest

from zinniaweir.report.page import render_page
from zinniaweir.report.records import RecordsError, read_records

REPLAY = {
    "workload": "lakan",
    "seed": 1,
    "completion": {"all": {"mean": 10.0, "p50": 8.0, "p99": 30.0}},
    "fragmentation": {"mean": 0.1, "p99": 0.4},
    "outage_work": {"share": 0.97},
}
JOB = {
    "customer": "<parish>",
    "priority": "urgent",
    "state": "done",
    "submitted_at": 100.0,
    "started_at": 101.0,
    "finished_at": 105.0,
}


class LinkCollector(HTMLParser):
    """Parser that collects the links of a page to other resources."""

    def __init__(self) -> None:
        super().__init__()
        self.loaded = []

    def handle_starttag(self, tag, attrs):
        names = {"src", "href", "xlink:href"}
        self.loaded += [v for k, v in attrs if k in names and not v.startswith("#")]


def test_page_is_self_contained_and_escapes_text(tmp_path) -> None:
    """Guards against a page that needs the network, or that runs text from records as markup."""
    path = tmp_path / "lines"
    lines = [{**REPLAY, "policy": p} for p in ("core", "fifo")] + [{"note": "<script>x</script>"}]
    path.write_text("\n".join(json.dumps(line) for line in lines))
    jobs = tmp_path / "jobs"
    jobs.write_text(json.dumps({"jobs": [JOB, {**JOB, "state": "waiting", "finished_at": 0}]}))
    page = render_page(read_records([path, jobs]), title="a < b")
    collector = LinkCollector()
    collector.feed(page)
    assert collector.loaded == []
    assert "<script>" not in page
    assert page.count("<svg") == 3


@pytest.mark.parametrize("text", ["", "{", "[1]", '{"jobs": [{"state": 1}]}'])
def test_files_without_records_are_refused(tmp_path, text) -> None:
    """Guards against an empty report, or a traceback, for a file that holds no records."""
    path = tmp_path / "file"
    path.write_text(text)
    with pytest.raises(RecordsError):
        read_records([path])


def test_control_processes_do_not_load_the_plotting_library() -> None:
    """Guards against matplotlib's memory in the processes of a VM, which share 64 MB.

    This happens if a module that they import loads the plotting library.
    """
    code = (
        "import sys, zinniaweir.entry.service, zinniaweir.scheduler.process;"
        "print(sorted({'matplotlib', 'numpy', 'yaml', 'httpx', 'rich'} & set(sys.modules)))"
    )
    path = {"PYTHONPATH": os.pathsep.join(sys.path)}
    command = [sys.executable, "-c", code]
    out = subprocess.run(command, capture_output=True, text=True, check=True, env=path)
    assert out.stdout.strip() == "[]"
