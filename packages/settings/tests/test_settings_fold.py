"""Tests of the fold of settings records."""

from __future__ import annotations

import copy
from typing import Any

import msgspec

from zinniaweir.settings.fold import SettingsFold, refusal_state
from zinniaweir.settings.plain import problem
from zinniaweir.settings.yaml_text import load_yaml
from zinniaweir.wire.records import SettingsPut

TREE = load_yaml("""
topology:
  failure_domains:
    diliman: {region: luzon, state: in}
    baguio: {region: luzon}
  racks:
    diliman-r1: {failure_domain: diliman}
  workers:
    diliman-r1-w1: {rack: diliman-r1, host: 127.0.0.1, port: 7101, cores: 64, memory_gb: 256,
                    accelerators: 8}
services:
  rendering:
    order: 1
    slots: 8
    connections: 60
    crossing_cost_ms: 8
    upstreams:
      diliman-u1: {host: 127.0.0.1, port: 7201, failure_domain: diliman}
customers:
  parish:
    aliases: [parrish, parishes]
    name_correction: true
    jobs: {ray-trace: {aliases: [raytrace]}, gnomon-check: {}}
    guarantees:
      - {members: 1, accelerators: 8, cores: 8, memory_gb: 16, spread: rack, count: 1,
         failure_domain: diliman}
    limits: {requests_per_second: 200, burst: 400, queued_requests: 500, queued_jobs: 2000}
    quota: {accelerators: 64, running_jobs: 500}
    priorities: [urgent, normal, batch]
  abbey: {aliases: [abby]}
policy:
  reclaim_seconds: {urgent: 4, normal: 10, batch: 60}
  services_for_jobs: {ray-trace: [rendering]}
""")


def check_fit(settings: Any) -> list[Any]:
    """Check, in place of the core, the guaranteed accelerators against domains that are in."""
    domains = settings.topology.failure_domains
    racks = settings.topology.racks
    available = sum(
        worker.accelerators
        for worker in settings.topology.workers.values()
        if domains[racks[worker.rack].failure_domain].state == "in"
    )
    guaranteed = [
        (f"customers/{name}/guarantees", g.members * g.accelerators * g.count)
        for name, customer in settings.customers.items()
        for g in customer.guarantees
    ]
    if sum(amount for _, amount in guaranteed) <= available:
        return []
    return [problem(guaranteed[-1][0], guaranteed[-1][1], f"fits within {available} accelerators")]


def put(path: str, value: Any, base: int) -> SettingsPut:
    return SettingsPut(path=path, value=value, base_version=base, author="ana", note="n")


def loaded_fold() -> SettingsFold:
    fold = SettingsFold(check_guarantees=check_fit)
    change = fold.apply(5, "first", 1.0, put("", copy.deepcopy(TREE), 0))
    assert change.accepted, change.reason
    return fold


def test_two_racing_operators_have_exactly_one_winner() -> None:
    """Guards against the second of two racing changes silently undoing the first.

    Both are based on the same version; the second must be refused as a conflict.
    """
    fold = loaded_fold()
    version = fold.get("customers/parish")[1]
    first = fold.apply(6, "a", 2.0, put("customers/parish/limits/burst", 500, version))
    second = fold.apply(7, "b", 2.0, put("customers/parish/limits/burst", 600, version))
    assert (first.accepted, refusal_state(second)) == (True, "conflict")
    assert fold.get("customers/parish/limits/burst") == (500, 6)
    assert fold.get("customers/abbey")[1] == 5
    assert fold.apply(8, "c", 2.0, put("customers/abbey/aliases", [], 5)).accepted


def test_first_offsets_of_a_log_still_have_one_winner() -> None:
    """Guards against version 0 or 1 standing for two states of a subtree at the start of a log.

    Version 0 means that a subtree was never changed, so the offsets 0 and 1 share version 1.
    """
    fold = SettingsFold(check_guarantees=check_fit)
    outcomes = []
    for offset, base in enumerate((0, 0, 1, 1)):
        change = put("customers/x", {"aliases": [f"a{offset}"]}, base)
        outcomes.append(fold.apply(offset, f"id{offset}", 0.0, change).accepted)
    assert outcomes == [True, False, True, False]
    fold = SettingsFold(check_guarantees=check_fit)
    outcomes = []
    for offset, base in enumerate((0, 1, 1, 1)):
        change = put("customers/x", {"aliases": [f"a{offset}"]}, base)
        outcomes.append(fold.apply(offset, f"id{offset}", 0.0, change).accepted)
    assert outcomes == [True, False, True, False]


def test_repeated_record_changes_nothing() -> None:
    """Guards against a refused put that takes effect when its append is repeated.

    The repeated record could be valid by then, because another change came in between.
    """
    fold = loaded_fold()
    refused = fold.apply(6, "a", 2.0, put("customers/new/limits", {}, 5))
    assert refusal_state(refused) == "invalid"
    fold.apply(7, "b", 2.0, put("customers/new", {}, 5))
    again = fold.apply(8, "a", 2.0, put("customers/new/limits", {}, 7))
    assert refusal_state(again) == "duplicate"
    assert [change.offset for change in fold.history("customers/new")] == [7, 6, 5]


def test_restored_fold_continues_like_the_original() -> None:
    """Guards against a new VM that decides differently from those that folded the whole log.

    This happens if a snapshot loses versions, record ids or the order of customers.
    """
    fold = loaded_fold()
    fold.apply(6, "a", 2.0, put("customers/abbey", None, 5))
    fold.apply(7, "b", 2.0, put("services/rendering/slots", 0, 5))
    data = msgspec.msgpack.decode(msgspec.msgpack.encode(fold.snapshot()))
    other = SettingsFold.restore(data, check_guarantees=check_fit)
    assert other.model == fold.model
    for offset, record_id, change in (
        (8, "a", put("customers/abbey", {}, 0)),
        (9, "c", put("customers/abbey", {}, 0)),
        (10, "d", put("customers/abbey", {"aliases": ["parrish"]}, 6)),
        (11, "e", put("customers/abbey", {}, 6)),
    ):
        assert other.apply(offset, record_id, 3.0, change) == fold.apply(
            offset, record_id, 3.0, change
        )
    assert other.snapshot() == fold.snapshot()
    assert list(other.model.customers) == list(fold.model.customers) == ["parish", "abbey"]


def test_drain_keeps_guarantees_valid_and_removal_does_not() -> None:
    """Guards against a drain that is refused, or one that blocks every later change of guarantees.

    This happens if guarantees are checked against only the failure domains that are in.
    """
    fold = loaded_fold()
    drain = put("topology/failure_domains/diliman/state", "out", 5)
    assert fold.apply(6, "a", 2.0, drain).accepted
    assert fold.model.topology.failure_domains["diliman"].state == "out"
    guarantee = dict(TREE["customers"]["parish"]["guarantees"][0], count=1, memory_gb=8)
    assert fold.apply(7, "b", 2.0, put("customers/parish/guarantees", [guarantee], 5)).accepted
    for worker, value in (("diliman-r1-w1", None), ("diliman-r1-w1/accelerators", 0)):
        loss = fold.apply(8, worker, 2.0, put(f"topology/workers/{worker}", value, 5))
        assert "fits within 0 accelerators" in loss.reason


def test_review_changes_nothing_and_names_the_difference() -> None:
    """Guards against a review that takes effect or hides what would change."""
    fold = loaded_fold()
    before = fold.snapshot()
    review = fold.review(put("customers/parish/limits", {"queued_jobs": 10}, 5))
    assert "~ customers/parish/limits/queued_jobs: 2000 -> 10" in review.diff
    assert "- customers/parish/limits/burst: 400" in review.diff
    assert review.reason == ""
    assert fold.snapshot() == before


def test_fault_in_the_guarantee_check_refuses_the_record() -> None:
    """Guards against one record that stops the fold on every VM.

    This happens if an exception of the guarantee check escapes from the fold.
    """

    def fail(settings: Any) -> list[Any]:
        raise ZeroDivisionError

    fold = SettingsFold(check_guarantees=fail)
    change = fold.apply(0, "a", 0.0, put("", TREE, 0))
    assert refusal_state(change) == "invalid"
    assert fold.version == 0
