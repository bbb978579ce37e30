"""Stateful test of the ledger: claims, releases and answers in any order, with duplicates."""

from __future__ import annotations

import msgspec
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from zinniaweir.ledger.ledger import Ledger
from zinniaweir.wire.records import Record, RequestClaimed, RequestFinished, RequestReleased

KEYS = st.sampled_from(["k1", "k2"])
CUSTOMERS = st.sampled_from(["c1", "c2"])
VMS = st.sampled_from(["vm1", "vm2", "vm3"])


class LedgerMachine(RuleBasedStateMachine):
    """Append records late, out of order and in duplicate, and fold them into two ledgers.

    Guards against two VMs that both win one key: a winning claim keeps its key until its holder
    releases it, whatever else is on the log. The second ledger is restored from its own snapshot
    at random points, which guards against state that a snapshot does not contain.
    """

    claims = Bundle("claims")

    def __init__(self):
        super().__init__()
        self.ledger = Ledger(ttl_seconds=1e9)
        self.restored_ledger = Ledger(ttl_seconds=1e9)
        self.offset = 0
        self.ids = 0
        self.pending = []
        self.folded = []
        self.holders = {}
        self.released = set()

    def write(self, vm, body):
        self.ids += 1
        record = Record(id=f"{self.ids:032x}", vm=vm, at=0.0, body=body)
        self.pending.append(record)
        return record

    def fold(self, record):
        for ledger in (self.ledger, self.restored_ledger):
            ledger.apply(self.offset, record)
        self.offset += 1
        self.folded.append(record)

    @rule(target=claims, key=KEYS, customer=CUSTOMERS, vm=VMS, digest=st.sampled_from([b"a", b"b"]))
    def claim(self, key, customer, vm, digest):
        at = float(self.ids % 5)
        return self.write(
            vm, RequestClaimed(key=key, customer=customer, digest=digest, claimed_at=at)
        )

    @rule(claim=claims)
    def release(self, claim):
        if claim.id in self.holders.values():
            self.released.add(claim.id)
            self.write(claim.vm, RequestReleased(key=claim.body.key, claim_id=claim.id))

    @rule(claim=claims, state=st.sampled_from(["done", "failed", "unknown", "bogus"]))
    def finish(self, claim, state):
        body = RequestFinished(key=claim.body.key, claim_id=claim.id, state=state, answer=b"x")
        self.write(claim.vm, body)

    @rule(data=st.data())
    def append_any(self, data):
        if self.pending:
            index = data.draw(st.integers(0, len(self.pending) - 1))
            self.fold(self.pending.pop(index))

    @rule(data=st.data())
    def append_copy(self, data):
        if self.folded:
            self.fold(data.draw(st.sampled_from(self.folded)))

    @rule()
    def restore_from_snapshot(self):
        data = msgspec.msgpack.decode(msgspec.msgpack.encode(self.restored_ledger.snapshot()))
        self.restored_ledger = Ledger(ttl_seconds=1e9)
        self.restored_ledger.restore(data)

    @invariant()
    def one_unreleased_winner_per_key(self):
        for customer in ("c1", "c2"):
            for key in ("k1", "k2"):
                self.check(customer, key)

    def check(self, customer, key):
        entry = self.ledger.status(key, customer=customer)
        assert entry == self.restored_ledger.status(key, customer=customer)
        holder = self.holders.get((customer, key))
        if holder is not None and holder not in self.released:
            assert entry is not None
            assert entry.claim_id == holder
        if entry is not None:
            assert entry.state in ("claimed", "done", "failed", "unknown")
            self.holders[customer, key] = entry.claim_id


LedgerMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, database=None
)
TestLedgerMachine = seed(20)(LedgerMachine.TestCase)
