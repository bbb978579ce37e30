from __future__ import annotations

import pytest

from zinniaweir_testkit.scenario.parser import parse
from zinniaweir_testkit.soak import make_scenario


@pytest.mark.parametrize("seed", range(20))
def test_random_scenarios_are_valid_and_repeatable(seed: int) -> None:
    """Guards against random scenarios with invalid steps, and against a seed without effect.

    A seed has to give the same scenario on every run, or a failure could not be repeated.
    """
    text = make_scenario(seed=seed, seconds=60)
    assert text == make_scenario(seed=seed, seconds=60)
    assert len(parse(text)) > 20
