"""Ways of choosing one of several upstreams with a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from zinniaweir.routing.upstream_state import UpstreamState

    Choice = Callable[[Sequence[UpstreamState], float, float, Random], UpstreamState]

LOAD_EXPONENT: Final = 3
"""Slots run in parallel, so load costs nothing until an upstream is nearly full and may answer
`busy`. A linear cost crossed to other failure domains twice as often at 60% load."""


def least_outstanding(
    candidates: Sequence[UpstreamState],
    crossing_cost: float,
    typical_latency: float,
    random: Random,
) -> UpstreamState:
    """Return the upstream whose share of slots is least occupied, crossing cost included.

    Args:
        candidates: Upstreams with a free slot, at least one.
        crossing_cost: Cost of leaving the failure domain in seconds.
        typical_latency: Typical latency of the job in seconds.
        random: Breaks ties, so that entry processes don't all choose the same upstream.
    """
    return min(
        candidates,
        key=lambda state: (_load_cost(state, crossing_cost, typical_latency), random.random()),
    )


def two_choices(
    candidates: Sequence[UpstreamState],
    crossing_cost: float,
    typical_latency: float,
    random: Random,
) -> UpstreamState:
    """Return the better of two random upstreams, local ones if any, see `least_outstanding`."""
    candidates = [state for state in candidates if state.is_local] or candidates
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda state: _load_cost(state, crossing_cost, typical_latency))


def latency_weighted(
    candidates: Sequence[UpstreamState],
    crossing_cost: float,
    typical_latency: float,
    random: Random,
) -> UpstreamState:
    """Return the upstream with the least expected latency, see `least_outstanding`."""
    return min(
        candidates,
        key=lambda state: (_latency_cost(state, crossing_cost, typical_latency), random.random()),
    )


def _load_cost(state: UpstreamState, crossing_cost: float, typical_latency: float) -> float:
    crossing = 0.0 if state.is_local else crossing_cost
    return crossing + typical_latency * (state.in_flight / state.concurrency_limit) ** LOAD_EXPONENT


def _latency_cost(state: UpstreamState, crossing_cost: float, typical_latency: float) -> float:
    crossing = 0.0 if state.is_local else crossing_cost
    return crossing + typical_latency * state.latency_ratio * (1 + state.in_flight / state.slots)


CHOICES: Final[dict[str, Choice]] = {
    "least_outstanding": least_outstanding,
    "two_choices": two_choices,
    "latency_weighted": latency_weighted,
}
