"""The two deployments with heavy load, whose workers have unequal speeds."""

from __future__ import annotations

import random
from typing import Final

from bench.dispatch.workloads import ACCELERATOR_SIZES, Deployment, JobKind

WORKERS: Final = 176
FAST_SHARE: Final = 0.2
"""Share of the workers that take half of the usual duration."""
FAST_SPEED: Final = 2.0
SPEED_SEED: Final = 7
"""Seed of the distribution of speeds over the workers."""
SLOW_INTERVAL: Final = 400.0
"""Mean time between two periods in which a worker is slowed down, in seconds."""
ESTIMATE_ERROR: Final = 0.9
"""Maximum relative error of callers' estimates."""


def heavy_boards() -> Deployment:
    """Return the first deployment: 32 cores and 128 GB in a worker, 20 workers in a rack."""
    return Deployment(
        name="heavy-boards", workers=WORKERS, worker_memory_mb=131_072, worker_cpu_millis=32_000,
        rack_size=20, speeds=_speeds((0.8, 1.0, 1.25)), slow_interval=SLOW_INTERVAL,
        stop_seconds=0.5, customers=10,
        kinds=(
            _large(rate=0.67, seconds=11.0),
            _urgent(rate=2.86, seconds=2.5),
            _batch(rate=0.66, seconds=9.5),
        ),
    )  # fmt: skip


def heavy_cellar() -> Deployment:
    """Return the second deployment: 64 cores and 256 GB in a worker, 12 workers in a rack."""
    return Deployment(
        name="heavy-cellar", workers=WORKERS, worker_memory_mb=262_144, worker_cpu_millis=64_000,
        rack_size=12, speeds=_speeds((1.0,)), slow_interval=SLOW_INTERVAL,
        stop_seconds=0.5, customers=10,
        kinds=(
            _large(rate=0.74, seconds=7.2),
            _urgent(rate=3.93, seconds=2.1),
            _batch(rate=0.58, seconds=8.1),
        ),
    )  # fmt: skip


def _speeds(usual: tuple[float, ...]) -> tuple[float, ...]:
    """Return a speed for each worker; the fast ones are spread over all racks."""
    fast = round(FAST_SHARE * WORKERS)
    speeds = [FAST_SPEED] * fast + [usual[n % len(usual)] for n in range(WORKERS - fast)]
    random.Random(SPEED_SEED).shuffle(speeds)
    return tuple(speeds)


def _large(*, rate: float, seconds: float) -> JobKind:
    return JobKind(
        name="large", rate=rate, tasks=13, max_tasks=78, seconds=seconds, seconds_spread=0.3,
        cpu_millis=26_000, memory_mb=75_000, accelerators=ACCELERATOR_SIZES, priority=1, worth=3.0,
        late_worth=0.9, slack_factor=3.0, target_seconds=1.0, max_attempts=3, gang=True,
        rack_local_share=0.6, checkpoint_share=0.45, estimate_error=ESTIMATE_ERROR, prefilled=5,
    )  # fmt: skip


def _urgent(*, rate: float, seconds: float) -> JobKind:
    return JobKind(
        name="urgent", rate=rate, tasks=5, max_tasks=30, seconds=seconds, seconds_spread=0.5,
        cpu_millis=7_500, memory_mb=31_000, accelerators=ACCELERATOR_SIZES, priority=0, worth=4.0,
        late_worth=0.8, slack_factor=1.5, target_seconds=0.3, max_attempts=4, gang=True,
        rack_local_share=0.8, estimate_error=ESTIMATE_ERROR,
    )  # fmt: skip


def _batch(*, rate: float, seconds: float) -> JobKind:
    return JobKind(
        name="batch", rate=rate, tasks=39, max_tasks=230, seconds=seconds, seconds_spread=0.3,
        cpu_millis=5_600, memory_mb=16_000, accelerators=(1,), priority=2, worth=1.0,
        late_worth=0.3, slack_factor=3.0, target_seconds=3.0, max_attempts=3, gang=False,
        spread_share=0.12, checkpoint_share=0.45, estimate_error=ESTIMATE_ERROR, prefilled=6,
    )  # fmt: skip
