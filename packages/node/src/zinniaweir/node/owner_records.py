"""Records that an owner writes to the log."""

from __future__ import annotations

from zinniaweir.dispatch.changes import Changes
from zinniaweir.node.ports import KeyedRecord
from zinniaweir.workloads.records import (
    Progress,
    ProgressPage,
    cancellation_key,
    encode_record,
    progress_key,
    progress_page_key,
    submission_key,
)


def records_of(changes: Changes) -> list[KeyedRecord]:
    """Return the records of changes, in the order in which they take effect."""
    records = [progress_record(progress) for progress in changes.records.in_order]
    for job in changes.expired_jobs:
        # A job without its progress would start anew, so that is removed last.
        keys = [progress_page_key(job.job_id, number) for number in sorted(job.recorded_pages)]
        keys += [submission_key(job.job_id), cancellation_key(job.job_id), progress_key(job.job_id)]
        records += [KeyedRecord(key=key, value=None) for key in keys]
    return records


def progress_record(progress: Progress | ProgressPage) -> KeyedRecord:
    """Return the record of a job's progress, or of a page of it."""
    match progress:
        case Progress():
            key = progress_key(progress.job_id)
        case ProgressPage():
            key = progress_page_key(progress.job_id, progress.number)
    return KeyedRecord(key=key, value=encode_record(progress))
