"""Tests of the metrics page."""

from __future__ import annotations

from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.metrics import render_metrics
from zinniaweir.telemetry.timers import Timers


def test_counters_are_separate_by_reason() -> None:
    """Refusals with different reasons must not be summed into one value."""
    counters = Counters()
    counters.add("refusals", reason="queue_full")
    counters.add("refusals", reason="rate", amount=2)
    page = render_metrics(counters=counters, timers=Timers())
    assert 'zinniaweir_refusals_total{reason="queue_full"} 1' in page
    assert 'zinniaweir_refusals_total{reason="rate"} 2' in page
    assert page.count("# TYPE zinniaweir_refusals_total counter") == 1


def test_durations_outside_the_range_are_clamped() -> None:
    """Durations outside the range must neither be dropped nor raise an error."""
    timers = Timers()
    timers.record("answer", 0.0)
    timers.record("answer", 10.0**7)
    assert timers.items()[0][2] == 2
    assert timers.quantile("answer", 1.0) >= 24 * 3600


def test_reason_text_is_escaped() -> None:
    """An unescaped reason would make the page unreadable for the scraper."""
    counters = Counters()
    counters.add("refusals", reason='a"b\nc\\')
    assert r'reason="a\"b\nc\\"' in render_metrics(counters=counters, timers=Timers())
