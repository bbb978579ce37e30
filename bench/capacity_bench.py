"""Measures how costs grow with size; docs/CAPACITY.md extrapolates from it to the two-year size."""

from __future__ import annotations

import argparse
import importlib
import sys
from typing import Final

from bench.capacity.fit import COMMAND

PARTS: Final = {
    "syncs": ("worker_calls", "measure_syncs"),
    "gang_starts": ("worker_calls", "measure_gang_starts"),
    "heartbeats": ("heartbeats", "measure"),
    "publishing": ("log_records", "measure_publishing"),
    "folds": ("log_records", "measure_folds"),
    "log_rest": ("log_records", "measure_rest"),
    "settings": ("settings_change", "measure"),
    "core": ("core_events", "measure"),
    "memory": ("memory", "measure"),
    "snapshots": ("snapshots", "measure"),
    "replacement": ("replacement", "measure"),
    "requests": ("entry_requests", "measure"),
    "planning_pass": ("planning_pass", "measure"),
}
"""Module below `bench.capacity` and function of each part; the function takes the seed."""


def run(arguments: list[str]) -> None:
    """Run all parts, or those named, and print one JSON object per line."""
    parser = argparse.ArgumentParser(prog=COMMAND)
    parser.add_argument("parts", nargs="*", help=f"any of {', '.join(PARTS)}")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    unknown = sorted(set(options.parts) - set(PARTS))
    if unknown:
        parser.error(f"unknown parts {', '.join(unknown)}; known: {', '.join(PARTS)}")
    for name in options.parts or PARTS:
        module, function = PARTS[name]
        getattr(importlib.import_module(f"bench.capacity.{module}"), function)(options.seed)


if __name__ == "__main__":
    run(sys.argv[1:])
