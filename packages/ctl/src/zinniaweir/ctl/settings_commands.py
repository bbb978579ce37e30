"""Commands that read and change settings."""

from __future__ import annotations

import re
from typing import Annotated, Any, Final
from urllib.parse import quote

import msgspec
from cyclopts import App, Parameter

from zinniaweir.ctl import exits
from zinniaweir.ctl.output import format_time
from zinniaweir.ctl.puts import put_settings, settings_path, settings_url, version_of
from zinniaweir.ctl.session import FileName, Options, Session, UsageError
from zinniaweir.settings.lint import LintReport, lint
from zinniaweir.settings.paths import parse_path
from zinniaweir.settings.yaml_text import load_yaml

app = App(name="settings", help="Read, review and change settings under paths.")

_VERSION_LINE: Final = re.compile(rb"\A# version: (\d+)\s")

InjectedSession = Annotated[Session, Parameter(parse=False)]


@app.command
def get(path: str = "/", *, options: Options | None = None, session: InjectedSession) -> int:
    """Print the value at a path as YAML, headed by the version of its subtree.

    Args:
        path: Settings path, such as customers/parish; the whole tree if it is left out.
        options: Options of every command.
        session: The running command.
    """
    answer = session.client.get(settings_url(settings_path(path)))

    def render(body: dict[str, Any]) -> None:
        session.output.line(f"# version: {body.get('version', 0)}")
        session.output.yaml(body.get("value"))

    return session.write_answer(answer, render)


@app.command(name="set")
def set_(
    path: str,
    value: str | None = None,
    *,
    file: FileName = "",
    remove: Annotated[bool, Parameter(negative="")] = False,
    base: int | None = None,
    author: str = "",
    note: str = "",
    review: Annotated[bool, Parameter(negative="")] = False,
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Replace the value at a path.

    The change is refused as a conflict if the subtree changed after the version that it is based
    on: --base, else the `# version:` line of the file, else the version read just before.

    Args:
        path: Settings path.
        value: New value, as YAML.
        file: YAML file with the new value; - is standard input.
        remove: Remove the value.
        base: Version that the change is based on.
        author: Who makes the change; your user name if it is left out.
        note: Why, for the history.
        review: Check and show the change without making it.
        options: Options of every command.
        session: The running command.
    """
    path = settings_path(path)
    new, stated = _new_value(session, value, file, remove)
    base = base if base is not None else stated
    base = base if base is not None else version_of(session, path)
    answer = put_settings(session, path, new, base=base, author=author, note=note, review=review)
    return session.write_answer(answer, lambda body: _render_outcome(session, body))


@app.command
def diff(
    path: str,
    value: str | None = None,
    *,
    file: FileName = "",
    remove: Annotated[bool, Parameter(negative="")] = False,
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Show what a change would do: problems, differences and jobs it would preempt.

    Args:
        path: Settings path.
        value: New value, as YAML.
        file: YAML file with the new value; - is standard input.
        remove: Remove the value.
        options: Options of every command.
        session: The running command.
    """
    path = settings_path(path)
    new, stated = _new_value(session, value, file, remove)
    base = stated if stated is not None else version_of(session, path)
    answer = put_settings(session, path, new, base=base, review=True)
    return session.write_answer(answer, lambda body: _render_outcome(session, body))


@app.command
def check(
    file: FileName,
    *,
    path: str = "/",
    against: FileName = "",
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Check a configuration before it is sent: errors, warnings and differences.

    The exit code is 2 if the configuration breaks a rule, 9 if there are only warnings, else 0.

    Args:
        file: YAML or JSON file with the new value; - is standard input.
        path: Settings path of the value; the whole tree if it is left out.
        against: File of the whole tree in force, instead of the one that the server has; an empty
            file stands for no settings.
        options: Options of every command.
        session: The running command.
    """
    # Imported here because the scheduling core takes a while to load.
    from zinniaweir.scheduler.core_inputs import guarantee_problems

    place = parse_path(settings_path(path))[0]
    new = session.read_yaml(file)
    if new is None:
        raise UsageError(f"{file}: no value")
    if against:
        in_force, name = session.read_yaml(against), against
    else:
        answer = session.client.get(settings_url(""))
        if answer.code not in (exits.DONE, exits.NOT_FOUND):
            return session.write_answer(answer, lambda body: None)
        in_force, name = answer.body.get("value"), f"version {answer.body.get('version', 0)}"
    report = lint(in_force or {}, place, new, check_guarantees=guarantee_problems)
    if session.output.as_json:
        session.output.json({**msgspec.to_builtins(report), "against": name})
    else:
        _render_report(session, report, name)
    if report.errors:
        return exits.INVALID
    return exits.WARNINGS if report.warnings else exits.DONE


@app.command
def history(
    path: str = "/", *, limit: int = 20, options: Options | None = None, session: InjectedSession
) -> int:
    """List changes that concern a path, accepted and refused, newest first.

    Args:
        path: Settings path.
        limit: The most changes to list.
        options: Options of every command.
        session: The running command.
    """
    answer = session.client.get(f"/v1/history/{quote(settings_path(path))}", limit=limit)

    def render(body: dict[str, Any]) -> None:
        session.output.table(
            ("offset", "at (UTC)", "path", "author", "outcome", "note"),
            [
                (
                    change.get("offset"),
                    format_time(change.get("at")),
                    change.get("path") or "/",
                    change.get("author"),
                    "accepted" if change.get("accepted") else change.get("reason"),
                    change.get("note"),
                )
                for change in body.get("changes") or []
            ],
        )

    return session.write_answer(answer, render)


def _new_value(
    session: Session, value: str | None, file: str, remove: bool
) -> tuple[Any, int | None]:
    """Return the new value, and the version that its file states."""
    if sum((value is not None, bool(file), remove)) != 1:
        raise UsageError("give one of VALUE, --file or --remove")
    if remove:
        return None, None
    text = value.encode() if value is not None else session.read_bytes(file)
    new = load_yaml(text)
    if new is None:
        raise UsageError("the value is null; use --remove to remove it")
    stated = _VERSION_LINE.match(text)
    return new, int(stated[1]) if stated else None


def _render_outcome(session: Session, body: dict[str, Any]) -> None:
    output = session.output
    for line in body.get("diff") or []:
        output.line(str(line))
    for job in body.get("preempts") or []:
        output.line(f"preempts {job}")
    output.problems(body.get("problems") or [])
    if body.get("state") == "reviewed":
        output.line("reviewed; nothing was changed")
    else:
        output.line(f"{body.get('state')}, version {body.get('version')}")


def _render_report(session: Session, report: LintReport, name: str) -> None:
    output = session.output
    for kind, problems in (("error", report.errors), ("warning", report.warnings)):
        for found in problems:
            output.line(f"{kind} {found.path}: {found.value}: {found.rule}")
    for line in report.diff:
        output.line(line)
    compared = "differs from" if report.diff else "does not differ from"
    output.line(
        f"errors: {len(report.errors)}, warnings: {len(report.warnings)}, {compared} {name}"
    )
