"""Tests of the settings that the core receives."""

from __future__ import annotations

from zinniaweir.scheduler.core_inputs import core_settings
from zinniaweir.settings.model import Customer, Quota, Settings


def test_quota_and_weight_of_a_customer_reach_the_core() -> None:
    """Guards against limits that operators set and nothing keeps, or in another unit."""
    quota = Quota(accelerators=8, cores=16, memory_gb=0.5, running_jobs=3)
    customers = {"a": Customer(quota=quota, weight=2.5), "b": Customer()}
    limited, free = core_settings(Settings(customers=customers), "luzon").customers
    assert (limited.quota_accelerators, limited.quota_cores, limited.quota_running_jobs) == (
        8,
        16,
        3,
    )
    assert (limited.quota_memory_bytes, limited.weight) == (1 << 29, 2.5)
    assert (free.quota_cores, free.quota_memory_bytes, free.weight) == (None, None, None)
