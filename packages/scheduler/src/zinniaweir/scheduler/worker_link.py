"""Connection of a region owner to one worker."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import msgspec

from zinniaweir.telemetry.logs import log
from zinniaweir.wire.service import RemoteError, ServiceClient
from zinniaweir.wire.worker_service import (
    WORKER_SERVICE,
    GangRef,
    ListRequest,
    ReserveRequest,
    StartRequest,
    SyncRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from zinniaweir.scheduler.leases import LeaseSettings
    from zinniaweir.wire.worker_service import ListReply, SyncReply, Usage, WorkerEvent

COMMAND_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a command. A start must not take effect later than this after it was checked.

The worker enforces it by the age of its reservation.
"""
LOST_AFTER_SECONDS: Final = 4.0
"""Time without an answer after which a worker counts as lost; its leases then expire."""
RETRY_DELAY_SECONDS: Final = 0.25


class StaleEpochError(Exception):
    """A worker refused a call because it has seen a later epoch of the region."""


class WorkerUnreachableError(Exception):
    """A worker did not answer a call."""

    def __init__(self, *, worker: str, reason: str, is_unsent: bool) -> None:
        super().__init__(f"{worker}: {reason}")
        self.worker = worker
        """Name of the worker."""
        self.is_unsent = is_unsent
        """Whether it is proven that the call never reached the worker."""


@dataclass(frozen=True, kw_only=True)
class WorkerReport:
    """Events and resource usage that a worker reported."""

    worker: str
    events: tuple[WorkerEvent, ...]
    usage: tuple[Usage, ...]


@dataclass(frozen=True, kw_only=True)
class WorkerReachable:
    """A worker answers for the first time, or again after it was unreachable."""

    worker: str


@dataclass(frozen=True, kw_only=True)
class WorkerUnreachable:
    """A worker counts as lost."""

    worker: str
    silent_seconds: float = 0.0
    """For how long it has not answered."""


@dataclass(frozen=True, kw_only=True)
class EpochSuperseded:
    """A worker refused the epoch of this owner as stale."""

    epoch: int


class WorkerLink:
    """Renew the leases of the gangs on one worker and report its events to the region owner.

    Args:
        worker: Name of the worker.
        host: Host on which the worker listens.
        port: Port on which the worker listens.
        epoch: Ownership epoch that all calls carry.
        leases: Durations of leases.
        post: Called with each message for the region owner.
        former: Link to the former address of the worker. Its gangs are renewed at the new one if
            the same incarnation answers there, and are lost otherwise.
    """

    def __init__(
        self,
        *,
        worker: str,
        host: str,
        port: int,
        epoch: int,
        leases: LeaseSettings,
        post: Callable[[Any], None],
        former: WorkerLink | None = None,
    ) -> None:
        self.worker = worker
        """Name of the worker."""
        self.address = (host, port)
        """Host and port on which the worker listens."""
        self._client = ServiceClient(service=WORKER_SERVICE, host=host, port=port)
        self._epoch = epoch
        self._leases = leases
        self._post = post
        self._gangs: dict[tuple[str, int], str] = {}
        self._reserved: dict[tuple[str, int], str] = {}
        self._incarnation = ""
        self._sequence = 0
        self._reachable = False
        self._reported_lost = False
        self._call_failed = False
        self._answered_at = time.monotonic()
        self._gang_added = asyncio.Event()
        if former is not None:
            self._take_over(former)

    @property
    def silent_seconds(self) -> float:
        """For how long the worker has not answered."""
        return time.monotonic() - self._answered_at

    def mark_unreachable(self) -> None:
        """Report the worker as unreachable until it answers again."""
        if self._reachable:
            self._report_lost()

    def start_renewing(self, job_id: str, attempt: int) -> None:
        """Include a gang in lease renewals, starting at once.

        It belongs to the incarnation that reserved it, or else to the one that last answered
        `list`, and is lost when the worker answers as another one.
        """
        key = (job_id, attempt)
        self._gangs[key] = self._reserved.pop(key, self._incarnation)
        self._gang_added.set()

    def stop_renewing(self, job_id: str, attempt: int) -> None:
        """Exclude a gang from lease renewals."""
        self._gangs.pop((job_id, attempt), None)
        self._reserved.pop((job_id, attempt), None)

    async def command(self, name: str, request: Any) -> str:
        """Send a command and return the reason of its refusal, empty if it was executed.

        A start is only for the incarnation of the worker that reserved its gang.

        Args:
            name: Name of the method.
            request: The request message.

        Raises:
            StaleEpochError: If the worker has seen a later owner.
            WorkerUnreachableError: If it did not answer.
        """
        if isinstance(request, StartRequest):
            incarnation = self._reserved.get((request.job_id, request.attempt), "")
            request = msgspec.structs.replace(request, incarnation=incarnation)
        reply = await self._call(name, request, COMMAND_TIMEOUT_SECONDS)
        if isinstance(request, ReserveRequest) and not reply.refusal:
            # The first reservation of a gang decides: a restart loses it before later ones.
            key = (request.job_id, request.attempt)
            self._reserved.setdefault(key, reply.incarnation)
        return reply.refusal

    async def list(self) -> ListReply:
        """Return all tasks and reservations on the worker and raise its epoch.

        Raises:
            StaleEpochError: If the worker has seen a later owner.
            WorkerUnreachableError: If it did not answer.
        """
        # The sequence of the reply is not adopted, because events after the last sync have yet to
        # be reported.
        request = ListRequest(epoch=self._epoch)
        reply = await self._call("List", request, COMMAND_TIMEOUT_SECONDS)
        self._adopt_incarnation(reply.incarnation)
        return reply

    async def retained_events(self) -> list[WorkerEvent]:
        """Return all events that the worker still keeps, including those already reported.

        Raises:
            StaleEpochError: If the worker has seen a later owner.
            WorkerUnreachableError: If it did not answer.
        """
        request = SyncRequest(
            epoch=self._epoch,
            lease_seconds=self._leases.lease_seconds,
            gangs=[],
            after_sequence=0,
            wait_seconds=0.0,
        )
        return (await self._call("Sync", request, COMMAND_TIMEOUT_SECONDS)).events

    async def run(self) -> None:
        """Renew leases and report events until cancelled or until the worker refuses the epoch."""
        try:
            while True:
                await self._sync()
        except StaleEpochError:
            self._post(EpochSuperseded(epoch=self._epoch))
        finally:
            self._client.close()

    def _take_over(self, former: WorkerLink) -> None:
        self._gangs = dict(former._gangs)
        self._reserved = dict(former._reserved)
        self._incarnation = former._incarnation
        self._sequence = former._sequence

    async def _sync(self) -> None:
        if self._call_failed and not await self._resume():
            return
        wait = self._leases.idle_seconds
        if self._gangs:
            # The timeout of the call equals the renewal interval, so that a worker that does not
            # answer is detected in time to stop the other members of its gangs within the first
            # lease.
            wait = max(0.0, self._leases.renew_seconds - COMMAND_TIMEOUT_SECONDS)
        gangs = dict(self._gangs)
        if any(incarnation != self._incarnation for incarnation in gangs.values()):
            # A gang of another incarnation is lost, or this link has yet to learn of a restart.
            wait = 0.0
        request = SyncRequest(
            epoch=self._epoch,
            lease_seconds=self._leases.lease_seconds,
            gangs=[GangRef(job_id=job_id, attempt=attempt) for job_id, attempt in gangs],
            after_sequence=self._sequence,
            wait_seconds=wait if self._reachable else 0.0,
            incarnation=self._incarnation,
        )
        self._gang_added.clear()
        call = asyncio.ensure_future(self._call("Sync", request, wait + COMMAND_TIMEOUT_SECONDS))
        wake = asyncio.ensure_future(self._gang_added.wait())
        try:
            await asyncio.wait({call, wake}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                # A gang was added. Its lease must be renewed before the long poll would end.
                return
            reply = call.result()
        except WorkerUnreachableError as error:
            self._on_call_failure(error)
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return
        finally:
            call.cancel()
            wake.cancel()
        self._on_reply(reply, gangs)
        if reply.refusal:
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _resume(self) -> bool:
        """Check after a failed call whether the worker answers and still has its gangs.

        A worker that restarted has lost its gangs and reports no events for them, so it is
        reported as lost even if it was unreachable only for a moment.

        Returns:
            Whether the worker answered.
        """
        gangs = set(self._gangs)
        try:
            # List tasks before events: a task that ends in between is then among the events.
            reply = await self.list()
            events = await self.retained_events()
        except WorkerUnreachableError as error:
            self._on_call_failure(error)
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return False
        self._call_failed = False
        known = {(one.job_id, one.attempt) for one in (*events, *reply.tasks)}
        self._report_lost_gangs(gangs & self._gangs.keys() - known)
        return True

    def _report_lost_gangs(self, lost: set[tuple[str, int]]) -> None:
        """Report the worker as lost if gangs ended with a former incarnation."""
        if not lost:
            return
        log("worker_restarted", worker=self.worker, gangs=len(lost))
        for key in lost:
            del self._gangs[key]
        self._sequence = 0
        self._report_lost()

    def _report_lost(self) -> None:
        self._reachable = False
        self._reported_lost = True
        self._post(WorkerUnreachable(worker=self.worker, silent_seconds=self.silent_seconds))

    def _adopt_incarnation(self, incarnation: str) -> None:
        """Note the worker's incarnation; the numbers of its events start anew with each."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._sequence = 0

    def _on_reply(self, reply: SyncReply, gangs: Mapping[tuple[str, int], str]) -> None:
        self._answered_at = time.monotonic()
        self._adopt_incarnation(reply.incarnation)
        others = {key for key, incarnation in gangs.items() if incarnation != reply.incarnation}
        self._report_lost_gangs(others & self._gangs.keys())
        if reply.refusal:
            return
        if not self._reachable:
            self._reachable = True
            self._reported_lost = False
            self._post(WorkerReachable(worker=self.worker))
        self._sequence = max(self._sequence, reply.sequence)
        if reply.events or reply.usage:
            self._post(
                WorkerReport(
                    worker=self.worker, events=tuple(reply.events), usage=tuple(reply.usage)
                )
            )

    def _on_call_failure(self, error: WorkerUnreachableError) -> None:
        self._call_failed = True
        if not self._reported_lost and self.silent_seconds > LOST_AFTER_SECONDS:
            log("worker_unreachable", worker=self.worker, reason=str(error))
            self._report_lost()

    async def _call(self, name: str, request: Any, timeout: float) -> Any:
        try:
            reply = await self._client.call(name, request, timeout=timeout)
        except RemoteError as error:
            raise WorkerUnreachableError(
                worker=self.worker, reason=str(error), is_unsent=error.is_unsent
            ) from error
        self._answered_at = time.monotonic()
        if reply.refusal == "stale_epoch":
            raise StaleEpochError
        return reply
