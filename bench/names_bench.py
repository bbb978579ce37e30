"""Benchmark of name correction: shares of right corrections, refusals and wrong corrections."""

from __future__ import annotations

import argparse
import json
import random
from collections import Counter
from dataclasses import dataclass
from time import perf_counter
from typing import TYPE_CHECKING, Final

from rapidfuzz import process
from rapidfuzz.distance import JaroWinkler

from zinniaweir.names.table import NameTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    Resolve = Callable[[str], str | None]

# fmt: off
PLACES: Final = (
    "diliman", "los-banos", "baguio", "makati", "pasig", "taal", "mayon", "vigan", "laguna",
    "bicol", "aconcagua", "mendoza", "quilicura", "maipu", "nunoa", "renca", "colina",
    "lampa", "talagante", "melipilla",
)
TRADES: Final = (
    "parish", "council", "school", "museum", "garden", "academy", "printworks", "carvers",
    "quarry", "foundry", "roofing", "haulage", "demolition", "builders", "contractors",
    "waste", "skips", "permits", "estates", "transport",
)
JOBS: Final = (
    "ray-trace", "ray-trace-full", "gnomon-check", "gnomon-check-quick", "analemma-sweep",
    "analemma-print", "dial-layout", "dial-proof", "permit-renewal", "permit-check",
    "permit-report", "overnight-batch",
)
# fmt: on
KEYBOARD_ROWS: Final = ("qwertyuiop", "asdfghjkl", "zxcvbnm")


@dataclass(frozen=True, kw_only=True)
class Case:
    """Name as it was typed and as it was meant."""

    typed: str
    meant: str
    """Name that was meant; empty if it is not in the table."""


def customer_names(rng: random.Random, count: int) -> list[str]:
    """Return names, many of which share a place or a trade or differ only in a number."""
    names: set[str] = set()
    while len(names) < count:
        place, trade = rng.choice(PLACES), rng.choice(TRADES)
        pattern = rng.random()
        if pattern < 0.6:
            names.add(f"{place}-{trade}")
        elif pattern < 0.75:
            names.add(trade if rng.random() < 0.5 else place)
        elif pattern < 0.9:
            names.add(f"{trade}-{rng.randint(1, 9)}")
        else:
            names.add(f"{place[:3]}-{trade}")
    return sorted(names)


def misspell(rng: random.Random, name: str) -> str:
    """Return a name with one typing error, or with two in a quarter of the cases."""
    for _ in range(1 if rng.random() < 0.75 else 2):
        name = _one_error(rng, name)
    return name


def _one_error(rng: random.Random, name: str) -> str:
    at = rng.randrange(len(name))
    kind = rng.choice(("omit", "double", "swap", "near", "near", "insert", "separator"))
    if kind == "omit" and len(name) > 1:
        return name[:at] + name[at + 1 :]
    if kind == "double":
        return name[:at] + name[at] + name[at:]
    if kind == "swap" and at + 1 < len(name):
        return name[:at] + name[at + 1] + name[at] + name[at + 2 :]
    if kind == "insert":
        return name[:at] + rng.choice(rng.choice(KEYBOARD_ROWS)) + name[at:]
    if kind == "separator" and "-" in name:
        return name.replace("-", rng.choice(("", "_", " ")), 1)
    return name[:at] + _neighbouring_key(rng, name[at]) + name[at + 1 :]


def _neighbouring_key(rng: random.Random, letter: str) -> str:
    for row in KEYBOARD_ROWS:
        at = row.find(letter)
        if at >= 0:
            return row[max(0, at - 1)] if rng.random() < 0.5 and at else row[(at + 1) % len(row)]
    return rng.choice("0123456789") if letter.isdigit() else letter


def make_cases(
    rng: random.Random, present: Sequence[str], absent: Sequence[str], count: int
) -> list[Case]:
    """Return cases of present names, misspelled, and of absent names, correct and misspelled."""
    known = [Case(typed=misspell(rng, name), meant=name) for name in rng.choices(present, k=count)]
    unknown = [Case(typed=name, meant="") for name in absent]
    unknown += [Case(typed=misspell(rng, name), meant="") for name in absent for _ in range(10)]
    return known + unknown


def osa(names: Sequence[str], margin: int, *, compare_parts: bool = False) -> Resolve:
    """Return the correction by `NameTable`, which uses the optimal string alignment distance.

    Args:
        names: Names in the table.
        margin: Minimum by which the distance of the second-best name exceeds that of the best.
        compare_parts: Whether to compare each part of a name by itself as well.
    """
    table = NameTable(
        kind="customer",
        aliases=dict.fromkeys(names, ()),
        correctable=names,
        margin=margin,
        compare_parts=compare_parts,
    )

    def resolve(typed: str) -> str | None:
        found = table.resolve(typed)
        return found.ok.name if found.is_ok() else None

    return resolve


def osa_by_part(names: Sequence[str], margin: int) -> Resolve:
    """Return the correction by `NameTable` that also compares each part of a name by itself."""
    return osa(names, margin, compare_parts=True)


def jaro_winkler(names: Sequence[str], margin: float) -> Resolve:
    """Return a correction by a Jaro-Winkler similarity of at least 0.9 with a margin."""

    def resolve(typed: str) -> str | None:
        if typed in names:
            return typed
        best = process.extract(typed, names, scorer=JaroWinkler.similarity, limit=2)
        if best[0][1] < 0.9 or best[0][1] - best[1][1] < margin:
            return None
        return best[0][0]

    return resolve


METHODS: Final = (
    *(("osa", osa, margin) for margin in (1, 2, 3)),
    *(("osa_by_part", osa_by_part, margin) for margin in (1, 2, 3)),
    *(("jaro_winkler", jaro_winkler, margin) for margin in (0.02, 0.05, 0.1)),
)


def measure(resolve: Resolve, cases: Sequence[Case], present: set[str]) -> dict[str, float]:
    """Return the outcomes of the cases and the time per case."""
    counts: Counter[str] = Counter()
    started_at = perf_counter()
    for case in cases:
        counts[_outcome(case, resolve(case.typed), present)] += 1
    seconds = perf_counter() - started_at
    known = sum(case.meant != "" and case.typed.strip() not in present for case in cases)
    return {
        "misspelled": known,
        "rightly": round(counts["rightly"] / known, 4),
        "refused": round(counts["refused"] / known, 4),
        "wrongly": counts["wrongly"],
        "absent": counts["absent_refused"] + counts["absent_corrected"],
        "absent_corrected": counts["absent_corrected"],
        "typed_another_valid_name": counts["valid"],
        "microseconds": round(seconds / len(cases) * 1e6, 1),
    }


def _outcome(case: Case, name: str | None, present: set[str]) -> str:
    if case.typed.strip() in present:
        return "valid"
    if not case.meant:
        return "absent_refused" if name is None else "absent_corrected"
    if name is None:
        return "refused"
    return "rightly" if name == case.meant else "wrongly"


def run(arguments: Sequence[str] = ()) -> None:
    """Print one JSON line for each kind of name and each correction method.

    Args:
        arguments: `--seed`, `--customers` and `--cases`.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--customers", type=int, default=150)
    parser.add_argument("--cases", type=int, default=20_000)
    options = parser.parse_args(arguments)
    rng = random.Random(options.seed)
    # A tenth more names than customers stands for customers that left or are not set up.
    customers = customer_names(rng, options.customers * 11 // 10)
    for kind, names, absent_share in (("customer", customers, 11), ("job", list(JOBS), 12)):
        absent = rng.sample(names, len(names) // absent_share)
        present = [name for name in names if name not in absent]
        cases = make_cases(rng, present, absent, options.cases)
        for method, make_resolver, margin in METHODS:
            results = measure(make_resolver(present, margin), cases, set(present))
            line = {"bench": "names", "seed": options.seed, "kind": kind, "names": len(present)}
            print(json.dumps(line | {"way": method, "margin": margin} | results))


if __name__ == "__main__":
    import sys

    run(sys.argv[1:])
