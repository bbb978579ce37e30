"""Router that sends requests to upstreams, with retries and hedges."""

from __future__ import annotations

import asyncio
import random as random_module
from typing import TYPE_CHECKING, Any

from zinniaweir.routing.attempt import AttemptResult, AttemptRunner
from zinniaweir.routing.call import Call
from zinniaweir.routing.policy import RoutingPolicy
from zinniaweir.routing.pool import Pool
from zinniaweir.routing.table import ServiceTable, service_table
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.timers import Timers

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from zinniaweir.routing.request import RoutedRequest, RouteResult
    from zinniaweir.routing.transport import Transport
    from zinniaweir.routing.upstream_state import Slot


class Router:
    """Route requests to the upstreams of the current settings.

    A non-idempotent request is sent again only if it provably did not run: after a `busy`,
    `leaving` or `not_mine` answer, or if nothing was sent.

    Args:
        transport: Sends attempts to upstreams.
        failure_domain: Failure domain of this process, whose upstreams are preferred.
        policy: Limits and durations.
        counters: Counters to use; new ones if None.
        timers: Timers to use; new ones if None.
        random: Source of the jitter and of random choices.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        failure_domain: str,
        policy: RoutingPolicy | None = None,
        counters: Counters | None = None,
        timers: Timers | None = None,
        random: random_module.Random | None = None,
    ) -> None:
        self.counters = counters or Counters()
        """Counts of refusals, retries, hedges and ejections by reason."""
        self.timers = timers or Timers()
        """Durations of requests and of their waits for a slot, by priority."""
        self._transport = transport
        self._failure_domain = failure_domain
        self._policy = policy or RoutingPolicy()
        self._random = random or random_module.Random()
        self._attempt_runner = AttemptRunner(transport=transport, policy=self._policy)
        self._table = ServiceTable()
        self._pools: dict[str, Pool] = {}
        self._leaving: frozenset[str] = frozenset()
        self._in_flight = 0
        self._tasks: set[asyncio.Task[AttemptResult]] = set()
        self._detached: set[asyncio.Task[AttemptResult]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Number of requests that have no result yet."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Number of requests that are waiting for a slot."""
        return sum(pool.waiting for pool in self._pools.values())

    def upstreams(self) -> dict[str, str]:
        """Return the state of each upstream: `in`, `out`, `leaving` or `ejected`."""
        return {
            state.upstream.name: pool.describe(state)
            for pool in self._pools.values()
            for state in pool.states
        }

    def update(self, settings: Mapping[str, Any]) -> None:
        """Apply a settings tree; requests in flight continue.

        Args:
            settings: The complete settings tree.
        """
        table = service_table(settings)
        old = self._pools
        self._pools = {}
        for entry in table.services:
            pool = old.pop(entry.name, None) or Pool(
                entry=entry,
                failure_domain=self._failure_domain,
                policy=self._policy,
                counters=self.counters,
                random=self._random,
                retire=self._transport.retire,
            )
            self._pools[entry.name] = pool
            pool.update(entry, failure_domains_out=table.failure_domains_out)
            pool.set_leaving(self._leaving)
        for pool in old.values():
            pool.close()
        self._table = table

    def set_leaving(self, upstreams: Iterable[str]) -> None:
        """Mark exactly these upstreams as leaving, as the VM list reports.

        Args:
            upstreams: Names of all leaving upstreams.
        """
        self._leaving = frozenset(upstreams)
        for pool in self._pools.values():
            pool.set_leaving(self._leaving)

    async def send(self, request: RoutedRequest) -> RouteResult:
        """Send a request and return its result by its deadline.

        If the caller is cancelled, attempts of an idempotent request are cancelled; other
        attempts run to completion.
        """
        started_at = _now()
        self._in_flight += 1
        self._idle.clear()
        try:
            result = await self._send(Call(request=request, started_at=started_at))
        finally:
            self._in_flight -= 1
            self._update_idle()
        self.timers.record("route", _now() - started_at, label=request.priority)
        if result.state in ("not_run", "unknown"):
            self.counters.add(f"route_{result.state}", reason=result.reason)
        return result

    async def drain(self) -> None:
        """Wait until no request is in flight, including requests that arrive meanwhile."""
        while self._in_flight or self._detached:
            await self._idle.wait()
        # Only the losing attempts of hedged requests remain; their answers are dropped.
        for task in tuple(self._tasks):
            task.cancel()

    async def _send(self, call: Call) -> RouteResult:
        names = self._table.services_for(call.request.name)
        for name in names:
            pool = self._pools.get(name)
            if pool is None:
                continue
            result = await self._send_to_service(call, pool)
            if result is not None:
                return result
            self.counters.add("fall_through", reason=name)
        return call.unanswered_result("not_mine" if names else "no_service")

    async def _send_to_service(self, call: Call, pool: Pool) -> RouteResult | None:
        """Return the result from one service, or None if the service answers `not_mine`."""
        pool.retries.earn()
        if call.request.idempotent:
            pool.hedges.earn()
        while True:
            slot = await self._wait_for_slot(call, pool)
            if isinstance(slot, str):
                return call.unanswered_result(slot)
            if call.remaining() < self._policy.min_attempt_seconds:
                pool.release(slot)
                return call.unanswered_result("deadline")
            attempt = await self._run_attempt(call, pool, slot)
            if attempt.outcome == "not_mine":
                return None
            result = call.final_result(attempt) or self._check_retry(call, pool, attempt)
            if result is not None:
                return result
            await self._back_off(call, attempt)

    async def _wait_for_slot(self, call: Call, pool: Pool) -> Slot | str:
        started_at = _now()
        slot = await pool.acquire(call.new_waiter(), timeout=call.remaining())
        self.timers.record("route_wait", _now() - started_at, label=call.request.priority)
        return slot

    def _check_retry(self, call: Call, pool: Pool, attempt: AttemptResult) -> RouteResult | None:
        """Return the result if the request is not sent again, otherwise None."""
        if attempt.outcome in ("busy", "leaving"):
            self.counters.add("retries", reason=attempt.outcome)
            return None
        if attempt.outcome != "lost":
            call.record_failure(attempt)
        elif not call.request.idempotent:
            return call.unanswered_result(attempt.reason)
        if call.remaining() < self._policy.min_attempt_seconds:
            return call.unanswered_result("deadline")
        if call.failures >= self._policy.max_failed_attempts:
            self.counters.add("retry_refusals", reason="tries")
            return call.unanswered_result(attempt.reason)
        # An attempt at an unreachable upstream adds no load, so its retry needs no budget.
        if attempt.outcome == "lost" and not pool.retries.spend():
            self.counters.add("retry_refusals", reason="budget")
            return call.unanswered_result(attempt.reason)
        self.counters.add("retries", reason=attempt.reason)
        return None

    async def _back_off(self, call: Call, attempt: AttemptResult) -> None:
        # A busy upstream has its own backoff, and a leaving one gets no further attempt.
        if attempt.outcome in ("busy", "leaving"):
            return
        delay = min(
            self._policy.max_backoff, self._policy.initial_backoff * 2 ** (call.failures - 1)
        )
        await asyncio.sleep(min(call.remaining(), delay * self._random.random()))

    async def _run_attempt(self, call: Call, pool: Pool, slot: Slot) -> AttemptResult:
        first = self._start_attempt(call, pool, slot)
        running = {first}
        try:
            delay = self._hedge_delay(call, pool)
            if delay is not None:
                await asyncio.wait(running, timeout=delay)
                if not first.done():
                    self._start_hedge(call, pool, slot, running)
            return await _first_answer(call, running)
        except asyncio.CancelledError:
            self._handle_cancellation(call, running)
            raise

    def _start_hedge(
        self,
        call: Call,
        pool: Pool,
        slot: Slot,
        running: set[asyncio.Task[AttemptResult]],
    ) -> None:
        call.tried_upstreams.add(slot.state.upstream.name)
        if not pool.hedges.spend():
            self.counters.add("hedge_refusals", reason="budget")
            return
        hedge_slot = pool.try_acquire_other(call.new_waiter())
        if hedge_slot is None:
            pool.hedges.refund()
            self.counters.add("hedge_refusals", reason="no_slot")
            return
        self.counters.add("hedges", reason="slow")
        running.add(self._start_attempt(call, pool, hedge_slot))

    def _hedge_delay(self, call: Call, pool: Pool) -> float | None:
        if not call.request.idempotent:
            return None
        latency = pool.latencies.quantile(call.request.name, self._policy.hedge_quantile)
        return None if latency is None else max(latency, self._policy.min_hedge_delay)

    def _start_attempt(self, call: Call, pool: Pool, slot: Slot) -> asyncio.Task[AttemptResult]:
        call.attempts += 1
        coroutine = self._attempt_runner.run(
            pool, slot, call.request, timeout=max(0.0, call.remaining())
        )
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # A callback, because a task that is cancelled before its first step runs no `finally`.
        task.add_done_callback(lambda _: pool.release(slot))
        return task

    def _handle_cancellation(self, call: Call, running: set[asyncio.Task[AttemptResult]]) -> None:
        for task in running:
            if call.request.idempotent:
                task.cancel()
            elif not task.done():
                self._detached.add(task)
                task.add_done_callback(self._discard_detached)

    def _discard_detached(self, task: asyncio.Task[AttemptResult]) -> None:
        self._detached.discard(task)
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._in_flight and not self._detached:
            self._idle.set()


async def _first_answer(call: Call, running: set[asyncio.Task[AttemptResult]]) -> AttemptResult:
    """Return the first `done` or `failed` result, or else a result of the last attempts to end.

    The attempt that loses keeps its slot until it ends, because its upstream may still be working
    on it; its answer is dropped. Every lost attempt counts, whatever the others answer.
    """
    lost: list[AttemptResult] = []
    while True:
        done, pending = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        results = [task.result() for task in done]
        running.intersection_update(pending)
        for result in results:
            if result.outcome == "lost":
                call.record_failure(result)
                lost.append(result)
        for result in results:
            if result.outcome in ("done", "failed"):
                return result
        if not pending:
            return (lost or results)[-1]


def _now() -> float:
    return asyncio.get_running_loop().time()
