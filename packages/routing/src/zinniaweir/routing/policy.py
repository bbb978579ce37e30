"""Constants of the router."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RoutingPolicy:
    """Limits and times of the router; times in seconds."""

    choice: str = "least_outstanding"
    """Way of choosing an upstream, see `choice.py`."""
    max_waiting: int = 1000
    """Requests that may wait for a slot of one service."""
    min_attempt_seconds: float = 0.005
    """A try with less time left is not started; it would likely end as `unknown`."""
    retry_share: float = 0.2
    """Retries after a failure that may have reached an upstream, per request."""
    retry_reserve: int = 10
    """Such retries that are allowed at once, however few requests there were."""
    max_failed_attempts: int = 4
    """Tries of one request that may fail before it is given up."""
    initial_backoff: float = 0.01
    max_backoff: float = 0.5
    hedge_quantile: float = 0.95
    hedge_share: float = 0.05
    """Hedges per idempotent request."""
    hedge_reserve: int = 5
    min_hedge_delay: float = 0.002
    """Shortest delay before a hedge; below it, scheduling noise would decide."""
    eject_failures: int = 5
    """Consecutive failures after which an upstream is ejected."""
    eject_latency_ratio: float = 4.0
    """An upstream this many times slower than the median of its service is ejected."""
    eject_latency_samples: int = 20
    initial_ejection: float = 1.0
    max_ejection: float = 30.0
    max_ejected_share: float = 0.5
    """Never more than this share of the upstreams of a service is ejected."""
    min_conclusive_timeout: float = 0.25
    """A timeout counts against an upstream if it had this long, or twice the usual time."""
    initial_busy_backoff: float = 0.002
    max_busy_backoff: float = 0.1
    leaving_seconds: float = 30.0
    """How long a `leaving` answer counts; the VM list that confirms it lags."""
