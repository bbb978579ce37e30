"""gRPC service that a scheduler process offers to other VMs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from zinniaweir.wire.peer_service import ExplainReply, PreemptsReply, StateReply, TailReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.journal.journal import Journal
    from zinniaweir.scheduler.state import ClusterState
    from zinniaweir.settings.model import Settings
    from zinniaweir.wire.peer_service import (
        ExplainRequest,
        PreemptsRequest,
        StateRequest,
        TailRequest,
    )


class PeerService:
    """Provide the log's tail, the cluster state and facts about owned regions to other VMs.

    VMs that cannot reach the log ask for the tail, and VMs that start without a snapshot ask for
    the state.

    Args:
        journal: Journal of this VM.
        state: Cluster state that this VM folds from the log.
        explain: Returns why a job of an owned region waits.
        find_preempted_jobs: Returns the jobs of owned regions that new settings would preempt.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        state: ClusterState,
        explain: Callable[[str], str],
        find_preempted_jobs: Callable[[Settings], list[str]],
    ) -> None:
        self._journal = journal
        self._state = state
        self._explain = explain
        self._find_preempted_jobs = find_preempted_jobs

    async def tail(self, request: TailRequest) -> TailReply:
        """Return recent log entries from an offset on."""
        return self._journal.tail(request.from_offset, request.limit)

    async def state(self, request: StateRequest) -> StateReply:
        """Return the cluster state up to the last applied record, empty before it is caught up."""
        return StateReply(
            through_offset=self._journal.next_offset - 1,
            fresh_age_seconds=self._journal.freshness_age(time.monotonic()),
            payload=self._state.snapshot() if self._journal.caught_up else b"",
        )

    async def explain(self, request: ExplainRequest) -> ExplainReply:
        """Return why a job of an owned region waits."""
        return ExplainReply(text=self._explain(request.job_id))

    async def preempts(self, request: PreemptsRequest) -> PreemptsReply:
        """Return the jobs of owned regions that a settings change would preempt."""
        review = self._state.settings.review(request.put)
        return PreemptsReply(
            job_ids=[] if review.reason else self._find_preempted_jobs(review.model)
        )
