"""A set of names with aliases, in which a name is looked up or corrected."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Literal

from expression import Error, Ok, Result

from zinniaweir.names._spelling import (
    MAX_NAME_LENGTH,
    allowed_distance,
    digits,
    normalize,
    parts_match,
    rank_by_distance,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

DEFAULT_MARGIN: Final = 2
"""Least number of errors by which the second-best name must be further away than the best."""
MAX_NEAREST: Final = 3

RefusalReason = Literal["unknown", "ambiguous", "correction_off", "two_corrections"]


@dataclass(frozen=True, kw_only=True)
class ResolvedName:
    """A name as it is in the settings."""

    name: str
    given: str
    match_kind: Literal["exact", "alias", "corrected"]

    @property
    def corrected(self) -> bool:
        """Whether the spelling was corrected."""
        return self.match_kind == "corrected"


@dataclass(frozen=True, kw_only=True)
class NameRefusal:
    """A name that resolves to nothing."""

    kind: Literal["customer", "job"]
    given: str
    reason: RefusalReason
    nearest: tuple[str, ...] = ()
    """Names from the settings with the most similar spelling, best first."""


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    """Distance of the best spelling of one name."""

    distance: int
    name: str
    spelling: str


class NameTable:
    """Names that exclude one another, such as all customers or the jobs of one customer.

    An exact name wins over aliases, and an alias over a correction. An alias that several names
    claim resolves to none of them. A correction needs the consent of the name it leads to, equal
    digits, few errors, and a margin over every other name, whether or not that one consents.
    """

    def __init__(
        self,
        *,
        kind: Literal["customer", "job"],
        aliases: Mapping[str, Collection[str]],
        correctable: Collection[str],
        margin: int = DEFAULT_MARGIN,
        compare_parts: bool | None = None,
    ) -> None:
        """Build the table.

        Args:
            kind: What is named; for messages, and the default of `compare_parts`.
            aliases: Aliases by name.
            correctable: Names to which corrections may lead.
            margin: Number of errors by which the second-best name must be further away.
            compare_parts: Whether each part of a name must be close by itself. By default it is
                so for customers, where a wrong correction uses another customer's guarantee.
        """
        self._kind = kind
        self._compare_parts = kind == "customer" if compare_parts is None else compare_parts
        self._names = tuple(aliases)
        self._correctable = frozenset(correctable)
        self._margin = margin
        self._by_name: dict[str, set[str]] = {}
        self._by_alias: dict[str, set[str]] = {}
        for name, others in aliases.items():
            self._by_name.setdefault(normalize(name), set()).add(name)
            for alias in others:
                self._by_alias.setdefault(normalize(alias), set()).add(name)
        self._spellings_of = _merged(self._by_name, self._by_alias)
        self._spellings = sorted(self._spellings_of)

    @property
    def names(self) -> tuple[str, ...]:
        """All names in the order of the settings."""
        return self._names

    def resolve(self, given: str) -> Result[ResolvedName, NameRefusal]:
        """Return the name that is meant, or why none is."""
        if given in self._names:
            return self._resolved(given, given, "exact")
        normalized = normalize(given)
        if len(normalized) > MAX_NAME_LENGTH:
            return self._refused(given[:MAX_NAME_LENGTH], "unknown", ())
        if normalized in self._by_name:
            return self._resolve_unique(given, self._by_name[normalized], "exact")
        if normalized in self._by_alias:
            return self._resolve_unique(given, self._by_alias[normalized], "alias")
        return self._correct(given, normalized)

    def _resolve_unique(
        self, given: str, matches: set[str], match_kind: Literal["exact", "alias"]
    ) -> Result[ResolvedName, NameRefusal]:
        if len(matches) > 1:
            return self._refused(given, "ambiguous", tuple(sorted(matches))[:MAX_NEAREST])
        return self._resolved(given, next(iter(matches)), match_kind)

    def _correct(self, given: str, normalized: str) -> Result[ResolvedName, NameRefusal]:
        candidates = self._candidates(normalized)
        nearest = tuple(candidate.name for candidate in candidates[:MAX_NEAREST])
        if not candidates or not self._is_close(normalized, candidates[0]):
            return self._refused(given, "unknown", nearest)
        if len(candidates) > 1 and candidates[1].distance - candidates[0].distance < self._margin:
            return self._refused(given, "ambiguous", nearest)
        if candidates[0].name not in self._correctable:
            return self._refused(given, "correction_off", nearest)
        return self._resolved(given, candidates[0].name, "corrected")

    def _is_close(self, normalized: str, best: _Candidate) -> bool:
        if digits(normalized) != digits(best.spelling):
            return False
        if self._compare_parts and not parts_match(normalized, best.spelling):
            return False
        # The shorter of both lengths counts, so that a short name is no target for a long one.
        shorter = min(normalized, best.spelling, key=len)
        return best.distance <= allowed_distance(shorter)

    def _candidates(self, normalized: str) -> list[_Candidate]:
        """Return all names with their best spelling, nearest first."""
        candidates: dict[str, _Candidate] = {}
        for spelling, distance in rank_by_distance(normalized, self._spellings):
            for name in sorted(self._spellings_of[spelling]):
                if name not in candidates:
                    candidates[name] = _Candidate(distance=distance, name=name, spelling=spelling)
            if len(candidates) >= MAX_NEAREST:
                break
        return list(candidates.values())

    def _resolved(
        self, given: str, name: str, match_kind: Literal["exact", "alias", "corrected"]
    ) -> Result[ResolvedName, NameRefusal]:
        return Ok(ResolvedName(name=name, given=given, match_kind=match_kind))

    def _refused(
        self, given: str, reason: RefusalReason, nearest: tuple[str, ...]
    ) -> Result[ResolvedName, NameRefusal]:
        refusal = NameRefusal(kind=self._kind, given=given, reason=reason, nearest=nearest)
        return Error(refusal)


def _merged(first: Mapping[str, set[str]], second: Mapping[str, set[str]]) -> dict[str, set[str]]:
    return {key: first.get(key, set()) | second.get(key, set()) for key in {**first, **second}}
