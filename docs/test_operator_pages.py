"""Checks the commands on the operators' pages against the real command line."""

from __future__ import annotations

import io
import re
import shlex
from pathlib import Path

import pytest
from rich.console import Console

from zinniaweir.ctl.app import app
from zinniaweir.ctl.main import run_command
from zinniaweir.ctl.session import Environment

PAGES = sorted((Path(__file__).parent / "operators").glob("*.md"))
BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)

NAMED_FILE = re.compile(r"^```yaml\n# (\S+\.yaml)\n(.*?)^```$", re.MULTILINE | re.DOTALL)
TEXT = re.compile(r"^```text\n(.*?)^```$", re.MULTILINE | re.DOTALL)


def commands(page: Path) -> list[str]:
    """Return the lines of all console blocks of a page."""
    return [line for block in BLOCK.findall(page.read_text()) for line in block.splitlines()]


def tokens(line: str) -> list[str]:
    """Return the words of a command up to a redirection or pipe."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars="<>|;&")
    lexer.whitespace_split = True
    words = list(lexer)
    end = next((i for i, word in enumerate(words) if word[0] in "<>|;&"), len(words))
    return words[:end]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_every_command_on_the_page_parses(page: Path) -> None:
    """Guards against a command or option on a page that the command line does not have.

    Commands are parsed without calling a server.
    """
    lines = commands(page)
    assert lines
    for line in lines:
        assert line.startswith("$ zinniaweir "), line
        command, _, hidden = app.parse_args(
            tokens(line)[2:], exit_on_error=False, print_error=False
        )
        assert "session" in hidden, f"{line}: no command"
        assert command.__module__.startswith("zinniaweir.ctl"), line


def test_all_operator_pages_are_there() -> None:
    """Guards against a renamed directory or page, which would leave nothing to check."""
    assert {page.stem for page in PAGES} >= {
        "customers-and-guarantees",
        "failure-domains",
        "names-and-aliases",
        "reading-why",
        "settings",
    }


def test_example_of_a_checked_file_prints_what_the_page_shows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an example whose findings the program no longer reports."""
    page = next(page for page in PAGES if page.stem == "settings")
    for name, content in NAMED_FILE.findall(page.read_text()):
        (tmp_path / name).write_text(content)
    monkeypatch.chdir(tmp_path)
    line = next(line for line in commands(page) if "--against in-force.yaml" in line)
    out = Console(file=io.StringIO(), markup=False, highlight=False, emoji=False)
    assert run_command(tokens(line)[2:], Environment(console=out, errors=out)) == 2
    assert [out.file.getvalue()] == TEXT.findall(page.read_text())
