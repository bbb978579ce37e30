"""Slots, health and ejection of one upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from zinniaweir.routing.policy import RoutingPolicy
    from zinniaweir.routing.table import Upstream

LATENCY_RATIO_SMOOTHING: Final = 0.1
"""Weight of the newest answer in the moving average of latency ratios."""
MAX_LATENCY_RATIO: Final = 1000.0
"""Upper bound of a recorded ratio, so that one extreme answer fades from the average."""
EJECTION_RESET_ANSWERS: Final = 100
"""Successful answers since readmission after which earlier ejections don't lengthen the next."""


@dataclass(frozen=True, kw_only=True, eq=False)
class Slot:
    """One occupied slot of an upstream."""

    state: UpstreamState
    is_probe: bool
    """Whether its answer decides whether the ejection ends."""


class UpstreamState:
    """State of one upstream as this process sees it.

    Other entry processes use the same slots. A `busy` answer therefore lowers the concurrency
    limit of this process, and later valid answers raise it again.
    """

    def __init__(self, *, upstream: Upstream, slots: int, is_local: bool) -> None:
        self.upstream = upstream
        """Name and address."""
        self.is_local = is_local
        """Whether the upstream is in the failure domain of this process."""
        self.in_flight = 0
        """Attempts of this process that are running on the upstream."""
        self.slots = slots
        """Number of attempts that the upstream runs concurrently for all processes."""
        self.concurrency_limit = float(slots)
        """Number of attempts that this process may run concurrently on the upstream."""
        self.busy_until = 0.0
        """Time in seconds until which no attempt is sent after a `busy` answer."""
        self.is_listed_leaving = False
        """Whether the VM list reports the upstream as leaving."""
        self.leaving_until = 0.0
        """Time in seconds until which the last `leaving` answer is valid."""
        self.ejected_until = 0.0
        """Time in seconds of the next probe while the upstream is ejected, otherwise zero."""
        self.is_probing = False
        """Whether a probe is in flight."""
        self.is_removed = False
        """Whether the upstream was removed from the settings or replaced."""
        self.latency_ratio = 1.0
        """Moving average of the latency divided by the baseline latency of the same job name."""
        self.latency_samples = 0
        """Number of answers in `latency_ratio`."""
        self._consecutive_failures = 0
        self._ejections = 0
        self._busy_streak = 0

    @property
    def is_ejected(self) -> bool:
        """Whether the upstream gets only probes."""
        return self.ejected_until > 0.0

    def is_leaving(self, now: float) -> bool:
        """Return whether the upstream gets no new attempts because it is leaving."""
        return self.is_listed_leaving or now < self.leaving_until

    def has_free_slot(self, now: float) -> bool:
        """Return whether an attempt may be sent, a probe if the upstream is ejected."""
        if self.is_ejected:
            return now >= max(self.ejected_until, self.busy_until) and not self.is_probing
        return now >= self.busy_until and self.in_flight < min(self.slots, self.concurrency_limit)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; attempts beyond it run to completion."""
        self.concurrency_limit = (
            float(slots) if slots > self.slots else min(self.concurrency_limit, float(slots))
        )
        self.slots = slots

    def acquire(self) -> Slot:
        """Acquire one slot, for a probe if the upstream is ejected."""
        self.in_flight += 1
        if self.is_ejected:
            self.is_probing = True
        return Slot(state=self, is_probe=self.is_ejected)

    def release(self, slot: Slot) -> None:
        """Release one slot."""
        self.in_flight -= 1
        if slot.is_probe:
            self.is_probing = False

    def record_busy(self, *, now: float, policy: RoutingPolicy, random: Random) -> None:
        """Record a `busy` answer: lower the concurrency limit and back off."""
        # `in_flight` still includes the refused attempt.
        self.concurrency_limit = max(1.0, self.in_flight - 1.0)
        delay = min(policy.max_busy_backoff, policy.initial_busy_backoff * 2**self._busy_streak)
        self.busy_until = now + delay * (0.5 + random.random())
        self._busy_streak = min(self._busy_streak + 1, 10)

    def record_answer(self, slot: Slot) -> None:
        """Record a valid answer; the answer to a probe ends the ejection."""
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
        """Record the latency of an answer divided by the baseline latency."""
        self.latency_samples += 1
        self.latency_ratio += LATENCY_RATIO_SMOOTHING * (
            min(ratio, MAX_LATENCY_RATIO) - self.latency_ratio
        )

    def record_failure(self) -> int:
        """Record a failure and return the number of consecutive failures."""
        self._consecutive_failures += 1
        return self._consecutive_failures

    def eject(self, *, now: float, policy: RoutingPolicy, random: Random) -> None:
        """Eject the upstream until a probe succeeds; each ejection delays the probe longer."""
        delay = min(policy.max_ejection, policy.initial_ejection * 2**self._ejections)
        self.ejected_until = now + delay * (0.75 + 0.5 * random.random())
        self._ejections = min(self._ejections + 1, 10)

    def _readmit(self) -> None:
        self.ejected_until = 0.0
        self.latency_ratio = 1.0
        self.latency_samples = 0
