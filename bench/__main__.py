"""Runs one benchmark, or all; `python -m bench [NAME [ARGUMENT ...]]`."""

from __future__ import annotations

import importlib
import sys
from typing import Final

BENCHES: Final = {
    "policy": "bench.policy.main",
    "core_scale": "bench.core_scale.main",
    "path": "bench.path_bench",
    "settings": "bench.settings_bench",
    "ledger": "bench.ledger_bench",
    "journal": "bench.journal_bench",
    "membership": "bench.membership_bench",
    "names": "bench.names_bench",
    "routing": "bench.routing_bench",
    "capacity": "bench.capacity_bench",
    "dispatch": "bench.dispatch.main",
}
"""Module of each benchmark; each has a function `run(arguments)`."""


def main(arguments: list[str]) -> None:
    """Run the named benchmark with its arguments, or all without arguments."""
    if not arguments:
        for module in BENCHES.values():
            importlib.import_module(module).run([])
        return
    if arguments[0] not in BENCHES:
        sys.exit(f"unknown benchmark {arguments[0]}; known: {', '.join(BENCHES)}")
    importlib.import_module(BENCHES[arguments[0]]).run(arguments[1:])


if __name__ == "__main__":
    main(sys.argv[1:])
