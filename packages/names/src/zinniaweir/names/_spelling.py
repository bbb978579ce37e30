"""Normalization and edit distance of names."""

from __future__ import annotations

import re
import unicodedata
from typing import TYPE_CHECKING, Final

from rapidfuzz import process
from rapidfuzz.distance import OSA

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_NAME_LENGTH: Final = 128
"""Maximum length of a normalized name. Longer ones are refused without a comparison, which bounds
the work for each request."""
MIN_CORRECTED_LENGTH: Final = 5
"""Minimum length of a name that is corrected: too many names of up to four letters differ in one
error only."""
SEPARATORS: Final = re.compile(r"[-_ ./]")
TWO_ERRORS_MIN_LENGTH: Final = 9
"""Minimum length of a name in which two errors are corrected instead of one."""


def normalize(name: str) -> str:
    """Return a name in the form for comparison: trimmed, NFC and case folded."""
    return unicodedata.normalize("NFC", name.strip()).casefold()


def rank_by_distance(name: str, spellings: Sequence[str]) -> list[tuple[str, int]]:
    """Return all spellings with their distances, nearest first.

    The distance is the number of inserted, missing and replaced characters and of swapped
    neighbours.

    Args:
        name: Normalized name.
        spellings: Normalized spellings.
    """
    found = process.extract(name, spellings, scorer=OSA.distance, limit=None)
    return [(spelling, distance) for spelling, distance, _ in found]


def allowed_distance(name: str) -> int:
    """Return the maximum number of errors that are corrected in this normalized name."""
    if len(name) < MIN_CORRECTED_LENGTH:
        return 0
    return 1 if len(name) < TWO_ERRORS_MIN_LENGTH else 2


def parts_match(name: str, spelling: str) -> bool:
    """Return whether each part of two normalized names is within the allowed distance.

    `men-demolition` and `ren-demolition` are probably different names: only one character in 14
    differs, but it is one of three in the part that distinguishes them.
    """
    first, second = SEPARATORS.split(name), SEPARATORS.split(spelling)
    if len(first) != len(second):
        # Only separators may differ. A name with a trailing separator is probably the beginning of
        # a longer name.
        return all(first) and "".join(first) == "".join(second)
    return all(
        OSA.distance(part, other_part) <= allowed_distance(min(part, other_part, key=len))
        for part, other_part in zip(first, second, strict=True)
    )


def digits(name: str) -> str:
    """Return the digits of a name; corrections never change them."""
    return "".join(character for character in name if character.isdigit())
