"""HTTP answers and the status code of each outcome."""

from __future__ import annotations

from typing import Any, Final

import msgspec

JSON_TYPE: Final = "application/json"

_REASON_STATUS: Final = {
    "malformed": 400,
    "invalid": 400,
    "unknown_customer": 404,
    "unknown_name": 404,
    "ambiguous_name": 404,
    "unknown_job": 404,
    "unknown_path": 404,
    "request_timeout": 408,
    "conflict": 409,
    "key_reused": 409,
    "too_large": 413,
    "rate": 429,
    "queue_full": 429,
    "shed": 429,
    "quota": 429,
    "priority_not_allowed": 400,
    "never_fits": 400,
}
"""Status code by `not_run` reason; any other reason means that a component is unavailable (503)."""

_STATE_STATUS: Final = {"done": 200, "failed": 502, "unknown": 504}


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP answer."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    refusal: str = ""
    """Reason of a refusal for the counters, or an empty string."""


def json_answer(status: int, value: Any) -> Answer:
    """Return an answer with a JSON body.

    Args:
        status: HTTP status code.
        value: Anything that msgspec can encode.
    """
    return Answer(status=status, body=_json(value))


def status_of(state: str, reason: str) -> int:
    """Return the HTTP status code of an outcome.

    Args:
        state: One of `done`, `failed`, `not_run` or `unknown`.
        reason: Reason of the outcome, which decides the code of `not_run`.
    """
    if state == "not_run":
        return _REASON_STATUS.get(reason, 503)
    return _STATE_STATUS[state]


def not_run(reason: str, detail: str = "", **more: Any) -> Answer:
    """Return the answer for work that is proven not to have run.

    Args:
        reason: Reason, which decides the status code.
        detail: Text for the caller.
        **more: Further fields of the JSON body.
    """
    body = {"state": "not_run", "reason": reason, "detail": detail, **more}
    return Answer(status=status_of("not_run", reason), body=_json(body), refusal=reason)


def unknown_job(job_id: str) -> Answer:
    """Return the answer for a job that the log does not have.

    That proves nothing: it may have ended long ago, or its submission may still arrive.
    """
    reason = "unknown_job"
    body = {"state": "unknown", "reason": reason, "detail": job_id}
    return Answer(status=_REASON_STATUS[reason], body=_json(body), refusal=reason)


def _json(value: Any) -> bytes:
    return msgspec.json.encode(value) + b"\n"
