"""Records sessions with the real processes as text that does not vary between runs."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from typing import TYPE_CHECKING, Any

from zinniaweir_testkit.process import ROOT, source_paths

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir_testkit.cluster import Cluster

REPLACEMENTS = (
    (re.compile(r"\bjob-[0-9a-f]{16}\b"), "job-ID"),
    (re.compile(r"\breq-[0-9a-f]{16}\b"), "req-ID"),
    (re.compile(r"\bput [0-9a-f]{8}\b"), "put ID"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "KEY"),
    (re.compile(r"\b\d{10}\.\d+\b"), "TIME"),
    (re.compile(r"\b\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\d\b"), "TIME"),
    (re.compile(r"\b(diliman|los-banos|baguio)-(w|render)\d\b"), r"NODE"),
    (
        re.compile(
            r'("(?:version|base_version|offset|log_offset|settings_version|applied_version)": )\d+'
        ),
        r"\1N",
    ),
    (re.compile(r"\bversion:? \d+\b"), "version N"),
    (re.compile(r'("(?:port|fresh_age_seconds)": )[\d.]+'), r"\1N"),
    (re.compile(r"^\d+ +TIME +", re.MULTILINE), "OFFSET TIME "),
    (re.compile(r"127\.0\.0\.1:\d+"), "HOST:PORT"),
    # The rule below a table's header is as wide as the name of the node that was picked.
    (re.compile(r"^─{10,}$", re.MULTILINE), "─" * 10),
)
"""Ids, times, log offsets, ports and node names vary between runs; all else is compared."""


def normalize(text: str) -> str:
    """Return a transcript with placeholders for everything that varies between runs."""
    for pattern, replacement in REPLACEMENTS:
        text = pattern.sub(replacement, text)
    return text


class Transcript:
    """Records HTTP calls and command lines with their answers as text."""

    def __init__(self, *, cluster: Cluster) -> None:
        self.cluster = cluster
        """Cluster that the calls go to."""
        self._lines: list[str] = []

    @property
    def text(self) -> str:
        """The normalized transcript of all calls so far."""
        return normalize("\n".join(self._lines) + "\n")

    def http(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        vm: str = "vm1",
        pick: Callable[[Any], Any] = lambda answer: answer,
    ) -> Any:
        """Send a call to an entry process, record it and return its JSON answer.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON value of the body.
            vm: VM to call.
            pick: Returns the part of the answer to record.
        """
        answer = self.cluster.call(method, path, vm=vm, body=body)
        sent = "" if body is None else " " + json.dumps(body, sort_keys=True)
        value = answer.json()
        shown = json.dumps(pick(value), indent=1, sort_keys=True)
        self._lines += [f"> {method} {path}{sent}"[:400], f"< {answer.status_code} {shown}", ""]
        return value

    def cli(self, *arguments: str, stdin: str = "") -> tuple[int, str]:
        """Run a `zinniaweir` command, record it and return its exit code and standard output."""
        vm = self.cluster.vm("vm1")
        done = subprocess.run(
            [sys.executable, "-m", "zinniaweir.ctl.main", *arguments],
            input=stdin,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
            cwd=ROOT,
            env={
                **os.environ,
                "PYTHONPATH": source_paths(),
                "ZINNIAWEIR_SERVER": f"127.0.0.1:{vm.http}",
                "COLUMNS": "160",
                "NO_COLOR": "1",
                "TERM": "dumb",
                "USER": "ana",
                "LOGNAME": "ana",
            },
        )
        self._lines += ["$ zinniaweir " + " ".join(arguments)]
        self._lines += [line.rstrip() for line in done.stdout.splitlines()]
        self._lines += [f"! {line.rstrip()}" for line in done.stderr.splitlines()]
        self._lines += [f"exit {done.returncode}", ""]
        return done.returncode, done.stdout
