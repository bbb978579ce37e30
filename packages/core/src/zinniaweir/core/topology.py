"""Workers and the racks, failure domains and regions that hold them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """A machine; its accelerators are numbered from 0 and adjacent if the numbers are."""

    name: str
    failure_domain: str
    rack: str
    cores: int
    memory_bytes: int
    accelerators: int
    region: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Topology:
    """All workers that the settings list, whether or not they are live."""

    workers: tuple[Worker, ...]
