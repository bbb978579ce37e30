"""Tests of progress in pages: their size, and gangs whose pages are of different times."""

from __future__ import annotations

import msgspec
import pytest

from zinniaweir.workloads.job_table import JobTable
from zinniaweir.workloads.losses import MAX_LOSSES
from zinniaweir.workloads.progress_pages import PAGE_TASKS, merge_pages
from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.records import (
    AssignmentRecord,
    Cancellation,
    LateStartRecord,
    LossRecord,
    OwnerClaim,
    PagedOwnerClaim,
    Progress,
    ProgressPage,
    RecordError,
    Submission,
    UnitRecord,
    VmAddress,
    decode_record,
    encode_record,
)
from zinniaweir.workloads.spec import JobSpec, StepSpec

RECORD_BYTES = 262_144
"""Size limit of a record on the platform."""
LONGEST_NAME = "w" * 255
LONGEST_CHECKPOINT = "\U0001f600" * 4_000
LATE_STARTS = 16

EARLIER_VERSION = msgspec.msgpack.Decoder(
    Submission | Cancellation | Progress | OwnerClaim | VmAddress
)
"""Decoder of a version that knows no pages."""


def gang_part(page: int, *, run: int, indexes: range, **fields: object) -> ProgressPage:
    assignments = tuple(AssignmentRecord(index, f"w{index}", 1) for index in indexes)
    unit = UnitRecord(0, 0, run, 0, False, "", assignments)
    unit = msgspec.structs.replace(unit, **fields)
    return ProgressPage(job_id="j1", number=page, units=(unit,))


def test_page_fits_into_a_record_whatever_its_tasks_have() -> None:
    """Guards against LOST: a page that the log does not take, as the whole progress once was."""
    losses = tuple(
        LossRecord(2**31 - 1, LONGEST_NAME, 2**53, True, True, tuple(range(9_992, 10_000)), 1e9)
        for _ in range(MAX_LOSSES)
    )
    late = tuple(LateStartRecord(9_999, 2**31 - 1, LONGEST_NAME) for _ in range(LATE_STARTS))
    assignment = AssignmentRecord(9_999, LONGEST_NAME, 2**53)
    unit = UnitRecord(
        63, 9_999, 2**31 - 1, 2**31 - 1, False, LONGEST_CHECKPOINT, (assignment,), losses, late, 1
    )
    page = ProgressPage(job_id="0" * 16, number=9_999, units=(unit,) * PAGE_TASKS)
    assert len(encode_record(page)) < RECORD_BYTES


def test_gang_is_put_together_from_its_pages() -> None:
    """Guards against a gang of which one page stands for the whole."""
    loss = LossRecord(1, "w0", 1, True, members=(0, 1))
    other = LossRecord(1, "w0", 1, True, members=(9,))
    (unit,) = merge_pages(
        [
            gang_part(0, run=2, indexes=range(8), losses=(loss,), checkpoint="c"),
            gang_part(1, run=2, indexes=range(8, 12), losses=(other,), failures=1, failed_run=1),
        ]
    )
    assert {a.index for a in unit.assignments} == set(range(12))
    assert (unit.checkpoint, unit.failures, unit.failed_run) == ("c", 1, 1)
    assert unit.losses == (LossRecord(1, "w0", 1, True, members=(0, 1, 9)),)


def test_page_of_an_earlier_run_holds_no_assignments_of_the_newest() -> None:
    """Guards against runs of two numbers in one gang, after an owner that ended between appends."""
    (unit,) = merge_pages(
        [gang_part(0, run=3, indexes=range(8)), gang_part(1, run=2, indexes=range(8, 12))]
    )
    assert unit.run == 3
    assert {a.index for a in unit.assignments} == set(range(8))


def test_gang_is_done_if_any_page_says_so() -> None:
    """Guards against TWICE: a gang starts again, as the page with its end alone was written."""
    (unit,) = merge_pages(
        [gang_part(0, run=2, indexes=range(8), done=True), gang_part(1, run=2, indexes=range(8, 9))]
    )
    assert unit.done


@pytest.mark.parametrize("submission_first", [True, False])
def test_pages_count_only_if_the_progress_says_so(submission_first: bool) -> None:
    """Guards against pages that count before all of them are written."""
    step = StepSpec(count=12)
    terms = QueueTerms(
        name="q",
        service="s",
        priority=1,
        max_attempts=2,
        slack_factor=3.0,
        target_seconds=1.0,
    )
    submission = Submission(
        job_id="j1",
        customer="parish",
        terms=terms,
        spec=JobSpec(payload="x", steps=(step,)),
        accepted_at=0.0,
    )
    whole = Progress(job_id="j1", state="running", units=(UnitRecord(0, 3, 1, 0, False),))
    page = ProgressPage(job_id="j1", number=1, units=(UnitRecord(0, 9, 1, 0, False),))
    table = JobTable()
    records = [("p/j1", whole), ("p/j1/1", page)]
    for key, record in [("s/j1", submission), *records] if submission_first else records:
        table.apply(key, record)
    table.apply("s/j1", submission)
    entry = table.get("j1")
    assert entry is not None
    assert [unit.first_index for unit in entry.units] == [3]
    table.apply("p/j1", Progress(job_id="j1", state="running", page_tasks=PAGE_TASKS))
    assert table.has_pages
    assert [unit.first_index for unit in entry.units] == [9]
    table.apply("p/j1/1", None)
    assert not entry.units
    table.apply("s/j1", None)
    assert not table.has_pages


def test_earlier_version_reads_the_state_of_a_job_in_pages_and_no_claim_on_it() -> None:
    """Guards against MIXED: a VM of an earlier version owns a job whose pages it cannot read."""
    claim = PagedOwnerClaim(vm="v1", incarnation="i", epoch=3)
    page = ProgressPage(job_id="j1", number=0)
    for record in (claim, page):
        assert decode_record(encode_record(record)) == record
        with pytest.raises(msgspec.DecodeError):
            EARLIER_VERSION.decode(encode_record(record))
    head = Progress(job_id="j1", state="running", page_tasks=PAGE_TASKS)
    found = EARLIER_VERSION.decode(encode_record(head))
    assert isinstance(found, Progress)
    assert found.state == "running"
    with pytest.raises(RecordError):
        decode_record(b"")
