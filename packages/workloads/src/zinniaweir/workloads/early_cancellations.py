"""Cancellations that were recorded while the log did not have their jobs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from zinniaweir.workloads.records import EarlyCancellation

EARLY_CANCELLATION_SECONDS: Final = 120.0
"""How long an early cancellation is kept.

A submission that was sent before it must have arrived by then: a VM repeats one for 30 s at most,
and the log may carry out a call seconds later.
"""
MAX_EARLY_CANCELLATIONS: Final = 4_096
"""Maximum number of early cancellations on the log."""
MAX_EARLY_CANCELLATIONS_PER_CUSTOMER: Final = 512
"""The same of one customer; callers without a key share it."""


@dataclass(frozen=True, kw_only=True)
class _ReadRecord:
    record: EarlyCancellation
    read_at: float


class EarlyCancellations:
    """The early cancellations on the log, in the order in which they were read.

    Each has a key of its own, also if it names the same job as another one. So a caller cannot
    replace another customer's, and the removal of an old one does not remove a newer one.

    Args:
        clock: Returns the time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[str, _ReadRecord] = {}
        self._keys: dict[str, set[str]] = {}
        """Keys by job id."""
        self._counts: Counter[str] = Counter()
        """Number by customer."""

    def __len__(self) -> int:
        """Return their number."""
        return len(self._records)

    def add(self, key: str, record: EarlyCancellation) -> None:
        """Add a record, or renew one that was appended again."""
        self.discard(key)
        self._records[key] = _ReadRecord(record=record, read_at=self._clock())
        self._keys.setdefault(record.job_id, set()).add(key)
        self._counts[record.customer] += 1

    def discard(self, key: str) -> None:
        """Remove the record of a key, if there is one."""
        found = self._records.pop(key, None)
        if found is None:
            return
        job_id, customer = found.record.job_id, found.record.customer
        self._keys[job_id].discard(key)
        if not self._keys[job_id]:
            del self._keys[job_id]
        self._counts[customer] -= 1
        if not self._counts[customer]:
            del self._counts[customer]

    def covers(self, job_id: str, customer: str) -> bool:
        """Return whether a customer has cancelled a job."""
        keys = self._keys.get(job_id, ())
        return any(self._records[key].record.customer == customer for key in keys)

    def has_room(self, customer: str, *, pending: Counter[str]) -> bool:
        """Return whether a customer may record another one.

        Args:
            customer: The customer, empty for callers without a key.
            pending: Number of those that are being recorded, by customer.
        """
        return (
            len(self) + pending.total() < MAX_EARLY_CANCELLATIONS
            and self._counts[customer] + pending[customer] < MAX_EARLY_CANCELLATIONS_PER_CUSTOMER
        )

    def older_than(self, seconds: float) -> Iterator[tuple[str, EarlyCancellation]]:
        """Return the keys and records that were read longer ago than a time."""
        limit = self._clock() - seconds
        for key, found in self._records.items():
            if found.read_at >= limit:
                return
            yield key, found.record
