from __future__ import annotations

from pathlib import Path

import pytest

from zinniaweir_testkit.scenario.parser import ScenarioSyntaxError, parse
from zinniaweir_testkit.scenario.runner import STEP_CLASSES

FOLDER = Path(__file__).resolve().parents[2] / "scenarios"


def test_names_the_line_that_is_no_step():
    """Guards against a misspelled step that is skipped instead of failing the scenario."""
    with pytest.raises(ScenarioSyntaxError, match="line 2"):
        parse("start 3 vms\nkil vm1\n")


def test_every_step_in_the_scenario_files_has_one_handler():
    """Guards against steps that the grammar accepts but no step class, or two of them, handle."""
    verbs = {step.verb for path in FOLDER.glob("*.scenario") for step in parse(path.read_text())}
    for verb in verbs:
        assert sum(hasattr(kind, verb) for kind in STEP_CLASSES) == 1, verb
