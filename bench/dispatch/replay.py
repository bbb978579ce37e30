"""Simulation of jobs, workers and a dispatcher."""

from __future__ import annotations

import math
import random
import statistics
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from bench.dispatch.workloads import SERVICE, Arrival, Deployment
from zinniaweir.dispatch.dispatcher import Dispatcher
from zinniaweir.dispatch.messages import (
    ActiveRun,
    EndedRun,
    Listing,
    RunEnd,
    StartAnswer,
    TaskId,
    WorkerEntry,
)
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment
from zinniaweir.workloads.job_table import JobEntry
from zinniaweir.workloads.queues import Configuration, Customer
from zinniaweir.workloads.records import Submission

TICK_INTERVAL_SECONDS: Final = 0.05
REMOTE_FACTOR: Final = 3.0
"""Factor on the duration of a task off its home rack, or of a rack-local gang on several racks."""
MAX_SECONDS: Final = 200.0
"""Longest simulation."""
RECORD_SECONDS: Final = 0.05
"""Time between a decision and its start, for the append to the log."""
RESTORE_SECONDS: Final = 0.6
"""Time to restore a checkpoint."""
MAX_LATENESS_FACTOR: Final = 3.0
"""A job that ends within this multiple of its objective is late but still of use."""
SLOW_FACTOR: Final = 7.0
"""Factor on the duration of work in a period in which its worker is slowed down."""
SLOW_SECONDS: Final = 3.0
"""Length of such a period."""
WINDOW_SECONDS: Final = 5.0
"""Length of the windows by which jobs are grouped for `worst_windows`."""
MAX_WORTH_FACTOR: Final = 4.0
"""Maximum worth of a job, as a multiple of the worth of its kind."""
LOST_WORK_COST: Final = 0.0011
"""Cost of a core-second of lost work in units of worth, as specified for the deployments."""


@dataclass(kw_only=True, eq=False)
class _Run:
    assignment: Assignment
    key: tuple[TaskId, int]
    started_at: float
    ends_at: float
    whole_seconds: float = 0.0
    """Duration of the run, 0 until all members of its gang have started."""
    saved: float = 0.0
    """Share of the work that the checkpoint of an earlier run holds."""
    stopping: bool = False


@dataclass(kw_only=True, eq=False)
class _SimulatedWorker:
    entry: WorkerEntry
    speed: float
    """Relative speed, by which the durations of runs are divided."""
    slow_periods: tuple[float, ...] = ()
    """Beginnings of the periods in which it is slowed down, in seconds."""
    runs: dict[tuple[TaskId, int], _Run] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    number: int = 0

    def seconds_for(self, work: float, *, now: float) -> float:
        """Return how long some work takes that begins now.

        Args:
            work: The work, in seconds on a worker of speed 1.
            now: Current time in seconds.
        """
        ends_at = now + work / self.speed
        for begins_at in self.slow_periods:
            slowed = min(begins_at + SLOW_SECONDS, ends_at) - max(begins_at, now)
            if begins_at < ends_at and slowed > 0:
                ends_at += min(slowed * (SLOW_FACTOR - 1), SLOW_SECONDS)
        return ends_at - now


@dataclass(frozen=True, kw_only=True)
class Results:
    """Results of one simulation; shares are of the worth that could have been earned."""

    worth: float
    """Share earned by all jobs."""
    by_kind: dict[str, float]
    """Share earned by each kind of job."""
    worst_windows: float
    """Mean share earned in the two worst windows of arrival time."""
    largest: float
    """Share earned by the largest tenth of the jobs of a kind, for the worst kind."""
    customers: float
    """Share earned by the jobs of the worst customer."""
    wasted: float
    """Lost core-seconds, as a share of the core-seconds of all jobs."""
    lost_worth: float
    """Cost of the lost core-seconds, as a share of the worth of all jobs."""
    plan_ms: float
    """Mean processor time of a planning call in milliseconds."""
    counts: Counter[str]
    """Counters of the dispatcher, and the lost core-seconds of each queue."""
    delays: dict[str, float]
    """Mean duration of the jobs of each kind as a multiple of their objective, at most 3 each."""
    seconds: dict[str, tuple[float, bool]]
    """Duration of each job, and whether it earned its whole worth."""


def _unit_key(assignment: Assignment) -> tuple[str, int, int]:
    unit = assignment.unit
    return (unit.job.job_id, unit.step_number, unit.indexes[0])


class Replay:
    """Simulation of one dispatcher with its workers.

    Args:
        deployment: The workers and customers.
        seed: Seed of the periods in which workers are slowed down.
    """

    def __init__(self, *, deployment: Deployment, seed: int = 0) -> None:
        self._deployment = deployment
        self._seed = seed
        self._now = 100.0
        self._workers = {entry.worker: simulated for entry, simulated in self._make_workers()}
        self._arrivals: dict[str, Arrival] = {}
        self.counts: Counter[str] = Counter()
        """Counters of the dispatcher, and the lost core-seconds of each queue."""
        self._wasted = 0.0
        self._plan_times: list[float] = []
        self._pending: list[tuple[float, Assignment]] = []
        self._saved: dict[tuple[str, int, int], float] = defaultdict(float)
        """Share of the work that a checkpoint holds, by unit."""
        self.done_at: dict[str, float] = {}
        """When each job completed, in simulated seconds."""
        self.learned_speeds: dict[str, float] = {}
        """Learned speeds of workers, as logged."""
        self.dispatcher = Dispatcher(
            now=self._now, predecessor_ended=True, time_limits=TimeLimits(), reporter=self
        )
        total = 8 * deployment.workers * deployment.guaranteed_share
        each = int(total / deployment.customers)
        customers = tuple(
            Customer(name=f"customer-{n}", api_keys=frozenset(), guaranteed_accelerators=each)
            for n in range(deployment.customers)
        )
        self.dispatcher.configure(Configuration(version=1, customers=customers), frozenset())

    @property
    def racks(self) -> tuple[str, ...]:
        """Names of the racks."""
        return tuple(sorted({simulated.entry.rack for simulated in self._workers.values()}))

    def log(self, event: str, **fields: Any) -> None:
        """Record when a job completed, and learned speeds; other events are ignored."""
        if event == "job_complete":
            self.done_at[fields["job_id"]] = self._now
        elif event == "worker_speed_learned":
            self.learned_speeds[fields["worker"]] = fields["speed"]

    def count(self, name: str, reason: str) -> None:
        """Increment a counter."""
        self.counts[f"{name}:{reason}"] += 1

    def measure(self, name: str, seconds: float, label: str) -> None:
        """Ignore durations; the results are computed from the simulation's own times."""

    def run(self, jobs: Iterable[Arrival], *, seconds: float) -> Results:
        """Simulate for some seconds and return the results.

        Args:
            jobs: Jobs in the order of their arrival.
            seconds: Simulated duration in seconds.
        """
        waiting = list(jobs)
        started_at = self._now
        while self._now < started_at + seconds:
            while waiting and started_at + waiting[0].at <= self._now:
                self._add(waiting.pop(0))
            self._step()
        return self._results(started_at)

    def _make_workers(self) -> Iterable[tuple[WorkerEntry, _SimulatedWorker]]:
        for n in range(self._deployment.workers):
            row = n // self._deployment.rack_size
            rack = f"r{row}-0"
            entry = WorkerEntry(
                worker=f"w{n}",
                service=SERVICE,
                address=f"w{n}:1",
                failure_domain=f"zone-{row % 3}",
                rack=rack,
                labels=frozenset({rack}),
                incarnation=1,
                draining=False,
                cpu_millis=self._deployment.worker_cpu_millis,
                memory_mb=self._deployment.worker_memory_mb,
                accelerators=8,
            )
            speeds = self._deployment.speeds
            yield (
                entry,
                _SimulatedWorker(
                    entry=entry,
                    speed=speeds[n % len(speeds)],
                    slow_periods=self._slow_periods(n),
                ),
            )

    def _slow_periods(self, number: int) -> tuple[float, ...]:
        if math.isinf(self._deployment.slow_interval):
            return ()
        source = random.Random(f"{self._seed}-{number}")
        periods: list[float] = []
        at = self._now
        while (
            at := at + source.expovariate(1 / self._deployment.slow_interval)
        ) < self._now + MAX_SECONDS:
            periods.append(at)
        return tuple(periods)

    def _add(self, arrival: Arrival) -> None:
        self._arrivals[arrival.job_id] = arrival
        submission = Submission(
            job_id=arrival.job_id,
            customer=arrival.customer,
            terms=arrival.terms,
            spec=arrival.spec,
            accepted_at=0.0,
        )
        self.dispatcher.add_job(JobEntry(submission=submission), now=self._now, age=0.0)

    def _step(self) -> None:
        self._now += TICK_INTERVAL_SECONDS
        now, dispatcher = self._now, self.dispatcher
        dispatcher.update_workers(
            [simulated.entry for simulated in self._workers.values()], now=now
        )
        dispatcher.update_view_time(now, jobs_read_at=now)
        for simulated in self._workers.values():
            for run in list(simulated.runs.values()):
                if now >= run.ends_at:
                    self._finish(simulated, run)
        self._poll()
        cpu = time.process_time()
        dispatcher.plan(now=now)
        self._plan_times.append(time.process_time() - cpu)
        changes = dispatcher.collect_changes(now=now)
        dispatcher.mark_recorded(changes)
        self._pending += [(now + RECORD_SECONDS, assignment) for assignment in changes.placed]
        due = [assignment for at, assignment in self._pending if at <= now]
        self._pending = [(at, assignment) for at, assignment in self._pending if at > now]
        for assignment in due:
            self._start(assignment)
        for assignment in list(dispatcher.assignments_to_stop(now=now, retry_after_seconds=9.0)):
            self._stop(assignment)

    def _poll(self) -> None:
        now = self._now
        for worker in list(self.dispatcher.fleet):
            simulated = self._workers[worker.name]
            simulated.ended = [
                row for row in simulated.ended if row.number > worker.acknowledged_end
            ]
            rows = tuple(
                ActiveRun(task=key[0], run=key[1], checkpoint="", percent=self._percent(run))
                for key, run in simulated.runs.items()
            )
            worker.lease_until_ms = int(now * 1e3) + 6000
            listing = Listing(
                incarnation=1, clock_ms=int(now * 1e3), running=rows, ended=tuple(simulated.ended)
            )
            self.dispatcher.handle_listing(
                worker, listing, poll_sent_at=now - 0.001, renewed=True, now=now
            )

    def _percent(self, run: _Run) -> int:
        share = (self._now - run.started_at) / run.whole_seconds if run.whole_seconds else 0.0
        return max(1, min(99, int(100 * share)))

    def _start(self, assignment: Assignment) -> None:
        if not self.dispatcher.prepare_start(assignment, now=self._now):
            return
        simulated = self._workers[assignment.worker]
        key = (assignment.task, assignment.run)
        simulated.runs[key] = _Run(
            assignment=assignment, key=key, started_at=self._now, ends_at=float("inf")
        )
        self.dispatcher.handle_start_answer(assignment, StartAnswer.STARTED, now=self._now)
        members = [
            run
            for other in assignment.unit.assignments.values()
            if (run := self._workers[other.worker].runs.get((other.task, other.run)))
        ]
        if len(members) == len(assignment.unit.indexes):
            left = 1 - self._saved[_unit_key(assignment)]
            restore = RESTORE_SECONDS if left < 1 else 0.0
            ends_at = (
                self._now + restore + left * max(self._seconds(run.assignment) for run in members)
            )
            for run in members:
                run.started_at, run.ends_at = self._now, ends_at
                run.whole_seconds, run.saved = ends_at - self._now, 1 - left

    def _seconds(self, assignment: Assignment) -> float:
        unit = assignment.unit
        arrival = self._arrivals[unit.job.job_id]
        simulated = self._workers[assignment.worker]
        work = arrival.seconds[unit.step_number][assignment.index]
        seconds = simulated.seconds_for(work, now=self._now)
        step = unit.step
        racks = {self._workers[a.worker].entry.rack for a in unit.assignments.values()}
        off_home_rack = bool(step.home_rack) and simulated.entry.rack != step.home_rack
        spread = step.rack_local and len(racks) > 1
        return seconds * REMOTE_FACTOR if off_home_rack or spread else seconds

    def _finish(self, simulated: _SimulatedWorker, run: _Run) -> None:
        if run.stopping:
            self._end(simulated, run, RunEnd.STOPPED)
            return
        members = list(run.assignment.unit.assignments.values())
        for assignment in members:
            other = self._workers[assignment.worker]
            found = other.runs.get((assignment.task, assignment.run))
            if found is not None:
                self._end(other, found, RunEnd.DONE)

    def _end(self, simulated: _SimulatedWorker, run: _Run, end: RunEnd) -> None:
        if simulated.runs.pop(run.key, None) is None:
            return
        step = run.assignment.unit.step
        if end is not RunEnd.DONE and step.checkpointing:
            key = _unit_key(run.assignment)
            share = (
                min((self._now - run.started_at) / run.whole_seconds, 1) if run.whole_seconds else 0
            )
            self._saved[key] = max(self._saved[key], run.saved + (1 - run.saved) * share)
        elif end is not RunEnd.DONE:
            cores = step.cpu_millis / 1e3 + 8 * step.accelerators
            lost = cores * max(self._now - run.started_at, 0.0)
            self._wasted += lost
            self.counts[f"wasted:{run.assignment.unit.job.terms.name}"] += int(lost)
        simulated.number += 1
        simulated.ended.append(
            EndedRun(
                number=simulated.number,
                task=run.key[0],
                run=run.key[1],
                end=end,
                checkpoint="saved" if self._saved[_unit_key(run.assignment)] else "",
            )
        )

    def _stop(self, assignment: Assignment) -> None:
        self.dispatcher.mark_stop_sent(assignment, now=self._now)
        run = self._workers[assignment.worker].runs.get((assignment.task, assignment.run))
        if run is not None:
            run.stopping = True
            run.ends_at = self._now + self._deployment.stop_seconds
        self.dispatcher.handle_stop_answer(assignment, acknowledged=True, now=self._now)

    def _results(self, started_at: float) -> Results:
        sizes: dict[str, list[float]] = defaultdict(list)
        for arrival in self._arrivals.values():
            sizes[arrival.kind.name].append(arrival.core_seconds)
        means = {name: statistics.fmean(values) for name, values in sizes.items()}
        large = {name: sorted(values)[int(len(values) * 0.9)] for name, values in sizes.items()}
        earned: dict[tuple[str, object], list[float]] = defaultdict(lambda: [0.0, 0.0])
        seconds: dict[str, tuple[float, bool]] = {}
        delays: dict[str, list[float]] = defaultdict(list)
        for arrival in self._arrivals.values():
            kind, size = arrival.kind, arrival.core_seconds
            possible = kind.worth * min(0.3 + 0.7 * size / means[kind.name], MAX_WORTH_FACTOR)
            earned_worth = possible * self._earned_share(arrival, started_at)
            done = self.done_at.get(arrival.job_id)
            duration = float("inf") if done is None else done - started_at - arrival.at
            seconds[arrival.job_id] = (duration, earned_worth == possible)
            delays[kind.name].append(min(duration / arrival.objective, MAX_LATENESS_FACTOR))
            keys: list[tuple[str, object]] = [
                ("all", ""),
                ("kind", kind.name),
                ("window", int(arrival.at / WINDOW_SECONDS)),
                ("customer", arrival.customer),
            ]
            if size >= large[kind.name]:
                keys.append(("large", kind.name))
            for key in keys:
                earned[key][0] += earned_worth
                earned[key][1] += possible

        def shares(group: str) -> dict[object, float]:
            return {
                k: earned_worth / possible
                for (g, k), (earned_worth, possible) in earned.items()
                if g == group
            }

        work = sum(a.core_seconds for a in self._arrivals.values())
        return Results(
            worth=shares("all")[""],
            by_kind={str(k): v for k, v in shares("kind").items()},
            worst_windows=statistics.fmean(sorted(shares("window").values())[:2]),
            largest=min(shares("large").values()),
            customers=min(shares("customer").values()),
            wasted=self._wasted / work,
            lost_worth=LOST_WORK_COST * self._wasted / earned["all", ""][1],
            plan_ms=1e3 * statistics.fmean(self._plan_times),
            counts=self.counts,
            delays={name: statistics.fmean(values) for name, values in delays.items()},
            seconds=seconds,
        )

    def _earned_share(self, arrival: Arrival, started_at: float) -> float:
        done = self.done_at.get(arrival.job_id)
        if done is None:
            return 0.0
        duration = done - started_at - arrival.at
        if duration <= arrival.objective:
            return 1.0
        if duration <= MAX_LATENESS_FACTOR * arrival.objective:
            return arrival.kind.late_worth / arrival.kind.worth
        return 0.0
