"""Ownership of shards: the fold of its records and the policy for claims and releases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import msgspec
import xxhash

from zinniaweir.wire.records import OwnershipClaimed, OwnershipReleased

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from zinniaweir.membership.view import Candidate, Membership
    from zinniaweir.wire.records import Body

NO_EPOCH: Final = -1
"""Epoch of a shard that was never claimed; epochs are offsets, so 0 is a valid one."""
SNAPSHOT_SHARD: Final = "snapshot"
"""Shard whose owner publishes snapshots."""
FAILBACK_DELAY_SECONDS: Final = 10.0
"""Time that a preferred VM must be live before the current owner releases a shard to it.

A VM that restarts repeatedly needs several seconds for each start, so with a shorter time the
shard would move at each restart.
"""
LOG_UNREACHABLE_SECONDS: Final = 10.0
"""Time after which an owner that cannot reach the log is superseded by a VM that can."""
RETRY_INTERVAL_SECONDS: Final = 2.0
"""Minimum time before a decision is repeated, so that its record can be read back first."""
MAX_DECISION_GAP_SECONDS: Final = 1.5
"""Maximum time between two decisions; a longer gap means that the VM was paused."""
MAX_FRESH_AGE_SECONDS: Final = 2.0
"""Maximum age of a VM's knowledge of the log at which it may claim or be handed a shard."""
MAX_CANDIDATE_FRESH_AGE_SECONDS: Final = 5.0
"""Maximum age of a VM's knowledge of the log at which it is a candidate.

A VM that is still starting, or lags further behind, would not claim a shard.
"""


@dataclass(frozen=True, kw_only=True)
class Owner:
    """Owner of a shard."""

    vm: str
    incarnation: str
    epoch: int
    """Offset of the claim, which serves as the fencing token."""


class _ShardState(msgspec.Struct, kw_only=True):
    """Folded state of one shard."""

    epoch: int
    vm: str
    incarnation: str
    released: bool = False


class OwnershipFold:
    """Owners of all shards, folded from ownership records in offset order."""

    def __init__(self) -> None:
        self._shards: dict[str, _ShardState] = {}

    def apply(self, offset: int, vm: str, body: Body) -> bool:
        """Apply a record and return whether it changed an owner.

        Args:
            offset: Offset of the record.
            vm: Name of the VM that wrote the record.
            body: Body of the record; types other than claims and releases are ignored.
        """
        if isinstance(body, OwnershipClaimed):
            return self._claim(offset, vm, body)
        if isinstance(body, OwnershipReleased):
            return self._release(vm, body)
        return False

    def epoch(self, shard: str) -> int:
        """Return the epoch of the last valid claim of a shard, or `NO_EPOCH`."""
        state = self._shards.get(shard)
        return NO_EPOCH if state is None else state.epoch

    def owner(self, shard: str) -> Owner | None:
        """Return the owner of a shard, or None if it is released or was never claimed."""
        state = self._shards.get(shard)
        if state is None or state.released:
            return None
        return Owner(vm=state.vm, incarnation=state.incarnation, epoch=state.epoch)

    def shards(self) -> list[str]:
        """Return the names of all shards that were ever claimed, sorted."""
        return sorted(self._shards)

    def snapshot(self) -> dict[str, Any]:
        """Return the state as built-in types, for a snapshot."""
        return {name: msgspec.to_builtins(state) for name, state in self._shards.items()}

    def restore(self, plain: Mapping[str, Any]) -> None:
        """Replace the state by the result of `snapshot`."""
        self._shards = {name: msgspec.convert(state, _ShardState) for name, state in plain.items()}

    def _claim(self, offset: int, vm: str, body: OwnershipClaimed) -> bool:
        if body.supersedes != self.epoch(body.shard):
            return False
        self._shards[body.shard] = _ShardState(epoch=offset, vm=vm, incarnation=body.incarnation)
        return True

    def _release(self, vm: str, body: OwnershipReleased) -> bool:
        state = self._shards.get(body.shard)
        if state is None or state.released or (state.epoch, state.vm) != (body.epoch, vm):
            return False
        state.released = True
        return True


def preferred_owner(shard: str, candidates: Iterable[Candidate], region: str = "") -> str | None:
    """Return the candidate with the highest rendezvous hash, or None without candidates.

    Candidates in the region of the shard take precedence over all others.

    Args:
        shard: Name of the shard.
        candidates: VMs that may own the shard.
        region: Region of the shard, or empty if it has none.
    """
    all_candidates = list(candidates)
    local = [candidate for candidate in all_candidates if region and candidate.region == region]
    return max(
        (candidate.vm for candidate in local or all_candidates),
        key=_rendezvous_weight(shard),
        default=None,
    )


def _rendezvous_weight(shard: str) -> Callable[[str], tuple[int, str]]:
    return lambda vm: (xxhash.xxh3_64_intdigest(f"{shard}\0{vm}".encode()), vm)


class ClaimPolicy:
    """Decide which shards this VM claims or releases.

    `decide` is called about every 0.5 s. At the start, and after a gap of more than
    `MAX_DECISION_GAP_SECONDS` between calls, all other VMs seem dead because no heartbeats were
    processed. The policy then decides nothing until heartbeats were received for the suspect time.

    Args:
        failback_delay_seconds: Time in seconds that a preferred VM must be live before this VM
            releases a shard to it.
    """

    def __init__(self, *, failback_delay_seconds: float = FAILBACK_DELAY_SECONDS) -> None:
        self._failback_delay_seconds = failback_delay_seconds
        self._decided_at: float | None = None
        self._listening_since = 0.0
        self._attempts: dict[str, tuple[int, float]] = {}
        self._unreachable_since: dict[str, float] = {}

    def decide(
        self,
        now: float,
        fold: OwnershipFold,
        membership: Membership,
        caught_up: bool,
        *,
        fresh_age_seconds: float,
        log_reachable: bool,
        shards: Mapping[str, str],
    ) -> list[Body]:
        """Return the ownership records to publish.

        Args:
            now: Monotonic time in seconds.
            fold: The current owners.
            membership: The view of the other VMs.
            caught_up: Whether this VM has read the log up to its end.
            fresh_age_seconds: Age of this VM's knowledge of the end of the log.
            log_reachable: Whether this VM reaches the log.
            shards: Region of each shard; empty for a shard without a region.
        """
        if not self._has_current_view(now, membership) or not caught_up:
            return []
        if fresh_age_seconds > MAX_FRESH_AGE_SECONDS or not log_reachable:
            return []
        candidates = [
            candidate
            for candidate in membership.candidates(now, fresh_age_seconds=fresh_age_seconds)
            if candidate.log_reachable
            and candidate.fresh_age_seconds <= MAX_CANDIDATE_FRESH_AGE_SECONDS
        ]
        bodies: list[Body] = []
        for shard, region in sorted(shards.items()):
            body = self._decide_shard(now, shard, region, fold, membership, candidates)
            if body is not None and self._register_attempt(shard, fold.epoch(shard), now):
                bodies.append(body)
        return bodies

    def _has_current_view(self, now: float, membership: Membership) -> bool:
        if self._decided_at is None or now - self._decided_at > MAX_DECISION_GAP_SECONDS:
            self._listening_since = now
            self._unreachable_since.clear()
        self._decided_at = now
        return now - self._listening_since >= membership.suspect_seconds

    def _decide_shard(
        self,
        now: float,
        shard: str,
        region: str,
        fold: OwnershipFold,
        membership: Membership,
        candidates: list[Candidate],
    ) -> Body | None:
        owner = fold.owner(shard)
        preferred = preferred_owner(shard, candidates, region)
        if owner is not None and _is_own(owner, membership):
            return self._release_if_due(now, owner, shard, preferred, membership, candidates)
        if preferred != membership.vm:
            return None
        if owner is not None and not self._is_replaceable(now, owner, membership):
            return None
        return OwnershipClaimed(
            shard=shard, incarnation=membership.incarnation, supersedes=fold.epoch(shard)
        )

    def _release_if_due(
        self,
        now: float,
        owner: Owner,
        shard: str,
        preferred: str | None,
        membership: Membership,
        candidates: list[Candidate],
    ) -> Body | None:
        release = OwnershipReleased(shard=shard, epoch=owner.epoch)
        if membership.is_leaving(membership.vm):
            return release
        if preferred in (None, membership.vm):
            return None
        successor = next(candidate for candidate in candidates if candidate.vm == preferred)
        is_stable = now - successor.live_since >= self._failback_delay_seconds
        return (
            release if is_stable and successor.fresh_age_seconds <= MAX_FRESH_AGE_SECONDS else None
        )

    def _is_replaceable(self, now: float, owner: Owner, membership: Membership) -> bool:
        if not membership.is_live(owner.vm, now, incarnation=owner.incarnation):
            return True
        return membership.is_leaving(owner.vm) or self._is_cut_off_from_log(now, owner, membership)

    def _is_cut_off_from_log(self, now: float, owner: Owner, membership: Membership) -> bool:
        peer = membership.peer(owner.vm)
        if peer is None or peer.heartbeat.log_reachable:
            self._unreachable_since.pop(owner.vm, None)
            return False
        since = self._unreachable_since.setdefault(owner.vm, now)
        return now - since >= LOG_UNREACHABLE_SECONDS

    def _register_attempt(self, shard: str, epoch: int, now: float) -> bool:
        attempt = self._attempts.get(shard)
        if (
            attempt is not None
            and attempt[0] == epoch
            and now - attempt[1] < RETRY_INTERVAL_SECONDS
        ):
            return False
        self._attempts[shard] = (epoch, now)
        return True


def _is_own(owner: Owner, membership: Membership) -> bool:
    return (owner.vm, owner.incarnation) == (membership.vm, membership.incarnation)
