"""Checks the table of proofs against the collected scenario tests."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TEST_ID = re.compile(r"scenarios/test_scenarios\.py::test_scenario\[[^\]]+\]")


def test_every_test_in_the_table_is_collected() -> None:
    """Guards against a table that names a test that does not exist, or lacks a scenario."""
    command = [sys.executable, "-m", "pytest", "--collect-only", "scenarios"]
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False).stdout
    listed = TEST_ID.findall((ROOT / "docs/PROOFS.md").read_text())
    assert sorted(listed) == sorted(TEST_ID.findall(output))
