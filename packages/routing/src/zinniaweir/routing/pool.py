"""Pool of the upstreams of one service, with their slots and waiting requests."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from zinniaweir.routing.budget import Budget
from zinniaweir.routing.choice import CHOICES
from zinniaweir.routing.health import Health
from zinniaweir.routing.latency import Latencies
from zinniaweir.routing.upstream_state import Slot, UpstreamState
from zinniaweir.routing.waiting import Waiter, WaitingList

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from zinniaweir.routing.policy import RoutingPolicy
    from zinniaweir.routing.table import ServiceEntry, Upstream
    from zinniaweir.telemetry.counters import Counters

DEFAULT_LATENCY_SECONDS: Final = 0.02
"""Assumed latency of a job name with too few answers."""
MAX_SKIPPED_WAITERS: Final = 16
"""Number of waiters that get no slot after which a pass ends; bounds the work of each pass."""


class Pool:
    """Assign slots of the upstreams of one service to requests.

    Args:
        entry: The service, as in the settings.
        failure_domain: Failure domain of this process.
        policy: Limits and durations.
        counters: Counts ejections and failed probes.
        random: Source of the jitter and of random choices.
        retire: Called with an upstream that was removed, so that its connections are closed.
    """

    def __init__(
        self,
        *,
        entry: ServiceEntry,
        failure_domain: str,
        policy: RoutingPolicy,
        counters: Counters,
        random: Random,
        retire: Callable[[Upstream], None],
    ) -> None:
        self.name = entry.name
        """Name of the service."""
        self.latencies = Latencies()
        """Recent latencies by job name."""
        self.health = Health(
            latencies=self.latencies, policy=policy, counters=counters, random=random
        )
        """Records of answers and failures, which decide on ejections."""
        self.retries = Budget(share=policy.retry_share, reserve=policy.retry_reserve)
        """Budget of retries after attempts that may have run."""
        self.hedges = Budget(share=policy.hedge_share, reserve=policy.hedge_reserve)
        """Budget of hedges."""
        self._failure_domain = failure_domain
        self._policy = policy
        self._random = random
        self._retire = retire
        self._entry = entry
        self._failure_domains_out: frozenset[str] = frozenset()
        self._states: dict[str, UpstreamState] = {}
        self._waiting = WaitingList(limit=policy.max_waiting)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that are waiting for a slot."""
        return len(self._waiting)

    @property
    def states(self) -> list[UpstreamState]:
        """All upstreams in the settings."""
        return list(self._states.values())

    def update(self, entry: ServiceEntry, *, failure_domains_out: frozenset[str]) -> None:
        """Apply new settings; attempts in flight at removed upstreams run to completion."""
        self._entry = entry
        self._failure_domains_out = failure_domains_out
        old = self._states
        self._states = {}
        for upstream in entry.upstreams:
            state = old.pop(upstream.name, None)
            if state is not None and state.upstream != upstream:
                self._remove(state)
                state = None
            self._states[upstream.name] = state or self._new_state(upstream)
            self._states[upstream.name].set_slots(self._slots())
        for state in old.values():
            self._remove(state)
        self.health.set_upstreams(self.states, crossing_cost=entry.crossing_cost)
        self.dispatch_waiting()

    def set_leaving(self, names: frozenset[str]) -> None:
        """Mark exactly these upstreams as leaving."""
        for name, state in self._states.items():
            state.is_listed_leaving = name in names
        self.dispatch_waiting()

    async def acquire(self, waiter: Waiter, *, timeout: float) -> Slot | str:
        """Wait for a slot and return it, or the reason of a refusal.

        Args:
            waiter: The request.
            timeout: Maximum wait in seconds.
        """
        if not self._can_serve(_now()):
            return "no_upstream"
        if not self._waiting.has_ahead(waiter.priority):
            slot = self._try_acquire(waiter)
            if slot is not None:
                return slot
        if not self._waiting.add(waiter):
            return "queue_full"
        # Sets the timer as well: the first waiter may need a backoff or an ejection to end.
        self.dispatch_waiting()
        try:
            await asyncio.wait({waiter.future}, timeout=timeout)
        except asyncio.CancelledError:
            self._handle_cancellation(waiter)
            raise
        if not waiter.future.done():
            self._waiting.remove(waiter)
            return "deadline"
        return waiter.future.result()

    def try_acquire_other(self, waiter: Waiter) -> Slot | None:
        """Return a free slot of an untried upstream, or None if there is none or requests wait."""
        if len(self._waiting):
            return None
        state = self._choose(waiter, _now(), is_hedge=True)
        return None if state is None else state.acquire()

    def release(self, slot: Slot) -> None:
        """Free a slot and assign free slots to waiting requests."""
        slot.state.release(slot)
        if slot.state.is_removed:
            # An attempt that started during the removal may have opened a new connection.
            self._retire(slot.state.upstream)
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Assign free slots to waiting requests, highest priority first.

        Without a usable upstream all waiting requests are refused with `no_upstream`.
        """
        skipped = 0
        now = _now()
        can_serve = self._can_serve(now)
        for waiter in self._waiting:
            if can_serve and not self._has_free_slot(now):
                break
            slot = self._try_acquire(waiter) if can_serve else None
            if can_serve and slot is None:
                skipped += 1
                if skipped >= MAX_SKIPPED_WAITERS:
                    break
                continue
            self._waiting.remove(waiter)
            if waiter.future.done():
                if slot is not None:
                    slot.state.release(slot)
            else:
                waiter.future.set_result(slot if slot is not None else "no_upstream")
        self._set_timer(now)

    def describe(self, state: UpstreamState) -> str:
        """Return the state of an upstream: `in`, `out`, `leaving` or `ejected`."""
        if state.upstream.failure_domain in self._failure_domains_out:
            return "out"
        if state.is_leaving(_now()):
            return "leaving"
        return "ejected" if state.is_ejected else "in"

    def close(self) -> None:
        """Refuse waiting requests; attempts in flight run to completion."""
        self.update(replace(self._entry, upstreams=()), failure_domains_out=frozenset())

    def _new_state(self, upstream: Upstream) -> UpstreamState:
        return UpstreamState(
            upstream=upstream,
            slots=self._slots(),
            is_local=upstream.failure_domain == self._failure_domain,
        )

    def _slots(self) -> int:
        return min(self._entry.slots, self._entry.connections)

    def _remove(self, state: UpstreamState) -> None:
        state.is_removed = True
        self._retire(state.upstream)

    def _is_usable(self, state: UpstreamState, now: float) -> bool:
        return (
            state.upstream.failure_domain not in self._failure_domains_out
            and not state.is_leaving(now)
        )

    def _has_free_slot(self, now: float) -> bool:
        return any(
            state.has_free_slot(now) and self._is_usable(state, now)
            for state in self._states.values()
        )

    def _can_serve(self, now: float) -> bool:
        return any(self._is_usable(state, now) for state in self._states.values())

    def _try_acquire(self, waiter: Waiter) -> Slot | None:
        state = self._choose(waiter, _now(), is_hedge=False)
        return None if state is None else state.acquire()

    def _choose(self, waiter: Waiter, now: float, *, is_hedge: bool) -> UpstreamState | None:
        usable = [state for state in self._states.values() if self._is_usable(state, now)]
        untried = [state for state in usable if state.upstream.name not in waiter.tried_upstreams]
        # A tried upstream is used again only if every untried one is ejected.
        if any(not state.is_ejected for state in untried) or is_hedge:
            usable = untried
        free = [state for state in usable if state.has_free_slot(now)]
        healthy = [state for state in free if not state.is_ejected]
        # A probe may fail after the request was sent. Idempotent requests are therefore the first
        # choice for probes; others probe only when no healthy upstream has a free slot.
        probes = [state for state in free if state.is_ejected]
        if probes and (waiter.idempotent or not healthy) and not is_hedge:
            return self._random.choice(probes)
        if not healthy:
            return None
        typical_latency = self.latencies.quantile(waiter.name, 0.5) or DEFAULT_LATENCY_SECONDS
        choose = CHOICES[self._policy.choice]
        return choose(healthy, self._entry.crossing_cost, typical_latency, self._random)

    def _handle_cancellation(self, waiter: Waiter) -> None:
        self._waiting.remove(waiter)
        if waiter.future.done() and not isinstance(waiter.future.result(), str):
            self.release(waiter.future.result())
        waiter.future.cancel()

    def _set_timer(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not len(self._waiting):
            return
        times = [
            moment
            for state in self._states.values()
            for moment in (state.busy_until, state.ejected_until, state.leaving_until)
            if moment > now
        ]
        if times:
            self._timer = asyncio.get_running_loop().call_at(min(times), self.dispatch_waiting)


def _now() -> float:
    return asyncio.get_running_loop().time()
