"""Clock for ages and deadlines that also counts the time for which a VM was suspended."""

from __future__ import annotations

import time


def boottime() -> float:
    """Return the seconds since the VM was booted.

    `time.monotonic` leaves out the time of a suspension, so after one an old view of settings and
    workers would pass for a fresh one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
