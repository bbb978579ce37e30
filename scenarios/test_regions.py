"""Test of two regions, each of which has its own owner."""

from __future__ import annotations

import pytest

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import make_layout
from zinniaweir_testkit.process import wait_until

pytestmark = pytest.mark.xdist_group("regions")

CUSTOMERS = {
    "parish": {
        "guarantees": [{"members": 1, "accelerators": 8, "failure_domain": "north"}],
    },
    "catalogue": {},
}


def test_each_region_has_an_owner_and_outlives_the_other() -> None:
    """Guards against jobs that run outside the region of their customer's guarantee.

    Also guards against a region that stops when the VMs of another region die.
    """
    layout = make_layout(
        vms=4,
        domains=("diliman", "north"),
        regions={"north": "santiago"},
        customers=CUSTOMERS,
    )
    with Cluster(layout=layout) as cluster:
        cluster.start()

        def owners() -> dict[str, str]:
            shards = cluster.get("/v1/status", vm="vm2")["shards"]
            return {name: vm for name, vm in shards.items() if name.startswith("region/") and vm}

        wait_until(lambda: len(owners()) == 2, timeout=15, what="both regions are owned")
        domain_of = {vm.name: vm.failure_domain for vm in layout.vms}
        assert domain_of[owners()["region/luzon"]] == "diliman"
        assert domain_of[owners()["region/santiago"]] == "north"

        # Guaranteed jobs run in the region of the guarantee, others where they were submitted.
        job = {"name": "sweep", "members": 1, "payload": {"seconds": 0.2}, "wait_seconds": 15}
        answer = cluster.submit(vm="vm1", customer="parish", accelerators=8, **job)
        assert (answer["job"]["state"], answer["job"]["region"]) == ("done", "santiago")
        answer = cluster.submit(vm="vm1", customer="catalogue", accelerators=1, **job)
        assert (answer["job"]["state"], answer["job"]["region"]) == ("done", "luzon")

        for vm in layout.vms:
            if vm.failure_domain == "diliman":
                cluster.processes[f"{vm.name}-scheduler"].kill()
                cluster.processes[f"{vm.name}-entry"].kill()
        answer = cluster.submit(vm="vm2", customer="parish", accelerators=8, **job)
        assert answer["job"]["state"] == "done"
        # A VM outside the other region takes it over.
        wait_until(
            lambda: domain_of[owners().get("region/luzon", "vm1")] == "north",
            timeout=10,
            what="the region without VMs has an owner",
        )
