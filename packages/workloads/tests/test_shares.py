"""Tests of the shares of customers at the edges of what settings and fleets may hold."""

from __future__ import annotations

from zinniaweir.workloads.shares import CustomerShares, demand_within


def test_shares_are_defined_without_capacity_and_for_tiny_weights() -> None:
    """Guards against a division by zero that stops all starts while no worker is usable."""
    shares = CustomerShares(
        capacity=(0, 0, 0),
        used={"a": (5, 5, 5), "gone": (0, 0, 0)},
        weights={"a": 0.0, "b": 1.0},
        waiting=["b", "c"],
    )
    assert [shares.level(customer) for customer in "abc"] == [0, 0, 0]
    assert not shares.is_uneven(["b", "c"])


def test_customer_that_uses_and_wants_nothing_has_no_part() -> None:
    """Guards against parts of customers that are away, which make those who wait look small."""
    shares = CustomerShares(
        capacity=(100, 100, 10),
        used={"large": (10, 10, 8), "small": (0, 10, 1)},
        weights={"away": 50.0},
        waiting=["small"],
    )
    assert (shares.ratio("large"), shares.ratio("small")) == (1.6, 0.2)
    assert shares.is_uneven(["small"])
    shares.add("small", (0, 20, 3))
    assert shares.level("small") == 8
    assert not shares.is_uneven(["small"])


def test_demand_above_a_quota_is_no_demand() -> None:
    """Guards against a shortage that is seen because of work that must wait for its quota."""
    wanted = demand_within((90, 90, 90), used=(5, 50, 0), limits=(10, 40, None))
    assert wanted == [5, 0, 90]
