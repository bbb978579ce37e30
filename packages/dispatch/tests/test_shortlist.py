"""Tests of the bounded choice of workers and of sliced planning passes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from zinniaweir.dispatch.fleet import LARGE_FLEET_WORKERS, Worker
from zinniaweir.dispatch.messages import WorkerEntry
from zinniaweir.dispatch.pass_slices import MAX_PASS_SECONDS, SLICE_WORKERS, PassSlices
from zinniaweir.dispatch.placement import choose_workers
from zinniaweir.dispatch.shortlist import SEARCH_WORKERS, SHORTLIST_WORKERS, Shortlist
from zinniaweir.dispatch.units import OwnedJob, Unit
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.records import Submission
from zinniaweir.workloads.spec import JobSpec, StepSpec

RACK_WORKERS = 20
WORKERS = 3_000


def fleet(count: int = WORKERS) -> list[Worker]:
    return [
        Worker(
            entry=WorkerEntry(
                worker=f"w{n}",
                service="s",
                address=f"w{n}:1",
                failure_domain="z",
                rack=f"r{n // RACK_WORKERS}",
                labels=frozenset(),
                incarnation=1,
                draining=False,
                cpu_millis=8_000,
                memory_mb=8_000,
                accelerators=8,
            )
        )
        for n in range(count)
    ]


def unit(count: int, *, accelerators: int = 8, **options: object) -> Unit:
    step = StepSpec(count=count, accelerators=accelerators, gang=count > 1, **options)  # type: ignore[arg-type]
    submission = Submission(
        job_id="1",
        customer="c",
        terms=QueueTerms(name="q", service="s"),
        spec=JobSpec(payload="", steps=(step,)),
        accepted_at=0.0,
    )
    return OwnedJob(JobEntry(submission=submission), now=0.0).units[0]


def all_of(workers: list[Worker]) -> list[Worker]:
    return workers


def test_all_workers_are_examined_below_the_bound() -> None:
    """Guards against other placements in fleets of today's sizes."""
    workers = fleet(LARGE_FLEET_WORKERS)
    shortlist = Shortlist({})
    assert shortlist.for_placement(unit(1), workers, open_to=all_of, one_rack=False) is workers
    assert shortlist.for_search(unit(1), workers, now=0.0) is workers


def test_a_placement_examines_few_workers_of_a_large_fleet() -> None:
    """Guards against a planning pass of seconds, in which no lease is renewed."""
    workers = fleet()
    shortlist = Shortlist({"r7": 3})
    found = shortlist.for_placement(unit(1), workers, open_to=all_of, one_rack=False)
    assert len(found) == SHORTLIST_WORKERS == shortlist.examined
    assert found[0].entry.rack == "r7"
    home = unit(1, home_rack="r99")
    assert shortlist.for_placement(home, workers, open_to=all_of, one_rack=False)[0].entry.rack == (
        "r99"
    )


@pytest.mark.parametrize("one_rack", [True, False])
def test_room_is_found_wherever_it_is(one_rack: bool) -> None:
    """Guards against work that waits for ever, since its only room is not on the shortlist."""
    workers = fleet()
    last_rack = f"r{WORKERS // RACK_WORKERS - 1}"
    gang = unit(RACK_WORKERS, rack_local=one_rack)
    for worker in workers:
        if worker.entry.rack != last_rack:
            worker.used_accelerators = 1
    shortlist = Shortlist({})
    found = shortlist.for_placement(gang, workers, open_to=all_of, one_rack=one_rack)
    chosen = choose_workers(gang, found, rack_use={}, spread_allowed=not one_rack)
    assert chosen is not None
    assert {worker.entry.rack for worker in chosen} == {last_rack}


def test_workers_that_are_closed_to_a_unit_are_left_out() -> None:
    """Guards against work on workers that are reserved for others."""
    workers = fleet()

    def open_to(some: list[Worker]) -> list[Worker]:
        return [worker for worker in some if worker.entry.rack == "r149"]

    found = Shortlist({}).for_placement(unit(1), workers, open_to=open_to, one_rack=False)
    assert {worker.entry.rack for worker in found} == {"r149"}


def test_successive_searches_examine_the_whole_fleet() -> None:
    """Guards against urgent work that waits beside work which no search ever sees."""
    workers = fleet()
    shortlist = Shortlist({})
    seen: set[str] = set()
    for tick in range(20):
        found = shortlist.for_search(unit(5), workers, now=100.0 + tick * 0.1001)
        assert len(found) <= SEARCH_WORKERS
        seen |= {worker.name for worker in found}
    assert len(seen) == WORKERS


def steps(count: int, tried: list[int]) -> Iterator[int]:
    for number in range(count):
        tried.append(number)
        yield (number + 1) * SLICE_WORKERS // 10


def test_a_pass_goes_on_where_its_last_slice_ended() -> None:
    """Guards against work of a low rank that is never tried, and against long slices."""
    slices, tried = PassSlices(), list[int]()
    slices.begin(steps(35, tried), 0.0)
    counts = []
    while slices.pending(0.1):
        before = len(tried)
        slices.advance(sliced=True)
        counts.append(len(tried) - before)
    assert tried == list(range(35))
    assert max(counts) <= 11


def test_passes_of_small_fleets_are_whole_and_old_ones_are_dropped() -> None:
    """Guards against slices in small fleets, and against decisions on what was seen long ago."""
    slices, tried = PassSlices(), list[int]()
    slices.begin(steps(35, tried), 0.0)
    slices.advance(sliced=False)
    assert len(tried) == 35
    assert not slices.pending(0.0)
    slices.begin(steps(35, tried), 0.0)
    slices.advance(sliced=True)
    assert slices.pending(MAX_PASS_SECONDS)
    assert not slices.pending(MAX_PASS_SECONDS + 0.1)
    slices.begin(steps(35, tried), 0.0)
    slices.drop()
    assert not slices.pending(0.0)
