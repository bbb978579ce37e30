from __future__ import annotations

import math

import msgspec
import pytest

from zinniaweir.scheduler import jobs as jobs_module
from zinniaweir.scheduler.jobs import JobTable
from zinniaweir.wire.records import (
    JobFinished,
    JobPlaced,
    JobRequeued,
    JobsCancelled,
    JobSpec,
    JobStarted,
    JobSubmitted,
    Member,
    Record,
)

EPOCH = 7
SPEC = JobSpec(customer="parish", name="sweep")


class Log:
    """Apply records to a job table at increasing offsets."""

    def __init__(self) -> None:
        self.epoch = EPOCH
        self.table = JobTable(epoch_of=lambda region: self.epoch)
        self.offset = 0

    def add(self, body) -> list:
        self.offset += 1
        record = Record(id=f"{self.offset:032x}", vm="vm1", at=0.0, body=body)
        return self.table.apply(self.offset, record)

    def submit(self, job_id: str, key: str = "") -> list:
        body = JobSubmitted(job_id=job_id, region="r", key=key, spec=SPEC, submitted_at=self.offset)
        return self.add(body)

    def owner(self, kind, job_id: str = "a", epoch: int = EPOCH, **fields) -> list:
        return self.add(kind(job_id=job_id, region="r", epoch=epoch, **fields))


def placed(log: Log, attempt: int, epoch: int = EPOCH) -> list:
    members = (Member(member=0, worker="w1", accelerators=(0,)),)
    return log.owner(JobPlaced, attempt=attempt, members=members, epoch=epoch)


@pytest.mark.parametrize("number", [math.nan, math.inf, -math.inf])
def test_job_of_no_time_is_not_accepted(number: float) -> None:
    """Guards against one odd record that ends each owner of its region in turn."""
    log = Log()
    body = JobSubmitted(job_id="a", region="r", key="", spec=SPEC, submitted_at=number)
    assert log.add(body) == []
    assert log.table.active("r") == []


@pytest.mark.parametrize("number", [-1, 64, 2**63 - 1])
def test_placement_on_an_accelerator_that_no_worker_has_changes_nothing(number: int) -> None:
    """Guards against one odd record that ends each owner of its region at its takeover."""
    log = Log()
    log.submit("a")
    members = (Member(member=0, worker="w1", accelerators=(0, number)),)
    assert log.owner(JobPlaced, attempt=1, members=members) == []
    assert log.table.get("a").state == "waiting"


def test_records_of_an_earlier_owner_change_nothing() -> None:
    """Guards against a paused owner that places or ends jobs after another VM took over."""
    log = Log()
    log.submit("a")
    log.epoch = EPOCH + 1
    assert placed(log, 1) == []
    assert log.owner(JobFinished, state="done") == []
    assert log.table.get("a").state == "waiting"


def test_second_submission_of_a_key_changes_nothing() -> None:
    """Guards against two VMs that accept the same submission as two jobs."""
    log = Log()
    log.submit("a", key="k")
    assert log.submit("b", key="k") == []
    assert log.table.by_key("parish", "k").job_id == "a"


def test_late_records_of_an_ended_attempt_change_nothing() -> None:
    """Guards against a start that takes effect after its attempt was requeued."""
    log = Log()
    log.submit("a")
    placed(log, 1)
    log.owner(JobRequeued, attempt=1, reason="worker_lost")
    assert log.owner(JobStarted, attempt=1, started_at=1.0) == []
    assert placed(log, 1) == []
    assert placed(log, 2)
    assert log.owner(JobRequeued, attempt=1, reason="worker_lost") == []


def test_end_is_final() -> None:
    """Guards against a job that ends twice with different states."""
    log = Log()
    log.submit("a")
    log.owner(JobFinished, state="unknown")
    assert log.owner(JobFinished, state="done") == []
    assert log.add(JobsCancelled(customer="parish")) == []
    assert log.table.get("a").state == "unknown"


def test_restored_table_folds_as_the_original(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against VMs that drop different keys after one of them started from a snapshot."""
    monkeypatch.setattr(jobs_module, "MAX_ENDED_JOBS", 2)
    monkeypatch.setattr(jobs_module, "MAX_RETIRED_JOBS", 1)
    log, other = Log(), Log()
    for name in "abcde":
        log.submit(name, key=name)
    for name in "cab":
        log.owner(JobFinished, job_id=name, state="done")
    data = msgspec.msgpack.decode(msgspec.msgpack.encode(log.table.snapshot()))
    other.table.restore(data)
    other.offset = log.offset
    for name in "ed":
        log.owner(JobFinished, job_id=name, state="done")
        other.owner(JobFinished, job_id=name, state="done")
    assert log.table.snapshot() == other.table.snapshot()
    assert log.table.by_key("parish", "c") is None
    assert log.table.by_key("parish", "b").state == "done"


def test_cancellation_by_label_applies_only_to_its_customer() -> None:
    """Guards against a cancellation by label that also cancels another customer's jobs."""
    log = Log()
    for job_id, customer, label in (("a", "parish", "x"), ("b", "parish", ""), ("c", "other", "x")):
        spec = JobSpec(customer=customer, name="sweep", label=label)
        log.add(JobSubmitted(job_id=job_id, region="r", key="", spec=spec, submitted_at=0.0))
    assert [job.job_id for job in log.add(JobsCancelled(customer="parish", label="x"))] == ["a"]
