"""Progress of one request through its attempts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from zinniaweir.routing.request import RoutedRequest, RouteResult
from zinniaweir.routing.waiting import Waiter

if TYPE_CHECKING:
    from zinniaweir.routing.attempt import AttemptResult


class Call:
    """Progress of one request: its attempts, failures and deadline."""

    def __init__(self, *, request: RoutedRequest, started_at: float) -> None:
        self.request = request
        """The request."""
        self.attempts = 0
        """Number of attempts, hedges included."""
        self.failures = 0
        """Number of failed attempts, without those that were refused as `busy` or `leaving`."""
        self.tried_upstreams: set[str] = set()
        """Names of upstreams that failed the request or were so slow that it was hedged."""
        self.lost_reason = ""
        """Why the answer of an attempt that may have run was lost; empty if there is none."""
        self._deadline = started_at + request.deadline_seconds

    def record_failure(self, attempt: AttemptResult) -> None:
        """Record an attempt that was lost or did not reach its upstream."""
        self.failures += 1
        self.tried_upstreams.add(attempt.upstream)
        if attempt.outcome == "lost":
            self.lost_reason = attempt.reason

    def remaining(self) -> float:
        """Return the time in seconds left until the caller's deadline."""
        return self._deadline - _now()

    def new_waiter(self) -> Waiter:
        """Return a new waiter for a slot."""
        return Waiter(
            priority=self.request.priority,
            name=self.request.name,
            idempotent=self.request.idempotent,
            tried_upstreams=frozenset(self.tried_upstreams),
            is_retry=self.attempts > 0,
        )

    def final_result(self, attempt: AttemptResult) -> RouteResult | None:
        """Return the result if the upstream answered `done` or `failed`, otherwise None."""
        if attempt.outcome not in ("done", "failed"):
            return None
        return RouteResult(
            state=attempt.outcome,
            reason=attempt.reason,
            body=attempt.body,
            upstream=attempt.upstream,
            attempts=self.attempts,
        )

    def unanswered_result(self, reason: str) -> RouteResult:
        """Return the result `not_run`, or `unknown` if any attempt may have run."""
        if self.lost_reason:
            return RouteResult(state="unknown", reason=self.lost_reason, attempts=self.attempts)
        return RouteResult(state="not_run", reason=reason, attempts=self.attempts)


def _now() -> float:
    return asyncio.get_running_loop().time()
