"""Switches for what the dispatcher learns, to compare it with and without."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from zinniaweir.dispatch import worker_speed


@contextmanager
def speed_hints(*, enabled: bool) -> Iterator[None]:
    """Let the dispatcher learn the speeds of workers, or treat all workers as alike.

    Args:
        enabled: Whether speeds are learned.
    """
    if enabled:
        yield
        return
    with patch.object(worker_speed, "MIN_TASKS", 1 << 60):
        yield
