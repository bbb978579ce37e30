"""Cluster state that every scheduler process folds from the log."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import msgspec

from zinniaweir.ledger.ledger import Ledger
from zinniaweir.membership.ownership import OwnershipFold
from zinniaweir.scheduler.jobs import JobEntry, JobTable
from zinniaweir.settings.fold import SettingsFold
from zinniaweir.wire.records import (
    JobFinished,
    JobPlaced,
    JobRequeued,
    JobsCancelled,
    JobStarted,
    JobSubmitted,
    OwnershipClaimed,
    OwnershipReleased,
    Record,
    RequestClaimed,
    RequestFinished,
    RequestReleased,
    SettingsPut,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.settings.checks import CheckGuarantees

SNAPSHOT_FORMAT: Final = 1
SECONDS_PER_HOUR: Final = 3600.0
REGION_SHARD_PREFIX: Final = "region/"


class SnapshotError(Exception):
    """A snapshot cannot be read by this version."""


@dataclass(frozen=True, kw_only=True)
class StateChange:
    """What a record or a restore changed, passed to the listeners of the cluster state."""

    jobs: tuple[JobEntry, ...] = ()
    """Jobs that changed."""
    settings: bool = False
    """Whether the settings changed."""
    ownership: str = ""
    """Name of the shard whose owner changed, or empty."""
    request: str = ""
    """Key of the request whose claim may have changed, or empty."""


def region_shard(region: str) -> str:
    """Return the name of the shard whose owner schedules a region."""
    return f"{REGION_SHARD_PREFIX}{region}"


class ClusterState:
    """Settings, ownership, jobs and claims, folded from records in log order.

    Args:
        check_guarantees: Returns the problems of guarantees that do not fit the topology.
    """

    def __init__(self, *, check_guarantees: CheckGuarantees) -> None:
        self._check_guarantees = check_guarantees
        self.settings = SettingsFold(check_guarantees=check_guarantees)
        """Settings in force and their history."""
        self.ownership = OwnershipFold()
        """Owners and epochs of the shards."""
        self.jobs = JobTable(epoch_of=lambda region: self.ownership.epoch(region_shard(region)))
        """State of each job."""
        self.ledger = Ledger()
        """Claims and answers of non-idempotent requests."""
        self._listeners: list[Callable[[StateChange], None]] = []

    def add_listener(self, listener: Callable[[StateChange], None]) -> None:
        """Add a function that is called with each change, also with those of a restore."""
        self._listeners.append(listener)

    def on_record(self, offset: int, record: Record) -> None:
        """Apply one record and notify the listeners if it may have changed something."""
        change = self._fold(record.body, offset, record)
        if change is not None:
            self._notify(change)

    def snapshot(self) -> bytes:
        """Return the state encoded as msgpack."""
        state = {
            "format": SNAPSHOT_FORMAT,
            "settings": self.settings.snapshot(),
            "ownership": self.ownership.snapshot(),
            "jobs": self.jobs.snapshot(),
            "ledger": self.ledger.snapshot(),
        }
        return msgspec.msgpack.encode(state)

    def restore(self, payload: bytes) -> None:
        """Replace the state with that of a snapshot and notify the listeners.

        Raises:
            SnapshotError: If this version cannot read the snapshot.
        """
        try:
            state = msgspec.msgpack.decode(payload)
            if state["format"] != SNAPSHOT_FORMAT:
                raise SnapshotError(
                    f"snapshot has format {state['format']}, expected {SNAPSHOT_FORMAT}"
                )
            self.settings = SettingsFold.restore(
                state["settings"], check_guarantees=self._check_guarantees
            )
            self.ownership.restore(state["ownership"])
            self.jobs.restore(state["jobs"])
            self.ledger.restore(state["ledger"])
        except (msgspec.MsgspecError, KeyError, TypeError) as error:
            raise SnapshotError(f"snapshot is not valid: {error!r}") from error
        self._apply_policy()
        self._notify(StateChange(settings=True, jobs=tuple(self.jobs.newest_first())))
        # Owners may have changed between the last record that was applied and the snapshot.
        for shard in self.ownership.shards():
            self._notify(StateChange(ownership=shard))

    def _notify(self, change: StateChange) -> None:
        for listener in self._listeners:
            listener(change)

    def _apply_policy(self) -> None:
        """Apply settings that affect how later records fold, at the same offset on every VM."""
        hours = self.settings.model.policy.ledger_ttl_hours
        self.ledger.ttl_seconds = hours * SECONDS_PER_HOUR

    @singledispatchmethod
    def _fold(self, body: Any, offset: int, record: Record) -> StateChange | None:
        return None

    @_fold.register
    def _(self, body: SettingsPut, offset: int, record: Record) -> StateChange | None:
        change = self.settings.apply(offset, record.id, record.at, body)
        if not change.accepted:
            return None
        self._apply_policy()
        return StateChange(settings=True)

    @_fold.register(OwnershipClaimed)
    @_fold.register(OwnershipReleased)
    def _(
        self, body: OwnershipClaimed | OwnershipReleased, offset: int, record: Record
    ) -> StateChange | None:
        before = self.ownership.owner(body.shard)
        self.ownership.apply(offset, record.vm, body)
        if self.ownership.owner(body.shard) == before:
            return None
        return StateChange(ownership=body.shard)

    @_fold.register(RequestClaimed)
    @_fold.register(RequestReleased)
    @_fold.register(RequestFinished)
    def _(
        self,
        body: RequestClaimed | RequestReleased | RequestFinished,
        offset: int,
        record: Record,
    ) -> StateChange | None:
        self.ledger.apply(offset, record)
        return StateChange(request=body.key)

    @_fold.register(JobSubmitted)
    @_fold.register(JobPlaced)
    @_fold.register(JobStarted)
    @_fold.register(JobRequeued)
    @_fold.register(JobFinished)
    @_fold.register(JobsCancelled)
    def _(self, body: Any, offset: int, record: Record) -> StateChange | None:
        jobs = self.jobs.apply(offset, record)
        return StateChange(jobs=tuple(jobs)) if jobs else None
