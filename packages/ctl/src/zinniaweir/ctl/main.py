"""Entry point of the command-line program `zinniaweir`."""

from __future__ import annotations

import sys
from typing import Any

from cyclopts import CycloptsError

from zinniaweir.ctl import exits
from zinniaweir.ctl.app import app
from zinniaweir.ctl.client import OutcomeUnknownError, UnreachableError
from zinniaweir.ctl.output import Output
from zinniaweir.ctl.session import Environment, Options, Session, UsageError
from zinniaweir.settings.errors import SettingsError


def run_command(tokens: list[str], environment: Environment) -> int:
    """Run one command line and return its exit code.

    Args:
        tokens: Arguments without the name of the program.
        environment: Consoles, network, clock and user that the command works with.
    """
    try:
        command, bound, injected = app.parse_args(
            tokens,
            console=environment.console,
            error_console=environment.errors,
            exit_on_error=False,
            print_error=True,
        )
    except CycloptsError:
        return exits.INVALID
    if "session" not in injected:
        command(*bound.args, **bound.kwargs)
        return exits.DONE
    options = bound.arguments.get("options") or Options()
    output = Output(console=environment.console, errors=environment.errors, as_json=options.json)
    try:
        session = Session(options=options, environment=environment)
    except UsageError as error:
        return _report(output, exits.INVALID, "usage", str(error))
    try:
        bound.arguments["session"] = session
        return command(*bound.args, **bound.kwargs)
    except UsageError as error:
        return _report(output, exits.INVALID, "usage", str(error))
    except SettingsError as error:
        problems = [{"path": p.path, "value": p.value, "rule": p.rule} for p in error.problems]
        return _report(output, exits.INVALID, "invalid", "", problems=problems)
    except UnreachableError as error:
        return _report(output, exits.UNREACHABLE, "unreachable", str(error))
    except OutcomeUnknownError as error:
        return _report(output, exits.UNKNOWN, "unknown", str(error))
    except KeyboardInterrupt:
        return _report(output, exits.INTERRUPTED, "interrupted", "")
    finally:
        session.close()


def run() -> None:
    """Run the command line of this process and exit."""
    sys.exit(run_command(sys.argv[1:], Environment()))


def _report(output: Output, code: int, state: str, detail: str, **fields: Any) -> int:
    if output.as_json:
        output.json({"state": state, "detail": detail, **fields})
    else:
        output.error(f"{state}: {detail}" if detail else state)
        output.problems(fields.get("problems", []))
    return code


if __name__ == "__main__":
    run()
