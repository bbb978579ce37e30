"""Timeline and cause of delay or failure of one job, from the log lines of all processes."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import Any, Final

CLOCK_REFERENCE_EVENT: Final = "configuration_applied"
"""All VMs apply a new configuration within one read of the log; its times show clock offsets."""
OMITTED_FIELDS: Final = frozenset(
    {"message_type", "timestamp", "task_uuid", "task_level", "process", "vm", "job_id", "task"}
)
MIN_REPORTED_WAIT_SECONDS: Final = 0.3
"""Shorter waits do not explain a late job."""
TAKEOVER_SECONDS: Final = 0.5
"""Ends that a new owner records within this time happened while there was no owner."""
CLUSTER_EVENTS: Final = frozenset(
    {
        "owner_began",
        "owner_ended",
        "owner_fenced",
        "dependency_lost",
        "dependency_regained",
        "worker_lost",
        "worker_paused",
    }
)
"""Events that belong to no job but explain gaps in the timeline of one."""


class JobTimelineError(Exception):
    """No log line names the job."""


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """One log line."""

    at: float
    """Wall-clock time in seconds, corrected for the offset of the VM's clock."""
    vm: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)

    @property
    def job_id(self) -> str:
        """Id of the job that the line is about, or an empty string."""
        task = self.fields.get("task")
        if isinstance(task, list) and task:
            return str(task[0])
        return str(self.fields.get("job_id", ""))

    @property
    def extra_fields(self) -> dict[str, Any]:
        """Fields of the line except those that name its event, time, process, VM and job.

        A task is shown as the parts of its id after the job's, separated by periods.
        """
        extra_fields = {k: v for k, v in self.fields.items() if k not in OMITTED_FIELDS}
        task = self.fields.get("task")
        if isinstance(task, list):
            extra_fields["task"] = ".".join(str(part) for part in task[1:])
        return extra_fields


@dataclass(frozen=True, kw_only=True)
class JobTimeline:
    """Log lines that concern a job, in order of time, and the cause of its outcome."""

    job_id: str
    lines: tuple[LogLine, ...]
    """Lines of the job, and lines of the cluster between the first and the last of them."""
    cause: str
    """Outcome of the job and what explains it, in one line."""
    broken_lines: int
    """Number of lines that could not be parsed."""


def build_job_timeline(job_id: str, log_texts: Iterable[str]) -> JobTimeline:
    """Build the timeline of a job.

    Args:
        job_id: Id of the job, given by its caller.
        log_texts: Log lines of all processes, in any order.

    Raises:
        JobTimelineError: If no line names the job.
    """
    lines, broken = _parse_lines(log_texts)
    job_lines = [line for line in lines if line.job_id == job_id]
    if not job_lines:
        raise JobTimelineError(f"no log line names job {job_id}; {broken} lines could not be read")
    first, last = job_lines[0].at, job_lines[-1].at
    cluster_lines = [ln for ln in lines if ln.event in CLUSTER_EVENTS and first <= ln.at <= last]
    ordered = tuple(sorted([*job_lines, *cluster_lines], key=lambda line: line.at))
    return JobTimeline(
        job_id=job_id, lines=ordered, cause=_cause(job_lines, cluster_lines), broken_lines=broken
    )


def _parse_lines(log_texts: Iterable[str]) -> tuple[list[LogLine], int]:
    lines: list[LogLine] = []
    broken = 0
    for text in log_texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            content = json.loads(text[start:])
            line = LogLine(
                at=float(content["timestamp"]),
                vm=str(content["vm"]),
                event=str(content["message_type"]),
                fields=content,
            )
        except (ValueError, KeyError, TypeError):
            broken += 1
            continue
        lines.append(line)
    offsets = _clock_offsets(lines)
    aligned = [
        LogLine(at=ln.at - offsets.get(ln.vm, 0.0), vm=ln.vm, event=ln.event, fields=ln.fields)
        for ln in lines
    ]
    return sorted(aligned, key=lambda line: line.at), broken


def _clock_offsets(lines: Sequence[LogLine]) -> dict[str, float]:
    """Return by how many seconds each VM's clock is ahead of the median.

    VMs that logged no reference event are left out.
    """
    times_by_version: dict[Any, dict[str, float]] = defaultdict(dict)
    for line in lines:
        if line.event == CLOCK_REFERENCE_EVENT:
            times_by_version[line.fields.get("version")].setdefault(line.vm, line.at)
    differences: dict[str, list[float]] = defaultdict(list)
    for times in times_by_version.values():
        reference = median(times.values())
        for vm, at in times.items():
            differences[vm].append(at - reference)
    return {vm: median(values) for vm, values in differences.items()}


def _cause(job_lines: Sequence[LogLine], cluster_lines: Sequence[LogLine]) -> str:
    answers = [line for line in job_lines if line.event == "submission_answered"]
    accepted = [line for line in answers if line.fields.get("answer") == "Accepted"]
    if answers and not accepted and not any(line.event == "job_taken" for line in job_lines):
        return _describe_refusal(answers, cluster_lines)
    for line in job_lines:
        if line.event == "job_failed":
            return _describe_failure(job_lines, line)
    for line in job_lines:
        if line.event == "job_closed" and line.fields.get("reason") == "cancelled":
            return "cancelled by its caller"
    for line in job_lines:
        if line.event == "job_complete":
            return _describe_completion(job_lines, cluster_lines, line)
    return "not ended in these lines; " + _describe_delays(job_lines, cluster_lines)


def _describe_takeover(job_lines: Sequence[LogLine], change: LogLine) -> str:
    before = [ln.at for ln in job_lines if ln.at < change.at]
    text = f"{change.vm} became the owner"
    if not before:
        return text
    ends = [
        ln
        for ln in job_lines
        if ln.event == "task_ended" and 0 <= ln.at - change.at < TAKEOVER_SECONDS
    ]
    gap = change.at - before[-1]
    if ends:
        return f"{text} {gap:.1f} s after the last line before, and took note of {len(ends)} ends"
    return f"{text} {gap:.1f} s after the last line before"


def _describe_refusal(answers: Sequence[LogLine], cluster_lines: Sequence[LogLine]) -> str:
    reasons = Counter(ln.fields.get("reason") or ln.fields.get("answer") for ln in answers)
    text = ", ".join(f"{reason} ({count})" for reason, count in reasons.most_common())
    lost = sorted({ln.vm for ln in cluster_lines if ln.event == "dependency_lost"})
    where = f"; the log was lost on {', '.join(lost)}" if lost else ""
    return f"never accepted: {text}{where}"


def _describe_failure(job_lines: Sequence[LogLine], end: LogLine) -> str:
    runs = [ln for ln in job_lines if ln.event == "task_ended" and ln.fields.get("end") == "failed"]
    workers = Counter(str(ln.fields.get("worker")) for ln in runs)
    runs_by_worker = ", ".join(f"{worker} ({count})" for worker, count in sorted(workers.items()))
    conclusion = "the job fails everywhere" if len(workers) > 1 else "one worker alone was tried"
    return f"failed {end.fields.get('attempts')} attempts, on {runs_by_worker}: {conclusion}"


def _describe_completion(
    job_lines: Sequence[LogLine], cluster_lines: Sequence[LogLine], end: LogLine
) -> str:
    seconds, objective = end.fields.get("seconds", 0.0), end.fields.get("objective", 0.0)
    if seconds <= objective:
        return f"complete in time: {seconds} s of {objective} s"
    return f"complete late: {seconds} s, objective {objective} s; " + _describe_delays(
        job_lines, cluster_lines
    )


def _describe_delays(job_lines: Sequence[LogLine], cluster_lines: Sequence[LogLine]) -> str:
    """Describe waits for placement, interrupted and stopped runs, and changes of the owner."""
    changes = [ln for ln in cluster_lines if ln.event == "owner_began"]
    placed = [ln for ln in job_lines if ln.event == "unit_placed"]
    parts: list[str] = []
    accepted = next(
        (ln.at for ln in job_lines if ln.event == "submission_answered"), job_lines[0].at
    )
    if placed and placed[0].at - accepted > MIN_REPORTED_WAIT_SECONDS:
        until = placed[0].at
        owner = next((ln.vm for ln in changes if accepted < ln.at <= until), "")
        by = f", after {owner} became the owner" if owner else ""
        parts.append(f"first placed {until - accepted:.1f} s after its acceptance{by}")
    if placed:
        longest = max(placed, key=lambda ln: float(ln.fields.get("waited", 0.0)))
        waited = float(longest.fields.get("waited", 0.0))
        if waited > MIN_REPORTED_WAIT_SECONDS:
            step = longest.fields.get("step")
            parts.append(f"the longest wait for room was {waited:.1f} s (step {step})")
    elif any(ln.event == "unit_waits" for ln in job_lines):
        parts.append("it never found room")
    interrupted = Counter(
        f"{ln.fields.get('end')}/{ln.fields.get('cause')}"
        for ln in job_lines
        if ln.event == "task_ended" and ln.fields.get("end") != "done"
    )
    if interrupted:
        text = ", ".join(f"{how} ({count})" for how, count in interrupted.most_common(3))
        parts.append(f"runs were interrupted: {text}")
    stops = Counter(str(ln.fields.get("reason")) for ln in job_lines if ln.event == "unit_stopping")
    if stops:
        parts.append("stopped for " + ", ".join(f"{r} ({n})" for r, n in stops.most_common(3)))
    runs = [
        float(ln.fields.get("seconds") or 0.0)
        for ln in job_lines
        if ln.event == "task_ended" and ln.fields.get("end") == "done"
    ]
    if runs and max(runs) > 0:
        parts.append(f"its longest run took {max(runs):.1f} s")
    for change in changes:
        parts.append(_describe_takeover(job_lines, change))
    return "; ".join(parts) or "its runs took this long"
