"""Tests of journals on a log in memory, with seeded random faults and copied records."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from zinniaweir.journal._recent_ids import WINDOW_OFFSETS
from zinniaweir.journal.client import LogCallError
from zinniaweir.journal.journal import PublishError
from zinniaweir.wire.log_service import LogEntry, ReadReply
from zinniaweir.wire.records import JobsCancelled, Record, encode_record


class FakeLog:
    """Log in memory; `faults` is the probability of each kind of fault per call."""

    def __init__(self, *, rng=None, faults=0.0):
        self.entries = []
        self.rng = rng
        self.faults = faults
        self.late = []

    async def append(self, entries, *, timeout):
        await asyncio.sleep(0.001)
        kind = self.rng.random() / self.faults if self.faults else 9
        if kind < 1:
            raise LogCallError(reason="unreachable", may_have_taken_effect=False)
        if kind < 2:
            raise LogCallError(reason="timeout", may_have_taken_effect=True)
        if kind < 3:
            asyncio.get_running_loop().call_later(self.rng.uniform(0, 0.3), self._extend, entries)
            raise LogCallError(reason="timeout", may_have_taken_effect=True)
        first = len(self.entries)
        self.entries.extend(entries)
        if kind < 4:
            raise LogCallError(reason="broken", may_have_taken_effect=True)
        return first

    async def read(self, from_offset, *, limit, wait_seconds, timeout):
        if self.faults and self.rng.random() < self.faults:
            raise LogCallError(reason="unreachable", may_have_taken_effect=True)
        await asyncio.sleep(0.002)
        found = self.entries[from_offset : from_offset + limit]
        return ReadReply(
            entries=[LogEntry(offset=from_offset + i, data=data) for i, data in enumerate(found)],
            first_offset=0,
            end_offset=len(self.entries),
        )

    def _extend(self, entries):
        self.entries.extend(entries)


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_never_break_delivery(kit, seed):
    """Records must be delivered once and in the same order on all VMs.

    `publish` must not report a false result. Lost, late, refused and repeated appends can break
    both.
    """

    async def scenario():
        log = FakeLog(rng=random.Random(seed), faults=0.12)
        followers = [kit.follower(log, vm=f"vm{i}") for i in range(3)]
        published, refused = [], []

        async def publish(follower, label):
            await asyncio.sleep(log.rng.uniform(0, 1.0))
            try:
                result = await follower.publish(label, timeout=log.rng.uniform(0.02, 0.6))
                published.append((result.offset, label))
            except PublishError as error:
                if not error.may_appear:
                    refused.append(label)

        async with followers[0].running(), followers[1].running(), followers[2].running():
            await asyncio.gather(
                *(publish(f, f"{f.journal._vm}-{i}") for f in followers for i in range(60))
            )
            await asyncio.sleep(0.4)
            log.faults = 0.0
            # Whether the random faults repeat an append depends on timing, so add one copy.
            log.entries.append(log.entries[-1])
            await kit.until(
                lambda: all(f.journal.next_offset == len(log.entries) for f in followers)
            )
        delivered = [[(o, r.body.label) for o, r in f.delivered] for f in followers]
        assert delivered[0] == delivered[1] == delivered[2]
        labels = [label for _, label in delivered[0]]
        assert len(set(labels)) == len(labels)
        assert set(published) <= set(delivered[0])
        assert not set(refused) & set(labels)
        assert published
        skipped = followers[0].counts.values["journal_duplicate_records", ""]
        assert skipped == len(log.entries) - len(labels) > 0

    asyncio.run(scenario())


def test_slow_reads_increase_freshness_age_and_delay_a_second_append(kit):
    """Freshness must count from the request of a read, and a second append must wait for a read.

    Counted from the reply, jobs could start on knowledge older than 2 s. Without the wait, the
    record is appended again before a read could show the first append.
    """

    class SlowReads(FakeLog):
        async def append(self, entries, *, timeout):
            self.entries.extend(entries)
            raise LogCallError(reason="broken", may_have_taken_effect=True)

        async def read(self, from_offset, **options):
            reply = await super().read(from_offset, **options)
            await asyncio.sleep(0.4)
            return reply

    async def scenario():
        log = SlowReads()
        async with kit.follower(log).running() as follower:
            publishing = asyncio.create_task(follower.publish("once"))
            await kit.until(lambda: follower.journal.caught_up)
            assert follower.journal.freshness_age(time.monotonic()) >= 0.4
            await publishing
            assert len(log.entries) == 1

    asyncio.run(scenario())


def test_copies_are_skipped_equally_from_any_start_offset(kit):
    """VMs must agree about a repeated record.

    They disagree if one of them started from a snapshot that was taken between the two copies.
    """

    def entry(number, label):
        body = JobsCancelled(label=label)
        return encode_record(Record(id=f"{number:032x}", vm="x", at=0.0, body=body))

    async def scenario():
        log = FakeLog()
        log.entries = [entry(0, "first")] + [entry(i, "") for i in range(1, 300)]
        log.entries += [entry(0, "copy"), entry(999, "last")]
        old, new = kit.follower(log), kit.follower(log)
        new.journal.start_at(200)
        async with old.running(), new.running():
            await kit.until(lambda: old.journal.caught_up and new.journal.caught_up)
        assert [o for o, _ in new.delivered] == [*range(200, 300), 301]
        assert old.delivered[200:] == new.delivered
        assert WINDOW_OFFSETS >= 300

    asyncio.run(scenario())


def test_log_that_ends_before_the_start_offset_is_a_gap(kit):
    """A VM must not act on a state that the log never held, such as after the log was reset."""

    async def scenario():
        follower = kit.follower(FakeLog())
        follower.journal.start_at(5)
        async with follower.running():
            await kit.until(lambda: follower.gaps)
        assert follower.gaps[0].reason == "rewound"

    asyncio.run(scenario())


def test_incomplete_or_stale_tail_does_not_make_a_journal_fresh(kit):
    """A VM must not become fresh through a peer that knows nothing or lacks entries in between."""

    async def scenario():
        source = kit.follower(FakeLog())
        empty = source.journal.tail(0, 10)
        assert empty.fresh_age_seconds == float("inf")
        target = kit.follower(FakeLog())
        assert not target.journal._apply_tail(empty, 0.0)
        assert not target.journal.caught_up
        source.journal.start_at(7)
        assert not source.journal.tail(3, 10).complete

    asyncio.run(scenario())
