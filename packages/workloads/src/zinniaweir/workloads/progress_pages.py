"""Progress of wide jobs in pages, each of which fits into a record whatever its tasks have."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

from zinniaweir.workloads.records import LossRecord, ProgressPage, UnitRecord

MAX_WHOLE_PROGRESS_BYTES: Final = 65_536
"""Size of a job's progress above which it is stored in pages.

It is written anew with each change, so a larger one would cost more than its record can hold.
"""
PAGE_TASKS: Final = 8
"""Number of tasks of a page.

A task takes up to 31 KB: a checkpoint of 16,000 bytes, 32 losses and 16 late starts with names of
workers of 255 bytes.
"""


def merge_pages(pages: Iterable[ProgressPage]) -> list[UnitRecord]:
    """Return the units on the pages of a job, each gang as a whole.

    An owner may have ended between two appends, so pages of a gang may be of different times. What
    is assigned by an earlier run has ended, or the later one would not have been placed.
    """
    parts: dict[tuple[int, int], list[UnitRecord]] = {}
    for page in pages:
        for unit in page.units:
            parts.setdefault((unit.step, unit.first_index), []).append(unit)
    return [units[0] if len(units) == 1 else _merge_unit(units) for units in parts.values()]


def _merge_unit(parts: list[UnitRecord]) -> UnitRecord:
    newest = max(parts, key=lambda part: part.run)
    done = any(part.done for part in parts)
    losses = () if done else _merge_losses(loss for part in parts for loss in part.losses)
    return msgspec.structs.replace(
        newest,
        failures=max(part.failures for part in parts),
        done=done,
        checkpoint=next((part.checkpoint for part in parts if part.checkpoint), ""),
        assignments=tuple(a for part in parts if part.run == newest.run for a in part.assignments),
        losses=losses,
        late_starts=tuple(start for part in parts for start in part.late_starts),
        failed_run=max(part.failed_run for part in parts),
    )


def _merge_losses(parts: Iterable[LossRecord]) -> tuple[LossRecord, ...]:
    """Return the losses of a gang, each with the members that its pages name."""
    losses: dict[tuple[int, str, int], LossRecord] = {}
    for part in parts:
        key = (part.run, part.worker, part.incarnation)
        known = losses.get(key)
        if known is not None:
            part = msgspec.structs.replace(part, members=(*known.members, *part.members))
        losses[key] = part
    return tuple(sorted(losses.values(), key=lambda loss: loss.run))
