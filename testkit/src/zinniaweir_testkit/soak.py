"""Runs a seeded random scenario on a cluster of six VMs and reports the first failed step."""

from __future__ import annotations

import argparse
import contextlib
import json
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from zinniaweir_testkit.scenario.runner import ScenarioFailedError, run_scenario

DOMAINS: Final = ("diliman", "los-banos", "baguio")
VMS: Final = ("vm1", "vm2", "vm3", "vm4", "vm5", "vm6")
WARM_UP_STEP: Final = "pass 3s"
MEAN_FAULT_SECONDS: Final = 7.0
"""Average duration of one fault including the pause after it."""

SETUP_STEPS: Final = """\
start 6 vms with 8 workers per domain
load 15 requests per second as checks: customer heritage name check deadline_seconds 8
load 4 requests per second as renewals: customer heritage name renewal idempotent no \
deadline_seconds 8
load 1 jobs per second as gangs: customer parish name ray-trace members 2 accelerators 4 \
spread rack seconds 2
"""

CHECK_STEPS: Final = """\
pass 3s
stop load
expect every answer true
expect renewals ran at most 1 time
expect refused jobs of gangs true
expect whole or none gangs within 25s
"""
"""A member may run without the rest of its gang for 25 s, since owners are paused too.

That is the lease of 20 s and 5 s for the stop of the member.
"""


def make_scenario(*, seed: int, seconds: float) -> str:
    """Return the text of a random scenario.

    Args:
        seed: Seed of all random choices; the same seed gives the same scenario.
        seconds: Approximate duration of all faults together.
    """
    rng = random.Random(seed)
    lines = [SETUP_STEPS.rstrip(), WARM_UP_STEP]
    for _ in range(max(1, round(seconds / MEAN_FAULT_SECONDS))):
        lines += _random_fault(rng)
    return "\n".join(lines) + "\n" + CHECK_STEPS


def run_soak(*, seed: int, seconds: float) -> dict[str, object]:
    """Run a random scenario and return its result; `broken` is empty if all steps passed."""
    started = time.monotonic()
    broken = ""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / f"soak-{seed}.scenario"
        path.write_text(make_scenario(seed=seed, seconds=seconds))
        try:
            with contextlib.redirect_stdout(sys.stderr):
                run_scenario(path)
        except ScenarioFailedError as error:
            broken = str(error)
    return {
        "command": f"python -m zinniaweir_testkit.soak --seed {seed} --seconds {seconds:g}",
        "seed": seed,
        "seconds": round(time.monotonic() - started, 1),
        "vms": len(VMS),
        "broken": broken,
    }


def _random_fault(rng: random.Random) -> list[str]:
    vm, other = rng.sample(VMS, 2)
    domain = rng.choice(DOMAINS)
    wait = f"pass {rng.randint(1, 5)}s"
    rest = f"pass {rng.randint(1, 3)}s"
    faults = [
        [f"freeze {vm}", wait, f"thaw {vm}"],
        [f"kill {vm} scheduler", wait, f"restart {vm} scheduler"],
        [f"kill {vm}", wait, f"restart {vm}"],
        ["log down", wait, "log up"],
        ["slow log 400ms", wait, "log up"],
        ["lose 5 answers of log", wait],
        [f"cut {vm} from log", wait, f"heal {vm}"],
        [f"cut {vm} from peers", wait, f"heal {vm}"],
        [f"drain {domain} through {other}", wait, f"undrain {domain} through {other}"],
        [f"race drain {domain} against undrain {domain} through {vm},{other}", wait],
        [f"cut {vm} from log", f"freeze {other}", wait, f"thaw {other}", f"heal {vm}"],
    ]
    return [*rng.choice(faults), rest]


def main() -> int:
    """Run the soak and return 1 if a step of the scenario failed."""
    parser = argparse.ArgumentParser(prog="python -m zinniaweir_testkit.soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    record = run_soak(seed=options.seed, seconds=options.seconds)
    print(json.dumps(record))
    return 1 if record["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
