"""Health of the upstreams of one service, and the ejection of outliers."""

from __future__ import annotations

import asyncio
from statistics import median
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from zinniaweir.routing.latency import Latencies
    from zinniaweir.routing.policy import RoutingPolicy
    from zinniaweir.routing.upstream_state import Slot, UpstreamState
    from zinniaweir.telemetry.counters import Counters

FAILURE_SMOOTHING: Final = 0.05
"""Weight of the newest answer in the moving average of the share of failed requests."""
BASELINE_QUANTILE: Final = 0.25
"""Quantile of the latencies of a job name that serves as the baseline. The median would not do: a
slow upstream may serve half of the requests and make its own latency the median."""
WIDESPREAD_FAILURE_SHARE: Final = 0.5
"""Share of failed requests from which on they don't count as failures of their upstreams."""


class Health:
    """Record answers and failures of the upstreams of one service and eject outliers."""

    def __init__(
        self, *, latencies: Latencies, policy: RoutingPolicy, counters: Counters, random: Random
    ) -> None:
        self._latencies = latencies
        self._policy = policy
        self._counters = counters
        self._random = random
        self._states: Sequence[UpstreamState] = ()
        self._crossing_cost = 0.0
        self._failed_share = 0.0

    def set_upstreams(self, states: Sequence[UpstreamState], *, crossing_cost: float) -> None:
        """Set the upstreams that are compared with one another.

        Args:
            states: All upstreams in the settings.
            crossing_cost: Extra latency in seconds that an answer from another failure domain may
                have.
        """
        self._states = states
        self._crossing_cost = crossing_cost

    def record_busy(self, slot: Slot) -> None:
        """Record a `busy` answer."""
        slot.state.record_busy(now=_now(), policy=self._policy, random=self._random)

    def record_leaving(self, slot: Slot) -> None:
        """Record a `leaving` answer."""
        slot.state.leaving_until = _now() + self._policy.leaving_seconds

    def record_not_mine(self, slot: Slot) -> None:
        """Record a `not_mine` answer: the request belongs to another service."""
        slot.state.record_answer(slot)

    def record_success(self, slot: Slot, *, name: str, seconds: float) -> None:
        """Record a `done` answer and its latency in seconds.

        The answer to a probe counts as a failure if it is too slow.
        """
        state = slot.state
        self._failed_share *= 1 - FAILURE_SMOOTHING
        ratio = self._latency_ratio(state, name, seconds)
        if slot.is_probe and ratio > self._latency_ratio_limit():
            self.record_failure(slot, reason="slow")
            return
        self._latencies.record(name, seconds)
        state.record_answer(slot)
        state.record_latency_ratio(ratio)
        self._eject_if_slow(state)

    def record_request_failure(self, slot: Slot) -> None:
        """Record a `failed` answer.

        It counts as a failure of the upstream only while most requests of the service succeed;
        otherwise the requests are probably at fault.
        """
        self._failed_share += FAILURE_SMOOTHING * (1 - self._failed_share)
        if self._failed_share < WIDESPREAD_FAILURE_SHARE:
            self.record_failure(slot, reason="request_failed")
        else:
            slot.state.record_answer(slot)

    def record_failure(self, slot: Slot, *, reason: str) -> None:
        """Record a failed attempt, which may eject the upstream or prolong its ejection."""
        state = slot.state
        failures = state.record_failure()
        if state.is_ejected:
            if slot.is_probe:
                self._counters.add("probe_failures", reason=reason)
                state.eject(now=_now(), policy=self._policy, random=self._random)
            return
        if failures >= self._policy.eject_failures:
            self._eject(state, reason=reason)

    def _eject_if_slow(self, state: UpstreamState) -> None:
        if state.latency_samples < self._policy.eject_latency_samples:
            return
        if state.latency_ratio > self._latency_ratio_limit():
            self._eject(state, reason="slow")

    def _latency_ratio(self, state: UpstreamState, name: str, seconds: float) -> float:
        """Return a latency without the crossing cost, divided by the baseline of the job name."""
        baseline = self._latencies.quantile(name, BASELINE_QUANTILE)
        crossing = 0.0 if state.is_local else self._crossing_cost
        return max(0.0, seconds - crossing) / baseline if baseline else 1.0

    def _latency_ratio_limit(self) -> float:
        typical_ratio = (
            median(state.latency_ratio for state in self._states) if self._states else 1.0
        )
        return self._policy.eject_latency_ratio * max(1.0, typical_ratio)

    def _eject(self, state: UpstreamState, *, reason: str) -> None:
        # Answers that were in flight at the time of the ejection don't prolong it.
        if state.is_ejected:
            return
        ejected = sum(other.is_ejected for other in self._states)
        if ejected + 1 > self._policy.max_ejected_share * len(self._states):
            self._counters.add("ejections_refused", reason="share")
            return
        self._counters.add("ejections", reason=reason)
        state.eject(now=_now(), policy=self._policy, random=self._random)


def _now() -> float:
    return asyncio.get_running_loop().time()
