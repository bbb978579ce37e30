from __future__ import annotations

import asyncio

from zinniaweir.journal.journal import PublishError
from zinniaweir.scheduler.gangs import GangRunner
from zinniaweir.scheduler.leases import LeaseSettings


class Journal:
    """Journal whose first publications fail."""

    def __init__(self, *, failures: int) -> None:
        self.failures = failures
        self.batches = []

    async def publish_many(self, bodies, timeout):
        self.batches.append(list(bodies))
        if self.failures:
            self.failures -= 1
            raise PublishError(reason="log_unavailable", may_appear=True, record_id="x")


def test_records_are_published_together_and_again_after_a_failure() -> None:
    """Guards against one append per job when many jobs are cancelled at once.

    Also guards against records that are dropped while the log is down.
    """
    journal = Journal(failures=1)
    runner = GangRunner(
        region="r",
        epoch=1,
        journal=journal,
        links={},
        leases=LeaseSettings(),
        start_refusal=lambda gang: "",
    )
    asyncio.run(runner.publish(["a", "b"]))
    assert journal.batches == [["a", "b"], ["a", "b"]]
