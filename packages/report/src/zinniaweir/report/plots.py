"""Plots of records as SVG, drawn with matplotlib."""

from __future__ import annotations

import io
from collections import defaultdict
from statistics import fmean
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from zinniaweir.report.records import Job, Replay, Timeline

WIDTH_INCHES: Final = 9.0
HEIGHT_INCHES: Final = 3.4
PRIORITY_COLOURS: Final = {"urgent": "#c0392b", "normal": "#2471a3", "batch": "#7f8c8d"}
POLICY_COLOURS: Final = ("#2471a3", "#b9770e", "#7f8c8d", "#1e8449")


class PlotsUnavailableError(Exception):
    """The plotting library is not installed."""


def policy_comparison(replays: list[Replay]) -> str:
    """Plot three measures of each policy by workload as bars, averaged over seeds."""
    workloads = sorted({replay.workload for replay in replays})
    policies = list(dict.fromkeys(replay.policy for replay in replays))
    measures: list[tuple[str, Callable[[Replay], float]]] = [
        ("mean completion, s", lambda r: r.completion["all"]["mean"]),
        ("fragmentation, mean share", lambda r: r.fragmentation["mean"]),
        ("work through an outage, share", lambda r: r.outage_work["share"]),
    ]

    def draw(axes: Any) -> None:
        for axis, (title, value) in zip(axes, measures, strict=True):
            for index, policy in enumerate(policies):
                heights = [
                    fmean([value(r) for r in replays if (r.workload, r.policy) == (w, policy)])
                    for w in workloads
                ]
                positions = [i + index * 0.8 / len(policies) for i in range(len(workloads))]
                colour = POLICY_COLOURS[index % len(POLICY_COLOURS)]
                axis.bar(positions, heights, 0.8 / len(policies), label=policy, color=colour)
            centre = 0.4 - 0.4 / len(policies)
            axis.set_xticks([i + centre for i in range(len(workloads))], workloads)
            axis.set_title(title, fontsize=10)
        handles, labels = axes[0].get_legend_handles_labels()
        axes[0].figure.legend(
            handles, labels, loc="outside lower center", ncols=len(labels), fontsize=8
        )

    return _figure(draw, columns=3)


def work_over_time(timelines: list[Timeline]) -> str:
    """Plot the accelerators in use over time for each policy, and those that could be in use."""

    def draw(axes: Any) -> None:
        for index, line in enumerate(timelines):
            data = line.timeline
            minutes = [at / 60 for at in data["at"]]
            colour = POLICY_COLOURS[index % len(POLICY_COLOURS)]
            axes[0].step(minutes, data["running"], where="post", label=line.policy, color=colour)
        longest = max(timelines, key=lambda line: len(line.timeline["at"])).timeline
        minutes = [at / 60 for at in longest["at"]]
        axes[0].step(
            minutes, longest["possible"], where="post", label="possible", color="#cccccc", zorder=0
        )
        axes[0].set_xlabel("minutes")
        axes[0].set_ylabel("accelerators in use")
        axes[0].legend(fontsize=8)

    return _figure(draw)


def fragmentation_over_time(timelines: list[Timeline]) -> str:
    """Plot the unusable share of free accelerators over time for each policy."""

    def draw(axes: Any) -> None:
        for index, line in enumerate(timelines):
            minutes = [at / 60 for at in line.timeline["at"]]
            colour = POLICY_COLOURS[index % len(POLICY_COLOURS)]
            axes[0].step(
                minutes,
                line.timeline["fragmentation"],
                where="post",
                label=line.policy,
                color=colour,
            )
        axes[0].set_xlabel("minutes")
        axes[0].set_ylabel("unusable share of free")
        axes[0].set_ylim(0, 1)
        axes[0].legend(fontsize=8)

    return _figure(draw)


def completion_of_jobs(jobs: list[Job]) -> str:
    """Plot the completion time of each job over the time of its end, coloured by priority."""
    done = [job for job in jobs if job.completion_seconds is not None]
    first = min((job.submitted_at for job in jobs), default=0.0)
    by_priority: dict[str, list[Job]] = defaultdict(list)
    for job in done:
        by_priority[job.priority].append(job)

    def draw(axes: Any) -> None:
        for priority, colour in PRIORITY_COLOURS.items():
            found = by_priority[priority]
            axes[0].scatter(
                [(job.finished_at - first) / 60 for job in found],
                [job.completion_seconds for job in found],
                s=14,
                color=colour,
                label=f"{priority} ({len(found)})",
            )
        axes[0].set_xlabel("minutes since the first submission")
        axes[0].set_ylabel("completion time, s")
        axes[0].legend(fontsize=8)

    return _figure(draw)


def jobs_over_time(jobs: list[Job]) -> str:
    """Plot the number of waiting and running jobs over time."""
    first = min((job.submitted_at for job in jobs), default=0.0)

    def draw(axes: Any) -> None:
        for label, colour, changes in (
            ("waiting", "#b9770e", _waiting_changes(jobs)),
            ("running", "#2471a3", _running_changes(jobs)),
        ):
            times, counts = _running_sum(changes)
            minutes = [(at - first) / 60 for at in times]
            axes[0].step(minutes, counts, where="post", label=label, color=colour)
        axes[0].set_xlabel("minutes since the first submission")
        axes[0].set_ylabel("jobs")
        axes[0].legend(fontsize=8)

    return _figure(draw)


def _waiting_changes(jobs: list[Job]) -> list[tuple[float, int]]:
    changes = []
    for job in jobs:
        changes.append((job.submitted_at, 1))
        if end := job.started_at or job.finished_at:
            changes.append((end, -1))
    return changes


def _running_changes(jobs: list[Job]) -> list[tuple[float, int]]:
    changes = []
    for job in jobs:
        if job.started_at:
            changes.append((job.started_at, 1))
            if job.finished_at:
                changes.append((job.finished_at, -1))
    return changes


def _running_sum(changes: list[tuple[float, int]]) -> tuple[list[float], list[int]]:
    times: list[float] = []
    counts: list[int] = []
    total = 0
    for at, change in sorted(changes):
        total += change
        times.append(at)
        counts.append(total)
    return times, counts


def _figure(draw: Callable[[Any], None], *, columns: int = 1) -> str:
    """Return a figure as SVG without the XML prologue, so that it can be embedded in HTML."""
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotsUnavailableError("install the extra zinniaweir-report[plots]") from error
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained")
    axes = figure.subplots(1, columns, squeeze=False)[0]
    for axis in axes:
        axis.spines[["top", "right"]].set_visible(False)
    draw(axes)
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    text = out.getvalue()
    return text[text.index("<svg") :]
