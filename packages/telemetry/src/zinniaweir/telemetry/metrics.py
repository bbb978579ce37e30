"""Metrics page in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from zinniaweir.telemetry.counters import Counters
    from zinniaweir.telemetry.timers import Timers

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
PREFIX: Final = "zinniaweir_"
"""Prefix of all metric names."""
QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)
"""Quantiles shown for each timer."""


def render_metrics(
    *, counters: Counters, timers: Timers, gauges: Mapping[str, float] | None = None
) -> str:
    """Return the metrics page.

    Args:
        counters: Counters by name and reason.
        timers: Histograms of durations, shown as summaries in seconds.
        gauges: Current values by name.
    """
    lines: list[str] = []
    _render_counters(lines, counters)
    _render_timers(lines, timers)
    for name, value in sorted((gauges or {}).items()):
        lines.append(f"# TYPE {PREFIX}{name} gauge")
        lines.append(f"{PREFIX}{name} {value:g}")
    return "\n".join(lines) + "\n"


def _render_counters(lines: list[str], counters: Counters) -> None:
    previous = ""
    for name, reason, value in counters.items():
        if name != previous:
            lines.append(f"# TYPE {PREFIX}{name}_total counter")
            previous = name
        label = f'{{reason="{_escape(reason)}"}}' if reason else ""
        lines.append(f"{PREFIX}{name}_total{label} {value}")


def _render_timers(lines: list[str], timers: Timers) -> None:
    previous = ""
    for name, label, count, total in timers.items():
        if name != previous:
            lines.append(f"# TYPE {PREFIX}{name}_seconds summary")
            previous = name
        for level in QUANTILES:
            value = timers.quantile(name, level, label=label)
            lines.append(
                f'{PREFIX}{name}_seconds{{label="{_escape(label)}",quantile="{level}"}} {value:g}'
            )
        lines.append(f'{PREFIX}{name}_seconds_sum{{label="{_escape(label)}"}} {total:g}')
        lines.append(f'{PREFIX}{name}_seconds_count{{label="{_escape(label)}"}} {count}')


def _escape(text: str) -> str:
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
