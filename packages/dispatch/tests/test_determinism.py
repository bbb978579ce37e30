"""Tests that the dispatcher's commands depend on its inputs only.

Two plays of the same load must be equal, so that a change can be measured and a failure replayed.
"""

from __future__ import annotations

from typing import Any

import pytest

from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

SWEEP = StepSpec(count=8, cpu_millis=5_600, memory_mb=16_000, accelerators=1, estimate_ms=9_000)
CHECK = StepSpec(count=3, cpu_millis=7_500, accelerators=4, estimate_ms=2_500, gang=True)


def commands(cluster: Cluster) -> list[tuple[str, dict[str, Any]]]:
    """Play a load with preemption and cancellation, and return its events and commands."""
    cluster.seconds = 6.0
    for n in range(8):
        cluster.add(job(f"sweep{n}", SWEEP))
    cluster.run(1.0)
    for n in range(4):
        cluster.add(job(f"check{n}", CHECK, name="checks", priority=0))
    cluster.run(0.5)
    for n in range(3):
        cluster.dispatcher.cancel_job(f"sweep{n}", now=cluster.now)
    cluster.run(8.0)
    return cluster.events


@pytest.mark.parametrize("multiplier", [1, 2**31 - 1, 0x9E3779B1])
def test_order_of_commands_does_not_depend_on_hashes(
    monkeypatch: pytest.MonkeyPatch, multiplier: int
) -> None:
    """Guards against decisions in the order of objects' addresses, which differ in each process."""
    entries = [worker_entry(f"w{n}") for n in range(8)]
    expected = commands(Cluster(*entries))
    for owned in (Assignment, Unit, OwnedJob):
        monkeypatch.setattr(owned, "__hash__", lambda self: id(self) // 16 * multiplier)
    assert commands(Cluster(*entries)) == expected
    assert "unit_preempted" in [event for event, _ in expected]
