"""Spelling distance between names."""

from __future__ import annotations

import re
import unicodedata
from typing import TYPE_CHECKING, Final

from rapidfuzz import process
from rapidfuzz.distance import OSA

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_NAME_LENGTH: Final = 128
"""Longer names are refused without a comparison, which bounds the work for each request."""
MIN_CORRECTED_LENGTH: Final = 5
"""Names of up to four letters have too many neighbours at distance one."""
SEPARATORS: Final = re.compile(r"[-_ ./]")
TWO_ERRORS_MIN_LENGTH: Final = 9
"""From this length on, two errors are corrected instead of one."""


def normalize(name: str) -> str:
    """Return a name as it is compared: composed, case folded and trimmed."""
    return unicodedata.normalize("NFC", name.strip()).casefold()


def rank_by_distance(name: str, spellings: Sequence[str]) -> list[tuple[str, int]]:
    """Return spellings and their distance, nearest first.

    The distance counts inserted, missing and replaced letters and swapped neighbours.

    Args:
        name: The folded name.
        spellings: Folded spellings.
    """
    found = process.extract(name, spellings, scorer=OSA.distance, limit=None)
    return [(spelling, distance) for spelling, distance, _ in found]


def allowed_distance(name: str) -> int:
    """Return how many errors a correction of this folded name may undo."""
    if len(name) < MIN_CORRECTED_LENGTH:
        return 0
    return 1 if len(name) < TWO_ERRORS_MIN_LENGTH else 2


def parts_match(name: str, spelling: str) -> bool:
    """Return whether the parts of two names differ only where they are long enough.

    `men-demolition` and `ren-demolition` are likely two names, although only one letter in 14
    differs, because it is one in three of the part that tells them apart.
    """
    first, second = SEPARATORS.split(name), SEPARATORS.split(spelling)
    if len(first) != len(second):
        # A trailing separator is the rest of a longer name.
        return all(first) and "".join(first) == "".join(second)
    return all(
        OSA.distance(part, other_part) <= allowed_distance(min(part, other_part, key=len))
        for part, other_part in zip(first, second, strict=True)
    )


def digits(name: str) -> str:
    """Return the digits of a name, which a correction never changes."""
    return "".join(character for character in name if character.isdigit())
