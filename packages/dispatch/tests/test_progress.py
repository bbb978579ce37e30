"""Tests of recorded progress: jobs too large for one record, owners that end between appends."""

from __future__ import annotations

from typing import Any

import pytest

from zinniaweir.dispatch.dispatcher import PagesNeededError
from zinniaweir.dispatch.messages import RunEnd
from zinniaweir.workloads.job_table import JobEntry, JobTable
from zinniaweir.workloads.losses import MAX_LOSSES
from zinniaweir.workloads.records import (
    AssignmentRecord,
    LossRecord,
    Progress,
    ProgressPage,
    Submission,
    UnitRecord,
    decode_record,
    encode_record,
)
from zinniaweir.workloads.spec import StepSpec

from .conftest import Cluster, job, worker_entry

WIDE = StepSpec(count=200, cpu_millis=10)


class RecordingCluster(Cluster):
    """A cluster that keeps the log, and lets each owner die between any two of its appends."""

    def __init__(self, *entries: Any, max_whole_bytes: int = 500) -> None:
        self.written: list[tuple[str, Submission | Progress | ProgressPage]] = []
        super().__init__(*entries)
        self.max_whole_progress_bytes = max_whole_bytes
        self.dispatcher = self.new_dispatcher()

    def submit(self, entry: JobEntry) -> None:
        self.written.append((f"s/{entry.submission.job_id}", entry.submission))
        self.add(entry)

    def record_changes(self) -> None:
        changes = self.dispatcher.collect_changes(now=self.now)
        for record in changes.records.in_order:
            number = f"/{record.number}" if isinstance(record, ProgressPage) else ""
            data = decode_record(encode_record(record))
            assert isinstance(data, Progress | ProgressPage)
            self.written.append((f"p/{record.job_id}{number}", data))
            self.assert_successor_knows_what_runs()
        self.dispatcher.mark_recorded(changes)

    def table(self) -> JobTable:
        table = JobTable()
        for key, record in self.written:
            table.apply(key, record)
        return table

    def successor(self) -> Cluster:
        """Return a cluster whose owner knows the log alone."""
        other = Cluster()
        for entry in self.table().jobs:
            other.add(entry)
        return other

    def assert_successor_knows_what_runs(self) -> None:
        jobs = self.successor().dispatcher.jobs
        for fake in self.workers.values():
            unread = {(row.task, row.run) for row in fake.ended if row.end is RunEnd.DONE}
            for task, run in (*fake.runs, *unread):
                owned = jobs[task.job_id]
                unit = owned.unit_of(task)
                assert unit is not None
                known = unit.assignments.get(task.index)
                assert owned.closed or unit.done or (known is not None and known.run == run)

    def sizes(self, job_id: str) -> list[int]:
        return [len(encode_record(r)) for key, r in self.written if key.startswith(f"p/{job_id}")]


@pytest.fixture
def recording() -> RecordingCluster:
    return RecordingCluster(worker_entry("w1"), worker_entry("w2"))


def test_wide_job_is_recorded_in_small_pages(recording: RecordingCluster) -> None:
    """Guards against LOST: progress that outgrows a record, and bytes for all tasks each time."""
    recording.submit(job("j1", WIDE))
    recording.run(0.5)
    assert len(list(recording.assignments("j1"))) == WIDE.count
    assert max(recording.sizes("j1")) <= 500
    before = len(recording.written)
    fake = recording.workers["w1"]
    fake.end(next(iter(fake.runs)), RunEnd.DONE)
    recording.tick()
    assert len(recording.written) - before == 1
    recording.run(3.0)
    assert recording.state("j1") == "complete"
    assert recording.successor().state("j1") == "complete"


def test_next_owner_goes_on_with_a_job_in_pages(recording: RecordingCluster) -> None:
    """Guards against TWICE: tasks of a wide job start again after a change of the owner."""
    recording.submit(job("j1", WIDE, StepSpec(count=3, cpu_millis=10, depends_on=(0,))))
    recording.run(0.5)
    fake = recording.workers["w1"]
    for key in list(fake.runs)[:50]:
        fake.end(key, RunEnd.DONE)
    recording.run(0.3)
    table = recording.table()
    recording.dispatcher = recording.new_dispatcher()
    for entry in table.jobs:
        recording.add(entry)
    recording.run(6.0)
    assert recording.state("j1") == "complete"
    causes = {f["cause"] for event, f in recording.events if event == "task_ended"}
    assert causes == {"listed"}


def test_gang_over_several_pages_survives_an_owner_that_ends_between_appends() -> None:
    """Guards against a gang of which the next owner knows a part, at each of its records."""
    recording = RecordingCluster(worker_entry("w1"), worker_entry("w2"))
    gang = StepSpec(count=40, cpu_millis=10, gang=True)
    recording.submit(job("j1", gang, max_attempts=3))
    recording.run(0.5)
    (unit,) = recording.dispatcher.jobs["j1"].units
    fake = recording.workers["w1"]
    fake.end(next(iter(fake.runs)), RunEnd.FAILED)
    recording.run(1.5)
    assert unit.run == 2
    other = recording.successor().dispatcher.jobs["j1"].units[0]
    assert (other.run, other.failures, len(other.assignments)) == (2, 1, gang.count)
    recording.run(4.0)
    assert recording.state("j1") == "complete"


def test_progress_of_an_earlier_version_that_outgrows_a_record_goes_into_pages(
    recording: RecordingCluster,
) -> None:
    """Guards against data of an earlier version that the next owner cannot write any more."""
    units = tuple(
        UnitRecord(
            0, n, 1, 0, n < 100, assignments=() if n < 100 else (AssignmentRecord(n, "w1", 1),)
        )
        for n in range(WIDE.count)
    )
    entry = job("j1", WIDE)
    entry.progress = Progress(job_id="j1", state="running", units=units)
    recording.written.append(("p/j1", entry.progress))
    recording.submit(entry)
    recording.run(4.0)
    assert recording.state("j1") == "complete"
    assert recording.table().has_pages
    started = {f["task"].index for event, f in recording.events if event == "task_started"}
    assert started == set(range(100, WIDE.count))


def test_owner_that_may_not_store_pages_records_nothing_of_a_round(
    recording: RecordingCluster,
) -> None:
    """Guards against MIXED: pages are written while VMs of an earlier version may own."""
    recording.submit(job("j1", WIDE))
    recording.tick()
    recording.dispatcher.add_job(job("j2", WIDE), now=recording.now, age=0.0)
    recording.dispatcher.plan(now=recording.now)
    with pytest.raises(PagesNeededError):
        recording.dispatcher.collect_changes(now=recording.now, pages_allowed=False)


def test_losses_of_a_unit_are_bounded(cluster: Cluster) -> None:
    """Guards against a record that grows with each worker that is lost under long work."""
    cluster.add(job("j1"))
    (unit,) = cluster.dispatcher.jobs["j1"].units
    unit.losses = tuple(
        LossRecord(n, "w9", n, False, lasted_seconds=9.0) for n in range(MAX_LOSSES)
    )
    unit.run = MAX_LOSSES
    cluster.run(0.5)
    (assignment,) = cluster.assignments("j1")
    cluster.workers[assignment.worker].entry = worker_entry(assignment.worker, incarnation=2)
    cluster.workers[assignment.worker].runs.clear()
    cluster.run(1.0)
    assert len(unit.losses) == MAX_LOSSES
    assert unit.losses[-1].worker == assignment.worker
