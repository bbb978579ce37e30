"""Runs each scenario file as one test."""

from __future__ import annotations

from pathlib import Path

import pytest

from zinniaweir_testkit.scenario.runner import run_scenario

FOLDER = Path(__file__).parent


@pytest.mark.timeout(90)
@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.scenario")), ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    """Checks the property that the comment at the head of the scenario file names."""
    run_scenario(path)
