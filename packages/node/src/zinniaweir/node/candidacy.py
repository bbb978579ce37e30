"""Whether a VM should claim the ownership of scheduling."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from zlib import crc32

from zinniaweir.workloads.records import OwnerClaim, VmAddress

BEAT_SECONDS: Final = 0.3
"""How often an owner renews its claim."""
SILENCE_SECONDS: Final = 1.2
"""An owner that renewed nothing on a readable log for this long is replaced."""
CALM_INTERVAL_SECONDS: Final = 0.45
"""Time between reads of a log that answers at once; what is beyond tells how slow it is."""
SLOW_FACTOR: Final = 4.0
"""A slow log delays a renewal by its append, a reply, and the read that shows it."""
SLOW_WEIGHT: Final = 0.3
GAP_SECONDS: Final = 1.0
"""A longer gap between good reads is an outage: the owner gets its time anew."""


STRONG_CORES: Final = 1.0
"""An owner of 176 workers uses 0.4 of a core over a day and several times that in a burst."""
HANDICAP_SECONDS: Final = 0.3
"""How long a VM with less leaves the ownership to stronger ones; one read of the log is shorter."""
CLAIM_STEP_SECONDS: Final = 0.1
"""Pause of a VM for each that claims before it; a claim is read by others within this."""
CLAIM_SLOW_STEPS: Final = 2.0
"""A slow log delays a claim by its append and by the read that shows it."""
MOST_STEP_SECONDS: Final = 0.8
"""The slowest days answer within 0.4 s, so a claim is seen within this."""
MOST_PAUSE_SECONDS: Final = 6.0
"""Longest pause, in case that all VMs before this one are gone."""


def claim_rank(vm: str, vms: Iterable[VmAddress], *, last: OwnerClaim | None) -> int:
    """Return how many other VMs claim before a VM.

    All VMs compute the same order, so that one claims and the others see it: claims of all at once
    delay each other on a slow log, and the winner's renewals too.

    Args:
        vm: The VM.
        vms: All VMs that are known; some may be gone.
        last: The claim that is to be replaced.
    """
    epoch, former = (last.epoch, last.vm) if last else (0, "")
    order = sorted(
        (not other.strong, crc32(f"{epoch}/{other.vm}".encode()), other.vm)
        for other in vms
        if other.vm != former
    )
    names = [name for _, _, name in order]
    return names.index(vm) if vm in names else 0


class Candidacy:
    """Watch the claims of a log.

    Only time in which the log was read counts, so that an outage of the log, which silences
    every owner, replaces none.

    Args:
        vm: Name of this VM; a claim of an earlier process on it is vacant at once.
        incarnation: Identifies this process.
        delay: Seconds that this VM waits longer than the quickest, so that few claim at once.
        handicap: Seconds for which it leaves a vacancy to other VMs, 0 for a strong one.
    """

    def __init__(self, *, vm: str, incarnation: str, delay: float, handicap: float = 0.0) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._delay = delay + handicap
        self._handicap = handicap
        self._seen: tuple[int, int, bool] | None = None
        self._quiet_since: float | None = None
        self._slowness = 0.0

    def read(self, claim: OwnerClaim | None, *, previous_at: float, at: float) -> None:
        """Take a good read of the log.

        Args:
            claim: The newest claim, None if there is none.
            previous_at: When the good read before was sent, in seconds.
            at: When this one was sent.
        """
        if at - previous_at <= GAP_SECONDS:
            beyond = max(at - previous_at - CALM_INTERVAL_SECONDS, 0.0)
            self._slowness += SLOW_WEIGHT * (beyond - self._slowness)
        seen = (claim.epoch, claim.beat, claim.released) if claim else None
        if self._quiet_since is None or seen != self._seen or at - previous_at > GAP_SECONDS:
            self._quiet_since = at
        self._seen = seen

    def pause(self, rank: int) -> float:
        """Return how long to wait before a claim, in seconds.

        Args:
            rank: How many other VMs claim before.
        """
        step = CLAIM_STEP_SECONDS + CLAIM_SLOW_STEPS * self._slowness
        return min(rank * min(step, MOST_STEP_SECONDS), MOST_PAUSE_SECONDS)

    def should_claim(self, claim: OwnerClaim | None, *, fresh_at: float) -> bool:
        """Return whether to claim now.

        Args:
            claim: The newest claim.
            fresh_at: When the last good read was sent.
        """
        if self._quiet_since is None:
            return False
        if claim is None or claim.released:
            return fresh_at - self._quiet_since >= self._handicap
        if claim.vm == self._vm and claim.incarnation != self._incarnation:
            return True
        allowed = SILENCE_SECONDS + SLOW_FACTOR * self._slowness
        return fresh_at - self._quiet_since >= self._delay + allowed
