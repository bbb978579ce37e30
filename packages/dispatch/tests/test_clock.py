"""Tests of the bounds on a worker's clock."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from zinniaweir.dispatch.clock import WorkerClock

seconds = st.floats(min_value=0.0, max_value=5.0)


@given(
    rate=st.floats(min_value=0.98, max_value=1.0),
    steps=st.lists(st.tuples(seconds, seconds, seconds), min_size=1, max_size=10),
    later=seconds,
)
def test_clock_stays_within_bounds_for_any_delays(
    rate: float, steps: list[tuple[float, float, float]], later: float
) -> None:
    """Guards against a lease that counts as expired while the worker still holds it.

    This happens if a bound ignores the delays of calls and answers or the drift of the clock.
    """
    clock, now = WorkerClock(), 0.0
    for pause, to_worker, to_owner in steps:
        sent = now + pause
        read = sent + to_worker
        now = read + to_owner
        clock.observe(int(read * rate * 1e3), sent_at=sent, received_at=now)
    at = now + later
    assert clock.earliest(at) <= at * rate * 1e3 + 1e-6
    assert clock.latest(at) >= at * rate * 1e3 - 1.0 - 1e-6
