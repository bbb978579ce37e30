"""Runs the commands of the README against a playground."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest

from zinniaweir_testkit.process import ROOT, source_paths

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = pytest.mark.xdist_group("readme")

README = (ROOT / "README.md").read_text()
BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
COMMANDS = [line[2:] for block in BLOCK.findall(README) for line in block.splitlines()]
MAKE_COMMANDS = [command for command in COMMANDS if command.startswith("make ")]
SOURCE_COMMAND = "source .playground.env"
SHELL_COMMANDS = [
    command for command in COMMANDS if command not in (*MAKE_COMMANDS, SOURCE_COMMAND)
]
EXPECTED = {
    "first-1": '"state":"done"',
    "gnomon-check": "angle 14.6",
    "--wait 30": "done",
    "names": "parihs",
    "status": "ready",
    "drain": "baguio is now",
    "history": "try a drain",
}
"""Text that the output must contain, by a word of the command."""


@pytest.fixture(scope="module")
def env_file(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Path]:
    """Start a playground and return the shell file that it writes."""
    path = tmp_path_factory.mktemp("playground") / "env"
    process = subprocess.Popen(
        [sys.executable, "-m", "zinniaweir_testkit.playground", "--env", str(path)],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": source_paths()},
    )
    deadline = time.monotonic() + 45
    while not path.exists():
        assert process.poll() is None, "the playground ended"
        assert time.monotonic() < deadline
        time.sleep(0.1)
    yield path
    process.send_signal(signal.SIGINT)
    assert process.wait(20) == 0
    assert not path.exists()


def test_commands_of_the_readme(env_file: Path) -> None:
    """Guards against a README whose first steps fail for a newcomer; runs the commands in order."""
    assert SOURCE_COMMAND in COMMANDS
    assert len(SHELL_COMMANDS) >= 8
    for command in SHELL_COMMANDS:
        result = subprocess.run(
            ["bash", "-c", f"source {env_file}\nset -o pipefail\n{command}"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert result.returncode == 0, f"{command}\n{result.stdout}\n{result.stderr}"
        for word, output in EXPECTED.items():
            if f"{word}" in command.split("curl -s")[-1].replace('"', " "):
                assert output in result.stdout, f"{command}\n{result.stdout}\n{result.stderr}"


@pytest.mark.parametrize("command", MAKE_COMMANDS)
def test_make_targets_exist(command: str) -> None:
    """Guards against a README that names a make target that does not exist.

    This is a dry run, as `make test` would run this test again.
    """
    subprocess.run([*command.split(), "--dry-run"], cwd=ROOT, check=True, capture_output=True)


def test_links_of_the_readme() -> None:
    """Guards against a link to a page that does not exist."""
    links = re.findall(r"\]\(([^)]+)\)", README)
    assert links
    assert [link for link in links if not (ROOT / link).exists()] == []
