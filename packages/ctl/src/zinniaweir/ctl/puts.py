"""Settings changes; if the answer of a change is lost, its outcome is read from the history."""

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
"""Twice the time limit for settings to reach every VM; by then an accepted change is in force."""
POLL_INTERVAL_SECONDS: Final = 0.5
MAX_LISTED_CHANGES: Final = 50


def settings_path(text: str) -> str:
    """Normalize a settings path to one without leading and trailing slashes.

    Raises:
        UsageError: If the text is not a valid settings path.
    """
    path, problems = parse_path(text)
    if problems:
        raise UsageError(f"{text}: {problems[0].rule}")
    return format_path(path)


def settings_url(path: str) -> str:
    """Return the URL path for a settings path."""
    return f"/v1/settings/{quote(path)}"


def version_of(session: Session, path: str) -> int:
    """Return the version of the subtree of a path; 0 if it was never changed.

    Raises:
        UnreachableError: If no server answered with the version.
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

    A unique marker is appended to the note. If the answer is lost, the marker identifies the change
    in the history, which tells whether it was accepted or refused. A change that may have taken
    effect is never sent again.

    Args:
        session: The running command.
        path: Settings path.
        value: The new value; None removes it.
        base: Version that the change is based on.
        author: Author of the change; the user who runs the program if it is empty.
        note: Reason for the change, kept in the history.
        review: Whether to check the change without making it.

    Raises:
        UnreachableError: If no server answered and the change took no effect.
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
