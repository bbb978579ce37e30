"""Policy of the router."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RoutingPolicy:
    """Limits and durations of the router; durations are in seconds."""

    choice: str = "least_outstanding"
    """Load-balancing algorithm, a key of `CHOICES` in `choice.py`."""
    max_waiting: int = 1000
    """Number of requests that may wait for slots of one service."""
    min_attempt_seconds: float = 0.005
    """Time left below which no attempt is started, as it would likely end as `unknown`."""
    retry_share: float = 0.2
    """Retries per request after attempts that may have run."""
    retry_reserve: int = 10
    """Number of such retries that are allowed in a burst, even with few requests."""
    max_failed_attempts: int = 4
    """Number of failed attempts after which a request is not sent again."""
    initial_backoff: float = 0.01
    """Maximum delay before the first retry; it doubles with each failed attempt."""
    max_backoff: float = 0.5
    """Upper bound of the delay before a retry."""
    hedge_quantile: float = 0.95
    """Quantile of the latencies of the job name after which an attempt is hedged."""
    hedge_share: float = 0.05
    """Hedges per idempotent request."""
    hedge_reserve: int = 5
    """Number of hedges that are allowed in a burst, even with few requests."""
    min_hedge_delay: float = 0.002
    """Minimum delay before a hedge; with less, scheduling jitter would trigger hedges."""
    eject_failures: int = 5
    """Number of consecutive failures that ejects an upstream."""
    eject_latency_ratio: float = 4.0
    """Latency ratio, as a multiple of the median of the service, above which an upstream is
    ejected."""
    eject_latency_samples: int = 20
    """Number of answers of an upstream before it can be ejected for its latency."""
    initial_ejection: float = 1.0
    """Typical duration of the first ejection; it doubles with each further one."""
    max_ejection: float = 30.0
    """Upper bound of the typical duration of an ejection."""
    max_ejected_share: float = 0.5
    """Maximum share of the upstreams of a service that is ejected at a time."""
    min_conclusive_timeout: float = 0.25
    """Minimum timeout that counts as a failure of the upstream while the latency of the job name is
    unknown; otherwise the minimum is twice its 95% quantile."""
    initial_busy_backoff: float = 0.002
    """Typical delay after the first `busy` answer; it doubles with each further one."""
    max_busy_backoff: float = 0.1
    """Upper bound of the typical delay after `busy` answers."""
    leaving_seconds: float = 30.0
    """Duration for which a `leaving` answer is valid; the VM list confirms it later."""
