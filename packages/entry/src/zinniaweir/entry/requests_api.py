"""Requests to upstreams: admission, idempotency claims and routing."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING, Final, Literal

import msgspec
import xxhash

from zinniaweir.entry.admission import corrected_from, name_problem_answer
from zinniaweir.entry.answers import json_answer, not_run, status_of
from zinniaweir.entry.scheduler_link import SchedulerUnavailableError
from zinniaweir.routing.request import RoutedRequest, RouteResult
from zinniaweir.telemetry.logs import log
from zinniaweir.wire.scheduler_service import ClaimReply, ClaimRequest, FinishRequest

if TYPE_CHECKING:
    from zinniaweir.entry.admission import Admission
    from zinniaweir.entry.answers import Answer
    from zinniaweir.entry.api import Api, Call
    from zinniaweir.entry.scheduler_link import SchedulerLink
    from zinniaweir.names.resolver import ResolvedNames
    from zinniaweir.routing.router import Router
    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.telemetry.timers import Timers

MAX_DEADLINE_SECONDS: Final = 600.0
"""Upper bound of `deadline_seconds`."""
DEFAULT_DEADLINE_SECONDS: Final = 30.0
MIN_CLAIM_TIMEOUT_SECONDS: Final = 5.0
"""Minimum timeout of a `Claim` call, also when the request's deadline is nearer."""
FINISH_TIMEOUT_SECONDS: Final = 4.0
"""Timeout of a `Finish` call."""
MAX_KEY_LENGTH: Final = 200
"""Maximum length of an idempotency key in characters."""


class RequestBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """JSON body of a request."""

    customer: str
    name: str
    priority: Literal["urgent", "normal", "batch"] = "normal"
    idempotent: bool
    """Whether the work may run twice; it has no default, so that every caller decides."""
    key: str = ""
    """Idempotency key, required unless the request is idempotent."""
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    """Time from the start of processing to the deadline."""
    body: str = ""


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """JSON body of the answer to a request."""

    request_id: str
    state: str
    reason: str = ""
    detail: str = ""
    body: str = ""
    upstream: str = ""
    """Upstream that answered, or an empty string."""
    corrected: str = ""
    """Corrected names as `given -> used`, or an empty string."""


class RequestsApi:
    """Serve requests by routing them to upstreams.

    A request that is not idempotent is sent only after the scheduler process granted a claim on
    its idempotency key.
    """

    def __init__(
        self,
        *,
        link: SchedulerLink,
        admission: Admission,
        router: Router,
        counters: Counters,
        timers: Timers,
    ) -> None:
        self._link = link
        self._admission = admission
        self._router = router
        self._counters = counters
        self._timers = timers
        self._finish_tasks: set[asyncio.Task[None]] = set()

    def register(self, api: Api) -> None:
        """Register the operation with the API."""
        api.add("POST", r"/v1/requests", self.serve)

    async def serve(self, call: Call) -> Answer:
        """Validate, admit and run a request, and return its answer."""
        started_at = time.monotonic()
        body: RequestBody = call.decode(RequestBody)
        if problem := _validation_error(body):
            return not_run("invalid", problem)
        if self._link.is_stale or self._link.state == "isolated":
            self._counters.add("refusals", reason="settings_stale")
            return not_run("settings_stale")
        resolved = self._admission.resolve(body.customer, body.name, body.priority)
        if resolved.is_error():
            return name_problem_answer(resolved.error)
        names = resolved.ok
        admitted = await self._admission.enter(
            customer=names.customer,
            priority=body.priority,
            deadline_seconds=body.deadline_seconds,
        )
        if admitted.is_error():
            return not_run(admitted.error.reason, admitted.error.detail)
        with admitted.ok:
            outcome = await self._run(body, names, started_at)
        self._timers.record("request", time.monotonic() - started_at, label=body.priority)
        self._counters.add("requests", reason=outcome.state)
        return json_answer(status_of(outcome.state, outcome.reason), outcome)

    async def flush_outcomes(self) -> None:
        """Wait until the `Finish` calls of all answered requests have ended."""
        if self._finish_tasks:
            await asyncio.wait(self._finish_tasks)

    async def _run(self, body: RequestBody, names: ResolvedNames, started_at: float) -> Outcome:
        request_id = f"req-{secrets.token_hex(8)}"
        remaining_seconds = body.deadline_seconds - (time.monotonic() - started_at)
        if body.idempotent:
            result = await self._router.send(_routed_request(body, names, remaining_seconds))
            return _outcome(request_id, result, names)
        claim = await self._claim(body, names, remaining_seconds)
        if not claim.granted:
            return _claimed_outcome(request_id, claim, names)
        remaining_seconds = body.deadline_seconds - (time.monotonic() - started_at)
        result = await self._router.send(_routed_request(body, names, remaining_seconds))
        # The answer does not wait until the outcome is recorded. A repeat of the request waits
        # for the record when it claims the key.
        task = asyncio.create_task(self._finish(body, claim.claim_id, result))
        self._finish_tasks.add(task)
        task.add_done_callback(self._finish_tasks.discard)
        return _outcome(request_id, result, names)

    async def _claim(
        self, body: RequestBody, names: ResolvedNames, remaining_seconds: float
    ) -> ClaimReply:
        request = ClaimRequest(
            key=body.key,
            customer=names.customer,
            digest=xxhash.xxh3_128_digest(f"{names.job}\0{body.body}".encode()),
            wait_seconds=max(0.0, remaining_seconds - 0.1),
        )
        try:
            return await self._link.call(
                "Claim", request, timeout=max(MIN_CLAIM_TIMEOUT_SECONDS, remaining_seconds + 1.0)
            )
        except SchedulerUnavailableError as error:
            # The claim may have been granted. Without a reply the request is never sent, so
            # `not_run` is proven.
            log("claim_lost", key=body.key, reason=error.reason)
            self._counters.add("refusals", reason="scheduler_unavailable")
            return ClaimReply(granted=False, state="not_run", reason="scheduler_unavailable")

    async def _finish(self, body: RequestBody, claim_id: str, result: RouteResult) -> None:
        request = FinishRequest(
            key=body.key,
            claim_id=claim_id,
            state="released" if result.state == "not_run" else result.state,
            reason=result.reason,
            answer=result.body,
        )
        try:
            await self._link.call("Finish", request, timeout=FINISH_TIMEOUT_SECONDS)
        except SchedulerUnavailableError as error:
            # The claim remains, so the work does not run again; repeats get the state `unknown`.
            log("finish_lost", key=body.key, reason=error.reason)
            self._counters.add("retries", reason="finish_lost")


def _validation_error(body: RequestBody) -> str:
    """Return what is wrong with a body, or an empty string."""
    if not 0 < body.deadline_seconds <= MAX_DEADLINE_SECONDS:
        return f"deadline_seconds: expected up to {MAX_DEADLINE_SECONDS:g}"
    if len(body.key) > MAX_KEY_LENGTH:
        return f"key: at most {MAX_KEY_LENGTH} characters"
    if not body.idempotent and not body.key:
        return "key: a request that is not idempotent needs an idempotency key"
    return ""


def _routed_request(
    body: RequestBody, names: ResolvedNames, remaining_seconds: float
) -> RoutedRequest:
    return RoutedRequest(
        customer=names.customer,
        name=names.job,
        deadline_seconds=remaining_seconds,
        priority=body.priority,
        idempotent=body.idempotent,
        key=body.key,
        body=body.body.encode(),
    )


def _outcome(request_id: str, result: RouteResult, names: ResolvedNames) -> Outcome:
    return Outcome(
        request_id=request_id,
        state=result.state,
        reason=result.reason,
        body=result.body.decode(errors="replace"),
        upstream=result.upstream,
        corrected=corrected_from(names),
    )


def _claimed_outcome(request_id: str, claim: ClaimReply, names: ResolvedNames) -> Outcome:
    """Return the outcome that the reply to a refused claim gives."""
    return Outcome(
        request_id=request_id,
        state=claim.state,
        reason=claim.reason,
        body=claim.answer.decode(errors="replace"),
        corrected=corrected_from(names),
    )
