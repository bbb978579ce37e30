"""Measures the ledger's memory and time per entry, and its snapshots."""

from __future__ import annotations

import argparse
import gc
import json
import time
import tracemalloc
import zlib
from typing import TYPE_CHECKING

import msgspec

from zinniaweir.ledger.ledger import Ledger
from zinniaweir.wire.records import (
    Record,
    RequestClaimed,
    RequestFinished,
    decode_record,
    encode_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence


def run(arguments: Sequence[str] = ()) -> None:
    """Print one JSON line for each number of entries."""
    parser = argparse.ArgumentParser(prog="ledger_bench")
    parser.add_argument("--entries", type=int, nargs="*", default=[1_000, 10_000, 40_000, 80_000])
    parser.add_argument("--answer-bytes", type=int, default=64)
    options = parser.parse_args(list(arguments))
    for entries in options.entries:
        print(json.dumps(_measure(entries, options.answer_bytes)), flush=True)


def _measure(entries: int, answer_bytes: int) -> dict[str, float | str]:
    seconds = _fold_seconds(entries, answer_bytes)
    ledger, size = _fold_size(entries, answer_bytes)
    started = time.perf_counter()
    packed = msgspec.msgpack.encode(ledger.snapshot())
    snapshot_seconds = time.perf_counter() - started
    started = time.perf_counter()
    Ledger().restore(msgspec.msgpack.decode(packed))
    return {
        "bench": "ledger",
        "entries": entries,
        "answer_bytes": answer_bytes,
        "bytes_per_entry": round(size / entries, 1),
        "fold_microseconds_per_record": round(seconds / (2 * entries) * 1e6, 2),
        "snapshot_bytes": len(packed),
        "snapshot_compressed_bytes": len(zlib.compress(packed)),
        "snapshot_seconds": round(snapshot_seconds, 4),
        "restore_seconds": round(time.perf_counter() - started, 4),
    }


def _fold_seconds(entries: int, answer_bytes: int) -> float:
    ledger = Ledger(max_entries=entries)
    records = list(_records(entries, answer_bytes))
    started = time.perf_counter()
    for offset, record in enumerate(records):
        ledger.apply(offset, record)
    return time.perf_counter() - started


def _fold_size(entries: int, answer_bytes: int) -> tuple[Ledger, int]:
    """Return a ledger and its size in bytes.

    Records are folded as in a process: each is decoded from its bytes and dropped afterwards.
    """
    gc.collect()
    tracemalloc.start()
    ledger = Ledger(max_entries=entries)
    for offset, record in enumerate(_records(entries, answer_bytes)):
        ledger.apply(offset, decode_record(encode_record(record)))
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return ledger, size


def _records(entries: int, answer_bytes: int) -> Iterator[Record]:
    for number in range(entries):
        claim_id = f"{number:032x}"
        key = f"order-{number:08}-2026-permit"
        claimed = RequestClaimed(
            key=key, customer="parish", digest=b"d" * 32, claimed_at=float(number)
        )
        yield Record(id=claim_id, vm=f"vm{number % 7}", at=0.0, body=claimed)
        answer = f"{number:08}".encode() * (answer_bytes // 8)
        finished = RequestFinished(key=key, claim_id=claim_id, state="done", answer=answer)
        yield Record(id=f"f{number:031x}", vm=f"vm{number % 7}", at=0.0, body=finished)


if __name__ == "__main__":
    import sys

    run(sys.argv[1:])
