"""Runs of adjacent accelerators in bit masks; bit i represents accelerator i."""

from __future__ import annotations

from functools import lru_cache


@lru_cache(maxsize=65536)
def runs(mask: int) -> tuple[tuple[int, int], ...]:
    """Return all maximal runs of set bits as start and length."""
    found = []
    position = 0
    while mask >> position:
        if not mask >> position & 1:
            position += 1
            continue
        start = position
        while mask >> position & 1:
            position += 1
        found.append((start, position - start))
    return tuple(found)


@lru_cache(maxsize=65536)
def longest_run(mask: int) -> int:
    """Return the length of the longest run."""
    return max((length for _, length in runs(mask)), default=0)


@lru_cache(maxsize=65536)
def count_fits(mask: int, width: int) -> int:
    """Return how many disjoint runs of a width fit into the mask."""
    return sum(length // width for _, length in runs(mask))


@lru_cache(maxsize=65536)
def best_fit_run(mask: int, width: int) -> int:
    """Return the mask of the best-fitting run of a width, or 0 if none fits.

    It is cut from the shortest sufficient run, at the end that leaves aligned space.
    """
    best: tuple[int, int, int] | None = None
    for start, length in runs(mask):
        if length < width:
            continue
        end = start + length - width
        position = start if start % width == 0 or end % width else end
        candidate = (length, position % width, position)
        if best is None or candidate < best:
            best = candidate
    return 0 if best is None else ((1 << width) - 1) << best[2]


@lru_cache(maxsize=65536)
def indexes(mask: int) -> tuple[int, ...]:
    """Return the numbers of the set bits."""
    return tuple(i for i in range(mask.bit_length()) if mask >> i & 1)


def mask_of(numbers: tuple[int, ...]) -> int:
    """Return the mask with the given bits set."""
    mask = 0
    for number in numbers:
        mask |= 1 << number
    return mask
