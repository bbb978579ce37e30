"""Commands that start, checkpoint, throttle and stop a gang on its workers."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.journal.journal import PublishError
from zinniaweir.scheduler.worker_link import (
    COMMAND_TIMEOUT_SECONDS,
    StaleEpochError,
    WorkerUnreachableError,
)
from zinniaweir.telemetry.logs import log
from zinniaweir.wire.records import JobPlaced, JobStarted, Member
from zinniaweir.wire.worker_service import (
    GangRequest,
    ReserveRequest,
    StartRequest,
    ThrottleRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from zinniaweir.journal.journal import Journal
    from zinniaweir.scheduler.leases import LeaseSettings
    from zinniaweir.scheduler.worker_link import WorkerLink
    from zinniaweir.wire.records import JobSpec

PUBLISH_TIMEOUT_SECONDS: Final = 3.0
FRESHNESS_POLL_INTERVAL_SECONDS: Final = 0.05
RETRY_DELAY_SECONDS: Final = 0.3


@dataclass(frozen=True, kw_only=True)
class Gang:
    """One attempt of a job with its placement."""

    job_id: str
    attempt: int
    """Number of the attempt."""
    spec: JobSpec
    members: tuple[Member, ...]
    """Members with their workers and accelerators."""
    done_fraction: float = 0.0
    """Share of the work that the latest checkpoint holds."""

    @property
    def workers(self) -> tuple[str, ...]:
        """Names of the workers in the order of the members, without duplicates."""
        return tuple(dict.fromkeys(member.worker for member in self.members))


@dataclass(frozen=True, kw_only=True)
class StartOutcome:
    """Result of starting a gang."""

    gang: Gang
    started: bool
    worker: str | None = None
    """Worker that refused or did not answer, or None if the failure was not on a worker."""
    reason: str = ""
    """Why the gang did not start; empty if it started."""
    may_have_run: bool = False
    """Whether a failed start may have run a member."""


class StartRefusedError(Exception):
    """A start that must not continue."""

    def __init__(self, *, worker: str | None, reason: str) -> None:
        super().__init__(reason)
        self.worker = worker
        """Worker that refused or did not answer, or None if the failure was not on a worker."""
        self.reason = reason
        """Why the start must not continue."""


class GangRunner:
    """Send the gang commands of one region owner to workers.

    Args:
        region: Name of the region.
        epoch: Ownership epoch that the commands carry.
        journal: Journal on which placements and starts are published.
        links: Connections to the workers by worker name.
        leases: Durations of leases.
        start_refusal: Returns why a gang must not start, or an empty string if it may. The runner
            waits while it returns `not_fresh`.
    """

    def __init__(
        self,
        *,
        region: str,
        epoch: int,
        journal: Journal,
        links: Mapping[str, WorkerLink],
        leases: LeaseSettings,
        start_refusal: Callable[[Gang], str],
    ) -> None:
        self._region = region
        self._epoch = epoch
        self._journal = journal
        self._links = links
        self._leases = leases
        self._start_refusal = start_refusal
        self._sent_starts: set[tuple[str, int]] = set()

    def may_have_run(self, gang: Gang) -> bool:
        """Return whether a start command of the gang may have reached a worker."""
        return (gang.job_id, gang.attempt) in self._sent_starts

    def discard(self, gang: Gang) -> None:
        """Discard the bookkeeping of a gang that ended."""
        self._sent_starts.discard((gang.job_id, gang.attempt))

    async def start(self, gang: Gang) -> StartOutcome:
        """Start all members of a gang, or none.

        The placement is on the log before the first start command is sent. If a member fails to
        start, the whole gang is stopped. Members on unreachable workers end when their first
        lease expires, since it is not renewed.
        """
        try:
            await self._wait_until_allowed(gang)
            reserved_at = await self._reserve(gang)
            await self._publish_placement(gang)
            self._check_start(gang)
            self._sent_starts.add((gang.job_id, gang.attempt))
            await self._start_members(gang, reserved_at)
        except StartRefusedError as error:
            sent = self.may_have_run(gang)
            await self.stop(gang, retry_seconds=1.0 if sent else 0.0)
            return StartOutcome(
                gang=gang,
                started=False,
                worker=error.worker,
                reason=error.reason,
                may_have_run=sent,
            )
        for worker in gang.workers:
            self._links[worker].start_renewing(gang.job_id, gang.attempt)
        return StartOutcome(gang=gang, started=True)

    async def record_start(self, gang: Gang) -> None:
        """Publish the start, retrying until it is on the log."""
        body = JobStarted(
            job_id=gang.job_id,
            region=self._region,
            epoch=self._epoch,
            attempt=gang.attempt,
            started_at=time.time(),
        )
        await self.publish([body])

    async def publish(self, bodies: list[Any]) -> None:
        """Publish an owner's records, retrying until they are on the log.

        A retry can put a record on the log twice under different ids. The second copy leaves the
        job's state as it is: a record either names its attempt or ends the job.
        """
        while True:
            try:
                await self._journal.publish_many(bodies, PUBLISH_TIMEOUT_SECONDS)
                return
            except PublishError as error:
                log("publish_retried", records=len(bodies), reason=error.reason)
                await asyncio.sleep(0.5)

    async def checkpoint(self, gang: Gang) -> None:
        """Command all members to checkpoint and exit; the workers report the results as events."""
        await self._send_to_gang(gang, "Checkpoint", retries=3)

    async def throttle(self, gang: Gang, *, member: int, share: float) -> None:
        """Limit the processor time of the gang's members on the worker of one member.

        Args:
            gang: The gang.
            member: Number of the member.
            share: Share of their processor time that the members keep.
        """
        worker = next(m.worker for m in gang.members if m.member == member)
        request = ThrottleRequest(
            epoch=self._epoch, job_id=gang.job_id, attempt=gang.attempt, share=share
        )
        await self._send("Throttle", worker, request)

    async def stop(self, gang: Gang, *, retry_seconds: float = 10.0) -> bool:
        """Stop all members and no longer renew their leases.

        Args:
            gang: The gang.
            retry_seconds: How long to retry workers that do not answer.

        Returns:
            Whether every worker answered. Members on the others end when their leases expire.
        """
        for worker in gang.workers:
            if worker in self._links:
                self._links[worker].stop_renewing(gang.job_id, gang.attempt)
        retries = int(retry_seconds / RETRY_DELAY_SECONDS) + 1
        return await self._send_to_gang(gang, "Stop", retries=retries)

    async def stop_on(self, key: tuple[str, int], workers: tuple[str, ...]) -> None:
        """Stop the members of an attempt on the given workers.

        Args:
            key: Job id and attempt.
            workers: Names of the workers.
        """
        request = GangRequest(epoch=self._epoch, job_id=key[0], attempt=key[1])
        await self._send_with_retries("Stop", request, workers, retries=3)

    async def _wait_until_allowed(self, gang: Gang) -> None:
        while True:
            refusal = self._start_refusal(gang)
            if not refusal:
                return
            if refusal != "not_fresh":
                raise StartRefusedError(worker=None, reason=refusal)
            await asyncio.sleep(FRESHNESS_POLL_INTERVAL_SECONDS)

    def _check_start(self, gang: Gang) -> None:
        if refusal := self._start_refusal(gang):
            raise StartRefusedError(worker=None, reason=refusal)

    async def _reserve(self, gang: Gang) -> dict[str, float]:
        """Reserve the members' accelerators.

        Returns:
            When each worker had answered, in seconds of the monotonic clock.
        """
        requests = [
            (
                member.worker,
                ReserveRequest(
                    epoch=self._epoch,
                    job_id=gang.job_id,
                    attempt=gang.attempt,
                    member=member.member,
                    accelerators=member.accelerators,
                    cores=gang.spec.cores,
                    memory_bytes=gang.spec.memory_bytes,
                    ttl_seconds=self._leases.reserve_seconds,
                ),
            )
            for member in gang.members
        ]
        return await self._send_all("Reserve", requests)

    async def _publish_placement(self, gang: Gang) -> None:
        body = JobPlaced(
            job_id=gang.job_id,
            region=self._region,
            epoch=self._epoch,
            attempt=gang.attempt,
            members=gang.members,
        )
        try:
            await self._journal.publish(body, timeout=PUBLISH_TIMEOUT_SECONDS)
        except PublishError as error:
            raise StartRefusedError(worker=None, reason=error.reason) from error

    async def _start_members(self, gang: Gang, reserved_at: Mapping[str, float]) -> None:
        # The worker knows how old its reservation is, so it can reject a start that was held up
        # for longer than what allowed it holds.
        too_late_at = time.monotonic() + COMMAND_TIMEOUT_SECONDS
        requests = [
            (
                worker,
                StartRequest(
                    epoch=self._epoch,
                    job_id=gang.job_id,
                    attempt=gang.attempt,
                    name=gang.spec.name,
                    lease_seconds=self._leases.first_seconds,
                    start_fraction=gang.done_fraction,
                    payload=gang.spec.payload,
                    max_reservation_age_seconds=too_late_at - reserved_at[worker],
                ),
            )
            for worker in gang.workers
        ]
        await self._send_all("Start", requests)

    async def _send_all(self, name: str, requests: list[tuple[str, Any]]) -> dict[str, float]:
        """Send requests at once; return when each worker had answered all of its requests.

        Raises:
            StartRefusedError: If a worker refused or did not answer.
        """
        answered_at: dict[str, float] = {}

        async def send(worker: str, request: Any) -> tuple[str, str]:
            result = await self._send(name, worker, request)
            answered_at[worker] = time.monotonic()
            return result

        results = await asyncio.gather(*(send(worker, request) for worker, request in requests))
        for worker, refusal in results:
            if refusal:
                raise StartRefusedError(worker=worker, reason=refusal)
        return answered_at

    async def _send(self, name: str, worker: str, request: Any) -> tuple[str, str]:
        link = self._links.get(worker)
        if link is None:
            return worker, "unknown_worker"
        try:
            return worker, await link.command(name, request)
        except StaleEpochError:
            return worker, "stale_epoch"
        except WorkerUnreachableError:
            return worker, "unreachable"

    async def _send_to_gang(self, gang: Gang, name: str, *, retries: int) -> bool:
        request = GangRequest(epoch=self._epoch, job_id=gang.job_id, attempt=gang.attempt)
        return await self._send_with_retries(name, request, gang.workers, retries=retries)

    async def _send_with_retries(
        self, name: str, request: GangRequest, workers: tuple[str, ...], *, retries: int
    ) -> bool:
        remaining = set(workers)
        for attempt in range(retries):
            if attempt:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
            results = await asyncio.gather(*(self._send(name, w, request) for w in remaining))
            remaining = {worker for worker, refusal in results if refusal == "unreachable"}
            if not remaining:
                return True
        return False
