"""Records of jobs, claims and settings, and states of a given size folded from them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import msgspec
import xxhash

from bench.settings_bench import tree
from zinniaweir.scheduler.core_inputs import guarantee_problems
from zinniaweir.scheduler.state import ClusterState
from zinniaweir.wire.records import (
    Body,
    JobFinished,
    JobPlaced,
    JobSpec,
    JobStarted,
    JobSubmitted,
    Member,
    OwnershipClaimed,
    Record,
    RequestClaimed,
    RequestFinished,
    SettingsPut,
    decode_record,
    encode_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

REGION: Final = "region0"
EPOCH: Final = 2
FIRST_OFFSET: Final = 10
PAYLOAD: Final = json.dumps({"command": "sweep", "input": "x" * 160}).encode()
ANSWER: Final = b"a" * 200
SETTINGS_SIZES: Final = ((4, 24), (50, 400), (150, 1_600))
"""Numbers of customers and workers; the last pair is the size expected in two years."""


class StateBuilder:
    """Builds a state from records as a VM does, each decoded from its bytes."""

    def __init__(self) -> None:
        self.state = ClusterState(check_guarantees=guarantee_problems)
        """The folded state."""
        self._offset = FIRST_OFFSET
        self.fold(OwnershipClaimed(shard=f"region/{REGION}", incarnation="i", supersedes=0))
        self._epoch = self.state.ownership.epoch(f"region/{REGION}")

    @property
    def epoch(self) -> int:
        """Epoch of the region's owner, whose records are accepted."""
        return self._epoch

    def fold(self, body: Body) -> None:
        """Fold one record."""
        self.fold_all([encoded(self._offset, body)])

    def fold_all(self, records: Iterable[bytes]) -> None:
        """Fold encoded records."""
        for data in records:
            self._offset += 1
            self.state.on_record(self._offset, decode_record(data))

    def put(self, path: str, value: object) -> None:
        """Fold a settings change.

        Raises:
            RuntimeError: The change was not accepted.
        """
        version = self.state.settings.get(path)[1]
        self.fold(SettingsPut(path=path, value=value, base_version=version, author="bench"))
        if self.state.settings.version != self._offset:
            raise RuntimeError(self.state.settings.history("", 1)[0].reason)


def encoded(number: int, body: Body) -> bytes:
    """Return the encoded record of a body."""
    return encode_record(Record(id=record_id(number), vm="vm1", at=1.8e9, body=body))


def settings_tree(customers: int, workers: int, upstreams: int = 24) -> dict:
    """Return a settings tree of a given size in which all guarantees fit."""
    plain = tree(customers, workers)
    for number, customer in enumerate(plain["customers"].values()):
        if number >= workers // 8:
            customer["guarantees"] = []
    plain["services"]["rendering"]["upstreams"] = {
        f"u{i}": {"host": f"10.9.{i // 250}.{i % 250}", "port": 7201, "failure_domain": "fd0"}
        for i in range(upstreams)
    }
    return plain


def record_id(number: int) -> str:
    """Return a reproducible id that compresses as poorly as a random one."""
    return xxhash.xxh3_128_hexdigest(f"record{number}".encode())


def idempotency_key(number: int) -> str:
    """Return the idempotency key of a caller."""
    return f"order-{xxhash.xxh3_64_hexdigest(f'key{number}'.encode())}"


def job_id(number: int) -> str:
    """Return the id of a job."""
    return f"job-{xxhash.xxh3_64_hexdigest(str(number).encode())}"


def submitted(numbers: Iterable[int], members: int = 1) -> Iterator[Body]:
    """Return records that submit jobs."""
    for number in numbers:
        yield JobSubmitted(
            job_id=job_id(number),
            region=REGION,
            key=idempotency_key(number),
            spec=JobSpec(
                customer=f"customer{number % 150}",
                name=f"job{number % 8}",
                members=members,
                label=f"night-{number % 50}",
                payload=PAYLOAD,
            ),
            submitted_at=1.8e9 + number,
        )


def started(numbers: Iterable[int], epoch: int, members: int = 1) -> Iterator[Body]:
    """Return records that place and start submitted jobs."""
    for number in numbers:
        placed = tuple(
            Member(member=m, worker=f"fd{m % 11}-r{m // 8}-w{m}", accelerators=(m % 8,))
            for m in range(members)
        )
        common = {"job_id": job_id(number), "region": REGION, "epoch": epoch, "attempt": 1}
        yield JobPlaced(members=placed, **common)
        yield JobStarted(started_at=1.8e9, **common)


def finished(numbers: Iterable[int], epoch: int) -> Iterator[Body]:
    """Return records that end jobs."""
    for number in numbers:
        yield JobFinished(
            job_id=job_id(number), region=REGION, epoch=epoch, state="done", finished_at=1.8e9
        )


def claims(numbers: Iterable[int]) -> Iterator[Record]:
    """Return records that claim and finish requests."""
    for number in numbers:
        key = idempotency_key(number)
        customer = f"customer{number % 150}"
        claimed = RequestClaimed(
            key=key,
            customer=customer,
            digest=xxhash.xxh3_128_digest(key.encode()),
            claimed_at=1.8e9 + number / 100,
        )
        claim_id = record_id(2 * number)
        yield Record(id=claim_id, vm="vm1", at=1.8e9, body=claimed)
        body = RequestFinished(key=key, claim_id=claim_id, state="done", answer=ANSWER)
        yield Record(id=record_id(2 * number + 1), vm="vm1", at=1.8e9, body=body)


def encode_bodies(bodies: Iterable[Body], first: int = 0) -> list[bytes]:
    """Return the encoded records of bodies."""
    return [encoded(first + number, body) for number, body in enumerate(bodies)]


def encode_claims(numbers: Iterable[int]) -> list[bytes]:
    """Return the encoded records that claim and finish requests."""
    return [encode_record(record) for record in claims(numbers)]


def encode_for_entry(tree: dict) -> bytes:
    """Return a settings tree as a scheduler process encodes it for its entry process."""
    return msgspec.msgpack.encode(tree)
