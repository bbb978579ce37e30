"""Command that sends a request to a routed service."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from cyclopts import App, Parameter

from zinniaweir.ctl.idempotency import send_with_key
from zinniaweir.ctl.session import FileName, Options, Session, UsageError

InjectedSession = Annotated[Session, Parameter(parse=False)]


def register(app: App) -> None:
    """Add the command to the program."""
    app.command(request)


def request(
    *,
    customer: str,
    name: str,
    body: str | None = None,
    file: FileName = "",
    priority: Literal["urgent", "normal", "batch"] | None = None,
    idempotent: bool = False,
    key: str = "",
    deadline_seconds: float = 30.0,
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Send a request to the services and print the answer.

    The request carries a key, so it runs at most once even if its answer is lost and it is sent
    again through another server.

    Args:
        customer: Customer that the request belongs to.
        name: Name of the job.
        body: Text of the request.
        file: File with the text of the request; - is standard input.
        priority: Priority.
        idempotent: Whether the request may run more than once.
        key: Idempotency key; a new one if it is left out.
        deadline_seconds: Seconds within which the answer is of use.
        options: Options of every command.
        session: The running command.
    """
    if body is not None and file:
        raise UsageError("give --body or --file, not both")
    fields = {
        "customer": customer,
        "name": name,
        "priority": priority,
        "idempotent": idempotent,
        "key": key or session.environment.new_key(),
        "deadline_seconds": deadline_seconds,
        "body": _text(session, file) if file else body or "",
    }
    given = {name: value for name, value in fields.items() if value is not None}
    answer = send_with_key(session, "/v1/requests", given, wait_seconds=deadline_seconds)

    def render(found: dict[str, Any]) -> None:
        if found.get("corrected"):
            session.output.error(f"corrected to {found['corrected']}")
        session.output.line(str(found.get("body") or ""))

    return session.write_answer(answer, render)


def _text(session: Session, file: str) -> str:
    try:
        return session.read_bytes(file).decode()
    except UnicodeDecodeError as error:
        raise UsageError(f"{file}: not UTF-8 at byte {error.start}") from error
