"""Conversion of the state of the core to and from plain data."""

from __future__ import annotations

from typing import Any

import msgspec

from zinniaweir.core.coverage import AllocationSlots
from zinniaweir.core.decisions import Reason
from zinniaweir.core.gangs import Gang, Phase
from zinniaweir.core.job import Job
from zinniaweir.core.losses import WorkerLoss
from zinniaweir.core.settings import Settings
from zinniaweir.core.shape import Guarantee, Member
from zinniaweir.core.topology import Topology


class HomeState(msgspec.Struct, frozen=True, kw_only=True):
    """The slots of one guarantee allocation."""

    guarantee: Guarantee
    copy: int
    """Ordinal of the allocation among those of equal guarantees."""
    slots: AllocationSlots


class GangState(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job and its current attempt."""

    job: Job
    phase: Phase
    attempt: int = 0
    done_fraction: float = 0.0
    members: tuple[Member, ...] = ()
    started_at: float = 0.0
    ready_at: float = 0.0
    limit: float | None = None
    start_reason: Reason = Reason.FREE_CAPACITY
    end_reason: Reason | None = None
    failed_member: int | None = None
    exited: list[int] = []
    failed_workers: list[str] = []
    cancelled: bool = False
    losses: tuple[WorkerLoss, ...] = ()


class CoreState(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the core.

    Reservations, usage records, and counts of failed attempts are not part of it and start anew.
    """

    now: float
    topology: Topology
    settings: Settings
    out: list[str]
    """Names of the failure domains that are out."""
    lost_workers: list[str]
    homes: list[HomeState]
    """Guarantee allocations that have slots."""
    gangs: list[GangState]
    run_times: list[Any]
    quarantine: dict[str, Any]
    ramps: dict[int, list[float]]


def gang_state(gang: Gang, members: tuple[Member, ...]) -> GangState:
    """Return the state of a gang; a claim is stored as waiting, because its victims may change."""
    waiting = gang.phase is Phase.CLAIMING
    return GangState(
        job=gang.job,
        phase=Phase.WAITING if waiting else gang.phase,
        attempt=gang.attempt,
        done_fraction=gang.done_fraction,
        members=() if waiting else members,
        started_at=gang.started_at,
        ready_at=gang.ready_at,
        limit=gang.limit,
        start_reason=gang.start_reason,
        end_reason=gang.end_reason,
        failed_member=gang.failed_member,
        exited=sorted(gang.exited),
        failed_workers=sorted(gang.failed_workers),
        cancelled=gang.cancelled,
        losses=gang.losses,
    )


def encode_state(state: CoreState) -> dict[str, Any]:
    """Return a state as dicts, lists, strings and numbers."""
    return msgspec.to_builtins(state, str_keys=True)


def decode_state(data: dict[str, Any]) -> CoreState:
    """Return the state that plain data represents.

    Raises:
        msgspec.ValidationError: If the data is not a state.
    """
    return msgspec.convert(data, CoreState, strict=False)
