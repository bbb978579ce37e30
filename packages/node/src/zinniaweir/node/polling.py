"""Polls of the workers by the VM that owns scheduling."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, Protocol

from zinniaweir.dispatch.dispatcher import Dispatcher
from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.messages import Listing
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.node.boottime import boottime
from zinniaweir.node.claim_policy import RENEWAL_INTERVAL_SECONDS
from zinniaweir.node.poll_schedule import PollClass, PollSchedule, ThrottleReason, Turn
from zinniaweir.node.ports import OtherLifeError, StaleEpochError, WorkerCallError, WorkerClient
from zinniaweir.node.recorder import Recorder
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log

BUSY_POLL_WAIT_SECONDS: Final = 0.7
"""How long a poll of a worker with tasks waits for an end.

Two polls without an answer fit into the lease of a start.
"""
IDLE_POLL_WAIT_SECONDS: Final = 1.2
"""How long a poll of an idle worker waits; shorter than the silence that excludes a worker."""
POLL_RETRY_DELAY_SECONDS: Final = 0.1
UNACKNOWLEDGED_DELAY_SECONDS: Final = 0.05
"""Delay between polls while ends are not yet on the log.

The worker lists unacknowledged ends again at once, without waiting for a new one.
"""
OUTAGE_DELAY_SECONDS: Final = 0.4
"""Delay between polls while ends are not yet on the log and the log answers slowly.

It does so if an append takes longer than this.
"""
INVALID_ROWS_DELAY_SECONDS: Final = 0.4
"""Delay between polls of a worker whose list has rows that cannot be read."""
FAULT_DELAY_SECONDS: Final = 0.5
"""Delay after an unexpected error before the failed action is tried again."""
MAX_SILENCE_FOR_RENEWAL_SECONDS: Final = 1.5
"""Maximum silence after which a poll still renews the lease of a worker.

Without a renewal, the time at which the worker's lease ends is known.
"""

PACED_BUSY_WAIT_SECONDS: Final = 1.4
"""How long a poll of a worker with tasks waits in a large fleet.

With its time-out and two more polls without an answer it fits into a lease of 6 s.
"""
PACED_BUSY_INTERVAL_SECONDS: Final = 0.5
"""Minimum interval between polls of a worker with tasks if too few connections are left to wait."""
PACED_IDLE_INTERVAL_SECONDS: Final = 1.6
"""Minimum interval between polls of an idle worker in a large fleet.

Shorter than the silence that excludes a worker, so it stays usable if the rate allows.
"""
PACED_BUSY_SILENCE_SECONDS: Final = 4.0
"""`MAX_SILENCE_FOR_RENEWAL_SECONDS` of a worker with tasks in a large fleet.

There, a worker is silent also because it was not polled.
"""
PACED_IDLE_SILENCE_SECONDS: Final = 20.0
"""`MAX_SILENCE_FOR_RENEWAL_SECONDS` of an idle worker in a large fleet.

No task waits for its lease. In this time the bound on its clock, from which the lease counts, lags
by 0.4 s.
"""
FRESH_SECONDS: Final = 0.5
"""A worker that answered this recently is not polled again before a start."""
RENEWAL_DUE_SECONDS: Final = 2.4
"""Age of a confirmed lease from which on a worker with tasks is polled urgently."""
PACED_RETRY_DELAY_SECONDS: Final = 0.4
"""Maximum delay between polls of a silent worker with tasks in a large fleet."""
PACED_IDLE_RETRY_DELAY_SECONDS: Final = 3.2
"""The same of an idle worker, to which each poll opens a new connection."""
PACE_SECONDS: Final = 0.02
"""Interval at which turns are given."""
CLASSIFY_SECONDS: Final = 0.2
"""Interval at which waiting polls are classified anew; a worker may have got tasks since."""
THROTTLE_LOG_SECONDS: Final = 10.0
"""Minimum interval between log lines on throttled polls."""
MAX_ASKS: Final = 48
"""Number of polls in flight that ask which incarnation answers at a newly listed address."""
DEFAULT_WORKER_CONNECTIONS: Final = 4_096
"""Number of connections to workers if the process does not state its limit."""


class OwnerTasks(Protocol):
    """What polls need from the owner that they serve."""

    @property
    def epoch(self) -> int:
        """The owner's fencing token."""

    @property
    def releasing(self) -> bool:
        """Whether the ownership is being released, so that no lease is renewed."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work that ends with the ownership."""

    def wake(self) -> None:
        """Trigger planning after a change."""

    def on_fenced(self, worker: Worker) -> None:
        """End the ownership, since a worker knows a newer owner."""

    def report_fault(self, error: BaseException, **context: str) -> None:
        """Report an unexpected error."""


class WorkerPolling:
    """Poll the workers of an owner for their runs, and renew their leases.

    In a small fleet a poll waits at each worker all the time. In a large one polls wait for their
    turn, and those of idle workers do not wait at the worker.

    Args:
        owner: The owner.
        dispatcher: The scheduling state, which takes the answers.
        workers: Client for calls to workers.
        recorder: Tells until when the ownership is confirmed.
        time_limits: Durations that limit leases.
        counters: Receives counts of failures.
        max_connections: Maximum number of connections to workers.
    """

    def __init__(
        self,
        *,
        owner: OwnerTasks,
        dispatcher: Dispatcher,
        workers: WorkerClient,
        recorder: Recorder,
        time_limits: TimeLimits,
        counters: Counters,
        max_connections: int,
    ) -> None:
        self._owner = owner
        self._dispatcher = dispatcher
        self._workers = workers
        self._recorder = recorder
        self._time_limits = time_limits
        self._counters = counters
        self._schedule: PollSchedule[Worker] = PollSchedule(max_in_flight=max_connections)
        self._turns: dict[Worker, asyncio.Future[Turn[Worker]]] = {}
        self._pacing: asyncio.Task[None] | None = None
        self._logged_at = float("-inf")
        self._polled: dict[str, Worker] = {}
        self._asked: dict[str, Worker] = {}
        """Workers that are asked which incarnation answers at a newly listed address."""
        self._asks = asyncio.Semaphore(MAX_ASKS)

    @property
    def paced(self) -> bool:
        """Whether the fleet is large, so that polls wait for their turn."""
        return self._schedule.paced

    def update(self) -> None:
        """Begin to poll the workers that are new."""
        fleet = self._dispatcher.fleet
        self._schedule.resize(len(fleet))
        if self.paced and (self._pacing is None or self._pacing.done()):
            self._pacing = self._owner.spawn(self._keep_pacing())
        new = [worker for worker in fleet if self._polled.get(worker.name) is not worker]
        if self.paced:
            # Gangs are placed within a rack, so its workers are polled one after the other.
            new.sort(key=lambda worker: (worker.idle, worker.entry.rack))
        for worker in new:
            self._polled[worker.name] = worker
            self._owner.spawn(self._keep_polling(worker))
        for worker in fleet:
            if worker.announced is not None and self._asked.get(worker.name) is not worker:
                self._asked[worker.name] = worker
                self._owner.spawn(self._try_asking(worker))

    def hasten(self, name: str) -> None:
        """Poll a worker of a large fleet at once, since a start is about to be sent to it.

        Its last answer may be too old by the time that the placement is recorded.

        Args:
            name: Name of the worker.
        """
        worker = self._dispatcher.fleet.get(name)
        now = boottime()
        if worker in self._turns and now - worker.answered_at > FRESH_SECONDS:
            self._schedule.request(worker, PollClass.URGENT, due_at=now)

    async def _keep_pacing(self) -> None:
        """Give polls their turns while the fleet is large."""
        log("polls_paced", epoch=self._owner.epoch, workers=len(self._dispatcher.fleet))
        classified_at = float("-inf")
        expected_at = boottime() + PACE_SECONDS
        while self.paced:
            await asyncio.sleep(PACE_SECONDS)
            now = boottime()
            self._schedule.observe_delay(max(now - expected_at, 0.0), now=now)
            expected_at = now + PACE_SECONDS
            if now - classified_at >= CLASSIFY_SECONDS:
                classified_at = now
                self._classify(now)
                self._report_throttling(now)
            while (turn := self._schedule.next_turn(now)) is not None:
                future = self._turns.pop(turn.key, None)
                if future is None or future.done():
                    self._schedule.finish(turn.key)
                else:
                    future.set_result(turn)
        for worker, future in self._turns.items():
            self._schedule.withdraw(worker)
            if not future.done():
                future.set_result(
                    Turn(key=worker, poll_class=PollClass.BUSY, may_wait=not worker.idle)
                )
        self._turns.clear()

    def _classify(self, now: float) -> None:
        for worker in self._turns:
            requested = self._schedule.requested_class(worker)
            if requested is not None and requested is not PollClass.URGENT and not worker.idle:
                poll_class = self._class_of(worker, now)
                if poll_class is not requested and not worker.unanswered:
                    self._schedule.request(worker, poll_class, due_at=now)

    def _class_of(self, worker: Worker, now: float) -> PollClass:
        if worker.idle:
            return PollClass.IDLE
        if worker.unanswered:
            return PollClass.BUSY
        renewed_at = worker.lease_confirmed_at
        return PollClass.URGENT if now - renewed_at > RENEWAL_DUE_SECONDS else PollClass.BUSY

    def _report_throttling(self, now: float) -> None:
        throttled = self._schedule.throttled
        if not any(throttled.values()) or now - self._logged_at < THROTTLE_LOG_SECONDS:
            return
        self._logged_at = now
        log(
            "polls_throttled",
            epoch=self._owner.epoch,
            workers=len(self._dispatcher.fleet),
            rate=round(self._schedule.rate),
            in_flight=self._schedule.in_flight,
            waiting=len(self._turns),
            late=throttled[ThrottleReason.RATE],
            without_wait=throttled[ThrottleReason.CONNECTIONS],
        )
        for reason, count in throttled.items():
            if count:
                self._counters.add("throttled_polls", reason=reason, amount=count)
            throttled[reason] = 0

    async def _wait_for_turn(self, worker: Worker, *, due_at: float) -> Turn[Worker] | None:
        """Wait until a worker may be polled; returns None at once in a small fleet."""
        if not self.paced:
            return None
        future: asyncio.Future[Turn[Worker]] = asyncio.get_running_loop().create_future()
        self._turns[worker] = future
        self._schedule.request(worker, self._class_of(worker, boottime()), due_at=due_at)
        try:
            return await future
        finally:
            if self._turns.get(worker) is future:
                del self._turns[worker]
            self._schedule.withdraw(worker)

    async def _keep_polling(self, worker: Worker) -> None:
        """Poll a worker; after an unexpected error it counts as silent, and is asked again."""
        while self._dispatcher.fleet.get(worker.name) is worker:
            poll_sent_at = boottime()
            try:
                await self._poll_worker(worker)
                return
            except Exception as error:
                self._owner.report_fault(error, action="poll", worker=worker.name)
                self._dispatcher.handle_unanswered_poll(worker, poll_sent_at=poll_sent_at)
                await asyncio.sleep(FAULT_DELAY_SECONDS)
            finally:
                self._schedule.finish(worker)

    async def _poll_worker(self, worker: Worker) -> None:
        """Poll one incarnation of a worker until it is replaced or removed.

        A poll is answered as soon as a run ends.
        """
        failures = 0
        due_at = boottime()
        while self._dispatcher.fleet.get(worker.name) is worker:
            turn = await self._wait_for_turn(worker, due_at=due_at)
            if turn is not None and self._dispatcher.fleet.get(worker.name) is not worker:
                return
            try:
                delay = await self._poll_once(worker, turn, answered=not failures)
            except StaleEpochError:
                self._owner.on_fenced(worker)
                return
            except WorkerCallError as error:
                self._counters.add("look_failures", reason=type(error).__name__)
                failures += 1
                delay = self._retry_delay(worker, failures)
                if isinstance(error, OtherLifeError):
                    delay = max(delay, RENEWAL_INTERVAL_SECONDS)
            else:
                failures = 0
            finally:
                self._schedule.finish(worker)
            if turn is not None:
                due_at = self._next_due(worker, turn, due_at=due_at, delay=delay)
            elif delay:
                await asyncio.sleep(delay)

    async def _poll_once(
        self, worker: Worker, turn: Turn[Worker] | None, *, answered: bool
    ) -> float:
        """Poll a worker and apply its answer.

        Args:
            worker: The worker.
            turn: Permission of the schedule, None in a small fleet.
            answered: Whether the previous poll was answered.

        Returns:
            Minimum delay before the next poll in seconds.
        """
        poll_sent_at = boottime()
        # A worker that may be lost gets no longer lease, since its tasks wait for the lease's
        # end before they run elsewhere.
        lease = self._lease(worker, poll_sent_at) if answered else None
        wait = self._wait_seconds(worker, turn)
        # It gets no work before it has confirmed a lease, so that is not delayed.
        unconfirmed = lease is not None and not worker.leased(poll_sent_at)
        if worker.listed_at is None or unconfirmed or not answered or worker.more_ends:
            wait = 0.0
        # Only an incarnation that has just answered is surely the one that is meant.
        acknowledgement = worker.acknowledgement_to_send if answered else 0
        try:
            listing = await self._workers.poll(
                worker.entry,
                epoch=self._owner.epoch,
                acknowledged=acknowledgement,
                lease_until_ms=lease,
                wait_seconds=wait,
            )
        except StaleEpochError:
            raise
        except WorkerCallError:
            self._dispatcher.handle_unanswered_poll(worker, poll_sent_at=poll_sent_at)
            raise
        if not wait:
            self._schedule.observe_latency(boottime() - poll_sent_at)
        worker.discarded_end = max(worker.discarded_end, acknowledgement)
        await self._apply_listing(
            worker, listing, poll_sent_at=poll_sent_at, renewed=lease is not None
        )
        if worker.applied_end > worker.acknowledged_end:
            return self._unacknowledged_delay
        # An end without a number is never acknowledged, so no poll would wait any more.
        return INVALID_ROWS_DELAY_SECONDS if listing.invalid_rows else 0.0

    def _wait_seconds(self, worker: Worker, turn: Turn[Worker] | None) -> float:
        if turn is None:
            return BUSY_POLL_WAIT_SECONDS if worker.assignments else IDLE_POLL_WAIT_SECONDS
        return PACED_BUSY_WAIT_SECONDS if turn.may_wait else 0.0

    def _next_due(
        self, worker: Worker, turn: Turn[Worker], *, due_at: float, delay: float
    ) -> float:
        """Return when a worker of a large fleet is polled next, in seconds.

        Args:
            worker: The worker.
            turn: The turn of the poll that ended.
            due_at: When that poll was due.
            delay: Minimum delay from now on.
        """
        now = boottime()
        if delay or worker.unanswered or worker.more_ends:
            return now + delay
        if not worker.leased(now):
            # The answer told the worker's clock, on which a lease can be given now.
            return due_at
        if worker.idle:
            return now + PACED_IDLE_INTERVAL_SECONDS
        if turn.poll_class is PollClass.BUSY and not turn.may_wait:
            return now + PACED_BUSY_INTERVAL_SECONDS
        return now

    def _retry_delay(self, worker: Worker, failures: int) -> float:
        """Return the delay after polls without an answer."""
        if not self.paced:
            return POLL_RETRY_DELAY_SECONDS
        longest = PACED_IDLE_RETRY_DELAY_SECONDS if worker.idle else PACED_RETRY_DELAY_SECONDS
        return min(POLL_RETRY_DELAY_SECONDS * 2 ** min(failures - 1, 10), longest)

    async def _try_asking(self, worker: Worker) -> None:
        """Ask which incarnation of a worker runs; after an unexpected error it is asked again."""
        try:
            await self._ask_announced(worker)
        except Exception as error:
            self._owner.report_fault(error, action="ask", worker=worker.name)
            await asyncio.sleep(FAULT_DELAY_SECONDS)
            self._asked.pop(worker.name, None)

    async def _ask_announced(self, worker: Worker) -> None:
        """Ask which incarnation of a worker runs, since the platform's list shows another one.

        The poll renews and acknowledges nothing. An answer settles it: either the other incarnation
        answers and replaces the known one, or the known one has outlived the other.
        """
        dispatcher = self._dispatcher
        failures = 0
        while dispatcher.fleet.get(worker.name) is worker and worker.announced is not None:
            poll_sent_at = boottime()
            try:
                listing = await self._ask(worker)
            except StaleEpochError:
                self._owner.on_fenced(worker)
                return
            except WorkerCallError as error:
                self._counters.add("look_failures", reason=type(error).__name__)
                failures += 1
                await asyncio.sleep(self._retry_delay(worker, failures))
                continue
            if listing is not None:
                await self._apply_listing(worker, listing, poll_sent_at=poll_sent_at, renewed=False)
        if self._asked.get(worker.name) is worker:
            del self._asked[worker.name]

    async def _ask(self, worker: Worker) -> Listing | None:
        if not self.paced:
            return await self._call_ask(worker)
        async with self._asks:
            return await self._call_ask(worker)

    async def _call_ask(self, worker: Worker) -> Listing | None:
        if worker.announced is None:
            return None
        return await self._workers.poll(
            worker.announced,
            epoch=self._owner.epoch,
            acknowledged=0,
            lease_until_ms=None,
            wait_seconds=0.0,
        )

    async def _apply_listing(
        self, worker: Worker, listing: Listing, *, poll_sent_at: float, renewed: bool
    ) -> None:
        try:
            self._dispatcher.handle_listing(
                worker, listing, poll_sent_at=poll_sent_at, renewed=renewed, now=boottime()
            )
        except Exception as error:
            self._owner.report_fault(error, action="poll", worker=worker.name)
            await asyncio.sleep(FAULT_DELAY_SECONDS)
        self._owner.wake()

    @property
    def _unacknowledged_delay(self) -> float:
        log_is_slow = self._recorder.pending_seconds > OUTAGE_DELAY_SECONDS
        return OUTAGE_DELAY_SECONDS if log_is_slow else UNACKNOWLEDGED_DELAY_SECONDS

    def _lease(self, worker: Worker, now: float) -> int | None:
        """Return the lease end to send with a poll, None if the lease must not be renewed.

        The lease end is in milliseconds on the worker's clock. It counts from the lower bound of
        that clock, so a poll that is carried out late gives no longer lease than the next owner
        waits for.
        """
        if self._owner.releasing:
            return None
        if not worker.clock.known or now - worker.answered_at > self._max_silence(worker):
            return None
        if now - self._recorder.confirmed_at > self._time_limits.renewal_grace_seconds:
            return None
        until = int(worker.clock.earliest(now) + self._time_limits.lease_seconds * 1e3)
        worker.lease_until_ms = max(worker.lease_until_ms, until)
        return until

    def _max_silence(self, worker: Worker) -> float:
        if not self.paced:
            return MAX_SILENCE_FOR_RENEWAL_SECONDS
        return PACED_IDLE_SILENCE_SECONDS if worker.idle else PACED_BUSY_SILENCE_SECONDS
