"""Snapshot tests of HTTP sessions of callers and operators."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import pytest

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import default_customers, make_layout
from zinniaweir_testkit.transcript import Transcript

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

pytestmark = pytest.mark.xdist_group("golden_http")

CHECK = {"customer": "parish", "name": "gnomon-check", "idempotent": True, "body": "angle 14.6"}
RENEWAL = {
    "customer": "heritage",
    "name": "renewal",
    "idempotent": False,
    "key": "permit-77",
    "body": "permit 77",
}
SWEEP = {"customer": "catalogue", "name": "sweep", "members": 1, "accelerators": 1}


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    customers = default_customers()
    customers["abbey-north"] = {"name_correction": True}
    customers["abbey-south"] = {"name_correction": True}
    customers["slow"] = {
        "priorities": ["batch"],
        "limits": {"requests_per_second": 1, "burst": 1, "queued_requests": 1, "queued_jobs": 1},
        "quota": {"running_jobs": 1},
    }
    with Cluster(layout=make_layout(customers=customers)) as cluster:
        cluster.start()
        yield cluster


@pytest.fixture
def session(cluster: Cluster) -> Transcript:
    return Transcript(cluster=cluster)


def wait_done(session: Transcript, job_id: str, vm: str = "vm1") -> Any:
    return session.http("GET", f"/v1/jobs/{job_id}?wait_seconds=30", vm=vm)


def test_requests(session: Transcript, snapshot: SnapshotAssertion) -> None:
    """Guards against changed answers to callers: states, reasons, corrections, status codes."""
    session.http("POST", "/v1/requests", CHECK)
    session.http("POST", "/v1/requests", {**CHECK, "customer": "parrish"}, vm="vm2")
    session.http("POST", "/v1/requests", {**CHECK, "customer": "parihs", "name": "gnomon-chek"})
    session.http("POST", "/v1/requests", RENEWAL)
    session.http("POST", "/v1/requests", RENEWAL, vm="vm3")
    session.http("POST", "/v1/requests", {**RENEWAL, "body": "permit 78"}, vm="vm2")
    session.http("POST", "/v1/requests", {**RENEWAL, "key": ""})
    assert session.text == snapshot


def test_refused_names(session: Transcript, snapshot: SnapshotAssertion) -> None:
    """Guards against a name correction where the customer or job is ambiguous."""
    names = (
        ("nobody-we-know", "gnomon-check"),
        ("abbey-nouth", "x"),
        ("catalogeu", "sweep"),
        ("parish", "polishing"),
        ("", "x"),
        ("parish", ""),
        ("Parish\u200b", "gnomon-check"),
        ("a" * 2_000, "x"),
    )
    for customer, name in names:
        session.http("POST", "/v1/requests", {**CHECK, "customer": customer, "name": name})
        session.http("POST", "/v1/jobs", {**SWEEP, "customer": customer, "name": name})
    assert session.text == snapshot


def test_limits_and_malformed_bodies(session: Transcript, snapshot: SnapshotAssertion) -> None:
    """Guards against refusals without a reason, and against partly accepted bodies."""
    slow = {**CHECK, "customer": "slow", "name": "any", "deadline_seconds": 0.3}
    session.http("POST", "/v1/requests", {**slow, "priority": "urgent"})
    session.http("POST", "/v1/requests", {**slow, "priority": "batch"})
    session.http("POST", "/v1/requests", {**slow, "priority": "batch"})
    session.http("POST", "/v1/requests", [])
    session.http("POST", "/v1/requests", {**CHECK, "surprise": 1})
    session.http("POST", "/v1/requests", {"customer": "parish", "name": "gnomon-check"})
    session.http("POST", "/v1/requests", {**CHECK, "deadline_seconds": 1e9})
    session.http("POST", "/v1/jobs", {**SWEEP, "members": 0})
    session.http("POST", "/v1/jobs", {**SWEEP, "spread": "planet"})
    session.http("POST", "/v1/jobs", {**SWEEP, "accelerators": 0, "cores": 0})
    session.http("POST", "/v1/cancel", {})
    session.http("PATCH", "/v1/jobs", {})
    session.http("GET", "/v2/jobs")
    session.http("GET", "/v1/jobs?limit=many")
    assert session.text == snapshot


def test_jobs(session: Transcript, snapshot: SnapshotAssertion) -> None:
    """Guards against changed answers on jobs, from the submission to the recorded history."""
    done = {**SWEEP, "key": "sweep-1", "payload": {"seconds": 0.2}}
    job = session.http("POST", "/v1/jobs", {**done, "wait_seconds": 30})["job"]
    session.http("POST", "/v1/jobs", {**done, "wait_seconds": 30}, vm="vm2")
    session.http("POST", "/v1/jobs", {**done, "members": 2}, vm="vm3")
    session.http("GET", f"/v1/jobs/{job['job_id']}/why", vm="vm2")
    long = {**SWEEP, "key": "sweep-2", "label": "night", "payload": {"seconds": 60}}
    job = session.http("POST", "/v1/jobs", long, pick=lambda _: "...")["job"]
    wait_running(session, job["job_id"])
    session.http("DELETE", f"/v1/jobs/{job['job_id']}")
    wait_done(session, job["job_id"])
    session.http("POST", "/v1/cancel", {"customer": "catalogue", "label": "night"})
    session.http("POST", "/v1/jobs", {**SWEEP, "members": 500, "wait_seconds": 5})
    session.http("GET", "/v1/jobs/job-none")
    session.http("GET", "/v1/jobs/job-none/why")
    session.http("DELETE", "/v1/jobs/job-none")
    session.http("GET", "/v1/jobs?customer=catalogue&state=cancelled")
    assert session.text == snapshot


def test_settings(session: Transcript, snapshot: SnapshotAssertion) -> None:
    """Guards against a review that applies the change, and refusals without path and rule."""
    path = "/v1/settings/customers/heritage"
    base = session.http("GET", path)["version"]
    limits = {"limits": {"requests_per_second": 5, "burst": 10}}
    put = {"value": {**limits}, "base_version": base, "author": "ana", "note": "less"}
    session.http("PUT", path, {**put, "review": True})
    session.http("PUT", path, put)
    session.http("PUT", path, {**put, "author": "ben"})
    session.http("PUT", f"{path}/limits/burst", {**put, "value": "many", "base_version": 10**9})
    now = session.http("GET", path, vm="vm2")["version"]
    wrong = {"limits": {"burst": -1, "surprise": 1}, "guarantees": [{"members": 900}]}
    session.http("PUT", path, {**put, "base_version": now, "value": wrong})
    session.http("PUT", f"{path}/limits/burst", {**put, "base_version": now, "value": "many"})
    session.http("GET", "/v1/settings/customers/nobody")
    session.http("GET", "/v1/history/customers/heritage")
    assert session.text == snapshot


def test_drain_return_names_and_status(session: Transcript, snapshot: SnapshotAssertion) -> None:
    """Guards against a review that omits jobs that a drain stops, and against missing fields."""
    long = {**SWEEP, "customer": "abbey-north", "checkpointable": True, "payload": {"seconds": 40}}
    job = session.http("POST", "/v1/jobs", long, pick=lambda _: "...")["job"]
    job = wait_running(session, job["job_id"])
    domain = job["members"][0]["worker"].rsplit("-", 1)[0]
    path = f"topology/failure_domains/{domain}/state"
    base = session.http("GET", f"/v1/settings/{path}", pick=lambda _: "...")["version"]
    put = {"value": "out", "base_version": base, "author": "ana", "note": "power work"}
    for vm in ("vm1", "vm2", "vm3"):
        session.http("PUT", f"/v1/settings/{path}", {**put, "review": True}, vm=vm)
    base = session.http("PUT", f"/v1/settings/{path}", put)["version"]
    wait_moved(session, job["job_id"], domain)
    session.http("PUT", f"/v1/settings/{path}", {**put, "value": "in", "base_version": base})
    session.http("DELETE", f"/v1/jobs/{job['job_id']}", vm="vm2")
    wait_done(session, job["job_id"], vm="vm3")
    session.http("POST", "/v1/requests", {**CHECK, "customer": "parissh"}, vm="vm3")
    session.http("GET", "/v1/names", vm="vm3")
    facts = ("state", "vm", "peers", "shards")
    session.http("GET", "/v1/status", pick=lambda found: {k: shape(found[k]) for k in facts})
    session.http("GET", "/healthz")
    text = session.text
    for name in session.cluster.layout.domains:
        text = text.replace(name, "DOMAIN")
    assert text == snapshot


def shape(value: Any) -> Any:
    """Replace mappings by their keys, since values such as ages differ between runs."""
    if isinstance(value, dict):
        return sorted(value)
    if isinstance(value, list):
        return [shape(item) for item in value]
    return value


def wait_running(session: Transcript, job_id: str) -> Any:
    for _ in range(200):
        job = session.cluster.get(f"/v1/jobs/{job_id}?wait_seconds=0.1")["job"]
        if job["state"] == "running":
            return job
    raise AssertionError(job)


def wait_moved(session: Transcript, job_id: str, domain: str) -> None:
    for _ in range(200):
        job = session.cluster.get(f"/v1/jobs/{job_id}?wait_seconds=0.1")["job"]
        if job["state"] == "running" and not job["members"][0]["worker"].startswith(domain):
            return
    raise AssertionError(job)
