"""Rules for when a VM claims the ownership of scheduling."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from zlib import crc32

from zinniaweir.workloads.records import OwnerClaim, VmAddress

RENEWAL_INTERVAL_SECONDS: Final = 0.3
"""How often an owner renews its claim."""
OWNER_TIMEOUT_SECONDS: Final = 1.2
"""An owner whose renewals are missing from a readable log for this long is replaced."""
READ_SECONDS: Final = 0.05
"""Time of a read of a fast log, without the time that it waits for a record."""
SLOWNESS_FACTOR: Final = 4.0
"""Multiple of the log's slowness that is added to an owner's timeout.

A slow log delays a renewal by its append, by the reply, and by the read that shows it.
"""
SLOWNESS_SMOOTHING: Final = 0.3
"""Weight of a new read in the moving average of the log's slowness."""
OUTAGE_GAP_SECONDS: Final = 1.0
"""A longer gap between successful reads is an outage and restarts the owner's timeout."""


PREFERRED_CORES: Final = 1.0
"""Processor time of a VM that is preferred as owner, in cores.

An owner of 176 workers uses 0.4 of a core averaged over a day, and several times that in a burst.
"""
SMALL_VM_DELAY_SECONDS: Final = 0.3
"""How long a smaller VM lets preferred ones claim first; longer than one read of the log."""
RANK_DELAY_SECONDS: Final = 0.1
"""Delay of a claim for each VM ranked before; other VMs read a claim within this time."""
RANK_SLOWNESS_FACTOR: Final = 2.0
"""Multiple of the log's slowness that is added to the delay for each rank.

A slow log delays a claim by its append and by the read that shows it.
"""
MAX_RANK_DELAY_SECONDS: Final = 0.8
"""Limit of the delay for each rank.

On its slowest days the log answers within 0.4 s, so other VMs read a claim within this time.
"""
MAX_CLAIM_DELAY_SECONDS: Final = 6.0
"""Limit of the whole delay, for the case that no VM ranked before runs any more."""


def claim_rank(vm: str, vms: Iterable[VmAddress], *, last: OwnerClaim | None) -> int:
    """Return how many other VMs claim the ownership before a VM.

    All VMs compute the same order, so that one claims and the others see its claim. Simultaneous
    claims of all VMs delay each other on a slow log, and delay the winner's renewals too.

    Args:
        vm: Name of the VM.
        vms: All known VMs; some may no longer run.
        last: The claim to be replaced, None if there is none.
    """
    epoch, former_vm = (last.epoch, last.vm) if last else (0, "")
    order = sorted(
        (not other.strong, crc32(f"{epoch}/{other.vm}".encode()), other.vm)
        for other in vms
        if other.vm != former_vm
    )
    names = [name for _, _, name in order]
    return names.index(vm) if vm in names else 0


def earlier_owners_ended(last: OwnerClaim | None, *, vm: str) -> bool:
    """Return whether no owner up to the last one can renew a lease any more.

    The end of the last owner tells nothing about an owner before it that was cut off from the log
    and still renews leases.

    Args:
        last: The claim to be replaced, None if there is none.
        vm: Name of the VM that claims; its earlier process has ended.
    """
    return last is None or (last.sole and (last.released or last.vm == vm))


class ClaimPolicy:
    """Decide from the claims on the log when this VM should claim the ownership.

    An owner's silence counts only while the log is readable, so an outage of the log, which
    silences every owner, replaces none.

    Args:
        vm: Name of this VM; a claim of an earlier process on this VM may be replaced at once.
        incarnation: Identifies this process.
        extra_delay: Seconds by which this VM waits longer than others, so that few claim at once.
        vacancy_delay: Seconds for which a VM leaves a vacant ownership to other VMs, 0 for a
            preferred VM.
        normal_read_seconds: Interval between reads of a fast log; the excess over it is the measure
            of the log's slowness.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        extra_delay: float,
        normal_read_seconds: float,
        vacancy_delay: float = 0.0,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._extra_delay = extra_delay + vacancy_delay
        self._vacancy_delay = vacancy_delay
        self._normal_read_seconds = normal_read_seconds
        self._last_renewal: tuple[int, int, bool] | None = None
        self._unchanged_since: float | None = None
        self._slowness = 0.0

    def observe(self, claim: OwnerClaim | None, *, previous_at: float, at: float) -> None:
        """Process a successful read of the log.

        Args:
            claim: The newest claim, None if there is none.
            previous_at: When the previous successful read was sent, in seconds.
            at: When this read was sent, in seconds.
        """
        if at - previous_at <= OUTAGE_GAP_SECONDS:
            excess = max(at - previous_at - self._normal_read_seconds, 0.0)
            self._slowness += SLOWNESS_SMOOTHING * (excess - self._slowness)
        renewal = (claim.epoch, claim.beat, claim.released) if claim else None
        if (
            self._unchanged_since is None
            or renewal != self._last_renewal
            or at - previous_at > OUTAGE_GAP_SECONDS
        ):
            self._unchanged_since = at
        self._last_renewal = renewal

    def claim_delay(self, rank: int) -> float:
        """Return the delay before a claim, in seconds.

        Args:
            rank: How many other VMs claim before this one.
        """
        rank_delay = RANK_DELAY_SECONDS + RANK_SLOWNESS_FACTOR * self._slowness
        return min(rank * min(rank_delay, MAX_RANK_DELAY_SECONDS), MAX_CLAIM_DELAY_SECONDS)

    def should_claim(self, claim: OwnerClaim | None, *, fresh_at: float) -> bool:
        """Return whether this VM should claim the ownership now.

        Args:
            claim: The newest claim, None if there is none.
            fresh_at: When the last successful read of the log was sent, in seconds.
        """
        if self._unchanged_since is None:
            return False
        if claim is None or claim.released:
            return fresh_at - self._unchanged_since >= self._vacancy_delay
        if claim.vm == self._vm and claim.incarnation != self._incarnation:
            return True
        owner_timeout = OWNER_TIMEOUT_SECONDS + SLOWNESS_FACTOR * self._slowness
        return fresh_at - self._unchanged_since >= self._extra_delay + owner_timeout
