"""Random sequences of settings changes, compared with checks of the whole tree."""

from __future__ import annotations

import copy
from collections import Counter
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from zinniaweir.settings.build import build_settings
from zinniaweir.settings.checks import check_settings
from zinniaweir.settings.fold import SettingsFold
from zinniaweir.settings.model import Settings
from zinniaweir.settings.plain import problem
from zinniaweir.wire.records import SettingsPut

WORKER = {"rack": "r1", "host": "127.0.0.1", "cores": 8, "memory_gb": 8, "accelerators": 2}
UPSTREAM = {"host": "127.0.0.1", "port": 9, "failure_domain": "fd2"}
GUARANTEE = {"members": 1, "accelerators": 2}
FAILURE_DOMAINS = {"fd1": {"region": "r"}, "fd2": {"region": "r", "state": "out"}}
CHANGE_POOL: list[tuple[str, list[Any]]] = [
    ("topology/failure_domains", [FAILURE_DOMAINS, {"fd1": {"region": "s"}}]),
    ("topology/failure_domains/fd1", [{"region": "r"}, {"region": "s"}, None]),
    ("topology/failure_domains/fd1/region", ["r", "s"]),
    ("topology/failure_domains/fd1/state", ["in", "out", "off"]),
    ("topology/failure_domains/fd2", [{"region": "r"}, None]),
    ("topology/racks/r1", [{"failure_domain": "fd1"}, {"failure_domain": "fd2"}, None]),
    ("topology/racks/r2", [{"failure_domain": "fd2"}, None]),
    ("topology/workers/w1", [{**WORKER, "port": 1}, {**WORKER, "port": 2, "rack": "r2"}, None]),
    ("topology/workers/w2", [{**WORKER, "port": 2}, None]),
    ("topology/workers/w2/port", [1, 2]),
    ("topology/workers/w1/accelerators", [0, 2]),
    ("topology/workers/w2/accelerators", [0, 2]),
    ("topology", [{"failure_domains": FAILURE_DOMAINS}, {}]),
    ("services/s1", [{}, {"upstreams": {"u1": UPSTREAM}}, None]),
    ("services", [{"s1": {}, "s2": {}}, {"s2": {"upstreams": {"u1": UPSTREAM}}}, None]),
    ("policy/services_for_jobs", [{"job": ["s1"]}, {"job": ["s2"]}, None]),
    ("policy", [{}, {"leases": {"lease_seconds": 8}}, None]),
    ("customers/a", [{}, {"aliases": ["b"]}, {"guarantees": [GUARANTEE]}, None]),
    ("customers/b", [{}, {"aliases": ["x"]}, {"guarantees": [GUARANTEE] * 2}, None]),
    ("customers/b/guarantees", [[{**GUARANTEE, "failure_domain": "fd1"}], []]),
    ("customers/a/quota", [{"accelerators": 1}, {"cores": 1}, {}]),
    ("customers/a/weight", [2.5, 0, None]),
    ("customers", [{"a": {"aliases": ["x"]}, "b": {}}, {"b": {"guarantees": [GUARANTEE]}}, {}]),
    ("", [{"topology": {"failure_domains": FAILURE_DOMAINS}, "customers": {"a": {}}}]),
]
BASE = {
    "topology": {
        "failure_domains": FAILURE_DOMAINS,
        "racks": {"r1": {"failure_domain": "fd1"}, "r2": {"failure_domain": "fd2"}},
        "workers": {"w1": {**WORKER, "port": 1}, "w2": {**WORKER, "port": 2}},
    },
    "services": {"s1": {}},
    "customers": {
        "a": {"guarantees": [GUARANTEE]},
        "b": {"guarantees": [{**GUARANTEE, "failure_domain": "fd1"}]},
    },
    "policy": {"services_for_jobs": {"job": ["s1"]}},
}
PUTS = st.sampled_from(CHANGE_POOL).flatmap(
    lambda entry: st.tuples(st.just(entry[0]), st.sampled_from(entry[1]))
)


def check_fit(model: Settings) -> list[Any]:
    """Check guarantees, in place of the core, by a rule on workers, racks and regions."""
    available: Counter[str] = Counter()
    for worker in model.topology.workers.values():
        domain = model.topology.racks[worker.rack].failure_domain
        region = model.topology.failure_domains[domain].region
        available.update({domain: worker.accelerators, f"region {region}": worker.accelerators})
    guarantees = [g for customer in model.customers.values() for g in customer.guarantees]
    guaranteed = Counter(g.failure_domain or "region r" for g in guarantees)
    return [
        problem("customers", count, f"fits {available[place]} of {place}")
        for place, count in guaranteed.items()
        if 2 * count > available[place]
    ]


@settings(max_examples=400, deadline=None)
@given(changes=st.lists(st.tuples(PUTS, st.sampled_from((0, 0, 0, 1))), min_size=5, max_size=40))
def test_checks_of_changed_parts_agree_with_checks_of_the_whole(changes: list[Any]) -> None:
    """Guards against three faults that random sequences of changes can reveal.

    A change is accepted because the part that it breaks was not checked again, a stale base is
    accepted, or a snapshot loses a part of the state.
    """
    fold = SettingsFold(check_guarantees=check_fit)
    first = SettingsPut(path="", value=copy.deepcopy(BASE), base_version=0)
    assert fold.apply(0, "base", 0.0, first).accepted
    for offset, ((path, value), versions_behind) in enumerate(changes, start=2):
        before = fold.get(path)[1]
        base = max(before - versions_behind, 0)
        put = SettingsPut(path=path, value=copy.deepcopy(value), base_version=base)
        change = fold.apply(offset, f"id{offset}", 0.0, put)
        if not change.accepted:
            assert fold.get(path)[1] == before
            continue
        assert base == before
        assert fold.get(path) == (value, fold.version)
        whole, problems = build_settings(copy.deepcopy(fold.tree), {}, Settings())
        assert problems == []
        assert fold.model == whole
        assert check_settings(whole, Settings(), check_fit) == []
    restored = SettingsFold.restore(copy.deepcopy(fold.snapshot()), check_guarantees=check_fit)
    assert restored.snapshot() == fold.snapshot()
    assert restored.model == fold.model
