"""Token bucket."""

from __future__ import annotations

from math import isinf


class TokenBucket:
    """Token bucket with a rate in tokens per second and a burst; the caller passes the time."""

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def consume(self, now: float) -> bool:
        """Consume one token; return False if there is none.

        Args:
            now: Current time in seconds; a time before the last one adds no tokens.
        """
        if isinf(self._rate):
            return True
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def reconfigure(self, *, rate: float, burst: float, now: float) -> None:
        """Change the rate and burst and keep the available tokens, up to the new burst."""
        if isinf(self._rate):
            self._tokens = burst
            self._refilled_at = now
        else:
            self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + passed * self._rate)
        self._refilled_at = max(self._refilled_at, now)
