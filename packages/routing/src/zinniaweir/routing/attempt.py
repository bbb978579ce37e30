"""Single attempts of requests at one upstream."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Final, Literal

from zinniaweir.routing.transport import SendError
from zinniaweir.telemetry.logs import log
from zinniaweir.wire.upstream_service import UpstreamReply, UpstreamRequest

if TYPE_CHECKING:
    from zinniaweir.routing.policy import RoutingPolicy
    from zinniaweir.routing.pool import Pool
    from zinniaweir.routing.request import RoutedRequest
    from zinniaweir.routing.transport import Transport
    from zinniaweir.routing.upstream_state import Slot

REPLY_STATES: Final = frozenset({"done", "failed", "not_mine", "busy", "leaving"})

Outcome = Literal["done", "failed", "not_mine", "busy", "leaving", "unreachable", "lost"]


@dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """Outcome of one attempt; after `lost` the request may have run."""

    outcome: Outcome
    upstream: str
    """Name of the upstream."""
    reason: str = ""
    """Reason that the upstream gave, or the fault after which there is no valid answer."""
    body: bytes = b""


class AttemptRunner:
    """Run attempts and record their outcomes in the health of the pool."""

    def __init__(self, *, transport: Transport, policy: RoutingPolicy) -> None:
        self._transport = transport
        self._policy = policy
        self._id_prefix = uuid.uuid4().hex
        self._numbers = count(1)

    async def run(
        self, pool: Pool, slot: Slot, request: RoutedRequest, *, timeout: float
    ) -> AttemptResult:
        """Send a request once; the caller releases the slot.

        Args:
            pool: Pool of the service.
            slot: Acquired slot of the upstream.
            request: The request.
            timeout: Time in seconds after which the attempt is `lost`.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        message = self._build_message(request, timeout)
        try:
            async with asyncio.timeout(timeout):
                reply = await self._transport.send(slot.state.upstream, message, timeout)
            return self._handle_reply(pool, slot, request, message, reply, loop.time() - started_at)
        except TimeoutError:
            return self._handle_lost(pool, slot, request, timeout=timeout, reason="timeout")
        except SendError as error:
            if error.is_unsent:
                pool.health.record_failure(slot, reason="unreachable")
                return _result("unreachable", slot, "unreachable")
            return self._handle_lost(pool, slot, request, timeout=timeout, reason=error.reason)
        except Exception as error:
            # The request may have run, whichever fault the transport had.
            log("transport_fault", upstream=slot.state.upstream.name, error=repr(error))
            return self._handle_lost(pool, slot, request, timeout=timeout, reason="broken")

    def _build_message(self, request: RoutedRequest, timeout: float) -> UpstreamRequest:
        return UpstreamRequest(
            request_id=f"{self._id_prefix}-{next(self._numbers)}",
            customer=request.customer,
            name=request.name,
            key=request.key,
            body=request.body,
            deadline_seconds=timeout,
        )

    def _handle_reply(
        self,
        pool: Pool,
        slot: Slot,
        request: RoutedRequest,
        message: UpstreamRequest,
        reply: UpstreamReply,
        seconds: float,
    ) -> AttemptResult:
        fault = _reply_fault(message, reply)
        if fault:
            # Other answers on this connection may be wrong as well.
            self._transport.retire(slot.state.upstream)
            pool.health.record_failure(slot, reason=fault)
            return _result("lost", slot, fault)
        if reply.state == "busy":
            pool.health.record_busy(slot)
        elif reply.state == "leaving":
            pool.health.record_leaving(slot)
        elif reply.state == "failed":
            pool.health.record_request_failure(slot)
        elif reply.state == "not_mine":
            pool.health.record_not_mine(slot)
        else:
            pool.health.record_success(slot, name=request.name, seconds=seconds)
        return AttemptResult(
            outcome=reply.state,  # type: ignore[arg-type]
            upstream=slot.state.upstream.name,
            reason=reply.reason,
            body=reply.body,
        )

    def _handle_lost(
        self,
        pool: Pool,
        slot: Slot,
        request: RoutedRequest,
        *,
        timeout: float,
        reason: str,
    ) -> AttemptResult:
        if reason != "timeout" or timeout >= self._conclusive_timeout(pool, request):
            pool.health.record_failure(slot, reason=reason)
        return _result("lost", slot, reason)

    def _conclusive_timeout(self, pool: Pool, request: RoutedRequest) -> float:
        p95 = pool.latencies.quantile(request.name, 0.95)
        return self._policy.min_conclusive_timeout if p95 is None else 2 * p95


def _reply_fault(message: UpstreamRequest, reply: UpstreamReply) -> str:
    if reply.request_id != message.request_id:
        return "crossed"
    if len(reply.body) != reply.body_length:
        return "truncated"
    return "" if reply.state in REPLY_STATES else "malformed"


def _result(outcome: Outcome, slot: Slot, reason: str) -> AttemptResult:
    return AttemptResult(outcome=outcome, upstream=slot.state.upstream.name, reason=reason)
