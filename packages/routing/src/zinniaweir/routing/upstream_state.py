"""What the router knows of one upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from zinniaweir.routing.policy import RoutingPolicy
    from zinniaweir.routing.table import Upstream

LATENCY_RATIO_SMOOTHING: Final = 0.1
"""Weight of the newest answer in the mean slowness."""
MAX_LATENCY_RATIO: Final = 1000.0
"""Larger ratios count as this one, so that one answer is forgotten in time."""
EJECTION_RESET_ANSWERS: Final = 100
"""Answers in a row after which earlier ejections no longer lengthen the next one."""


@dataclass(frozen=True, kw_only=True, eq=False)
class Slot:
    """One occupied slot of an upstream."""

    state: UpstreamState
    is_probe: bool
    """Whether its answer decides if an ejection ends."""


class UpstreamState:
    """Slots, health and ejection of one upstream.

    Other entry processes use the same slots. A `busy` answer therefore lowers this process's
    share of the slots, and answered requests raise it again.
    """

    def __init__(self, *, upstream: Upstream, slots: int, is_local: bool) -> None:
        self.upstream = upstream
        """Name and address."""
        self.is_local = is_local
        """Whether it is in the failure domain of this process."""
        self.in_flight = 0
        """Tries of this process that run there."""
        self.slots = slots
        """Tries that it runs at once for all processes."""
        self.concurrency_limit = float(slots)
        """Tries that this process may run there at once."""
        self.busy_until = 0.0
        """Time before which it gets no new try because it was busy."""
        self.is_listed_leaving = False
        """Whether the VM list says that it is leaving."""
        self.leaving_until = 0.0
        """Time until which its own `leaving` answer counts."""
        self.ejected_until = 0.0
        """Time of the next probe while it is ejected, otherwise zero."""
        self.is_probing = False
        """Whether a probe runs."""
        self.is_removed = False
        """Whether the settings no longer list it."""
        self.latency_ratio = 1.0
        """Mean of its latency over the usual latency of the same job name."""
        self.latency_samples = 0
        """Answers behind `slowness`."""
        self._consecutive_failures = 0
        self._ejections = 0
        self._busy_streak = 0

    @property
    def is_ejected(self) -> bool:
        """Whether it gets no work but probes."""
        return self.ejected_until > 0.0

    def is_leaving(self, now: float) -> bool:
        """Return whether it gets no new work because it leaves."""
        return self.is_listed_leaving or now < self.leaving_until

    def has_free_slot(self, now: float) -> bool:
        """Return whether a new try may be sent to it."""
        if self.is_ejected:
            return now >= max(self.ejected_until, self.busy_until) and not self.is_probing
        return now >= self.busy_until and self.in_flight < min(self.slots, self.concurrency_limit)

    def set_slots(self, slots: int) -> None:
        """Apply a new number of slots; tries beyond it run to their end."""
        self.concurrency_limit = (
            float(slots) if slots > self.slots else min(self.concurrency_limit, float(slots))
        )
        self.slots = slots

    def acquire(self) -> Slot:
        """Occupy one slot."""
        self.in_flight += 1
        if self.is_ejected:
            self.is_probing = True
        return Slot(state=self, is_probe=self.is_ejected)

    def release(self, slot: Slot) -> None:
        """Free one slot."""
        self.in_flight -= 1
        if slot.is_probe:
            self.is_probing = False

    def record_busy(self, *, now: float, policy: RoutingPolicy, random: Random) -> None:
        """Count a `busy` answer."""
        # The refused try is still counted in `in_flight`.
        self.concurrency_limit = max(1.0, self.in_flight - 1.0)
        delay = min(policy.max_busy_backoff, policy.initial_busy_backoff * 2**self._busy_streak)
        self.busy_until = now + delay * (0.5 + random.random())
        self._busy_streak = min(self._busy_streak + 1, 10)

    def record_answer(self, slot: Slot) -> None:
        """Count an answer that matched its request; the answer to a probe ends an ejection."""
        self._consecutive_failures = 0
        self._busy_streak = 0
        if slot.is_probe:
            self._readmit()
        elif self.latency_samples >= EJECTION_RESET_ANSWERS:
            self._ejections = 0
        self.concurrency_limit = min(
            float(self.slots), self.concurrency_limit + 1.0 / self.concurrency_limit
        )

    def record_latency_ratio(self, ratio: float) -> None:
        """Count the latency of an answer over the usual latency."""
        self.latency_samples += 1
        self.latency_ratio += LATENCY_RATIO_SMOOTHING * (
            min(ratio, MAX_LATENCY_RATIO) - self.latency_ratio
        )

    def record_failure(self) -> int:
        """Count a failure and return how many came without an answer between them."""
        self._consecutive_failures += 1
        return self._consecutive_failures

    def eject(self, *, now: float, policy: RoutingPolicy, random: Random) -> None:
        """Send it nothing but probes, with a longer pause each time."""
        delay = min(policy.max_ejection, policy.initial_ejection * 2**self._ejections)
        self.ejected_until = now + delay * (0.75 + 0.5 * random.random())
        self._ejections = min(self._ejections + 1, 10)

    def _readmit(self) -> None:
        self.ejected_until = 0.0
        self.latency_ratio = 1.0
        self.latency_samples = 0
