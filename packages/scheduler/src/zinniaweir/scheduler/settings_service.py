"""Settings operations, called by the entry process."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from msgspec import structs

from zinniaweir.journal.journal import PublishError
from zinniaweir.scheduler.vm_state import NO_STATE, READY, STARTING
from zinniaweir.wire.records import SettingsPut
from zinniaweir.wire.scheduler_service import (
    GetSettingsReply,
    HistoryReply,
    PutSettingsReply,
    WatchReply,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from zinniaweir.journal.journal import Journal
    from zinniaweir.scheduler.state import ClusterState
    from zinniaweir.scheduler.vm_state import VmState
    from zinniaweir.scheduler.waiters import Waiters
    from zinniaweir.settings.fold import Review
    from zinniaweir.settings.model import Settings
    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.wire.scheduler_service import (
        GetSettingsRequest,
        HistoryRequest,
        PutSettingsRequest,
        Surroundings,
        WatchRequest,
    )

PUBLISH_TIMEOUT_SECONDS: Final = 5.0
INCOMPLETE_STATES: Final = frozenset({STARTING, NO_STATE})
"""States of a VM in which its settings may be older than the log."""
STATE_POLL_INTERVAL_SECONDS: Final = 0.5
"""Poll interval of a watch for the VM's state, which can change without any record."""


@dataclass(frozen=True, kw_only=True)
class PreemptedJobs:
    """Jobs that a settings change would preempt in the regions whose owners answered."""

    job_ids: list[str]
    """Ids of the jobs."""
    problem: str = ""
    """Why the list may be incomplete; empty if it is complete."""


class SettingsService:
    """Show, review and change settings through the log.

    Args:
        state: Cluster state that this VM folds from the log.
        journal: Journal on which changes are published.
        vm_state: State of the VM.
        waiters: Wakes watchers when settings change.
        counters: Counters of the process.
        find_preempted_jobs: Returns the jobs that a change would preempt.
        surroundings: Returns what this VM knows of the other VMs.
    """

    def __init__(
        self,
        *,
        state: ClusterState,
        journal: Journal,
        vm_state: VmState,
        waiters: Waiters,
        counters: Counters,
        find_preempted_jobs: Callable[[SettingsPut, Settings], Awaitable[PreemptedJobs]],
        surroundings: Callable[[], Surroundings],
    ) -> None:
        self._state = state
        self._journal = journal
        self._vm_state = vm_state
        self._waiters = waiters
        self._counters = counters
        self._find_preempted_jobs = find_preempted_jobs
        self._surroundings = surroundings

    async def get_settings(self, request: GetSettingsRequest) -> GetSettingsReply:
        """Return the value at a path and the version of that subtree."""
        value, version = self._state.settings.get(request.path)
        return GetSettingsReply(found=value is not None, version=version, value=value)

    async def history(self, request: HistoryRequest) -> HistoryReply:
        """Return the changes that concern a path, newest first."""
        changes = self._state.settings.history(request.path, request.limit)
        return HistoryReply(changes=changes)

    async def put_settings(self, request: PutSettingsRequest) -> PutSettingsReply:
        """Replace the value at a path, or only review the change."""
        put = SettingsPut(
            path=request.path,
            value=request.value,
            base_version=request.base_version,
            author=request.author,
            note=request.note,
        )
        review = self._state.settings.review(put)
        _, version = self._state.settings.get(request.path)
        if review.reason:
            return self._refusal_reply(review, version)
        if request.review_only:
            preempted = await self._find_preempted_jobs(put, review.model)
            return PutSettingsReply(
                state="reviewed",
                version=version,
                diff=review.diff,
                preempts=preempted.job_ids,
                reason=preempted.problem,
            )
        return await self._publish(put, review.diff)

    async def watch(self, request: WatchRequest) -> WatchReply:
        """Wait until settings, VM state or surroundings differ from those in the request.

        A process that has not read the log to its end hands out its state only: after a restart,
        its settings may be older than those that the entry process has in force.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + request.wait_seconds
        while self._is_unchanged(request) and loop.time() < deadline:
            wait = min(STATE_POLL_INTERVAL_SECONDS, deadline - loop.time())
            await self._waiters.wait_until(
                "settings", lambda: not self._is_unchanged(request), timeout=wait
            )
        state = self._vm_state.current()
        if state in INCOMPLETE_STATES:
            return WatchReply(
                settings_version=request.settings_version,
                settings=None,
                state=state,
                surroundings=request.surroundings,
            )
        version = self._state.settings.version
        tree = self._state.settings.get("")[0] if version != request.settings_version else None
        return WatchReply(
            settings_version=version,
            settings=tree,
            state=state,
            surroundings=self._surroundings(),
        )

    def _is_unchanged(self, request: WatchRequest) -> bool:
        state = self._vm_state.current()
        if request.state != state:
            return False
        return state in INCOMPLETE_STATES or (
            request.settings_version == self._state.settings.version
            and request.surroundings == self._surroundings()
        )

    async def _publish(self, put: SettingsPut, diff: list[str]) -> PutSettingsReply:
        vm_state = self._vm_state.current()
        if vm_state != READY and vm_state != "no_state":
            self._counters.add("refusals", reason=vm_state)
            return PutSettingsReply(state="not_run", reason=vm_state)
        try:
            published = await self._journal.publish(put, timeout=PUBLISH_TIMEOUT_SECONDS)
        except PublishError as error:
            self._counters.add("refusals", reason="settings_log_unavailable")
            state = "unknown" if error.may_appear else "not_run"
            return PutSettingsReply(state=state, reason=error.reason)
        change = self._state.settings.find(published.record_id)
        _, version = self._state.settings.get(put.path)
        if change is not None and change.accepted:
            return PutSettingsReply(state="accepted", version=version, diff=diff)
        review = self._state.settings.review(put)
        if change is not None:
            # Whatever refused the record, such as a concurrent change, may no longer apply, so the
            # recorded reason is reported.
            review = structs.replace(review, reason=change.reason)
        return self._refusal_reply(review, version)

    def _refusal_reply(self, review: Review, version: int) -> PutSettingsReply:
        state = "invalid" if review.problems else "conflict"
        self._counters.add("refusals", reason=f"settings_{state}")
        return PutSettingsReply(
            state=state, version=version, problems=review.problems, reason=review.reason
        )
