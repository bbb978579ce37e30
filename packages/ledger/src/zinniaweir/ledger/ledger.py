"""State of non-idempotent requests, folded from their claims, releases and answers."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Any, Final, Literal

import msgspec

from zinniaweir.ledger._clock import LedgerClock
from zinniaweir.wire.records import RequestClaimed, RequestFinished, RequestReleased

if TYPE_CHECKING:
    from collections.abc import Mapping

    from zinniaweir.wire.records import Record

DEFAULT_TTL_SECONDS: Final = 24 * 3600.0
"""Time to live of a key if the settings do not state one."""
MAX_ANSWER_BYTES: Final = 16 * 1024
"""Maximum size of an answer that is kept. Of a larger one, only the state is kept."""
MAX_TOTAL_ANSWER_BYTES: Final = 8 * 1024 * 1024
"""Maximum total size of kept answers. Above it, the oldest answers are dropped."""
MAX_ENTRIES: Final = 80_000
"""Maximum number of keys, 32 MB at 394 bytes each with 64-byte answers (bench/ledger_bench.py).

New claims above it are refused, because dropping an old key early would let its request run
twice.
"""
MAX_RELEASED_CLAIMS: Final = 8_192
"""Maximum number of released claim ids that are kept.

A duplicate or a late append of one of these claims does not win.
"""
MAX_KEY_LENGTH: Final = 256
MAX_DIGEST_BYTES: Final = 64
MAX_CLAIM_ID_LENGTH: Final = 64
MAX_REASON_LENGTH: Final = 256
FINAL_STATES: Final = frozenset({"done", "failed", "unknown"})

ClaimState = Literal["claimed", "done", "failed", "unknown"]


class LedgerEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of one key of a customer."""

    claim_id: str
    """Record id of the claim that won."""
    vm: str
    """VM that holds the claim."""
    customer: str
    """Customer whose key it is."""
    digest: bytes
    """Digest of the request."""
    state: ClaimState
    """Whether the request is in progress, or how it ended."""
    answer: bytes = b""
    """Answer to the request, empty if there is none or it was dropped."""
    reason: str = ""
    """Why the request ended in its state."""
    answer_dropped: bool = False
    """Whether there was an answer that was not kept, to bound memory."""
    offset: int
    """Offset of the winning claim."""
    claimed_at: float
    """Ledger time in seconds at which the claim won; the entry expires one time to live later."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LedgerEntry)


class Ledger:
    """Claims and answers by customer and key, folded from request records.

    The same records in the same order give the same state on every VM. Entries are held encoded
    under a hash of customer and key, which halves their memory.

    Args:
        ttl_seconds: How long a key is kept, in ledger time (see `LedgerClock`).
        max_entries: Maximum number of keys; claims above it change nothing.
    """

    def __init__(
        self, *, ttl_seconds: float = DEFAULT_TTL_SECONDS, max_entries: int = MAX_ENTRIES
    ) -> None:
        self.ttl_seconds = ttl_seconds
        """Time to live of a key in seconds.

        Change it only while a record is folded, so that all VMs change it at the same offset.
        """
        self._max_entries = max_entries
        self._clock = LedgerClock()
        self._entries: OrderedDict[bytes, bytes] = OrderedDict()
        self._open_claims: dict[str, bytes] = {}
        self._released: OrderedDict[str, None] = OrderedDict()
        self._answered_keys: deque[bytes] = deque()
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Whether a claim of a new key would be refused."""
        return len(self._entries) >= self._max_entries

    @property
    def answer_bytes(self) -> int:
        """Total size of all kept answers in bytes."""
        return self._answer_bytes

    def status(self, key: str, *, customer: str) -> LedgerEntry | None:
        """Return the entry of a key, or None if the key is free.

        Args:
            key: Idempotency key of the caller.
            customer: Customer whose key it is.
        """
        return self._entry(_key_hash(customer, key))

    def apply(self, offset: int, record: Record) -> None:
        """Apply one record. Records that do not concern requests change nothing.

        Args:
            offset: Offset of the record.
            record: The record.
        """
        body = record.body
        if isinstance(body, RequestClaimed):
            self._claim(offset, record, body)
        elif isinstance(body, RequestReleased):
            self._release(body)
        elif isinstance(body, RequestFinished):
            self._finish(body)

    def snapshot(self) -> dict[str, Any]:
        """Return the state as data for msgpack."""
        return {
            "clock": self._clock.snapshot(),
            "entries": list(self._entries.items()),
            "open_claims": dict(self._open_claims),
            "released": list(self._released),
            "answered": list(self._answered_keys),
            "answer_bytes": self._answer_bytes,
        }

    def restore(self, data: Mapping[str, Any]) -> None:
        """Replace the state with that of a decoded snapshot."""
        self._clock.restore(data["clock"])
        self._entries = OrderedDict((key_hash, packed) for key_hash, packed in data["entries"])
        self._open_claims = dict(data["open_claims"])
        self._released = OrderedDict.fromkeys(data["released"])
        self._answered_keys = deque(data["answered"])
        self._answer_bytes = data["answer_bytes"]

    def _entry(self, key_hash: bytes) -> LedgerEntry | None:
        packed = self._entries.get(key_hash)
        return None if packed is None else _DECODER.decode(packed)

    def _claim(self, offset: int, record: Record, body: RequestClaimed) -> None:
        if not _is_valid(body):
            return
        self._clock.observe(record.vm, body.claimed_at)
        self._expire()
        key_hash = _key_hash(body.customer, body.key)
        if key_hash in self._entries or record.id in self._released or self.is_full:
            return
        if record.id in self._open_claims:
            return
        entry = LedgerEntry(
            claim_id=record.id,
            vm=record.vm,
            customer=body.customer,
            digest=body.digest,
            state="claimed",
            offset=offset,
            claimed_at=self._clock.now,
        )
        self._entries[key_hash] = _ENCODER.encode(entry)
        self._open_claims[record.id] = key_hash

    def _release(self, body: RequestReleased) -> None:
        if len(body.claim_id) > MAX_CLAIM_ID_LENGTH:
            return
        key_hash = self._open_claims.get(body.claim_id)
        if key_hash is not None:
            if not self._matches_key(key_hash, body.key):
                return
            del self._open_claims[body.claim_id]
            del self._entries[key_hash]
        self._remember_released(body.claim_id)

    def _finish(self, body: RequestFinished) -> None:
        key_hash = self._open_claims.get(body.claim_id)
        if key_hash is None or body.state not in FINAL_STATES:
            return
        if not self._matches_key(key_hash, body.key):
            return
        del self._open_claims[body.claim_id]
        is_kept = len(body.answer) <= MAX_ANSWER_BYTES
        self._replace(
            key_hash,
            state=body.state,
            reason=body.reason[:MAX_REASON_LENGTH],
            answer=body.answer if is_kept else b"",
            answer_dropped=not is_kept,
        )
        if is_kept and body.answer:
            self._answered_keys.append(key_hash)
            self._answer_bytes += len(body.answer)
            self._drop_answers()

    def _drop_answers(self) -> None:
        while self._answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            key_hash = self._answered_keys.popleft()
            entry = self._entry(key_hash)
            if entry is not None and entry.answer:
                self._answer_bytes -= len(entry.answer)
                self._replace(key_hash, answer=b"", answer_dropped=True)

    def _expire(self) -> None:
        oldest_kept = self._clock.now - self.ttl_seconds
        while self._entries:
            key_hash, packed = next(iter(self._entries.items()))
            entry = _DECODER.decode(packed)
            if entry.claimed_at >= oldest_kept:
                break
            del self._entries[key_hash]
            self._open_claims.pop(entry.claim_id, None)
            self._answer_bytes -= len(entry.answer)
        while self._answered_keys and self._answered_keys[0] not in self._entries:
            self._answered_keys.popleft()

    def _replace(self, key_hash: bytes, **changes: Any) -> None:
        entry = msgspec.structs.replace(_DECODER.decode(self._entries[key_hash]), **changes)
        self._entries[key_hash] = _ENCODER.encode(entry)

    def _matches_key(self, key_hash: bytes, key: str) -> bool:
        return key_hash == _key_hash(_DECODER.decode(self._entries[key_hash]).customer, key)

    def _remember_released(self, claim_id: str) -> None:
        self._released[claim_id] = None
        self._released.move_to_end(claim_id)
        if len(self._released) > MAX_RELEASED_CLAIMS:
            self._released.popitem(last=False)


def _key_hash(customer: str, key: str) -> bytes:
    """Return a hash of customer and key.

    The hash is cryptographic, because callers choose the keys.
    """
    return hashlib.blake2b(f"{len(customer)}:{customer}{key}".encode(), digest_size=16).digest()


def _is_valid(body: RequestClaimed) -> bool:
    return (
        0 < len(body.key) <= MAX_KEY_LENGTH
        and 0 < len(body.customer) <= MAX_KEY_LENGTH
        and len(body.digest) <= MAX_DIGEST_BYTES
        and math.isfinite(body.claimed_at)
    )
