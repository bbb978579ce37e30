"""Tests of the journal against faults of the log stand-in."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from zinniaweir.journal.client import LogClient
from zinniaweir.journal.journal import PublishError
from zinniaweir.journal.snapshots import (
    INITIAL_SCAN_RECORDS,
    find_snapshot,
    publish_snapshot,
)


def test_lost_answer_is_resolved_by_reading(kit):
    """A record must not be appended twice when the first append worked but its answer was lost."""

    async def scenario():
        async with kit.log() as log, kit.follower(log.client()).running() as follower:
            await follower.publish("before")
            log.fault(lose_answers=1)
            published = await follower.publish("lost")
            assert published.offset == 1
            await follower.publish("after")
            assert follower.labels == ["before", "lost", "after"]
            assert log.standin.end == 3

    asyncio.run(scenario())


def test_record_is_not_appended_after_its_publisher_gave_up(kit):
    """A claim must not take effect after its publisher was told `log_unavailable`.

    This happens if a record is appended again once the log is back.
    """

    async def scenario():
        async with kit.log() as log, kit.follower(log.client()).running() as follower:
            await follower.publish("before")
            log.fault(down=True)
            with pytest.raises(PublishError) as caught:
                await follower.publish("refused", timeout=0.5)
            assert caught.value.reason == "log_unavailable"
            assert caught.value.may_appear
            assert not follower.journal.log_reachable
            log.fault()
            await follower.publish("after")
            assert follower.labels == ["before", "after"]

    asyncio.run(scenario())


def test_unsent_record_is_known_not_to_appear(kit):
    """`may_appear` must be false if no connection was made, since the record never left the VM."""

    async def scenario():
        async with kit.log() as log:
            port = log.port
        follower = kit.follower(LogClient(host="127.0.0.1", port=port))
        async with follower.running():
            with pytest.raises(PublishError) as caught:
                await follower.publish("unsent", timeout=0.3)
            assert not caught.value.may_appear

    asyncio.run(scenario())


def test_slow_log_delays_but_does_not_repeat(kit):
    """Records must not be appended twice, or given up, while each call takes 0.8 s."""

    async def scenario():
        async with kit.log() as log, kit.follower(log.client()).running() as follower:
            await follower.publish("before")
            log.fault(delay_seconds=0.8)
            await asyncio.gather(*(follower.publish(f"slow{i}", timeout=10.0) for i in range(3)))
            assert sorted(follower.labels) == ["before", "slow0", "slow1", "slow2"]
            assert log.standin.end == 4

    asyncio.run(scenario())


def test_log_slower_than_the_initial_timeout_is_still_used(kit):
    """A log that needs 2.1 s per call must still be read; a fixed timeout would fail every call."""

    async def scenario():
        async with kit.log() as log, kit.follower(log.client()).running() as follower:
            log.fault(delay_seconds=2.1)
            await follower.publish("slow", timeout=30.0)
            assert follower.labels == ["slow"]

    asyncio.run(scenario())


def test_rate_limited_appends_are_retried_in_order(kit):
    """Records must not be lost or reordered when the log refuses appends over its rate limit."""

    async def scenario():
        async with (
            kit.log(appends_per_second=5.0) as log,
            kit.follower(log.client()).running() as follower,
        ):
            for index in range(12):
                await follower.publish(f"{index:02}", timeout=10.0)
            assert follower.labels == [f"{index:02}" for index in range(12)]
            assert follower.counts.values["journal_append_failures", "rate_limited"] > 0

    asyncio.run(scenario())


def test_appends_stay_within_the_vm_share_and_batch_size(kit):
    """A burst of publishes must not use up the limit of 300 appends a second that 7 VMs share."""

    async def scenario():
        async with kit.log() as log, kit.follower(log.client()).running() as follower:
            started = time.monotonic()
            for _ in range(3):
                await asyncio.gather(*(follower.publish(f"{i}", timeout=10.0) for i in range(500)))
            while time.monotonic() - started < 1.0:
                await follower.publish("one", timeout=10.0)
            elapsed = time.monotonic() - started
            assert log.standin._appends >= 3 * 500 / 200
            assert log.standin._appends <= 42 + 38 * (elapsed - 1.0) + 1

    asyncio.run(scenario())


def test_trimmed_log_raises_a_gap_and_continues_after_a_snapshot(kit):
    """Records that retention removed before they were read must not be skipped silently."""

    async def scenario():
        async with kit.log() as log, kit.follower(log.client(), vm="writer").running() as writer:
            await writer.publish("old")
            await publish_snapshot(writer.journal, b"state", epoch=0, through_offset=0, timeout=3.0)
            await writer.publish("new")
            log.standin._entries.popleft()
            log.standin._first = 1
            async with kit.follower(log.client()).running() as follower:
                await kit.until(lambda: follower.gaps)
                gap = follower.gaps[0]
                assert (gap.reason, gap.next_offset, gap.first_offset) == ("trimmed", 0, 1)
                assert not follower.journal.caught_up
                assert follower.delivered == []
                found = await find_snapshot(follower.client)
                assert found.snapshot is not None
                assert found.snapshot.payload == b"state"
                follower.journal.start_at(found.start_offset)
                await kit.until(lambda: follower.journal.caught_up)
                assert [offset for offset, _ in follower.delivered] == [1, 2]

    asyncio.run(scenario())


def test_search_finds_a_snapshot_that_begins_before_the_first_scan(kit):
    """A VM must not start without a state because the first scan misses a snapshot.

    This happens if more records than one scan follow the snapshot, or if the scan starts between
    its parts.
    """

    async def scenario():
        async with kit.log() as log, kit.follower(log.client(), vm="writer").running() as writer:
            state = random.Random(3).randbytes(300_000)
            await writer.publish("before")
            await publish_snapshot(writer.journal, state, epoch=0, through_offset=0, timeout=3.0)
            end = log.standin.end
            assert end > 3
            for after in (INITIAL_SCAN_RECORDS - 2, INITIAL_SCAN_RECORDS):
                missing = end + after - log.standin.end
                await writer.client.append([b"no record"] * missing, timeout=3.0)
                found = await find_snapshot(writer.client)
                assert found.snapshot is not None
                assert found.snapshot.payload == state
                assert found.end_offset == log.standin.end

    asyncio.run(scenario())


def test_invalid_entries_are_skipped(kit):
    """An entry that is not a record, written by another client, must not stop the journal."""

    async def scenario():
        async with kit.log() as log, kit.follower(log.client()).running() as follower:
            await follower.client.append([b"\xc1", b""], timeout=1.0)
            await follower.publish("valid")
            assert follower.invalid == [0, 1]
            assert follower.labels == ["valid"]

    asyncio.run(scenario())


def test_relay_carries_records_and_age_while_the_log_is_cut_off(kit):
    """A VM that alone is cut off from the log must go on through a peer.

    It must not take the peer's knowledge of the log to be newer than it is.
    """

    async def scenario():
        async with kit.log() as log, kit.follower(log.client(), vm="peer").running() as peer:

            async def relay(from_offset):
                await asyncio.sleep(0.05)
                return peer.journal.tail(from_offset, 1000)

            cut_off = LogClient(host="127.0.0.1", port=1)
            async with kit.follower(cut_off, relay=relay).running() as follower:
                for index in range(5):
                    await peer.publish(f"{index}")
                await kit.until(lambda: len(follower.delivered) == 5)
                log.fault(down=True)
                await asyncio.sleep(1.0)
                now = time.monotonic()
                own_age, peer_age = (f.journal.freshness_age(now) for f in (follower, peer))
                assert peer_age <= own_age <= peer_age + 1.0
                assert not follower.journal.is_fresh(0.9, now)
                assert not follower.journal.log_reachable

    asyncio.run(scenario())


def test_relay_keeps_freshness_within_2_s_when_the_log_hangs(kit):
    """Job starts must not stop when the log's packets to one VM are dropped.

    Reads then return no error, so only the missing replies show that the relay is needed.
    """

    async def scenario():
        async with kit.log() as log, kit.follower(log.client(), vm="peer").running() as peer:

            async def relay(from_offset):
                return peer.journal.tail(from_offset, 1000)

            client = log.client()
            async with kit.follower(client, relay=relay).running() as follower:
                await kit.until(lambda: follower.journal.caught_up)
                await asyncio.sleep(1.0)
                client.read = lambda offset, **options: asyncio.sleep(10.0)
                ages = []
                while len(ages) < 300:
                    ages.append(follower.journal.freshness_age(time.monotonic()))
                    await asyncio.sleep(0.01)
                assert max(ages) < 2.0
                assert not follower.journal.log_reachable

    asyncio.run(scenario())
