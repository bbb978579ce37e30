"""Table of names and aliases that looks up and corrects names."""

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
"""Default minimum by which the distance of the second-best name exceeds that of the best."""
MAX_NEAREST: Final = 3
"""Maximum number of names that a refusal suggests."""

RefusalReason = Literal["unknown", "ambiguous", "correction_off", "two_corrections"]


@dataclass(frozen=True, kw_only=True)
class ResolvedName:
    """Name in the settings that a given name resolves to."""

    name: str
    given: str
    match_kind: Literal["exact", "alias", "corrected"]

    @property
    def corrected(self) -> bool:
        """Whether the spelling was corrected."""
        return self.match_kind == "corrected"


@dataclass(frozen=True, kw_only=True)
class NameRefusal:
    """Refusal of a name that cannot be resolved."""

    kind: Literal["customer", "job"]
    given: str
    reason: RefusalReason
    nearest: tuple[str, ...] = ()
    """Names from the settings with the most similar spelling, best first."""


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    """Name of the table with the nearest of its spellings."""

    distance: int
    name: str
    spelling: str


class NameTable:
    """Table of alternative names, such as all customers or the jobs of one customer.

    Exact names take precedence over aliases, and aliases over corrections. An alias of several
    names resolves to none of them. A name is corrected only to a correctable name, and only if
    both have the same digits, the distance is small, and every other name, correctable or not, is
    further away by a margin.
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
            kind: Kind of the names, for refusals and the default of `compare_parts`.
            aliases: Aliases by name.
            correctable: Names that a given name may be corrected to.
            margin: Minimum by which the distance of the second-best name exceeds that of the best.
            compare_parts: Whether each part of a name must be within the allowed distance by
                itself. The default is True for customers, as a wrong correction would use another
                customer's guarantee.
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
        """All names, in the order in which they were given."""
        return self._names

    def resolve(self, given: str) -> Result[ResolvedName, NameRefusal]:
        """Return the name that a given name resolves to, or a refusal."""
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
        # The shorter name sets the allowed distance, so that long names aren't corrected to short
        # ones too easily.
        shorter = min(normalized, best.spelling, key=len)
        return best.distance <= allowed_distance(shorter)

    def _candidates(self, normalized: str) -> list[_Candidate]:
        """Return names with their nearest spellings, nearest first.

        The search ends as soon as `MAX_NEAREST` names are found.
        """
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
