"""Tests of the rules of the settings tree and of limits on untrusted input."""

from __future__ import annotations

import copy
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from zinniaweir.settings.checks import no_guarantee_check
from zinniaweir.settings.errors import SettingsError
from zinniaweir.settings.fold import SettingsFold
from zinniaweir.settings.lint import LintReport, lint
from zinniaweir.settings.paths import parse_path
from zinniaweir.settings.plain import problem
from zinniaweir.settings.tree import with_value
from zinniaweir.settings.yaml_text import load_yaml
from zinniaweir.wire.records import SettingsPut

BASE: dict[str, Any] = {
    "topology": {
        "failure_domains": {"north": {"region": "santiago"}},
        "racks": {"n1": {"failure_domain": "north"}},
        "workers": {
            "w1": {"rack": "n1", "host": "127.0.0.1", "port": 1, "cores": 8, "memory_gb": 8},
            "w2": {"rack": "n1", "host": "127.0.0.1", "port": 2, "cores": 8, "memory_gb": 8},
        },
    },
    "services": {"permits": {"upstreams": {}}},
    "customers": {"a": {"aliases": ["aa"]}, "b": {}},
    "policy": {"services_for_jobs": {"renew": ["permits"]}},
}
GUARANTEE = {"members": 2, "accelerators": 4, "count": 2}


def loaded_fold() -> SettingsFold:
    fold = SettingsFold(check_guarantees=no_guarantee_check)
    put = SettingsPut(path="/", value=copy.deepcopy(BASE), base_version=0)
    change = fold.apply(1, "base", 0.0, put)
    assert change.accepted, change.reason
    return fold


CASES = [
    ("topology/racks/n2", {"failure_domain": "nort"}, "topology/racks/n2/failure_domain"),
    ("topology/failure_domains/north", None, "topology/racks/n1/failure_domain"),
    ("topology/failure_domains/north/state", "gone", "topology/failure_domains/north/state"),
    ("topology/racks/n1", None, "topology/workers/w1/rack"),
    ("topology/workers/w1/rack", "n9", "topology/workers/w1/rack"),
    ("topology/workers/w1/host", "localhost", "topology/workers/w1/host"),
    ("topology/workers/w1/port", 2, "topology/workers/w1"),
    ("topology/workers/w1/cores", True, "topology/workers/w1/cores"),
    ("topology/workers/w1/memory_gb", "8G", "topology/workers/w1/memory_gb"),
    ("topology/workers/w3/cores", 4, "topology/workers/w3"),
    ("topology", None, "topology"),
    ("services/permits", None, "policy/services_for_jobs/renew/0"),
    ("services/permits/connections", 4, "services/permits/connections"),
    (
        "services/permits/upstreams/u1",
        {"host": "127.0.0.1", "port": 9, "failure_domain": "x"},
        "services/permits/upstreams/u1/failure_domain",
    ),
    ("customers/b/aliases", ["AA"], "customers/b/aliases/0"),
    ("customers/b/aliases", ["a"], "customers/b/aliases/0"),
    ("customers/aa", {}, "customers/a/aliases/0"),
    ("customers/Bad name", {}, "/"),
    ("customers", {"Bad name": {}}, "customers"),
    ("customers/b/limits", {"burst": 5}, "customers/b/limits/burst"),
    ("customers/b/limits", {"burst": 5, "requests_per_second": 9}, "customers/b/limits/burst"),
    ("customers/b/quota/accelerators", -1, "customers/b/quota/accelerators"),
    (
        "customers/b",
        {"guarantees": [GUARANTEE], "quota": {"accelerators": 15, "running_jobs": 1}},
        "customers/b/quota/accelerators",
    ),
    ("customers/b/weight", 0, "customers/b/weight"),
    ("customers/b/weight", float("inf"), "customers/b/weight"),
    ("customers/b/quota/cores", 1.5, "customers/b/quota/cores"),
    (
        "customers/b",
        {"guarantees": [GUARANTEE | {"cores": 4}], "quota": {"cores": 7}},
        "customers/b/quota/cores",
    ),
    (
        "customers/b",
        {"guarantees": [GUARANTEE | {"memory_gb": 0.1}], "quota": {"memory_gb": 0.19}},
        "customers/b/quota/memory_gb",
    ),
    (
        "customers/b/guarantees",
        [{**GUARANTEE, "failure_domain": "x"}],
        "customers/b/guarantees/0/failure_domain",
    ),
    ("customers/a/aliases/0", "x", "customers/a/aliases/0"),
    ("customers/b/priorities", ["urgent", "urgent"], "customers/b/priorities"),
    ("customers/b/jobs", {"x": {"aliases": ["y"]}, "y": {}}, "customers/b/jobs/x/aliases/0"),
    ("policy/leases", {"renew_seconds": 11}, "policy/leases/renew_seconds"),
    ("policy/reclaim_seconds/batch", 9, "policy/reclaim_seconds/batch"),
    ("policy/max_start_freshness_seconds", 30, "policy/max_start_freshness_seconds"),
    ("policy/ledger_ttl_hours", float("nan"), "policy/ledger_ttl_hours"),
    ("policy/ledger_ttl_hours", 10**400, "policy/ledger_ttl_hours"),
    ("policy/lease", {}, "policy/lease"),
    ("else/where", {}, "/"),
    ("customers/c", None, "customers/c"),
    ("", {"customers": {}}, "topology"),
]


@pytest.mark.parametrize(("path", "value", "where"), CASES)
def test_broken_rule_is_refused_at_its_path(path: str, value: Any, where: str) -> None:
    """Guards against accepted settings that some part of the system cannot act on.

    Each case breaks one rule; the problem must name the path where it is broken.
    """
    fold = loaded_fold()
    before = fold.model
    put = SettingsPut(path=path, value=value, base_version=1)
    problems = fold.review(put).problems
    assert where in [problem.path for problem in problems]
    assert all(problem.rule for problem in problems)
    assert not fold.apply(2, "x", 0.0, put).accepted
    assert fold.model is before
    segments, path_problems = parse_path(path)
    found = lint(BASE, segments, value, check_guarantees=no_guarantee_check).errors
    assert path_problems or {p.path for p in problems} <= {p.path for p in found}


def test_all_problems_of_one_put_are_named_at_once() -> None:
    """Guards against operators who learn of one error at a time.

    This happens if the conversion of a value ends at its first problem.
    """
    value = {
        "guarantees": [{"members": 0, "spread": "zone"}],
        "limits": {"burst": "many"},
        "quotas": {},
    }
    review = loaded_fold().review(SettingsPut(path="customers/b", value=value, base_version=1))
    assert [problem.path for problem in review.problems] == [
        "customers/b/quotas",
        "customers/b/guarantees/0/members",
        "customers/b/guarantees/0/accelerators",
        "customers/b/guarantees/0/spread",
        "customers/b/limits/burst",
    ]


UPSTREAM = {"host": "127.0.0.1", "port": 9, "failure_domain": "north"}
QUEUE = {"requests_per_second": 5, "queued_requests": 4}
USED: dict[str, Any] = BASE | {
    "services": {"permits": {"upstreams": {"u1": UPSTREAM}}},
    "customers": {"a": {"aliases": ["aa"], "jobs": {"renew": {}}}},
}
"""A tree of which every entry has an effect."""
WARNINGS = [
    ("topology/failure_domains/south", {"region": "santiago"}, "topology/failure_domains/south"),
    ("topology/workers", {}, "topology/racks/n1"),
    ("services/fines", {"upstreams": {"u2": UPSTREAM}}, "services/fines"),
    ("services/permits/upstreams", {}, "services/permits/upstreams"),
    ("customers/a/jobs", {"x": {}}, "policy/services_for_jobs/renew"),
    ("customers/b", {"aliases": ["caf\u00e9", "cafe\u0301"]}, "customers/b/aliases/1"),
    ("customers/a/jobs/renew/aliases", [" Renew"], "customers/a/jobs/renew/aliases/0"),
    ("customers/a/limits", QUEUE, "customers/a/limits/queued_requests"),
]


@pytest.mark.parametrize(("path", "value", "where"), WARNINGS)
def test_entry_without_effect_is_a_warning(path: str, value: Any, where: str) -> None:
    """Guards against entries that never match, and against findings that a change did not cause."""
    segments = parse_path(path)[0]
    report = lint(USED, segments, value, check_guarantees=no_guarantee_check)
    assert where in [found.path for found in report.warnings]
    assert not report.errors
    tree = with_value(USED, segments, value)
    assert lint(USED, (), tree, check_guarantees=no_guarantee_check) == report
    other = lint(tree, ("policy", "ledger_ttl_hours"), 5, check_guarantees=no_guarantee_check)
    assert [found for found in other.warnings if not found.path.startswith("policy/")] == []


def test_every_kind_of_error_is_named_at_once() -> None:
    """Guards against one error that hides another, and against follow-up errors of one."""
    tree = copy.deepcopy(USED)
    tree["customers"]["a"]["limits"] = {"burst": 5}
    unfit = problem("customers/a/guarantees/0", "1 x 2 members", "does not fit")
    report = lint(USED, (), tree, check_guarantees=lambda settings: [unfit])
    paths = [found.path for found in report.errors]
    assert paths == ["customers/a/limits/burst", "customers/a/guarantees/0"]
    tree["topology"]["racks"]["n1"] = {"failure_domain": 7}
    report = lint(USED, (), tree, check_guarantees=lambda settings: [unfit])
    paths = [found.path for found in report.errors]
    assert paths == ["topology/racks/n1/failure_domain", "customers/a/limits/burst"]
    assert lint(USED, (), USED, check_guarantees=no_guarantee_check) == LintReport()


ALIAS_BOMB = "a: &a [x, x, x, x, x, x, x, x, x]\n" + "".join(
    f"{n}: &{n} [{', '.join(['*' + chr(ord(n) - 1)] * 9)}]\n" for n in "bcdefghi"
)


@pytest.mark.parametrize(
    ("text", "rule"),
    [
        (ALIAS_BOMB, "no YAML aliases"),
        ("&a [*a]", "no YAML aliases"),
        ("[" * 13 + "]" * 13, "at most 12 levels"),
        ("[" * 5_000, "no readable YAML"),
        (b"a: \xff", "text is UTF-8"),
        ("a: .nan", "numbers are finite"),
        ("a: " + "9" * 5_000, "at most 1000 characters"),
        ("a: " + "1:" * 400_000 + "1", "at most 1000 characters"),
        ("a: " + "9" * 900, "integers within"),
        ("a: 99999999999999999999", "integers within"),
        ("a: 2026-12-04", "only text, numbers"),
        ("on: 1", "keys are text"),
        ("a: 1\na: 2", "repeated"),
        ("!!python/object/apply:os.system ['true']", "no readable YAML"),
        ("a: 1\n---\nb: 2", "no readable YAML"),
        ("x" * 2_000_000, "at most 1048576 bytes"),
        ('a: "\\u0000"', "control characters"),
    ],
)
def test_hostile_yaml_is_refused_with_its_rule(text: str | bytes, rule: str) -> None:
    """Guards against text that exhausts memory or time, or changes its meaning when it is read."""
    with pytest.raises(SettingsError, match=rule):
        load_yaml(text)


JSON_LIKE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text() | st.integers(), inner),
    max_leaves=20,
)
PATHS = st.sampled_from([path for path, _, _ in CASES]) | st.text()


@settings(max_examples=300, deadline=None)
@given(path=PATHS, value=JSON_LIKE, base=st.integers(-(2**63), 2**63))
def test_no_record_raises_and_refused_ones_change_nothing(path: str, value: Any, base: int) -> None:
    """Guards against a record on the log that stops every scheduler process.

    All processes apply the same records, so an exception for one record would stop all of them.
    """
    fold = loaded_fold()
    before = fold.tree
    change = fold.apply(7, "x", 0.0, SettingsPut(path=path, value=value, base_version=base))
    assert change.accepted or (change.reason and fold.tree is before)
    listed = parse_path(path)[1] or change in fold.history(path)
    assert listed


def test_hostile_records_take_little_memory() -> None:
    """Guards against refused records that fill the memory and the snapshots of every VM.

    This happens if the history keeps their long ids, notes and reasons in full.
    """
    fold = loaded_fold()
    long = "k" * 900
    value = {f"{long}{i}": {long: {long: [long] * 9}} for i in range(200)}
    for offset in range(2, 700):
        put = SettingsPut(path="customers", value=value, base_version=1, note="n" * 10_000)
        assert not fold.apply(offset, f"{offset}-{long}", 0.0, put).accepted
    assert len(fold.review(SettingsPut(path="", value=value, base_version=1)).problems) <= 100
    assert len(msgspec.msgpack.encode(fold.snapshot())) < 1_000_000
