"""The command-line application with all its commands."""

from __future__ import annotations

from cyclopts import App

from zinniaweir.ctl import (
    domain_commands,
    exits,
    explain_command,
    job_commands,
    overview_commands,
    report_command,
    request_commands,
    settings_commands,
)

app = App(name="zinniaweir", help=f"Operate zinniaweir over HTTP. {exits.HELP}", version_flags=())
app.command(settings_commands.app)
domain_commands.register(app)
job_commands.register(app)
overview_commands.register(app)
request_commands.register(app)
report_command.register(app)
explain_command.register(app)
