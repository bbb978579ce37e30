"""Calls with an idempotency key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from zinniaweir.ctl import exits
from zinniaweir.ctl.client import Answer, OutcomeUnknownError

if TYPE_CHECKING:
    from zinniaweir.ctl.session import Session


def send_with_key(
    session: Session, path: str, body: dict[str, Any], *, wait_seconds: float = 0.0
) -> Answer:
    """Send a call that its idempotency key makes safe to repeat.

    If the outcome is unknown, the answer has status 504 and its detail names the key, so that the
    user can repeat the call with it.

    Args:
        session: The running command.
        path: Path of the URL.
        body: Fields of the JSON body, including `key`.
        wait_seconds: How long the server may hold the answer back.
    """
    try:
        answer = session.client.send("POST", path, body=body, wait_seconds=wait_seconds)
    except OutcomeUnknownError as error:
        answer = Answer(
            status=504, body={"state": "unknown", "reason": "answer_lost", "detail": str(error)}
        )
    if answer.code != exits.UNKNOWN:
        return answer
    hint = f"ask again with --key {body['key']}"
    detail = "; ".join(part for part in (answer.text("detail"), hint) if part)
    return Answer(status=504, body={**answer.body, "detail": detail, "key": body["key"]})
