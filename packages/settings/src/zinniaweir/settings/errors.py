"""Errors of the settings library."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from zinniaweir.wire.scheduler_service import Problem


class SettingsError(Exception):
    """Settings break at least one rule."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("; ".join(f"{p.path}: {p.value}: {p.rule}" for p in problems))
        self.problems = tuple(problems)
        """Problems that were found, one for each broken rule."""


class SnapshotError(Exception):
    """The data are not a snapshot of settings."""
