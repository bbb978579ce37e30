"""Tests of the rules for claiming the ownership of scheduling."""

from __future__ import annotations

from zinniaweir.node.claim_policy import SMALL_VM_DELAY_SECONDS, ClaimPolicy, claim_rank
from zinniaweir.workloads.records import OwnerClaim, VmAddress


def claim_policy() -> ClaimPolicy:
    return ClaimPolicy(vm="v1", incarnation="mine", extra_delay=0.1, normal_read_seconds=0.45)


def claim(**changes: object) -> OwnerClaim:
    return OwnerClaim(**({"vm": "v2", "incarnation": "other", "epoch": 1} | changes))


def follow(policy: ClaimPolicy, held: OwnerClaim, start: float, end: float) -> float:
    at = start
    while at < end:
        policy.observe(held, previous_at=at - 0.4, at=at)
        at += 0.4
    return at - 0.4


def test_renewing_owner_is_not_replaced() -> None:
    """Guards against an unnecessary change of owner while the owner's renewals arrive."""
    policy = claim_policy()
    for beat in range(10):
        policy.observe(claim(beat=beat), previous_at=beat * 0.4 - 0.4, at=beat * 0.4)
        assert not policy.should_claim(claim(beat=beat), fresh_at=beat * 0.4)


def test_silent_owner_is_replaced() -> None:
    """Guards against jobs that nobody schedules after the owner has failed."""
    policy = claim_policy()
    last = follow(policy, claim(), 0.0, 3.0)
    assert policy.should_claim(claim(), fresh_at=last)


def test_log_outage_does_not_replace_owner() -> None:
    """Guards against a takeover when an outage of the log ends.

    No renewal could be read during the outage, so the owner must get its full timeout again.
    """
    policy = claim_policy()
    follow(policy, claim(), 0.0, 0.5)
    policy.observe(claim(), previous_at=0.4, at=9.0)
    assert not policy.should_claim(claim(), fresh_at=9.0)


def test_released_claim_and_claim_of_earlier_process_are_replaced_at_once() -> None:
    """Guards against a delay without an owner after a planned stop or a restart of all VMs."""
    policy = claim_policy()
    policy.observe(claim(released=True), previous_at=0.0, at=0.1)
    assert policy.should_claim(claim(released=True), fresh_at=0.1)
    policy.observe(claim(vm="v1"), previous_at=0.1, at=0.2)
    assert policy.should_claim(claim(vm="v1"), fresh_at=0.2)


def test_nothing_is_claimed_before_the_log_was_read() -> None:
    """Guards against a claim by a VM that does not know whether there is an owner."""
    assert not claim_policy().should_claim(None, fresh_at=0.0)


def test_a_slow_log_gives_its_owner_more_time() -> None:
    """Guards against a takeover because renewals arrive late on a slow log.

    The takeover's appends would make the log slower still.
    """
    slow = claim_policy()
    for n in range(10):
        slow.observe(claim(beat=n), previous_at=n * 0.75 - 0.75, at=n * 0.75)
    last = 9 * 0.75
    assert not slow.should_claim(claim(beat=9), fresh_at=last + 1.5)
    assert slow.should_claim(claim(beat=9), fresh_at=last + 3.0)


def test_small_vm_delays_its_claim_for_larger_vms() -> None:
    """Guards against an owner of many workers with half a core while larger VMs are idle."""
    weak = ClaimPolicy(
        vm="v1",
        incarnation="mine",
        extra_delay=0.0,
        normal_read_seconds=0.45,
        vacancy_delay=SMALL_VM_DELAY_SECONDS,
    )
    weak.observe(None, previous_at=0.0, at=0.1)
    assert not weak.should_claim(None, fresh_at=0.1)
    weak.observe(None, previous_at=0.1, at=0.5)
    assert weak.should_claim(None, fresh_at=0.5)
    strong = ClaimPolicy(
        vm="v2", incarnation="its", extra_delay=0.0, normal_read_seconds=0.45, vacancy_delay=0.0
    )
    strong.observe(None, previous_at=0.0, at=0.1)
    assert strong.should_claim(None, fresh_at=0.1)


def test_vms_claim_vacant_ownership_in_ranked_order() -> None:
    """Guards against simultaneous claims of all VMs, which keep a slow log busy for seconds."""
    vms = [
        VmAddress(vm=f"v{n}", address="", failure_domain="", strong=n % 6 == 0) for n in range(38)
    ]
    last = claim(vm="v0", epoch=4, released=True)
    ranks = {vm.vm: claim_rank(vm.vm, vms, last=last) for vm in vms if vm.vm != "v0"}
    assert sorted(ranks.values()) == list(range(37))
    assert all(ranks[vm.vm] < 6 for vm in vms[1:] if vm.strong)
    policy = claim_policy()
    assert policy.claim_delay(0) == 0.0
    at = 0.0
    for _ in range(20):
        policy.observe(last, previous_at=at, at=at + 0.9)
        at += 0.9
    assert policy.claim_delay(1) == 0.8
    assert policy.claim_delay(2) == 1.6


def test_the_order_of_claims_changes_with_the_epoch() -> None:
    """Guards against takeovers that each wait for the same VM, which may be lost."""
    vms = [VmAddress(vm=f"v{n}", address="", failure_domain="") for n in range(6)]
    first = {
        next(v.vm for v in vms if claim_rank(v.vm, vms, last=claim(vm="x", epoch=epoch)) == 0)
        for epoch in range(12)
    }
    assert len(first) > 1
