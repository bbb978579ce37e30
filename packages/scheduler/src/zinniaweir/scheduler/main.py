"""Command line of the scheduler process."""

from __future__ import annotations

from pathlib import Path

from cyclopts import App

from zinniaweir.settings.command import settings_from_command_line
from zinniaweir.settings.process import SchedulerSettings
from zinniaweir.telemetry.logs import start_logs

app = App(name="zinniaweir-scheduler", help="Schedule jobs and keep the state of the cluster.")


@app.default
def start(settings: Path, *, check: bool = False) -> None:
    """Run the scheduler process until a signal comes.

    Args:
        settings: YAML file with the settings of the process.
        check: Only check the settings, then exit.
    """
    checked = settings_from_command_line(settings, SchedulerSettings, check=check)
    if checked is None:
        return
    start_logs(process="scheduler", vm=checked.vm)

    from zinniaweir.scheduler.process import run_process

    run_process(checked)


def run() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    run()
