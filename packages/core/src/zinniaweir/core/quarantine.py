"""Distinguishes workers on which every gang fails from jobs that fail on every worker."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

JOBS_TO_QUARANTINE_WORKER: Final = 3
"""Distinct jobs that fail on a worker without a success; one bad job quarantines no worker."""
FAILURES_TO_QUARANTINE_WORKER: Final = 4
"""Failures without a success by fewer jobs; a worker may be used by a single large gang."""
WORKERS_TO_FAIL_JOB: Final = 3
"""Distinct workers on which a job fails before it is ended; one bad worker ends no job."""
FAILURES_TO_FAIL_JOB: Final = 10
"""Failures on any workers before a job is ended; its shape may fit only few workers."""
INITIAL_BACKOFF_SECONDS: Final = 30.0
"""Duration of the first quarantine; each further one without a success lasts twice as long."""
MAX_BACKOFF_SECONDS: Final = 3600.0


@dataclass(slots=True)
class WorkerRecord:
    """Failures of a worker since its last success."""

    failed_jobs: set[str] = field(default_factory=set)
    failures: int = 0
    backoff: float = INITIAL_BACKOFF_SECONDS
    """Duration of the next quarantine in seconds."""
    until: float | None = None
    """End of the quarantine, or None if the worker is not restricted."""
    probing: bool = False
    """Whether the worker is on probation after a quarantine."""


class Quarantine:
    """Failures, quarantine and probation by worker."""

    def __init__(self) -> None:
        self._records: dict[str, WorkerRecord] = {}

    def record_failure(self, worker: str, job_id: str, now: float) -> float | None:
        """Count a failure and return the end of the quarantine if one begins now.

        A failure on probation starts the next quarantine. Failures of a job that turns out to fail
        on several workers are removed by `discard_job_failures`.
        """
        record = self._records.setdefault(worker, WorkerRecord())
        if record.until is not None and not record.probing:
            return None
        record.failed_jobs.add(job_id)
        record.failures += 1
        enough = (
            record.probing
            or len(record.failed_jobs) >= JOBS_TO_QUARANTINE_WORKER
            or record.failures >= FAILURES_TO_QUARANTINE_WORKER
        )
        if not enough:
            return None
        record.until = now + record.backoff
        record.backoff = min(record.backoff * 2, MAX_BACKOFF_SECONDS)
        record.probing = False
        return record.until

    def record_success(self, worker: str) -> bool:
        """Clear the failures of a worker; return whether this ended its probe."""
        record = self._records.pop(worker, None)
        return record is not None and record.probing

    def discard_job_failures(self, workers: set[str], job_id: str) -> None:
        """Remove the failures of a job that turned out to fail everywhere."""
        for worker in workers:
            record = self._records.get(worker)
            if record is not None:
                record.failed_jobs.discard(job_id)
                record.failures = len(record.failed_jobs)

    def begin_probe(self, worker: str) -> bool:
        """Change a worker from quarantine to probation; return whether it was in quarantine."""
        record = self._records.get(worker)
        if record is None or record.until is None or record.probing:
            return False
        record.probing = True
        return True

    def failed_jobs(self, worker: str) -> frozenset[str]:
        """Return the jobs that failed on a worker since its last success."""
        record = self._records.get(worker)
        return frozenset(record.failed_jobs) if record else frozenset()

    def is_restricted(self, worker: str) -> bool:
        """Return whether the worker is in quarantine or on probation."""
        record = self._records.get(worker)
        return record is not None and record.until is not None

    def status(self, worker: str) -> tuple[bool, bool]:
        """Return whether the worker is in quarantine and whether it is on probation."""
        record = self._records.get(worker)
        if record is None or record.until is None:
            return False, False
        return not record.probing, record.probing

    def quarantine_ends(self) -> list[tuple[str, float]]:
        """Return the workers in quarantine, each with the time at which its quarantine ends."""
        return [
            (worker, record.until)
            for worker, record in self._records.items()
            if record.until is not None and not record.probing
        ]

    def to_data(self) -> dict:
        """Return the records as plain data."""
        return {
            worker: [sorted(r.failed_jobs), r.failures, r.backoff, r.until, r.probing]
            for worker, r in self._records.items()
        }

    def load(self, data: dict) -> None:
        """Replace the records with those that `to_data` returned."""
        self._records = {
            worker: WorkerRecord(set(jobs), failures, backoff, until, probing)
            for worker, (jobs, failures, backoff, until, probing) in data.items()
        }
