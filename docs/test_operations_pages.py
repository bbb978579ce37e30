"""Checks the operations pages against the names that the code uses."""

from __future__ import annotations

import re
from typing import get_args

import msgspec
import pytest

from zinniaweir.core.decisions import Reason
from zinniaweir.limits.events import RefusalReason
from zinniaweir.names.table import RefusalReason as NameReason
from zinniaweir.scheduler import vm_state
from zinniaweir.settings.process import EntrySettings, SchedulerSettings
from zinniaweir_testkit.process import ROOT

SOURCES = [
    path.read_text()
    for path in sorted(ROOT.glob("packages/*/src/**/*.py"))
    if "/bench/" not in str(path)
]
PATTERNS = {
    "counter": re.compile(r"counters\.add\(\s*\"([a-z_]+)\""),
    "reason": re.compile(r"\breason=\"([a-z_]+)\""),
    "refusal": re.compile(r"\brefusal=\"([a-z_]+)\""),
    "answer": re.compile(r"\bnot_run\(\s*\"([a-z_]+)\""),
    "refuse": re.compile(r"_refuse\([^\")]*\"([a-z_]+)\""),
    "start": re.compile(r"return \"([a-z]+_[a-z_]+)\"(?: if|$)", re.MULTILINE),
    "route": re.compile(r"unanswered_result\(\s*\"([a-z_]+)\""),
    "event": re.compile(r"\blog\(\s*\"([a-z_]+)\""),
    "status": re.compile(r"^    \"([a-z_]+)\": [45]\d\d,$", re.MULTILINE),
    "sentence": re.compile(r"^    \"([a-z_]+)\": \"", re.MULTILINE),
}


def page(name: str) -> str:
    """Return an operators' page."""
    return (ROOT / "docs" / "operators" / f"{name}.md").read_text()


def on_call_pages() -> str:
    """Return the pages for the two sets of processes, on the stand-ins and on the platform."""
    return page("counters-and-logs") + (ROOT / "docs" / "OPERATIONS.md").read_text()


def names(kind: str) -> set[str]:
    """Return the names that one pattern finds in the source code of the packages."""
    found = [match for text in SOURCES for match in PATTERNS[kind].finditer(text)]
    return {match[1] for match in found}


@pytest.mark.parametrize("kind", PATTERNS)
def test_every_name_in_the_code_is_on_the_page(kind: str) -> None:
    """Guards against a counter, reason or log event that operators see but no page explains.

    A pattern that finds nothing fails too.
    """
    text = on_call_pages()
    found = names(kind)
    assert found
    assert sorted(name for name in found if f"`{name}`" not in text) == []


def test_reasons_of_types_are_on_the_page() -> None:
    """Guards against a missing reason of an enumeration or literal, which no pattern can find."""
    states = {v for k, v in vars(vm_state).items() if k.isupper() and isinstance(v, str)}
    wanted = {str(reason) for reason in Reason} | set(get_args(RefusalReason)) | states
    wanted |= {
        f"{kind}_{reason}" for kind in ("customer", "job") for reason in get_args(NameReason)
    }
    text = page("counters-and-logs")
    assert sorted(name for name in wanted if f"`{name}`" not in text) == []


@pytest.mark.parametrize("kind", [EntrySettings, SchedulerSettings])
def test_every_process_setting_is_on_the_page(kind: type) -> None:
    """Guards against a process setting that the page lacks or gives another default."""
    text = page("running")
    for field in msgspec.structs.fields(kind):
        line = next((row for row in text.splitlines() if row.startswith(f"| `{field.name}`")), "")
        assert line, field.name
        if isinstance(field.default, int | float):
            assert f"{field.default:g}" in line.replace(",", ""), line


def test_glossary_has_the_fixed_words_and_their_synonyms() -> None:
    """Guards against a glossary without the settled words and the synonyms that they replace."""
    text = (ROOT / "docs" / "GLOSSARY.md").read_text()
    for word in ("customer", "failure_domain", "worker", "upstream"):
        assert f"| `{word}` |" in text
    for synonym in ("team", "tenant", "zone", "runner", "back end"):
        assert synonym in text
