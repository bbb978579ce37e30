"""Runs the steps of a scenario file against a test cluster."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from zinniaweir_testkit.scenario.context import ScenarioContext
from zinniaweir_testkit.scenario.fault_steps import FaultSteps
from zinniaweir_testkit.scenario.job_steps import JobSteps
from zinniaweir_testkit.scenario.parser import parse
from zinniaweir_testkit.scenario.process_steps import ProcessSteps
from zinniaweir_testkit.scenario.request_steps import RequestSteps
from zinniaweir_testkit.scenario.settings_steps import SettingsSteps

if TYPE_CHECKING:
    from zinniaweir_testkit.scenario.parser import Step

STEP_CLASSES: Final = (ProcessSteps, FaultSteps, SettingsSteps, JobSteps, RequestSteps)
MAX_LOG_CHARACTERS: Final = 3000
"""Length of the end of each log that is printed when a step fails."""


class ScenarioFailedError(AssertionError):
    """A step of a scenario failed."""


def run_scenario(path: Path) -> None:
    """Run a scenario file and print each step with the elapsed seconds.

    Raises:
        ScenarioSyntaxError: If a line is not a valid step.
        ScenarioFailedError: If a step fails.
    """
    steps = parse(path.read_text())
    context = ScenarioContext()
    handlers = [step_class(context=context) for step_class in STEP_CLASSES]
    started = time.monotonic()
    try:
        for step in steps:
            print(f"{time.monotonic() - started:6.2f} {path.stem}:{step.line} {step.text}")
            _run_step(step, handlers, context)
    finally:
        context.close()
    print(f"{time.monotonic() - started:6.2f} end")


def _run_step(step: Step, handlers: list[Any], context: ScenarioContext) -> None:
    handler = next(
        getattr(handler, step.verb) for handler in handlers if hasattr(handler, step.verb)
    )
    try:
        handler(*step.arguments)
    except Exception as error:
        _show_logs(context)
        message = f"line {step.line}: {step.text}: {type(error).__name__}: {error}"
        raise ScenarioFailedError(message) from error


def _show_logs(context: ScenarioContext) -> None:
    if not hasattr(context, "cluster"):
        return
    for name, process in context.cluster.processes.items():
        if name.startswith("vm"):
            print(f"--- {name}\n{process.log_text()[-MAX_LOG_CHARACTERS:]}")


if __name__ == "__main__":
    for argument in sys.argv[1:]:
        run_scenario(Path(argument))
