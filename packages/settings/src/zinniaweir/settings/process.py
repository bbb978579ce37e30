"""Settings that each process reads from a YAML file when it starts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, Final, TypeVar

import msgspec
from msgspec import Meta

from zinniaweir.settings.checks import host_problems
from zinniaweir.settings.errors import SettingsError
from zinniaweir.settings.model import Host, Name, Port
from zinniaweir.settings.plain import join_path, problem
from zinniaweir.settings.schema import convert
from zinniaweir.settings.yaml_text import MAX_BYTES, load_yaml

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from zinniaweir.wire.scheduler_service import Problem

T = TypeVar("T", bound="ProcessSettings")

MIN_ENTRY_MEMORY_MB: Final = 80
"""Smallest memory of an entry process, which idles at 50 MB and holds requests of up to 1 MB."""


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of a process."""

    host: Host
    port: Port


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings common to all processes of a VM."""

    vm: Name
    region: Name
    failure_domain: Name
    host: Host
    """IP address that the process listens on."""
    vmlist: Address
    """Address of the VM list."""
    metrics_seconds: Annotated[float, Meta(ge=0, le=3_600)] = 0.0
    """Interval at which the process logs its counters; 0 disables it."""
    drain_limit_seconds: Annotated[float, Meta(gt=0, le=3_600)] = 30.0
    """Maximum duration of a planned stop."""


class SchedulerSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of the scheduler process."""

    grpc_port: Port
    udp_port: Port
    log: Address
    """Address of the log."""
    log_retention_seconds: Annotated[float, Meta(gt=0, le=31_622_400)] = 3_600.0
    """How long the log keeps records; snapshots are published well within this time."""
    peers: tuple[Address, ...] = ()
    """UDP addresses for first contact with other VMs if the VM list does not answer."""


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of the entry process."""

    http_port: Port
    scheduler: Address
    """gRPC address of the scheduler process on the same VM."""
    drain_notice_seconds: Annotated[float, Meta(ge=0, le=3_600)] = 2.0
    """How long new requests are still served in a drain after the health check answers 503."""
    max_in_flight: Annotated[int, Meta(ge=1, le=100_000)] = 1_000
    """Requests in flight above which the entry process sheds load."""
    max_connections: Annotated[int, Meta(ge=1, le=100_000)] = 6_000
    """Maximum open connections from callers.

    The default is above `max_in_flight` together with its queue, which is four times as long.
    """
    max_connections_per_address: Annotated[int, Meta(ge=1, le=100_000)] = 4_500
    """Maximum open connections from one address, which may be a load balancer."""
    memory_mb: Annotated[int, Meta(ge=0, le=10_000_000)] = 0
    """Memory of the machine, an eighth of which requests may hold; 0 is what is present."""
    idle_seconds: Annotated[float, Meta(gt=0, le=3_600)] = 60.0
    """How long a connection may stay open without a request."""
    receive_seconds: Annotated[float, Meta(gt=0, le=3_600)] = 15.0
    """Maximum time to receive a complete request."""


def load_process_settings(path: Path, kind: type[T]) -> T:
    """Read and check the settings file of a process.

    Args:
        path: The YAML file.
        kind: `SchedulerSettings` or `EntrySettings`.

    Raises:
        SettingsError: If the file cannot be read or breaks a rule; holds every problem found.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_BYTES + 1)
    except OSError as error:
        rule = f"the file can be read ({error.strerror or type(error).__name__})"
        raise SettingsError([problem("", str(path), rule)]) from error
    return parse_process_settings(load_yaml(data), kind)


def parse_process_settings(value: Any, kind: type[T]) -> T:
    """Convert plain data to the settings of a process and check them.

    Args:
        value: Plain data of the file.
        kind: `SchedulerSettings` or `EntrySettings`.

    Raises:
        SettingsError: If the data break a rule; holds every problem found.
    """
    settings, problems = convert(value, kind, "")
    if settings is None:
        raise SettingsError(problems)
    problems = list(_rule_problems(settings))
    if problems:
        raise SettingsError(problems)
    return settings


def check_process_settings(path: Path, kind: type[ProcessSettings]) -> list[Problem]:
    """Return the problems of a settings file.

    Args:
        path: The YAML file.
        kind: `SchedulerSettings` or `EntrySettings`.
    """
    try:
        load_process_settings(path, kind)
    except SettingsError as error:
        return list(error.problems)
    return []


def _rule_problems(settings: ProcessSettings) -> Iterator[Problem]:
    yield from host_problems(settings.host, "host")
    for name in settings.__struct_fields__:
        value = getattr(settings, name)
        if isinstance(value, Address):
            yield from host_problems(value.host, join_path(name, "host"))
    if isinstance(settings, SchedulerSettings):
        yield from _peer_problems(settings.peers)
    if isinstance(settings, EntrySettings):
        yield from _entry_problems(settings)


def _peer_problems(peers: tuple[Address, ...]) -> Iterator[Problem]:
    for index, peer in enumerate(peers):
        yield from host_problems(peer.host, f"peers/{index}/host")
        if peer in peers[:index]:
            yield problem(f"peers/{index}", f"{peer.host}:{peer.port}", "each peer once")


def _entry_problems(settings: EntrySettings) -> Iterator[Problem]:
    if 0 < settings.memory_mb < MIN_ENTRY_MEMORY_MB:
        yield problem("memory_mb", settings.memory_mb, f"0 or at least {MIN_ENTRY_MEMORY_MB}")
    if settings.drain_notice_seconds >= settings.drain_limit_seconds:
        rule = f"below `drain_limit_seconds` ({settings.drain_limit_seconds:g})"
        yield problem("drain_notice_seconds", settings.drain_notice_seconds, rule)
    if settings.scheduler == Address(host=settings.host, port=settings.http_port):
        rule = "another port than `scheduler/port` on the same host"
        yield problem("http_port", settings.http_port, rule)
