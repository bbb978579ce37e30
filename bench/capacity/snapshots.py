"""Size and time of a snapshot, and time of a restore, by size of the state."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING, Final

from bench.capacity import populations
from bench.capacity.fit import print_fit, print_row
from zinniaweir.journal.snapshots import split_snapshot
from zinniaweir.scheduler.core_inputs import guarantee_problems
from zinniaweir.scheduler.jobs import MAX_ENDED_JOBS, MAX_RETIRED_JOBS
from zinniaweir.scheduler.state import ClusterState

if TYPE_CHECKING:
    from collections.abc import Callable

SHARES: Final = (0.1, 0.3, 1.0)
"""Shares of the two-year size, the size of the system that is expected in two years."""
CUSTOMERS: Final = 150
WORKERS: Final = 1_600
RUNNING_GANGS: Final = 780
MEMBERS: Final = 32
"""780 gangs of 32 are about 25,000 running tasks."""
WAITING: Final = 2_000
CLAIMS: Final = 80_000
"""Maximum number of entries that the ledger keeps."""
REPEATS: Final = 3


def two_year_state(share: float) -> populations.StateBuilder:
    """Return a state of the given share of the two-year size."""
    builder = populations.StateBuilder()
    builder.put("", populations.settings_tree(int(CUSTOMERS * share), int(WORKERS * share)))
    ended = range(int(share * (MAX_ENDED_JOBS + MAX_RETIRED_JOBS)))
    running = range(len(ended), len(ended) + int(share * RUNNING_GANGS))
    waiting = range(running.stop, running.stop + int(share * WAITING))
    for bodies in (
        populations.submitted(ended),
        populations.finished(ended, builder.epoch),
        populations.submitted(running, MEMBERS),
        populations.started(running, builder.epoch, MEMBERS),
        populations.submitted(waiting),
    ):
        builder.fold_all(populations.encode_bodies(bodies))
    builder.fold_all(populations.encode_claims(range(int(share * CLAIMS))))
    return builder


def measure(seed: int) -> None:
    """Print sizes and processor times, by share of the two-year size."""
    results: dict[str, list[tuple[float, float]]] = {}
    for share in SHARES:
        state = two_year_state(share).state
        payload = state.snapshot()
        parts = split_snapshot(payload, epoch=1, through_offset=1)
        other = ClusterState(check_guarantees=guarantee_problems)
        for name, value in {
            "snapshot bytes": len(payload),
            "snapshot packed bytes": sum(len(part.payload) for part in parts),
            "snapshot parts": len(parts),
            "snapshot ms": _milliseconds(state.snapshot),
            "snapshot split ms": _milliseconds(
                partial(split_snapshot, payload, epoch=1, through_offset=1)
            ),
            "restore ms": _milliseconds(partial(other.restore, payload)),
        }.items():
            results.setdefault(name, []).append((share, value))
    for name, points in results.items():
        print_fit(name, unit=name.split()[-1], per="two-year sizes", seed=seed, points=points)
    print_row(
        "two_year_state",
        seed=seed,
        customers=CUSTOMERS,
        workers=WORKERS,
        running_gangs=RUNNING_GANGS,
        members=MEMBERS,
        waiting=WAITING,
        ended=MAX_ENDED_JOBS,
        retired=MAX_RETIRED_JOBS,
        claims=CLAIMS,
    )


def _milliseconds(step: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        step()
        times.append(1e3 * (time.process_time() - started))
    return sorted(times)[REPEATS // 2]
