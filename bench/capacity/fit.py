"""Least-squares lines through measured points, printed as JSON lines."""

from __future__ import annotations

import json
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

COMMAND: Final = "python -m bench capacity"
REPEATS: Final = 3


@dataclass(frozen=True, kw_only=True)
class Fit:
    """A least-squares line."""

    slope: float
    intercept: float
    error_percent: float
    """Largest distance of a point from the line, in percent of the largest value."""


def linear_fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line through points of size and value."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    distance = max(abs(line.intercept + line.slope * x - y) for x, y in points)
    largest = max(abs(value) for value in values) or 1.0
    return Fit(slope=line.slope, intercept=line.intercept, error_percent=100 * distance / largest)


def median_of(measure: Callable[[], float], repeats: int = REPEATS) -> float:
    """Return the median of several runs of a measurement."""
    return statistics.median(measure() for _ in range(repeats))


def print_fit(
    measure: str, *, unit: str, per: str, seed: int, points: Sequence[tuple[float, float]]
) -> Fit:
    """Print the points and their fit as one JSON line.

    Args:
        measure: Name of the measurement.
        unit: Unit of the values.
        per: What the sizes count.
        seed: Seed of the run.
        points: Size and value of each measurement.
    """
    fit = linear_fit(points)
    print_row(
        measure,
        seed=seed,
        unit=unit,
        per=per,
        sizes=[size for size, _ in points],
        values=[_short(value) for _, value in points],
        slope=_short(fit.slope),
        intercept=_short(fit.intercept),
        fit_error_percent=round(fit.error_percent, 1),
    )
    return fit


def print_row(measure: str, *, seed: int, **results: Any) -> None:
    """Print one JSON line."""
    row = {"bench": "capacity", "measure": measure, "command": COMMAND, "seed": seed, **results}
    print(json.dumps(row), flush=True)


def _short(value: float) -> float:
    """Round a value to four significant digits."""
    return float(f"{value:.4g}")
