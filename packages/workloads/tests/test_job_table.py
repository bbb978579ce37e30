"""Tests of the job table and the encoding of its records."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zinniaweir.workloads.early_cancellations import EARLY_CANCELLATION_SECONDS
from zinniaweir.workloads.job_table import JobTable
from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.records import (
    Cancellation,
    EarlyCancellation,
    JobState,
    OwnerClaim,
    Progress,
    Record,
    RecordError,
    Submission,
    cancellation_key,
    decode_record,
    early_cancellation_key,
    encode_record,
    progress_key,
    submission_key,
)
from zinniaweir.workloads.spec import JobSpec, StepSpec


def submission(
    job_id: str = "a1", *, at: float = 1.0, steps: tuple[StepSpec, ...] = (StepSpec(count=1),)
) -> Submission:
    return Submission(
        job_id=job_id,
        customer="parish",
        terms=QueueTerms(name="traces", service="rendering"),
        spec=JobSpec(payload="x", steps=steps),
        accepted_at=at,
    )


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_a_record_or_rejected(content: bytes) -> None:
    """Guards against bytes on the log that end the process of each VM that reads them."""
    with contextlib.suppress(RecordError):
        decode_record(content)


def test_second_submission_with_same_id_is_ignored() -> None:
    """Guards against a repeated request that replaces the job that it submitted before."""
    table = JobTable()
    table.apply(submission_key("a1"), submission(at=1.0))
    table.apply(submission_key("a1"), submission(at=9.0))
    entry = table.get("a1")
    assert entry is not None
    assert entry.submission.accepted_at == 1.0


def test_progress_read_before_its_submission_is_applied() -> None:
    """Guards against a complete job that starts again after a restart.

    A restart reads pages of the newest records, in which progress may come before the submission.
    """
    table = JobTable()
    table.apply(progress_key("a1"), Progress(job_id="a1", state="complete"))
    table.apply(submission_key("a1"), submission())
    entry = table.get("a1")
    assert entry is not None
    assert entry.state is JobState.COMPLETE


def test_cancellation_after_completion_keeps_state() -> None:
    """Guards against a complete job that is reported as cancelled."""
    table = JobTable()
    table.apply(submission_key("a1"), submission())
    table.apply(progress_key("a1"), Progress(job_id="a1", state="complete"))
    table.apply(cancellation_key("a1"), Cancellation(job_id="a1", at=2.0))
    entry = table.get("a1")
    assert entry is not None
    assert entry.state is JobState.COMPLETE


def test_claim_of_older_epoch_is_ignored() -> None:
    """Guards against a superseded owner whose late renewal replaces the newer owner's claim."""
    table = JobTable()
    table.apply("owner", OwnerClaim(vm="v2", incarnation="b", epoch=2))
    table.apply("owner", OwnerClaim(vm="v1", incarnation="a", epoch=1, beat=7))
    assert table.claim is not None
    assert table.claim.vm == "v2"


def test_deleted_key_removes_job() -> None:
    """Guards against jobs that stay in the table after their records were deleted."""
    table = JobTable()
    table.apply(submission_key("a1"), submission())
    assert table.queued_count("traces") == 1
    table.apply(submission_key("a1"), None)
    assert table.get("a1") is None


def test_records_round_trip() -> None:
    """Guards against an encoded record that another VM cannot decode."""
    progress = [Progress(job_id="a", state=state) for state in JobState]
    for record in (submission(), Cancellation(job_id="a", at=1.0), *progress):
        assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize(
    "record",
    [
        Progress(job_id="a", state="x"),
        submission(steps=()),
        submission(steps=(StepSpec(count=1, depends_on=(0,)),)),
        submission(steps=(StepSpec(count=0),)),
    ],
)
def test_inconsistent_records_are_rejected(record: Record) -> None:
    """Guards against a record that decodes and then causes an error in each owner that reads it."""
    with pytest.raises(RecordError):
        decode_record(encode_record(record))


def early_cancellation(customer: str = "parish") -> EarlyCancellation:
    return EarlyCancellation(job_id="a1", customer=customer, at=1.0)


@pytest.mark.parametrize("customer", ["parish", "depots", ""])
@pytest.mark.parametrize("submission_first", [False, True])
def test_early_cancellation_counts_for_its_customer_in_any_order(
    customer: str, submission_first: bool
) -> None:
    """Guards against a cancelled job that runs after a restart, and against another's cancelling.

    Pages of the newest records come in the order of the keys.
    """
    records: list[tuple[str, Record]] = [
        (early_cancellation_key("a1", "1"), early_cancellation(customer)),
        (submission_key("a1"), submission()),
    ]
    table = JobTable()
    for key, record in reversed(records) if submission_first else records:
        table.apply(key, record)
    entry = table.get("a1")
    assert entry is not None
    assert entry.cancelled == (customer == "parish")
    assert table.unconfirmed_cancellations == (["a1"] if customer == "parish" else [])


@pytest.mark.parametrize("confirmed_by", ["cancellation", "progress", "removal"])
def test_early_cancellation_is_kept_while_nothing_else_cancels_its_job(confirmed_by: str) -> None:
    """Guards against a cancelled job that runs since its early cancellation was removed."""
    now = 0.0
    table = JobTable(clock=lambda: now)
    key = early_cancellation_key("a1", "1")
    table.apply(key, early_cancellation())
    table.apply(submission_key("a1"), submission())
    assert list(table.removable_early_cancellations()) == []
    now = EARLY_CANCELLATION_SECONDS + 1.0
    assert list(table.removable_early_cancellations()) == []
    match confirmed_by:
        case "cancellation":
            table.apply(cancellation_key("a1"), Cancellation(job_id="a1", at=2.0))
        case "progress":
            table.apply(progress_key("a1"), Progress(job_id="a1", state="cancelled"))
            assert list(table.removable_early_cancellations()) == []
            table.apply(progress_key("a1"), Progress(job_id="a1", state="complete"))
        case "removal":
            table.apply(submission_key("a1"), None)
    assert table.unconfirmed_cancellations == []
    assert list(table.removable_early_cancellations()) == [key]
    table.apply(key, None)
    assert len(table.early_cancellations) == 0
