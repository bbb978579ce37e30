"""Tests of the output of the command line for people and for programs."""

from __future__ import annotations

from typing import Any

import pytest

JOB = {
    "job_id": "j1",
    "customer": "parish",
    "name": "ray-trace",
    "priority": "urgent",
    "state": "waiting",
    "reason": "preempted",
    "attempt": 2,
    "members": [{"member": 0, "worker": "diliman-r1-w1", "accelerators": [0, 1]}],
    "submitted_at": 1_790_000_000.0,
    "corrected_from": "parrish/raytrace",
}
PARISH = {
    "aliases": ["parrish"],
    "guarantees": [{"members": 2, "accelerators": 8, "spread": "rack", "count": 1}],
    "limits": {"requests_per_second": 200, "burst": 400},
    "quota": {"accelerators": 64, "running_jobs": 500},
}
CHANGE = {
    "offset": 7,
    "at": 1_790_000_000.0,
    "path": "customers/parish",
    "author": "ana",
    "note": "more [put 00000001]",
    "accepted": False,
    "reason": "conflict: based on version 3, but customers/parish has version 5",
}
PROBLEM = {"path": "customers/parish/limits/burst", "value": "5", "rule": "at least 200"}
REPLIES: dict[str, Any] = {
    "GET /v1/jobs": (200, {"jobs": [JOB, {**JOB, "job_id": "j2", "members": []}]}),
    "GET /v1/jobs/j1/why": (
        200,
        {
            "job": JOB,
            "history": [
                {"at": 1_790_000_000.0, "offset": 4, "event": "submitted", "reason": ""},
                {"at": 1_790_000_060.5, "offset": 9, "event": "requeued", "reason": "preempted"},
            ],
            "waiting_for": "log_unavailable",
        },
    ),
    "GET /v1/settings/customers": (
        200,
        {"path": "customers", "version": 7, "value": {"parish": PARISH, "abbey": {}}},
    ),
    "GET /v1/settings/customers/parish": (
        200,
        {"path": "customers/parish", "version": 5, "value": PARISH},
    ),
    "PUT /v1/settings/customers/parish": (
        200,
        {
            "state": "reviewed",
            "version": 5,
            "problems": [],
            "diff": ["~ customers/parish/limits/burst: 400 -> 500"],
            "preempts": ["j9"],
        },
    ),
    "PUT /v1/settings/customers/parish/limits": (
        400,
        {"state": "invalid", "reason": "invalid", "problems": [PROBLEM]},
    ),
    "GET /v1/history/customers/parish": (200, {"changes": [CHANGE]}),
    "GET /v1/names": (
        200,
        {
            "corrections": [{"written": "parish\x1b[2J", "corrected": "parish", "count": 3}],
            "refusals": [{"written": "chapel", "nearest": ["abbey", "parish"], "count": 1}],
        },
    ),
    "GET /v1/status": (
        200,
        {
            "vm": "vm1",
            "state": "ready",
            "log_offset": 120,
            "fresh_age_seconds": 0.25,
            "settings_version": 7,
            "shards": {"region/luzon": "vm1", "snapshot": "vm2"},
            "peers": {"vm2": "live"},
            "counters": {"refusals{queue_full}": 2},
            "jobs": {"running": 3, "waiting": 1},
        },
    ),
    "POST /v1/requests": (
        404,
        {"state": "not_run", "reason": "unknown_customer", "nearest": ["parish"]},
    ),
    "POST /v1/cancel": (200, {"matched": 2}),
}
COMMAND_LINES = {
    "jobs": ("jobs",),
    "why": ("why", "j1"),
    "customers": ("customers",),
    "get": ("settings", "get", "customers/parish"),
    "diff": ("settings", "diff", "customers/parish", "{}"),
    "invalid": ("settings", "set", "customers/parish/limits", "{burst: 5}", "--base", "5"),
    "history": ("settings", "history", "customers/parish"),
    "names": ("names",),
    "status": ("status",),
    "status-all": ("status", "--all"),
    "request": ("request", "--customer", "parsh", "--name", "ray-trace"),
    "cancel": ("cancel", "--customer", "parish", "--label", "night"),
}


@pytest.mark.parametrize("name", COMMAND_LINES)
def test_output_for_people_is_kept(entries: Any, name: str, snapshot: Any) -> None:
    """Guards against output that loses a fact, and against names that control the terminal."""
    entries.replies = REPLIES
    code, out, errors = entries.run(*COMMAND_LINES[name])
    assert "\x1b" not in out + errors
    assert f"exit {code}\n{out}\n--- standard error\n{errors}" == snapshot


@pytest.mark.parametrize("name", ["get", "invalid"])
def test_output_for_programs_is_the_answer(entries: Any, name: str, snapshot: Any) -> None:
    """Guards against text for people mixed into JSON that programs parse."""
    entries.replies = REPLIES
    code, out, errors = entries.run(*COMMAND_LINES[name], "--json")
    assert errors == ""
    assert f"exit {code}\n{out}" == snapshot
