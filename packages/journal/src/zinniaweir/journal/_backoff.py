"""Exponential backoff with jitter."""

from __future__ import annotations

import random
from typing import Final

INITIAL_DELAY_SECONDS: Final = 0.05
"""Maximum delay after the first failure."""
MAX_DELAY_SECONDS: Final = 0.5
"""Maximum delay; jitter shortens a delay by at most half.

The end of an outage is noticed within 0.5 s, and retries cost about as much as idle polls.
"""


class Backoff:
    """Delays between the attempts of an operation that keeps failing.

    Args:
        rng: Source of the jitter.
    """

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._failures = 0

    def next_delay(self) -> float:
        """Count a failure and return the seconds to wait before the next attempt."""
        ceiling = min(MAX_DELAY_SECONDS, INITIAL_DELAY_SECONDS * 2 ** min(self._failures, 16))
        self._failures += 1
        return ceiling * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Reset the delay after a success."""
        self._failures = 0
