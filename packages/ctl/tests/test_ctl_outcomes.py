"""Tests of exit codes, retries and lost answers of the command line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import httpx
import pytest

from zinniaweir.settings.checks import no_guarantee_check
from zinniaweir.settings.fold import SettingsFold, refusal_state
from zinniaweir.wire.records import SettingsPut

STATUS_BY_STATE = {"accepted": 200, "conflict": 409, "invalid": 400, "reviewed": 200}
TREE = {
    "topology": {
        "failure_domains": {"north": {"region": "r"}, "south": {"region": "r"}},
        "racks": {"n1": {"failure_domain": "north"}},
        "workers": {
            "w1": {"rack": "n1", "host": "127.0.0.1", "port": 1, "cores": 8, "memory_gb": 8}
        },
    },
    "customers": {"parish": {"limits": {"queued_jobs": 5}}},
}


class FakeSettings:
    """Settings endpoints of an entry process, backed by a real fold."""

    def __init__(self, entries: Any) -> None:
        self.fold = SettingsFold(check_guarantees=no_guarantee_check)
        self.lose_puts = False
        """Whether changes are dropped without being applied."""
        self._put("", TREE, 0)
        for path in ("", "customers/parish", "topology/failure_domains/north", "topology"):
            entries.replies[f"GET /v1/settings/{path}"] = self.get
            entries.replies[f"GET /v1/history/{path}"] = self.history
        for path in ("customers/parish/limits", "topology/failure_domains/north/state"):
            entries.replies[f"PUT /v1/settings/{path}"] = self.put
            entries.replies[f"GET /v1/settings/{path}"] = self.get
            entries.replies[f"GET /v1/history/{path}"] = self.history

    def get(self, request: httpx.Request) -> tuple[int, Any]:
        path = request.url.path.removeprefix("/v1/settings/")
        value, version = self.fold.get(path)
        return (404 if value is None else 200), {"path": path, "version": version, "value": value}

    def put(self, request: httpx.Request) -> tuple[int, Any]:
        body = json.loads(request.content)
        if self.lose_puts:
            return 200, {}
        path = request.url.path.removeprefix("/v1/settings/")
        if body["review"]:
            put = SettingsPut(path=path, value=body["value"], base_version=body["base_version"])
            return 200, {"state": "reviewed", "diff": self.fold.review(put).diff, "version": 0}
        change = self._put(path, body["value"], body["base_version"], body["note"])
        state = refusal_state(change)
        return STATUS_BY_STATE[state], {
            "state": state,
            "version": change.offset,
            "reason": change.reason,
        }

    def history(self, request: httpx.Request) -> tuple[int, Any]:
        path = request.url.path.removeprefix("/v1/history/")
        changes = self.fold.history(path, 50)
        fields = ("offset", "at", "path", "author", "note", "accepted", "reason")
        return 200, {"changes": [{name: getattr(c, name) for name in fields} for c in changes]}

    def _put(self, path: str, value: Any, base: int, note: str = "") -> Any:
        offset = self.fold.version + len(self.fold.history("", 100)) + 1
        put = SettingsPut(path=path, value=value, base_version=base, author="ana", note=note)
        return self.fold.apply(offset, f"id{offset}", 1.0, put)


def puts(entries: Any) -> list[Any]:
    return [call for call in entries.calls if call[1] == "PUT"]


def test_lost_answer_of_a_change_is_resolved_by_reading_back(entries: Any) -> None:
    """Guards against a change that is sent twice, or reported as failed although it is in force.

    This happens if the connection is lost after the server accepted the change.
    """
    settings = FakeSettings(entries)
    entries.faults["10.0.0.1"] = [None, httpx.ReadError]
    code, out, _ = entries.run("settings", "set", "customers/parish/limits", "{queued_jobs: 9}")
    assert (code, len(puts(entries))) == (0, 1)
    assert settings.fold.get("customers/parish/limits/queued_jobs")[0] == 9
    assert out.startswith("accepted, version")


def test_lost_answer_of_a_refused_change_is_reported_as_refused(entries: Any) -> None:
    """Guards against an unknown outcome where the history proves the refusal."""
    FakeSettings(entries)
    entries.faults["10.0.0.1"] = [httpx.ReadTimeout]
    code, _, errors = entries.run(
        "settings", "set", "customers/parish/limits", "{burst: 9}", "--base", "1"
    )
    assert (code, len(puts(entries))) == (2, 1)
    assert "needs `requests_per_second`" in errors


def test_change_without_a_trace_is_unknown_and_not_repeated(entries: Any) -> None:
    """Guards against a change that is sent a second time through the next server.

    Its answer was lost and the history does not show it, but it may still take effect.
    """
    FakeSettings(entries).lose_puts = True
    entries.faults["10.0.0.1"] = [httpx.RemoteProtocolError]
    code, _, errors = entries.run(
        "settings", "set", "customers/parish/limits", "{queued_jobs: 9}", "--base", "1"
    )
    assert (code, len(puts(entries))) == (5, 1)
    assert "[put 00000001]" in errors


def test_racing_operators_get_a_conflict(entries: Any, tmp_path: Path) -> None:
    """Guards against a put that ignores the version that the operator had read.

    Two puts are based on the version line of the same file; the second must be refused.
    """
    FakeSettings(entries)
    code, text, _ = entries.run("settings", "get", "customers/parish/limits")
    file = tmp_path / "limits.yaml"
    file.write_text(text.replace("5", "6"))
    assert (code, text) == (0, "# version: 1\n{queued_jobs: 5}")
    entries.stdin = file.read_bytes()
    for source, expected in ((str(file), 0), ("-", 4)):
        code, _, _ = entries.run("settings", "set", "customers/parish/limits", "--file", source)
        assert code == expected


def test_next_server_is_tried_when_one_is_down_or_starting(entries: Any) -> None:
    """Guards against operators who cannot act because one VM is being replaced."""
    entries.replies["GET /v1/status"] = lambda request: (
        (503, {"state": "starting"}) if request.url.host == "10.0.0.2" else (200, {"vm": "vm3"})
    )
    entries.faults["10.0.0.1"] = [httpx.ConnectError]
    servers = "10.0.0.1:80,10.0.0.2:80,10.0.0.1:81"
    code, out, _ = entries.run("status", server=servers)
    assert (code, out) == (0, "vm: vm3")


def test_submission_is_repeated_with_the_same_key(entries: Any) -> None:
    """Guards against a second job after a lost answer.

    This happens if the repeated submission carries a new idempotency key.
    """
    job = {"job_id": "j1", "state": "waiting"}
    entries.replies["POST /v1/jobs"] = (202, {"job": job})
    entries.faults["10.0.0.1"] = [httpx.ReadError]
    code, out, _ = entries.run("submit", "--customer", "parish", "--name", "ray-trace")
    assert (code, out) == (0, "j1 waiting")
    assert [(call[0], call[3]["key"]) for call in entries.calls] == [
        ("10.0.0.1", "00000001"),
        ("10.0.0.2", "00000001"),
    ]


def test_submission_lost_everywhere_names_its_key(entries: Any) -> None:
    """Guards against a call that an operator can neither find nor repeat safely.

    This happens if no server answers and the message does not name the idempotency key.
    """
    entries.replies["POST /v1/requests"] = (200, {})
    entries.faults = {"10.0.0.1": [httpx.ReadError], "10.0.0.2": [httpx.ConnectError]}
    code, _, errors = entries.run("request", "--customer", "a", "--name", "b", "--body", "x")
    assert code == 5
    assert "ask again with --key 00000001" in errors


@pytest.mark.parametrize(
    ("states", "code"),
    [(["running", "done"], 0), (["failed"], 6), (["not_run"], 3), (["running"] * 99, 5)],
)
def test_wait_ends_with_the_state_of_the_job(entries: Any, states: list[str], code: int) -> None:
    """Guards against a script that takes an unfinished or failed job for a finished one."""
    pending = list(states)

    def wait(request: httpx.Request) -> tuple[int, Any]:
        entries.clock += 5
        return 200, {"job": {"job_id": "j1", "state": pending.pop(0)}}

    entries.replies["POST /v1/jobs"] = (202, {"job": {"job_id": "j1", "state": "waiting"}})
    entries.replies["GET /v1/jobs/j1"] = wait
    line = ("submit", "--customer", "a", "--name", "b", "--wait", "60")
    assert entries.run(*line)[0] == code


def test_drain_reads_the_version_and_waits_for_jobs(entries: Any) -> None:
    """Guards against maintenance that starts while gangs still run in the failure domain.

    This happens if the wait ends while no server can list the jobs.
    """
    settings = FakeSettings(entries)
    jobs_there = [{"members": [{"worker": "w1"}]}, {"members": [{"worker": "w9"}]}]
    running: list[tuple[int, Any]] = [
        (200, {"jobs": jobs_there}),
        (503, {"state": "not_run", "reason": "starting"}),
        (503, {"state": "not_run", "reason": "starting"}),
        (200, {"jobs": []}),
    ]

    def jobs(request: httpx.Request) -> tuple[int, Any]:
        if request.url.params["state"] == "starting":
            return 200, {"jobs": []}
        return running.pop(0)

    entries.replies["GET /v1/jobs"] = jobs
    code, out, errors = entries.run("drain", "north", "--wait", "30", "--note", "fan")
    assert (code, running) == (0, [])
    assert settings.fold.model.topology.failure_domains["north"].state == "out"
    assert "1 jobs still run in north" in errors
    assert "not known" in errors
    assert entries.run("drain", "north")[1] == "north was already out (version 3)"
    assert entries.run("undrain", "north")[0] == 0


@pytest.mark.parametrize(
    ("status", "code"),
    [(400, 2), (404, 8), (409, 4), (413, 2), (429, 3), (502, 6), (503, 3), (504, 5)],
)
def test_exit_code_tells_the_outcome(entries: Any, status: int, code: int) -> None:
    """Guards against scripts that cannot tell a refusal from an unknown outcome."""
    entries.replies["POST /v1/requests"] = (status, {"state": "x", "reason": "y"})
    assert entries.run("request", "--customer", "a", "--name", "b")[0] == code


def test_unreachable_and_usage_have_their_own_codes(entries: Any) -> None:
    """Guards against scripts that retry an invalid command line as if no server had answered."""
    entries.faults = {"10.0.0.1": [httpx.ConnectError], "10.0.0.2": [httpx.ConnectError]}
    assert entries.run("jobs")[0] == 7
    assert entries.run("jobs", "--state", "lost")[0] == 2
    assert entries.run("settings", "set", "customers/parish", "&a [*a]")[0] == 2
    assert entries.run("settings", "get", "Customers/")[0] == 2
    assert entries.run("cancel")[0] == 2
    assert entries.run("jobs", server="ftp://x")[0] == 2
    assert entries.calls == []


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("customers/parish", {"limits": {"queued_jobs": 6}}, 0),
        ("customers/parish", {"guarantees": [{"members": 9, "accelerators": 1}]}, 2),
        ("customers/parish", None, 2),
        ("topology/racks/s1", {"failure_domain": "south"}, 9),
    ],
)
def test_check_tells_errors_from_warnings(
    entries: Any, tmp_path: Path, path: str, value: Any, expected: int
) -> None:
    """Guards against scripts that send a broken file, or that take a missing server for success."""
    force, file = tmp_path / "force.yaml", tmp_path / "file.json"
    force.write_text(json.dumps(TREE))
    file.write_text(json.dumps(value))
    command = ("settings", "check", str(file), "--path", path)
    assert entries.run(*command, "--against", str(force), server="")[0] == expected
    assert entries.run(*command, server="")[0] == 2
    entries.replies["GET /v1/settings/"] = (429, {"reason": "rate"})
    assert entries.run(*command)[0] == (3 if value else 2)
