"""Finds spans in which only a part of a gang ran, and starts in a drained failure domain."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from zinniaweir.wire.records import SettingsPut
    from zinniaweir_testkit.scenario.standin_observer import TaskEvent

Attempt = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class PartialSpan:
    """Span during which some but not all members of an attempt ran."""

    attempt: Attempt
    started_at: float
    seconds: float


def partial_spans(
    events: Iterable[TaskEvent], sizes: Mapping[str, int], *, now: float
) -> list[PartialSpan]:
    """Return every span during which only a part of a gang ran.

    A member that completed counts as present, since the others may still be finishing.

    Args:
        events: Starts and ends of tasks in chronological order.
        sizes: Number of members by job id; other jobs are ignored.
        now: End of the last span if a part is still running; wall-clock time.
    """
    by_attempt: dict[Attempt, list[TaskEvent]] = defaultdict(list)
    for event in events:
        by_attempt[event.job_id, event.attempt].append(event)
    spans = []
    for attempt, history in by_attempt.items():
        if attempt[0] in sizes:
            spans += _spans_of_attempt(attempt, history, sizes[attempt[0]], now)
    return spans


def running_members(events: Iterable[TaskEvent], job_id: str) -> dict[int, TaskEvent]:
    """Return the start events of the members of a job that still run after all events."""
    running: dict[int, TaskEvent] = {}
    for event in events:
        if event.job_id != job_id:
            continue
        if event.what == "start":
            running[event.member] = event
        elif event.member in running and running[event.member].attempt == event.attempt:
            del running[event.member]
    return running


def done_members(events: Iterable[TaskEvent], job_id: str) -> int:
    """Return the largest number of members of a job that completed in the same attempt."""
    done: dict[int, set[int]] = defaultdict(set)
    for event in events:
        if event.job_id == job_id and event.what == "done":
            done[event.attempt].add(event.member)
    return max((len(members) for members in done.values()), default=0)


def forbidden_starts(
    events: Iterable[TaskEvent],
    changes: Sequence[tuple[float, SettingsPut]],
    *,
    domain: str,
    workers: Mapping[str, str],
    bound: float,
) -> list[tuple[TaskEvent, float]]:
    """Return starts in a failure domain that came too long after it was drained.

    Args:
        events: Starts and ends of tasks.
        changes: Accepted settings changes with the times at which the log appended them.
        domain: The failure domain.
        workers: Failure domain by worker name.
        bound: Seconds after the drain during which starts are still allowed.

    Returns:
        Each start with the seconds since the domain was drained.
    """
    path = f"topology/failure_domains/{domain}/state"
    states = [(at, put.value) for at, put in changes if put.path == path]
    found = []
    for event in events:
        if event.what != "start" or workers[event.worker] != domain:
            continue
        out_at = _out_since(states, event.at)
        if out_at is not None and event.at - out_at > bound:
            found.append((event, event.at - out_at))
    return found


def _out_since(states: Sequence[tuple[float, str]], at: float) -> float | None:
    """Return since when the domain had been out at a time, or None if it was in."""
    since = None
    for changed_at, state in states:
        if changed_at > at:
            break
        if state == "in":
            since = None
        elif since is None:
            since = changed_at
    return since


def _spans_of_attempt(
    attempt: Attempt, history: Sequence[TaskEvent], size: int, now: float
) -> list[PartialSpan]:
    spans = []
    running: set[int] = set()
    done: set[int] = set()
    since: float | None = None
    for event in history:
        if event.what == "start":
            running.add(event.member)
        else:
            running.discard(event.member)
            if event.what == "done":
                done.add(event.member)
        is_partial = bool(running) and len(running | done) < size
        if is_partial and since is None:
            since = event.at
        elif not is_partial and since is not None:
            spans.append(PartialSpan(attempt=attempt, started_at=since, seconds=event.at - since))
            since = None
    if since is not None:
        spans.append(PartialSpan(attempt=attempt, started_at=since, seconds=now - since))
    return spans
