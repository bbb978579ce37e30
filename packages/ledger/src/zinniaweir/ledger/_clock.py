"""Clock that follows the claims on the log and shows the same time on every VM."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_WRITERS: Final = 7
"""Number of VMs in the system. The clock follows the VMs that wrote most recently."""


class LedgerClock:
    """Lower median of the latest `claimed_at` of the most recent writers; it never goes back.

    The time depends only on the records and not on the clock of the VM that folds them. With
    three writers or more, a single VM with a wrong clock cannot shift it. With two writers, a
    slow clock can hold it back, which delays expiry. A single writer sets it alone.
    """

    def __init__(self) -> None:
        self._writers: OrderedDict[str, float] = OrderedDict()
        self._now = float("-inf")

    @property
    def now(self) -> float:
        """Current time in seconds; minus infinity before the first claim."""
        return self._now

    def observe(self, vm: str, claimed_at: float) -> None:
        """Update the clock with the time that a VM wrote into a claim."""
        self._writers[vm] = claimed_at
        self._writers.move_to_end(vm)
        if len(self._writers) > MAX_WRITERS:
            self._writers.popitem(last=False)
        times = sorted(self._writers.values())
        self._now = max(self._now, times[(len(times) - 1) // 2])

    def snapshot(self) -> dict[str, Any]:
        """Return the state as data for msgpack."""
        return {"writers": list(self._writers.items()), "now": self._now}

    def restore(self, data: Mapping[str, Any]) -> None:
        """Replace the state with that of a decoded snapshot."""
        self._writers = OrderedDict((vm, at) for vm, at in data["writers"])
        self._now = data["now"]
