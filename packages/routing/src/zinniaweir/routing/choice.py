"""Load-balancing algorithms, which choose among upstreams with a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from zinniaweir.routing.upstream_state import UpstreamState

    Choice = Callable[[Sequence[UpstreamState], float, float, Random], UpstreamState]

LOAD_EXPONENT: Final = 3
"""Exponent of the occupied share of slots in the load cost. Slots run in parallel, so load costs
little until an upstream is nearly full and may answer `busy`. A linear cost sent twice as many
requests to other failure domains at 60% load."""


def least_outstanding(
    candidates: Sequence[UpstreamState],
    crossing_cost: float,
    typical_latency: float,
    random: Random,
) -> UpstreamState:
    """Return the upstream with the lowest load cost, crossing cost included.

    Args:
        candidates: Upstreams with a free slot, at least one.
        crossing_cost: Cost in seconds of sending to another failure domain.
        typical_latency: Typical latency of the job in seconds.
        random: Random generator that breaks ties, so that entry processes don't all choose the
            same upstream.
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
    """Return the cheaper of two random upstreams, only local ones if any.

    See `least_outstanding` for the cost and the arguments.
    """
    candidates = [state for state in candidates if state.is_local] or candidates
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda state: _load_cost(state, crossing_cost, typical_latency))


def latency_weighted(
    candidates: Sequence[UpstreamState],
    crossing_cost: float,
    typical_latency: float,
    random: Random,
) -> UpstreamState:
    """Return the upstream with the lowest expected latency.

    See `least_outstanding` for the arguments.
    """
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
