"""View of which VMs are live, based on their heartbeats."""

from __future__ import annotations

import math
import secrets
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from zinniaweir.wire.peer_service import Heartbeat
    from zinniaweir.wire.vmlist_service import VmEntry

SUSPECT_SECONDS: Final = 2.0
"""Default time without a heartbeat after which a VM counts as dead."""
FORGET_AFTER_SECONDS: Final = 600.0
"""Default time without a heartbeat after which a VM, such as a replaced one, is removed.

Heartbeats are then no longer sent to the address that the VM announced.
"""
MAX_PEERS: Final = 256
"""Limits the view if datagrams carry invented names; a deployment has 7 VMs."""
MAX_DATAGRAM_LIFETIME_SECONDS: Final = 30.0
"""Maximum time that a datagram is assumed to stay in the network."""
SYSTEM_ROLE: Final = "system"
"""Role of the VMs of this system on the VM list."""
LEAVING_STATE: Final = "leaving"
"""State on the VM list of a VM that is about to stop."""


def new_incarnation() -> str:
    """Return a new incarnation, which sorts after those of earlier starts of the VM.

    The order relies on the wall clock. If the clock was set back, peers accept the new incarnation
    once they received no heartbeat of the old one for the suspect time.
    """
    return f"{time.time_ns() // 1_000_000:012x}-{secrets.token_hex(4)}"


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A live VM that may own shards."""

    vm: str
    incarnation: str
    region: str
    live_since: float
    """Monotonic time in seconds since which the VM was live without interruption."""
    log_reachable: bool
    """Whether the VM reaches the log."""
    fresh_age_seconds: float
    """Age of the VM's knowledge of the end of the log."""


@dataclass(frozen=True, kw_only=True)
class Peer:
    """Another VM, as described by its heartbeats."""

    heartbeat: Heartbeat
    """The newest heartbeat; `log_offset` never decreases and `draining` is never withdrawn."""
    last_heartbeat_at: float
    """Monotonic time in seconds at which the last heartbeat arrived."""
    live_since: float
    """Monotonic time in seconds since which the VM was live without interruption."""

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.heartbeat.vm

    @property
    def incarnation(self) -> str:
        """The VM's current incarnation."""
        return self.heartbeat.incarnation


@dataclass(kw_only=True)
class _PeerState:
    """State kept about another VM."""

    peer: Peer
    replaced_incarnations: dict[str, float] = field(default_factory=dict)
    """Replaced incarnations, with the monotonic time of their replacement in seconds."""


class Membership:
    """This VM's view of the other VMs.

    Args:
        vm: Name of this VM.
        incarnation: Incarnation of this process.
        suspect_seconds: Time in seconds without a heartbeat after which a VM counts as dead.
        forget_after_seconds: Time in seconds without a heartbeat after which a VM is removed.
        region: Region of this VM.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        suspect_seconds: float = SUSPECT_SECONDS,
        forget_after_seconds: float = FORGET_AFTER_SECONDS,
        region: str = "",
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._suspect_seconds = suspect_seconds
        self._forget_after_seconds = forget_after_seconds
        self._region = region
        self._peer_states: dict[str, _PeerState] = {}
        self._leaving: frozenset[str] = frozenset()
        self.draining = False
        """Whether this VM is stopping; a draining VM is not a candidate."""

    @property
    def vm(self) -> str:
        """Name of this VM."""
        return self._vm

    @property
    def incarnation(self) -> str:
        """Incarnation of this process."""
        return self._incarnation

    @property
    def suspect_seconds(self) -> float:
        """Time in seconds without a heartbeat after which a VM counts as dead."""
        return self._suspect_seconds

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a heartbeat and return whether it was accepted.

        Args:
            heartbeat: A heartbeat of any VM; those of this VM are ignored.
            now: Monotonic time of its arrival in seconds.
        """
        if heartbeat.vm == self._vm:
            return False
        self._forget_silent_peers(now)
        state = self._peer_states.get(heartbeat.vm)
        if state is None:
            if len(self._peer_states) >= MAX_PEERS:
                return False
            self._peer_states[heartbeat.vm] = _PeerState(peer=_new_peer(heartbeat, now))
            return True
        if heartbeat.incarnation == state.peer.incarnation:
            state.peer = self._renew_peer(state.peer, heartbeat, now)
            return True
        if not self._is_newer_incarnation(state, heartbeat, now):
            return False
        state.replaced_incarnations[state.peer.incarnation] = now
        state.peer = _new_peer(heartbeat, now)
        return True

    def on_vm_list(self, entries: Iterable[VmEntry]) -> None:
        """Update which VMs are leaving; the VM list has no effect on which are live."""
        self._leaving = frozenset(
            entry.name
            for entry in entries
            if entry.role == SYSTEM_ROLE and entry.state == LEAVING_STATE
        )

    def peers(self, now: float) -> list[Peer]:
        """Return all other VMs in the view, live or not, sorted by name."""
        self._forget_silent_peers(now)
        return [self._peer_states[vm].peer for vm in sorted(self._peer_states)]

    def peer(self, vm: str) -> Peer | None:
        """Return another VM by name, or None if it is not in the view."""
        state = self._peer_states.get(vm)
        return None if state is None else state.peer

    def live(self, now: float) -> frozenset[str]:
        """Return the names of all live VMs, including this one."""
        return frozenset({self._vm, *(vm for vm in self._peer_states if self.is_live(vm, now))})

    def is_live(self, vm: str, now: float, *, incarnation: str | None = None) -> bool:
        """Return whether a VM is live.

        Args:
            vm: Name of the VM.
            now: Monotonic time in seconds.
            incarnation: If given, only this incarnation counts as live.
        """
        if vm == self._vm:
            return incarnation in (None, self._incarnation)
        state = self._peer_states.get(vm)
        if state is None or now - state.peer.last_heartbeat_at > self._suspect_seconds:
            return False
        return incarnation in (None, state.peer.incarnation)

    def is_leaving(self, vm: str) -> bool:
        """Return whether a VM is draining, or the VM list names it as leaving."""
        if vm == self._vm:
            return self.draining or vm in self._leaving
        state = self._peer_states.get(vm)
        return vm in self._leaving or (state is not None and state.peer.heartbeat.draining)

    def candidates(
        self, now: float, *, log_reachable: bool = True, fresh_age_seconds: float = 0.0
    ) -> list[Candidate]:
        """Return the live VMs that are not leaving, including this one, sorted by name.

        Args:
            now: Monotonic time in seconds.
            log_reachable: Whether this VM reaches the log.
            fresh_age_seconds: Age of this VM's knowledge of the end of the log.
        """
        candidates = [
            Candidate(
                vm=peer.vm,
                incarnation=peer.incarnation,
                region=peer.heartbeat.region,
                live_since=peer.live_since,
                log_reachable=peer.heartbeat.log_reachable,
                fresh_age_seconds=peer.heartbeat.fresh_age_seconds + now - peer.last_heartbeat_at,
            )
            for peer in self.peers(now)
            if self.is_live(peer.vm, now) and not self.is_leaving(peer.vm)
        ]
        if not self.is_leaving(self._vm):
            candidates.append(
                Candidate(
                    vm=self._vm,
                    incarnation=self._incarnation,
                    region=self._region,
                    live_since=-math.inf,
                    log_reachable=log_reachable,
                    fresh_age_seconds=fresh_age_seconds,
                )
            )
        return sorted(candidates, key=lambda candidate: candidate.vm)

    def _renew_peer(self, peer: Peer, heartbeat: Heartbeat, now: float) -> Peer:
        """Return a peer updated by a heartbeat of its incarnation; heartbeats may be reordered."""
        previous = peer.heartbeat
        if heartbeat.log_offset < previous.log_offset:
            heartbeat = previous
        was_live = now - peer.last_heartbeat_at <= self._suspect_seconds
        return Peer(
            heartbeat=_with_draining(heartbeat, previous),
            last_heartbeat_at=now,
            live_since=peer.live_since if was_live else now,
        )

    def _is_newer_incarnation(self, state: _PeerState, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether a heartbeat's incarnation replaces the current one of its VM.

        A lower incarnation, as after a clock that was set back, is accepted once the current one
        counts as dead. A recently replaced one never is, since its datagrams may be delayed.
        """
        replaced_at = state.replaced_incarnations.get(heartbeat.incarnation)
        if replaced_at is not None and now - replaced_at <= MAX_DATAGRAM_LIFETIME_SECONDS:
            return False
        if heartbeat.incarnation > state.peer.incarnation:
            return True
        return now - state.peer.last_heartbeat_at > self._suspect_seconds

    def _forget_silent_peers(self, now: float) -> None:
        for vm, state in list(self._peer_states.items()):
            if now - state.peer.last_heartbeat_at > self._forget_after_seconds:
                del self._peer_states[vm]
                continue
            for incarnation, replaced_at in list(state.replaced_incarnations.items()):
                if now - replaced_at > MAX_DATAGRAM_LIFETIME_SECONDS:
                    del state.replaced_incarnations[incarnation]


def _new_peer(heartbeat: Heartbeat, now: float) -> Peer:
    return Peer(heartbeat=heartbeat, last_heartbeat_at=now, live_since=now)


def _with_draining(heartbeat: Heartbeat, previous: Heartbeat) -> Heartbeat:
    if heartbeat.draining or not previous.draining:
        return heartbeat
    return previous
