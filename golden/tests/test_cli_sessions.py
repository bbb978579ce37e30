"""Snapshot tests of sessions with the command line `zinniaweir`."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import TYPE_CHECKING

import pytest

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import make_layout
from zinniaweir_testkit.process import wait_until
from zinniaweir_testkit.transcript import Transcript

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

PAYLOAD = ("--payload", "-")
CHECK = ("settings", "check", "-")
pytestmark = pytest.mark.xdist_group("golden_cli")


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    with Cluster(layout=make_layout(vms=1)) as cluster:
        cluster.start()
        # By design, a change directly after the record at offset 0 is refused as a conflict.
        wait_until(
            lambda: cluster.get("/v1/status")["shards"].get("region/luzon"),
            timeout=10.0,
            what="the region has an owner",
        )
        yield cluster


@pytest.fixture
def session(cluster: Cluster) -> Transcript:
    return Transcript(cluster=cluster)


def test_requests_and_jobs(session: Transcript, snapshot: SnapshotAssertion) -> None:
    """Guards against changed tables, JSON output and exit codes."""
    check = ("request", "--customer", "parish", "--name", "gnomon-check", "--body", "angle 14.6")
    session.cli(*check, "--idempotent")
    session.cli(*check, "--idempotent", "--json")
    session.cli("request", "--customer", "parihs", "--name", "sweep", "--body", "x", "--key", "k1")
    session.cli("request", "--customer", "parish", "--name", "sweep", "--body", "y", "--key", "k1")
    session.cli("request", "--customer", "nobody-we-know", "--name", "sweep", "--body", "x")
    sweep = ("submit", "--customer", "catalogue", "--name", "sweep", "--members", "1")
    code, out = session.cli(*sweep, "--wait", "30", "--json", *PAYLOAD, stdin="seconds: 0.2")
    assert code == 0
    job = json.loads(out)["job"]["job_id"]
    session.cli("why", job)
    session.cli("why", "job-none")
    _, out = session.cli(*sweep, "--label", "night", "--json", *PAYLOAD, stdin="seconds: 60")
    job = json.loads(out)["job"]["job_id"]
    wait_running(session, job)
    session.cli("jobs", "--customer", "catalogue", "--state", "running")
    session.cli("cancel", job)
    session.cluster.get(f"/v1/jobs/{job}?wait_seconds=30")
    session.cli("jobs", "--customer", "catalogue", "--state", "cancelled")
    session.cli(*sweep[:-1], "0")
    session.cli("submit", "--colour", "red")
    assert session.text == snapshot


def test_settings_drain_names_and_status(session: Transcript, snapshot: SnapshotAssertion) -> None:
    """Guards against changed output for operators before and after a change of settings."""
    session.cli("settings", "get", "customers/catalogue")
    session.cli("settings", "diff", "customers/catalogue", "{name_correction: true}")
    changed = "aliases: [Catalogue]\nlimits: {burst: 5}\nname_correction: true"
    session.cli(*CHECK, "--path", "customers/catalogue", stdin=changed)
    session.cli(*CHECK, "--path", "customers/catalogue", "--json", stdin="name_correction: true")
    session.cli("settings", "set", "customers/catalogue", "{name_correction: true}", "--note", "ok")
    session.cli("settings", "set", "customers/catalogue/limits", "{burst: -1}")
    session.cli("settings", "set", "customers/catalogue/limits", "{burst: -1}", "--json")
    session.cli("settings", "set", "customers/catalogue", "{}", "--base", "1")
    session.cli("settings", "set", "customers/catalogue", "--file", "-", stdin="{a: [}")
    session.cli("settings", "set", "customers/new", "--file", "-", stdin="{name_correction: true}")
    session.cli("settings", "get", "customers/nobody")
    session.cli("settings", "history", "customers/catalogue")
    session.cli("drain", "baguio", "--note", "power work")
    session.cli("undrain", "baguio", "--note", "done")
    session.cli("drain", "nowhere")
    session.cluster.request(customer="parissh", name="sweep", idempotent=True)
    session.cli("names")
    session.cli("customers")
    session.cli("status", "--server", "127.0.0.1:1")
    code, out = session.cli("status", "--json")
    assert code == 0
    # The JSON status holds ages and counts that differ between runs.
    text = session.text[: session.text.index("$ zinniaweir status --json")]
    assert {"vm", "state", "shards"} <= set(json.loads(out))
    assert text == snapshot


def wait_running(session: Transcript, job: str) -> None:
    wait_until(
        lambda: session.cluster.get(f"/v1/jobs/{job}")["job"]["state"] == "running",
        timeout=20.0,
        what="the job runs",
    )
