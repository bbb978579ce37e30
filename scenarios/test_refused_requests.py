"""Requests that every upstream refuses, with direct connections between the processes."""

from __future__ import annotations

import pytest

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import make_layout

pytestmark = pytest.mark.xdist_group("refused_requests")
REQUESTS = 30


def test_request_that_every_upstream_turns_away_is_not_run() -> None:
    """Guards against the answer "unknown" where a refused connection proves that nothing ran.

    The scenario 5-leaving-and-foreign-upstreams cannot check this: its relay accepts connections
    for a dead upstream, so that "unknown" is the right answer there.
    """
    with Cluster(layout=make_layout(vms=2)) as cluster:
        cluster.start()
        foreign = {"not_mine_prefix": "check"}
        cluster.set_faults(cluster.port_of("diliman-render1"), settings=foreign)
        cluster.set_faults(cluster.port_of("los-banos-render1"), settings={"leaving": True})
        cluster.processes["baguio-render1"].kill()
        answers = [
            cluster.request(
                vm=f"vm{number % 2 + 1}",
                customer="heritage",
                name="check",
                idempotent=bool(number % 3),
                key=f"k{number}",
                deadline_seconds=2,
            )
            for number in range(REQUESTS)
        ]
        assert {answer["state"] for answer in answers} == {"not_run"}
        for name in ("diliman-render1", "los-banos-render1"):
            assert cluster.set_faults(cluster.port_of(name))["handled"] == 0
