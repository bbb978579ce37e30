"""Commands that show customers, names and the state of the VMs."""

from __future__ import annotations

from typing import Annotated, Any

from cyclopts import App, Parameter

from zinniaweir.ctl import exits
from zinniaweir.ctl.client import UnreachableError
from zinniaweir.ctl.puts import settings_path, settings_url
from zinniaweir.ctl.session import Options, Session

InjectedSession = Annotated[Session, Parameter(parse=False)]


def register(app: App) -> None:
    """Add the commands to the program."""
    for command in (customers, names, status):
        app.command(command)


def customers(name: str = "", *, options: Options | None = None, session: InjectedSession) -> int:
    """List customers with their guarantees, quotas and aliases, or show one in full.

    Args:
        name: Show only this customer, as YAML.
        options: Options of every command.
        session: The running command.
    """
    path = settings_path(f"customers/{name}" if name else "customers")
    answer = session.client.get(settings_url(path))

    def render(body: dict[str, Any]) -> None:
        value = body.get("value") or {}
        if name:
            session.output.line(f"# version: {body.get('version', 0)}")
            session.output.yaml(value)
            return
        session.output.table(
            ("customer", "guarantees", "quota", "requests/s", "priorities", "aliases"),
            [_customer_row(key, customer) for key, customer in value.items()],
        )

    return session.write_answer(answer, render)


def names(*, options: Options | None = None, session: InjectedSession) -> int:
    """List names that were corrected or refused, so that you can alias them."""
    answer = session.client.get("/v1/names")
    return session.write_answer(answer, lambda body: _render_parts(session, body))


def status(
    *,
    all_: Annotated[bool, Parameter(name="--all", negative="")] = False,
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Show the state of the first server that answers.

    Args:
        all_: Show every server instead.
        options: Options of every command.
        session: The running command.
    """
    if not all_:
        answer = session.client.get("/v1/status")
        return session.write_answer(answer, lambda body: _render_parts(session, body))
    found = {server: _status_of(session, server) for server in session.client.servers}
    if session.output.as_json:
        session.output.json(found)
    else:
        columns = ("vm", "state", "log_offset", "fresh_age_seconds", "settings_version")
        rows = [(server, *(body.get(c) for c in columns)) for server, body in found.items()]
        session.output.table(("server", *columns), rows)
    down = [body for body in found.values() if body.get("state") == "unreachable"]
    return exits.UNREACHABLE if down else exits.DONE


def _status_of(session: Session, server: str) -> dict[str, Any]:
    try:
        return session.client.for_server(server).get("/v1/status").body
    except UnreachableError as error:
        return {"state": "unreachable", "detail": str(error)}


def _customer_row(name: str, customer: dict[str, Any]) -> tuple[Any, ...]:
    quota = customer.get("quota") or {}
    return (
        name,
        "\n".join(_guarantee(guarantee) for guarantee in customer.get("guarantees") or []),
        ", ".join(f"{key} {value}" for key, value in quota.items()),
        (customer.get("limits") or {}).get("requests_per_second"),
        " ".join(customer.get("priorities") or ["all"]),
        " ".join(customer.get("aliases") or []),
    )


def _guarantee(guarantee: dict[str, Any]) -> str:
    shape = f"{guarantee.get('members')} x {guarantee.get('accelerators')} accelerators"
    spread = guarantee.get("spread", "failure_domain")
    place = guarantee.get("failure_domain") or "anywhere"
    return f"{guarantee.get('count', 1)} of {shape} within one {spread}, {place}"


def _render_parts(session: Session, body: dict[str, Any]) -> None:
    """Write scalars as lines, then each mapping or list under its key.

    Mappings and lists of mappings are written as tables, other lists as lines.
    """
    output = session.output
    for key, value in body.items():
        if not isinstance(value, (dict, list)):
            output.line(f"{key}: {value}")
    for key, value in body.items():
        if isinstance(value, dict) and value:
            output.line(f"\n{key}")
            output.table(("name", "value"), value.items())
        elif isinstance(value, list) and value:
            output.line(f"\n{key}")
            _render_list(session, value)


def _render_list(session: Session, items: list[Any]) -> None:
    if not all(isinstance(item, dict) for item in items):
        for item in items:
            session.output.line(str(item))
        return
    columns = list(dict.fromkeys(column for item in items for column in item))
    rows = [[_cell(item.get(column)) for column in columns] for item in items]
    session.output.table(columns, rows)


def _cell(value: Any) -> Any:
    return ", ".join(map(str, value)) if isinstance(value, list) else value
