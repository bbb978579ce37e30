"""The upstreams of one service: their slots and the requests that wait for them."""

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
"""Assumed latency in seconds until a job name has been measured."""
MAX_SKIPPED_WAITERS: Final = 16
"""Waiters that are looked at after one that no free upstream suits, which bounds the work."""


class Pool:
    """Hand out slots of the upstreams of one service."""

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
        """Latencies by job name."""
        self.health = Health(
            latencies=self.latencies, policy=policy, counters=counters, random=random
        )
        """What the answers prove about the upstreams."""
        self.retries = Budget(share=policy.retry_share, reserve=policy.retry_reserve)
        """Budget of retries that may run a request again."""
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
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @property
    def states(self) -> list[UpstreamState]:
        """All upstreams that the settings list."""
        return list(self._states.values())

    def update(self, entry: ServiceEntry, *, failure_domains_out: frozenset[str]) -> None:
        """Apply new settings; tries in flight at removed upstreams run to their end."""
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
        """Apply the names of the upstreams that the VM list calls leaving."""
        for name, state in self._states.items():
            state.is_listed_leaving = name in names
        self.dispatch_waiting()

    async def acquire(self, waiter: Waiter, *, timeout: float) -> Slot | str:
        """Return a slot of an upstream, or the reason why there is none.

        Args:
            waiter: The request.
            timeout: Longest wait in seconds.
        """
        if not self._can_serve(_now()):
            return "no_upstream"
        if not self._waiting.has_ahead(waiter.priority):
            slot = self._try_acquire(waiter)
            if slot is not None:
                return slot
        if not self._waiting.add(waiter):
            return "queue_full"
        # The first in line may have to wait for a time and not for a slot.
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
        """Return a slot of an untried upstream, unless a request would have to wait for it."""
        if len(self._waiting):
            return None
        state = self._choose(waiter, _now(), is_hedge=True)
        return None if state is None else state.acquire()

    def release(self, slot: Slot) -> None:
        """Free a slot and let the next request have it."""
        slot.state.release(slot)
        if slot.state.is_removed:
            # A try that began with the removal may have opened a new connection.
            self._retire(slot.state.upstream)
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Give free slots to waiting requests, highest priority first."""
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
        """Return whether an upstream is `in`, `out`, `leaving` or `ejected`."""
        if state.upstream.failure_domain in self._failure_domains_out:
            return "out"
        if state.is_leaving(_now()):
            return "leaving"
        return "ejected" if state.is_ejected else "in"

    def close(self) -> None:
        """Refuse what waits; tries in flight run to their end."""
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
        # An upstream that failed this request is used again only if there is no other.
        if any(not state.is_ejected for state in untried) or is_hedge:
            usable = untried
        free = [state for state in usable if state.has_free_slot(now)]
        healthy = [state for state in free if not state.is_ejected]
        # A probe may fail after bytes were sent: idempotent requests probe first, the others only
        # when nothing else is free.
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
