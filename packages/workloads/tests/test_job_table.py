"""Tests of the fold of the system's log."""

from __future__ import annotations

from zinniaweir.workloads.job_table import JobTable
from zinniaweir.workloads.queues import QueueTerms
from zinniaweir.workloads.records import (
    Cancellation,
    JobState,
    OwnerClaim,
    Progress,
    Submission,
    cancellation_key,
    decode_record,
    encode_record,
    progress_key,
    submission_key,
)
from zinniaweir.workloads.spec import JobSpec, StepSpec


def submission(job_id: str = "a1", *, at: float = 1.0) -> Submission:
    return Submission(
        job_id=job_id,
        customer="parish",
        terms=QueueTerms(name="traces", service="rendering"),
        spec=JobSpec(payload="x", steps=(StepSpec(count=1),)),
        accepted_at=at,
    )


def test_a_second_acceptance_of_an_id_changes_nothing() -> None:
    """Guards against a repeated request that replaces a job."""
    book = JobTable()
    book.apply(submission_key("a1"), submission(at=1.0))
    book.apply(submission_key("a1"), submission(at=9.0))
    entry = book.get("a1")
    assert entry is not None
    assert entry.submission.accepted_at == 1.0


def test_progress_that_is_read_before_the_acceptance_waits_for_it() -> None:
    """Guards against a finished job that starts again after a cold start read its pages."""
    book = JobTable()
    book.apply(progress_key("a1"), Progress(job_id="a1", state="complete"))
    book.apply(submission_key("a1"), submission())
    entry = book.get("a1")
    assert entry is not None
    assert entry.state is JobState.COMPLETE


def test_a_cancellation_after_the_end_changes_no_state() -> None:
    """Guards against a complete job that is shown as cancelled."""
    book = JobTable()
    book.apply(submission_key("a1"), submission())
    book.apply(progress_key("a1"), Progress(job_id="a1", state="complete"))
    book.apply(cancellation_key("a1"), Cancellation(job_id="a1", at=2.0))
    entry = book.get("a1")
    assert entry is not None
    assert entry.state is JobState.COMPLETE


def test_a_claim_of_an_older_epoch_is_ignored() -> None:
    """Guards against an owner that comes back after it was superseded."""
    book = JobTable()
    book.apply("owner", OwnerClaim(vm="v2", incarnation="b", epoch=2))
    book.apply("owner", OwnerClaim(vm="v1", incarnation="a", epoch=1, beat=7))
    assert book.claim is not None
    assert book.claim.vm == "v2"


def test_a_dropped_key_ends_the_job() -> None:
    """Guards against jobs that are kept for ever."""
    book = JobTable()
    book.apply(submission_key("a1"), submission())
    assert book.queued_count("traces") == 1
    book.apply(submission_key("a1"), None)
    assert book.get("a1") is None


def test_records_survive_the_codec() -> None:
    """Guards against a record that another VM cannot read."""
    for record in (submission(), Cancellation(job_id="a", at=1.0), Progress(job_id="a", state="x")):
        assert decode_record(encode_record(record)) == record
