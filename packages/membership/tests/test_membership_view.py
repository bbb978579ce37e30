"""Tests of the view of live VMs."""

from __future__ import annotations

import msgspec

from zinniaweir.membership.view import MAX_DATAGRAM_LIFETIME_SECONDS, Membership, new_incarnation
from zinniaweir.wire.peer_service import Heartbeat
from zinniaweir.wire.vmlist_service import VmEntry


def make_heartbeat(vm="b", incarnation="1", **fields):
    base = Heartbeat(
        vm=vm,
        incarnation=incarnation,
        host="127.0.0.1",
        port=7000,
        region="luzon",
        failure_domain="diliman",
        log_offset=5,
        fresh_age_seconds=0.5,
        log_reachable=True,
        draining=False,
    )
    return msgspec.structs.replace(base, **fields)


def view(**options):
    return Membership(vm="a", incarnation="1", region="luzon", **options)


def test_vm_without_heartbeats_counts_as_dead_and_is_later_removed():
    """Shards must not stay with a dead VM, and the view must not grow with each replaced VM."""
    members = view(forget_after_seconds=60.0)
    members.on_heartbeat(make_heartbeat(), 0.0)
    assert members.live(2.0) == {"a", "b"}
    assert members.live(2.1) == {"a"}
    assert [peer.vm for peer in members.peers(60.0)] == ["b"]
    assert members.peers(60.1) == []


def test_restart_replaces_the_incarnation_and_old_datagrams_are_ignored():
    """A restarted VM must not seem to own what its old incarnation owned.

    A delayed datagram must not bring the old incarnation back, or keep the VM live for longer.
    """
    members = view()
    members.on_heartbeat(make_heartbeat(incarnation="1"), 0.0)
    assert members.on_heartbeat(make_heartbeat(incarnation="2"), 1.0)
    assert not members.is_live("b", 1.0, incarnation="1")
    assert members.is_live("b", 1.0, incarnation="2")
    assert not members.on_heartbeat(make_heartbeat(incarnation="1"), 1.5)
    assert not members.on_heartbeat(make_heartbeat(incarnation="0"), 1.5)
    assert not members.on_heartbeat(
        make_heartbeat(incarnation="1"), 1.0 + MAX_DATAGRAM_LIFETIME_SECONDS
    )
    assert not members.is_live("b", 1.0 + MAX_DATAGRAM_LIFETIME_SECONDS)
    assert new_incarnation()[:12] <= new_incarnation()[:12]


def test_restart_after_the_clock_went_back_is_accepted_once_the_old_one_is_silent():
    """A VM must not be ignored forever because its new incarnation sorts before the old one."""
    members = view()
    members.on_heartbeat(make_heartbeat(incarnation="9"), 0.0)
    assert not members.on_heartbeat(make_heartbeat(incarnation="5"), 1.0)
    assert members.on_heartbeat(make_heartbeat(incarnation="5"), 2.5)
    assert not members.on_heartbeat(make_heartbeat(incarnation="9"), 2.6)
    assert members.is_live("b", 2.6, incarnation="5")


def test_reordered_datagrams_do_not_take_back_draining_or_offset():
    """A delayed datagram must not make a draining VM a candidate again."""
    members = view()
    members.on_heartbeat(make_heartbeat(log_offset=8, draining=True), 0.0)
    members.on_heartbeat(make_heartbeat(log_offset=7), 0.1)
    members.on_heartbeat(make_heartbeat(log_offset=9), 0.2)
    assert members.is_leaving("b")
    assert members.peer("b").heartbeat.log_offset >= 8
    assert [candidate.vm for candidate in members.candidates(0.2)] == ["a"]


def test_vm_list_does_not_affect_liveness_and_own_heartbeats_are_ignored():
    """A lagging VM list must not declare VMs live or dead.

    A second process with the name of this VM must not change this VM's own state.
    """
    members = view()
    entry = VmEntry(name="b", role="system", host="127.0.0.1", port=7000, failure_domain="x")
    members.on_vm_list([entry])
    assert members.live(0.0) == {"a"}
    members.on_heartbeat(make_heartbeat(), 0.0)
    members.on_vm_list([msgspec.structs.replace(entry, state="leaving")])
    assert members.is_live("b", 0.0)
    assert members.is_leaving("b")
    members.on_vm_list([])
    assert members.is_live("b", 0.0)
    assert not members.on_heartbeat(make_heartbeat(vm="a", incarnation="2"), 0.0)
