"""Metrics of one replay."""

from __future__ import annotations

import math
from statistics import fmean

from bench.policy.replay import SAMPLE_SECONDS, Record
from bench.policy.workloads import Workload
from zinniaweir.core.job import Job
from zinniaweir.core.nodes import Use
from zinniaweir.core.pool import Pool

TOTAL_START_SECONDS = 1.5
"""Time allowed beyond the reclaim time for stops and starts: 5.5 s minus 4 s."""
RAMP_SECONDS = 60.0
"""Part of the outage window after the failure domain has returned."""
STARVED_SECONDS = 2 * 3600.0
"""A job that waits longer than this for its first start counts as starved."""


def quantile(values: list[float], share: float) -> float:
    """Return a quantile by nearest rank, or 0 if there are no values."""
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)] if ordered else 0.0


def completion(workload: Workload, record: Record) -> dict:
    """Return the completion times in seconds of the jobs that can complete, by priority."""
    times: dict[str, list[float]] = {"all": [], "guaranteed": []}
    for job_id, truth in workload.ground_truths.items():
        if truth.fails or truth.impossible or truth.cancelled:
            continue
        end = record.finished.get(job_id)
        if end is None or record.states[job_id] != "done":
            continue
        seconds = end - record.submitted[job_id]
        times["all"].append(seconds)
        times.setdefault(record.jobs[job_id].priority, []).append(seconds)
        if truth.guaranteed:
            times["guaranteed"].append(seconds)
    return {
        name: {
            "mean": round(fmean(values), 1),
            "p50": round(quantile(values, 0.5), 1),
            "p99": round(quantile(values, 0.99), 1),
            "jobs": len(values),
        }
        for name, values in sorted(times.items())
        if values
    }


def fragmentation(record: Record) -> dict:
    """Return the unusable share of the free accelerators, sampled every 10 s."""
    shares = [sample.share for sample in record.fragmentation]
    free = sum(sample.free for sample in record.fragmentation)
    unusable = sum(sample.unusable for sample in record.fragmentation)
    return {
        "mean": round(fmean(shares), 4),
        "p99": round(quantile(shares, 0.99), 4),
        "unusable_of_free": round(unusable / free, 4) if free else 0.0,
        "unusable_mean": round(unusable / len(record.fragmentation), 2),
    }


def work_through_outage(workload: Workload, record: Record) -> dict:
    """Return the work done while a failure domain leaves and returns.

    The window lasts from the departure to the end of the return ramp and is sampled every 10 s.
    The possible work at a time is what fits if all unfinished jobs are packed again, without any
    cost, on the empty failure domains that are in: urgent and normal jobs first, because they
    may not be delayed, then batch jobs from the largest down. Jobs that cannot run or that fail
    everywhere are left out. The work done is the accelerators of running gangs, at most the
    possible work, minus the work of the window that was lost to stops without a checkpoint.

    For `share_of_accelerators`, the possible work is the smaller of the remaining and the demanded
    accelerators, whether or not the shapes fit.
    """
    out_at, in_at = workload.out
    times = [out_at + step for step in _steps(in_at + RAMP_SECONDS - out_at)]
    done = possible = possible_accelerators = lost = 0.0
    for at in times:
        jobs = [
            record.jobs[job_id]
            for job_id, truth in workload.ground_truths.items()
            if not truth.fails
            and not truth.impossible
            and record.submitted[job_id] <= at < record.finished.get(job_id, math.inf)
        ]
        running = sum(
            size
            for start, stop, size, _, job_id in record.segments
            if start <= at < stop and not workload.ground_truths[job_id].fails
        )
        packed, demand, capacity = _pack(workload, jobs, at)
        possible += packed * SAMPLE_SECONDS
        possible_accelerators += min(demand, capacity) * SAMPLE_SECONDS
        done += min(running, max(packed, 1)) * SAMPLE_SECONDS
    for start, stop, size, kept, job_id in record.segments:
        truth = workload.ground_truths[job_id]
        ended_in = times[0] <= stop <= times[-1]
        if not kept and ended_in and not truth.fails and not truth.cancelled:
            lost += size * (stop - max(start, times[0]))
    return {
        "share": round((done - lost) / possible, 4) if possible else 1.0,
        "share_of_accelerators": round((done - lost) / possible_accelerators, 4),
        "lost_accelerator_seconds": round(lost),
    }


def _steps(seconds: float) -> list[float]:
    return [step * SAMPLE_SECONDS for step in range(int(seconds / SAMPLE_SECONDS) + 1)]


def _pack(workload: Workload, jobs: list[Job], at: float) -> tuple[int, int, int]:
    """Return accelerators that could be used, those demanded, and those in domains that are in."""
    pool = Pool(workload.topology)
    if workload.out[0] <= at < workload.out[1]:
        for node in pool.domain_nodes(workload.out_domain):
            node.domain_in = False
            pool.refresh(node)
    capacity = sum(map(pool.unheld.domain_free, range(len(pool.topology.domain_names))))
    packed = demand = 0
    order = sorted(jobs, key=lambda j: (j.priority == "batch", -j.shape.total_accelerators))
    for job in order:
        demand += job.shape.total_accelerators
        slots = pool.unheld_placer.find(job.shape) if packed < capacity else None
        if slots is not None:
            pool.hold(job.job_id, slots, Use.RECLAIMABLE)
            packed += job.shape.total_accelerators
    return packed, demand, capacity


def reclaims(workload: Workload, record: Record) -> dict:
    """Return the seconds from the first request to a victim until the start of the owner's job."""
    bounds = workload.settings.policy.reclaim_seconds
    seconds = [value for _, value in record.reclaims]
    late = [
        (job_id, round(value, 2))
        for job_id, value in record.reclaims
        if value > bounds[record.jobs[job_id].priority] + TOTAL_START_SECONDS
    ]
    return {
        "count": len(seconds),
        "withdrawn": record.withdrawn_claims,
        "p50": round(quantile(seconds, 0.5), 2),
        "max": round(max(seconds, default=0.0), 2),
        "urgent_max": round(
            max((v for j, v in record.reclaims if record.jobs[j].priority == "urgent"), default=0),
            2,
        ),
        "late": late,
    }


def starved(workload: Workload, record: Record) -> list[str]:
    """Return the jobs that can run but did not end or waited too long for their first start."""
    found = []
    for job_id, truth in workload.ground_truths.items():
        if truth.impossible or truth.cancelled:
            continue
        waited = record.started.get(job_id, math.inf) - record.submitted[job_id]
        if job_id not in record.finished or (waited > STARVED_SECONDS and not truth.fails):
            found.append(job_id)
    return found
