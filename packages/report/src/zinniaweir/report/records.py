"""Records that a report is rendered from, and their parser."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path


class RecordsError(Exception):
    """A file cannot be read or has no records that a report can show."""


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A job as `zinniaweir jobs --json` prints it; other fields are ignored."""

    customer: str
    priority: str
    state: str
    submitted_at: float
    started_at: float = 0.0
    finished_at: float = 0.0

    @property
    def completion_seconds(self) -> float | None:
        """Seconds from submission to the end, or None if the job is not done."""
        if self.state != "done" or not self.finished_at:
            return None
        return self.finished_at - self.submitted_at


class Replay(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one replay of `python -m bench policy`."""

    workload: str
    seed: int
    policy: str
    completion: dict[str, dict[str, float]]
    fragmentation: dict[str, float]
    outage_work: dict[str, float]


class Timeline(msgspec.Struct, frozen=True, kw_only=True):
    """Samples over time of one replay."""

    workload: str
    seed: int
    policy: str
    timeline: dict[str, list[float]]
    """Lists of equal length: `at` in seconds, `running`, `possible` and `fragmentation`."""


@dataclass(kw_only=True)
class Records:
    """All records of a report."""

    jobs: list[Job] = field(default_factory=list)
    replays: list[Replay] = field(default_factory=list)
    timelines: list[Timeline] = field(default_factory=list)
    others: list[dict[str, Any]] = field(default_factory=list)
    """Results of other benchmarks; each is shown as a table."""

    @property
    def is_empty(self) -> bool:
        """Whether there are no records."""
        return not (self.jobs or self.replays or self.timelines or self.others)


def read_records(paths: Iterable[Path]) -> Records:
    """Read records from files that hold JSON lines or one JSON document.

    Args:
        paths: Output of benchmarks or of `zinniaweir jobs --json`.

    Raises:
        RecordsError: If a file cannot be read, has records of another form, or there are none.
    """
    records = Records()
    for path in paths:
        try:
            data = path.read_bytes()
        except OSError as error:
            raise RecordsError(f"{path}: {error.strerror}") from error
        for value in _documents(path, data):
            _add(records, path, value)
    if records.is_empty:
        raise RecordsError("no records")
    return records


def _documents(path: Path, data: bytes) -> list[Any]:
    try:
        return [msgspec.json.decode(data)]
    except msgspec.DecodeError:
        pass
    try:
        return [msgspec.json.decode(line) for line in data.splitlines() if line.strip()]
    except msgspec.DecodeError as error:
        raise RecordsError(f"{path}: neither a JSON document nor JSON lines: {error}") from error


def _add(records: Records, path: Path, value: Any) -> None:
    if isinstance(value, list):
        for one in value:
            _add(records, path, one)
        return
    if not isinstance(value, dict):
        raise RecordsError(f"{path}: expected objects, got {type(value).__name__}")
    try:
        if "jobs" in value and isinstance(value["jobs"], list):
            records.jobs += msgspec.convert(value["jobs"], list[Job])
        elif "timeline" in value:
            records.timelines.append(msgspec.convert(value, Timeline))
        elif {"policy", "completion", "outage_work"} <= value.keys():
            records.replays.append(msgspec.convert(value, Replay))
        else:
            records.others.append(value)
    except msgspec.ValidationError as error:
        raise RecordsError(f"{path}: {error}") from error
