"""Budget that limits retries and hedges to a share of the requests."""

from __future__ import annotations


class Budget:
    """Token bucket to which requests add tokens and from which extra attempts take them.

    Args:
        share: Number of tokens that each request adds; an extra attempt takes one.
        reserve: Maximum number of tokens, which the bucket also holds at first.
    """

    def __init__(self, *, share: float, reserve: int) -> None:
        self._share = share
        self._reserve = float(reserve)
        self._tokens = float(reserve)

    def earn(self) -> None:
        """Add the tokens for one request, up to the reserve."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def refund(self) -> None:
        """Return the token of an extra attempt that was not made."""
        self._tokens = min(self._reserve, self._tokens + 1.0)

    def spend(self) -> bool:
        """Take the token for one extra attempt; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
