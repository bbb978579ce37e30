"""Shapes of gangs, guarantees of shapes, and placements of members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypeAlias

Spread: TypeAlias = Literal["worker", "rack", "failure_domain", "region"]
Amounts: TypeAlias = tuple[int, int, int]
"""Cores, bytes of memory and accelerators."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """The resources that a gang needs; all quantities except `members` are for each member."""

    members: int
    accelerators: int
    """Adjacent accelerators on one worker; zero for processor-only work."""
    cores: int
    memory_bytes: int
    spread: Spread = "failure_domain"
    """The smallest unit of the topology that must contain all members."""

    @property
    def total_accelerators(self) -> int:
        """Accelerators of all members."""
        return self.members * self.accelerators

    @property
    def amounts(self) -> Amounts:
        """What all members need together."""
        members = self.members
        return members * self.cores, members * self.memory_bytes, self.total_accelerators


@dataclass(frozen=True, kw_only=True, slots=True)
class Guarantee:
    """A guarantee to a customer that `count` gangs of a shape can run at the same time."""

    customer: str
    shape: Shape
    count: int = 1
    failure_domain: str | None = None
    """The only failure domain whose workers may serve it, or None for any."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """The placement of one member of a gang."""

    member: int
    """Number of the member, from 0."""
    worker: str
    accelerators: tuple[int, ...]
    """Numbers of the accelerators on the worker."""
