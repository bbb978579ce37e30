"""Settings changes whose outcome is read back when the answer is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

from zinniaweir.ctl import exits
from zinniaweir.ctl.client import Answer, OutcomeUnknownError, UnreachableError
from zinniaweir.ctl.session import UsageError
from zinniaweir.settings.paths import format_path, parse_path

if TYPE_CHECKING:
    from zinniaweir.ctl.session import Session

READ_BACK_TIMEOUT_SECONDS: Final = 10.0
"""Twice the bound of settings propagation, after which a change that took effect is in force."""
POLL_INTERVAL_SECONDS: Final = 0.5
MAX_LISTED_CHANGES: Final = 50


def settings_path(text: str) -> str:
    """Return a settings path without slashes at its ends.

    Raises:
        UsageError: If it is no path of the tree.
    """
    path, problems = parse_path(text)
    if problems:
        raise UsageError(f"{text}: {problems[0].rule}")
    return format_path(path)


def settings_url(path: str) -> str:
    """Return the path of the URL of a settings path."""
    return f"/v1/settings/{quote(path)}"


def version_of(session: Session, path: str) -> int:
    """Return the version of the subtree of a path; 0 if it was never changed.

    Raises:
        UnreachableError: If no server could tell.
    """
    answer = session.client.get(settings_url(path))
    if answer.code not in (exits.DONE, exits.NOT_FOUND):
        raise UnreachableError(f"version not known: {answer.text('reason') or answer.status}")
    return int(answer.body.get("version") or 0)


def put_settings(
    session: Session,
    path: str,
    value: Any,
    *,
    base: int,
    author: str = "",
    note: str = "",
    review: bool = False,
) -> Answer:
    """Change or review settings and return the answer.

    The note carries a mark of this change. When the answer is lost, the history shows by this mark
    whether the change was accepted or refused; the change is never sent twice.

    Args:
        session: The running command.
        path: Settings path.
        value: The new value; None removes it.
        base: Version that the change is based on.
        author: Who makes the change; the user of the program if it is empty.
        note: Why.
        review: Whether to review the change without making it.
    """
    marker = f"[put {session.environment.new_key()[:8]}]"
    body = {
        "value": value,
        "base_version": base,
        "author": author or session.environment.user(),
        "note": f"{note} {marker}".strip(),
        "review": review,
    }
    url = settings_url(path)
    try:
        effect = "repeatable" if review else "once"
        answer = session.client.send("PUT", url, body=body, effect=effect)
    except OutcomeUnknownError as error:
        if review:
            raise UnreachableError(str(error)) from error
        session.output.progress(f"answer lost ({error}); reading the history")
        return _read_back(session, path, marker)
    if answer.text("state") == "unknown" and not review:
        session.output.progress("outcome unknown; reading the history")
        return _read_back(session, path, marker)
    return answer


def _read_back(session: Session, path: str, marker: str) -> Answer:
    environment = session.environment
    end = environment.clock() + READ_BACK_TIMEOUT_SECONDS
    while True:
        if found := _find_change(session, path, marker):
            return found
        if environment.clock() >= end:
            break
        environment.sleep(POLL_INTERVAL_SECONDS)
    detail = f"look for {marker} in `zinniaweir settings history {path or '/'}`"
    return Answer(status=504, body={"state": "unknown", "reason": "answer_lost", "detail": detail})


def _find_change(session: Session, path: str, marker: str) -> Answer | None:
    try:
        answer = session.client.get(f"/v1/history/{quote(path)}", limit=MAX_LISTED_CHANGES)
    except UnreachableError:
        return None
    changes = answer.body.get("changes") or []
    change = next((c for c in changes if str(c.get("note", "")).endswith(marker)), None)
    if change is None:
        return None
    if change.get("accepted"):
        return Answer(status=200, body={"state": "accepted", "version": change.get("offset")})
    reason = str(change.get("reason", ""))
    state = reason.partition(":")[0]
    return Answer(
        status=409 if state == "conflict" else 400, body={"state": state, "reason": reason}
    )
