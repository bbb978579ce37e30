from __future__ import annotations

from zinniaweir.scheduler.core_inputs import guarantee_problems
from zinniaweir.scheduler.state import ClusterState, region_shard
from zinniaweir.wire.records import (
    JobSpec,
    JobSubmitted,
    OwnershipClaimed,
    RequestClaimed,
    RequestFinished,
    SettingsPut,
    new_record,
)


def make_state() -> ClusterState:
    return ClusterState(check_guarantees=guarantee_problems)


def fold(state: ClusterState, *bodies) -> None:
    for offset, body in enumerate(bodies, start=10):
        state.on_record(offset, new_record(vm="vm1", body=body))


def topology(accelerators: int) -> dict:
    return {
        "failure_domains": {"north": {"region": "r"}},
        "racks": {"r1": {"failure_domain": "north"}},
        "workers": {
            "w1": {
                "rack": "r1",
                "host": "127.0.0.1",
                "port": 7001,
                "cores": 8,
                "memory_gb": 8,
                "accelerators": accelerators,
            }
        },
    }


def put(path: str, value) -> SettingsPut:
    return SettingsPut(path=path, value=value, base_version=0)


def test_restored_state_equals_the_folded_one_and_reports_owners() -> None:
    """Guards against a VM that misses part of the state after it starts from a snapshot.

    That can be an owner, a claim or a setting that affects how later records fold.
    """
    state, other = make_state(), make_state()
    fold(
        state,
        put("topology", topology(8)),
        put("policy", {"ledger_ttl_hours": 2}),
        OwnershipClaimed(shard=region_shard("r"), incarnation="i", supersedes=-1),
        JobSubmitted(
            job_id="a", region="r", key="k", spec=JobSpec(customer="c", name="n"), submitted_at=1.0
        ),
        RequestClaimed(key="q", customer="c", digest=b"d", claimed_at=1.0),
    )
    claim = state.ledger.status("q", customer="c")
    state.on_record(
        20,
        new_record(
            vm="vm1",
            body=RequestFinished(key="q", claim_id=claim.claim_id, state="done", answer=b"x"),
        ),
    )
    changes = []
    other.add_listener(changes.append)
    other.restore(state.snapshot())
    assert other.snapshot() == state.snapshot()
    assert other.ledger.ttl_seconds == 7200.0
    assert other.ledger.status("q", customer="c").answer == b"x"
    assert region_shard("r") in {change.ownership for change in changes}


def test_guarantee_that_does_not_fit_the_topology_is_refused() -> None:
    """Guards against admission of guarantees by the sum of accelerators.

    Two members of 8 do not fit on one worker of 8, and neither does one member of 9 on 16
    accelerators of two workers.
    """
    state = make_state()
    wide = {"members": 2, "accelerators": 8}
    fold(state, put("topology", topology(8)), put("customers/c", {"guarantees": [wide]}))
    assert "c" not in state.settings.model.customers
    (refused,) = [change for change in state.settings.history("customers/c") if not change.accepted]
    assert "customers/c/guarantees/0" in refused.reason
