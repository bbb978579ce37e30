"""Unit tests of the ledger."""

from __future__ import annotations

import math

from zinniaweir.ledger import ledger as module
from zinniaweir.ledger.ledger import MAX_ANSWER_BYTES, Ledger
from zinniaweir.wire.records import Record, RequestClaimed, RequestFinished, RequestReleased


class Log:
    """Apply records to a ledger at increasing offsets and with increasing ids."""

    def __init__(self, **options):
        self.ledger = Ledger(**options)
        self.offset = 0

    def write(self, body, vm="vm1", record_id=None):
        record_id = record_id or f"{self.offset:032x}"
        self.ledger.apply(self.offset, Record(id=record_id, vm=vm, at=0.0, body=body))
        self.offset += 1
        return record_id

    def claim(self, key="k", *, customer="c", at=0.0, **options):
        body = RequestClaimed(key=key, customer=customer, digest=b"d", claimed_at=at)
        return self.write(body, **options)

    def finish(self, claim, answer=b"ok", key="k", state="done"):
        self.write(RequestFinished(key=key, claim_id=claim, state=state, answer=answer))

    def release(self, claim, key="k"):
        self.write(RequestReleased(key=key, claim_id=claim))

    def status(self, key="k", customer="c"):
        return self.ledger.status(key, customer=customer)


def test_first_claim_wins_within_its_customer():
    """Guards against a second run of one key, and against a customer that blocks another's key."""
    log = Log()
    first, _, other = log.claim(), log.claim(vm="vm2"), log.claim(customer="c2")
    assert (log.status().claim_id, log.status().vm, log.status().offset) == (first, "vm1", 0)
    assert log.status(customer="c2").claim_id == other


def test_only_the_winning_claim_is_finished_or_released():
    """Guards against a losing claim that finishes or releases the winning one."""
    log = Log()
    winner, loser = log.claim(), log.claim(vm="vm2")
    log.finish(loser)
    log.release(loser)
    log.release(winner, key="another")
    assert (log.status().claim_id, log.status().state) == (winner, "claimed")
    log.finish(winner, b"answer")
    log.finish(winner, b"later", state="failed")
    log.release(winner)
    assert (log.status().state, log.status().answer) == ("done", b"answer")


def test_claim_that_appears_after_its_release_does_not_win():
    """Guards against a key that is blocked for a day by a claim that nobody holds.

    Its append took effect after the holder had given up and released it.
    """
    log = Log()
    log.release("late")
    log.claim(record_id="late")
    assert log.status() is None
    released = log.claim()
    log.release(released)
    log.claim(record_id=released)
    assert log.status() is None
    assert log.claim(vm="vm2") == log.status().claim_id


def test_large_answers_are_dropped_and_their_state_kept(monkeypatch):
    """Guards against answers that fill the memory.

    Also guards against a dropped answer that passes for an empty one.
    """
    log = Log()
    log.finish(log.claim(), b"x" * (MAX_ANSWER_BYTES + 1))
    assert (log.status().state, log.status().answer) == ("done", b"")
    assert log.status().answer_dropped
    monkeypatch.setattr(module, "MAX_TOTAL_ANSWER_BYTES", 25)
    for key in ("a", "b", "e"):
        log.finish(log.claim(key), b"y" * 10, key=key)
    assert [log.status(key).answer_dropped for key in ("a", "b", "e")] == [True, False, False]
    assert log.ledger.answer_bytes == 20


def test_expiry_follows_the_median_clock_of_the_writers():
    """Guards against a VM with a wrong clock that expires keys early, so that a request runs twice.

    Also guards against expiry that depends on the clock of the VM that folds the records.
    """
    log = Log(ttl_seconds=100.0)
    first = log.claim(at=0.0, vm="vm1")
    for vm in ("vm2", "vm3"):
        log.claim(vm, at=1.0, vm=vm)
    log.claim("x", at=1e12, vm="vm1")
    log.claim(at=50.0, vm="vm2")
    assert log.status().claim_id == first
    log.claim("y", at=102.0, vm="vm2")
    log.claim("z", at=103.0, vm="vm3")
    assert log.status() is None
    assert log.status("x") is None, "dated by the ledger's time, not by its writer's clock"
    assert log.status("y") is not None


def test_full_ledger_refuses_new_keys_and_bad_claims_change_nothing():
    """Guards against keys that are dropped before their time to live.

    Also guards against claims with an invalid time that corrupt the ledger's clock.
    """
    log = Log(max_entries=1)
    log.claim(at=math.nan)
    log.claim(at=math.inf)
    log.claim("")
    assert len(log.ledger) == 0
    first = log.claim()
    log.claim("k2")
    assert log.status("k2") is None
    assert log.ledger.is_full
    log.release(first)
    log.claim("k2")
    assert log.status("k2") is not None
