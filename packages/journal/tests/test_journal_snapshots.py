"""Tests of the splitting, assembly and schedule of snapshots."""

from __future__ import annotations

import random
import zlib

import msgspec
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from zinniaweir.journal.snapshots import (
    MAX_PART_RECORD_BYTES,
    SnapshotAssembler,
    SnapshotPolicy,
    split_snapshot,
)
from zinniaweir.wire.records import encode_record, new_record

STATE = random.Random(5).randbytes(300_000)


def split(through_offset, epoch=3, payload=STATE):
    return split_snapshot(payload, epoch=epoch, through_offset=through_offset)


def test_records_of_parts_are_at_most_64_kb():
    """A part must not exceed 64 KB once the record envelope is added to its payload."""
    parts = split(10)
    sizes = [len(encode_record(new_record(vm="v" * 64, body=part))) for part in parts]
    assert len(parts) > 4
    assert max(sizes) <= MAX_PART_RECORD_BYTES
    assert len(split(0, payload=b"")) == 1


@seed(7)
@settings(max_examples=60, deadline=None, database=None)
@given(st.randoms(use_true_random=False))
def test_parts_in_any_order_with_copies_give_the_newest_state(rng):
    """Parts of different snapshots must not be joined, and the newest snapshot must be chosen."""
    older, newer = split(100, payload=STATE[::-1]), split(200)
    stale = split(300, epoch=2)
    parts = [*older, *newer, *rng.choices(newer, k=3)]
    rng.shuffle(parts)
    parts += stale
    assembler = SnapshotAssembler()
    completed = [assembler.add(1_000 + i, part) for i, part in enumerate(parts)]
    assert assembler.newest is not None
    assert (assembler.newest.through_offset, assembler.newest.payload) == (200, STATE)
    assert [c.through_offset for c in completed if c][-1] == 200


def test_assembler_without_payloads_accepts_the_same_snapshots():
    """A corrupt or truncated snapshot must not count as complete where no payload is kept.

    Without `keeps_payload`, the state must not stay in memory.
    """
    compressed = zlib.compress(bytes(5_000_000))
    for payload, accepted in (
        (compressed, True),
        (compressed[:-5], False),
        (b"y" + compressed[1:], False),
    ):
        part = msgspec.structs.replace(split(50)[0], count=1, payload=payload)
        whole, checked = SnapshotAssembler(), SnapshotAssembler(keeps_payload=False)
        assert (whole.add(100, part) is not None) is accepted
        found = checked.add(100, part)
        assert (found is not None) is accepted
        assert found is None or (found.through_offset, found.payload) == (50, b"")


def test_incomplete_stale_and_corrupt_snapshots_are_ignored():
    """A VM must not start from a state that lacks parts, or that no valid owner wrote."""
    whole = split(50)
    assembler = SnapshotAssembler()
    for offset, part in enumerate([*whole, *split(90)[:-1]]):
        assembler.add(100 + offset, part)
    corrupt = [msgspec.structs.replace(part, payload=b"x") for part in split(95)]
    future = split(500)
    from_future_epoch = split(96, epoch=10_000)
    for offset, part in enumerate([*corrupt, *future, *from_future_epoch]):
        assembler.add(200 + offset, part)
    assert assembler.newest is not None
    assert assembler.newest.through_offset == 50


def test_policy_is_due_by_time_records_retention_and_outage():
    """A whole retention period must not pass without a complete snapshot in the log."""
    policy = SnapshotPolicy(retention_seconds=1_000.0, now=0.0)
    policy.on_snapshot_complete(through_offset=99, now=0.0)
    assert not policy.is_due(next_offset=200, now=249.0)
    assert policy.is_due(next_offset=200, now=250.0)
    assert not policy.is_due(next_offset=5_099, now=1.0)
    assert policy.is_due(next_offset=5_100, now=1.0)
    assert SnapshotPolicy(retention_seconds=1e6, now=0.0).is_due(next_offset=9, now=600.0)
    for second in range(10, 100):
        policy.update_log_reachability(second < 20 or second > 90, float(second))
    assert policy.is_due(next_offset=200, now=100.0)
    policy.on_snapshot_started(100.0)
    assert not policy.is_due(next_offset=200, now=101.0)
    policy.on_snapshot_complete(through_offset=199, now=100.0)
    assert not policy.is_due(next_offset=200, now=100.0)
