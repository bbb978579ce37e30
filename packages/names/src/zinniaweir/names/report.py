"""Counts of corrected and refused names, which show operators the aliases to add."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Literal

from zinniaweir.names._spelling import MAX_NAME_LENGTH

if TYPE_CHECKING:
    from zinniaweir.names.table import NameRefusal, ResolvedName

DEFAULT_CAPACITY: Final = 500
"""Number of spellings that are listed; they take about 0.3 MB with names of maximum length."""

_Key = tuple[str, str, str, str]


@dataclass(frozen=True, kw_only=True)
class NameCount:
    """Number of times that one spelling was corrected or refused."""

    kind: Literal["customer", "job"]
    customer: str
    """Customer of the named job; empty if the spelling is of a customer."""
    given: str
    outcome: str
    """Either `corrected` or the reason of the refusal."""
    names: tuple[str, ...]
    """The corrected name, or the nearest names for a refusal."""
    count: int


class NameReport:
    """Counts of outcomes by spelling in bounded memory.

    When the report is full, a new spelling replaces the least frequent one, so that a flood of
    unique spellings doesn't displace frequent ones.
    """

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._counts: dict[_Key, int] = {}
        self._names: dict[_Key, tuple[str, ...]] = {}
        self.dropped = 0
        """Number of occurrences of spellings that are no longer listed."""

    def record_correction(
        self, *, kind: Literal["customer", "job"], customer: str, name: ResolvedName
    ) -> None:
        """Count a correction."""
        self._add((kind, customer, name.given[:MAX_NAME_LENGTH], "corrected"), (name.name,))

    def record_refusal(self, *, customer: str, refusal: NameRefusal) -> None:
        """Count a refusal."""
        key = (refusal.kind, customer, refusal.given[:MAX_NAME_LENGTH], refusal.reason)
        self._add(key, refusal.nearest)

    def entries(self, *, limit: int = 100) -> list[NameCount]:
        """Return the counts, most frequent spellings first.

        Args:
            limit: Maximum number of entries.
        """
        ordered = sorted(self._counts.items(), key=lambda item: (-item[1], item[0]))
        return [
            NameCount(
                kind="customer" if key[0] == "customer" else "job",
                customer=key[1],
                given=key[2],
                outcome=key[3],
                names=self._names[key],
                count=count,
            )
            for key, count in ordered[:limit]
        ]

    def _add(self, key: _Key, names: tuple[str, ...]) -> None:
        if key not in self._counts and len(self._counts) >= self._capacity:
            self._drop_rarest()
        self._counts[key] = self._counts.get(key, 0) + 1
        self._names[key] = names

    def _drop_rarest(self) -> None:
        rarest = min(self._counts, key=self._counts.__getitem__)
        self.dropped += self._counts.pop(rarest)
        del self._names[rarest]
