"""Tests of the settings files of processes."""

from __future__ import annotations

from pathlib import Path

from zinniaweir.settings.process import (
    EntrySettings,
    SchedulerSettings,
    check_process_settings,
    load_process_settings,
)

SCHEDULER = """
vm: vm1
region: luzon
failure_domain: diliman
host: 127.0.0.1
grpc_port: 7301
udp_port: 7301
log: {host: 127.0.0.1, port: 7001}
vmlist: {host: 127.0.0.1, port: 7002}
peers: [{host: 127.0.0.2, port: 7301}]
"""

ENTRY = """
vm: VM 1
region: luzon
failure_domain: diliman
host: localhost
http_port: 70000
scheduler: {host: 127.0.0.1, port: "7301", tls: true}
max_in_flight: .inf
"""


def test_scheduler_file_is_read(tmp_path: Path) -> None:
    """Guards against a valid file that is refused or read with other values."""
    file = tmp_path / "scheduler.yaml"
    file.write_text(SCHEDULER)
    settings = load_process_settings(file, SchedulerSettings)
    assert (settings.log.port, settings.peers[0].host) == (7001, "127.0.0.2")


def test_every_problem_is_named_with_path_value_and_rule(tmp_path: Path) -> None:
    """Guards against a settings file that has to be corrected one error per start.

    This happens if the check ends at its first problem.
    """
    file = tmp_path / "entry.yaml"
    file.write_text(ENTRY.replace(".inf", "0"))
    problems = {p.path: (p.value, p.rule) for p in check_process_settings(file, EntrySettings)}
    assert set(problems) == {
        "vm",
        "http_port",
        "scheduler/port",
        "scheduler/tls",
        "vmlist",
        "max_in_flight",
    }
    assert problems["http_port"] == ("70000", "expected `int` <= 65535")
    file.write_text(ENTRY)
    problems = {p.path: (p.value, p.rule) for p in check_process_settings(file, EntrySettings)}
    assert problems == {"max_in_flight": ("inf", "numbers are finite")}
    missing = check_process_settings(tmp_path / "none.yaml", EntrySettings)
    assert "No such file" in missing[0].rule


def test_contradictions_between_fields_are_found(tmp_path: Path) -> None:
    """Guards against a process that starts and then cuts off requests at its planned stop.

    This happens if fields are valid one by one, but the drain notice exceeds the drain limit.
    """
    file = tmp_path / "entry.yaml"
    file.write_text(
        "{vm: a, region: r, failure_domain: f, host: localhost, http_port: 80,"
        " scheduler: {host: 127.0.0.1, port: 81}, vmlist: {host: 127.0.0.1, port: 82},"
        " drain_notice_seconds: 40}"
    )
    found = [p.path for p in check_process_settings(file, EntrySettings)]
    assert found == ["host", "drain_notice_seconds"]
