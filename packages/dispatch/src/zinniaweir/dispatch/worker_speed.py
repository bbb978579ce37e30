"""Lasting relative speed of workers, learned from sibling tasks on different workers."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median, median_high
from typing import Final, NamedTuple

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.units import Assignment

LEVEL_WIDTH: Final = math.log(1.2)
"""Width of a speed level on the logarithmic scale; level 0 is the usual speed."""
LEVEL_HYSTERESIS: Final = 0.75
"""Distance from the center of its level, in widths, at which a worker changes its level.

Workers whose speeds differ by up to 10% stay on one level.
"""
MIN_TASKS: Final = 3
"""Number of tasks on a worker before its speed is used."""
MIN_STEPS_OF_SLOW: Final = 2
"""Number of steps in which a worker must have been slower than usual.

All tasks on a worker that is slowed down for some seconds are late.
"""
MIN_WORKERS: Final = 3
"""Number of workers on which tasks of a step must have been seen before they are compared."""
MAX_FACTOR: Final = 4.0
"""Ratio of durations beyond which a sample tells of something else than lasting speed.

A worker that is slowed down for some seconds is five to nine times slower.
"""
MIN_STANDARD_ERRORS: Final = 3.0
"""Number of standard errors by which a speed must differ from the usual one to be used."""
MIN_DEVIATION: Final = 0.05
"""Minimum deviation of the logarithms of durations that is assumed for tasks of one step."""
MIN_PERCENT: Final = 15
"""Progress from which a running task tells its duration; percents are whole numbers."""
PERCENT_STEP: Final = 25
"""Progress after which the observed duration of a running task is updated."""
MIN_ELAPSED_SECONDS: Final = 0.5
"""Time below which durations are dominated by the delays of calls."""
MAX_STEP_SAMPLES: Final = 7
"""Number of steps from which a worker's speed is computed; older ones are dropped."""
MAX_STEPS: Final = 256
"""Number of steps whose observed durations are kept."""
MAX_STEP_TASKS: Final = 128
"""Number of tasks of a step whose durations are kept."""
MAX_WORKERS: Final = 4_096
"""Number of workers whose speeds are kept."""
REFRESH_INTERVAL_SECONDS: Final = 0.4
"""Minimum time between two comparisons of the steps that changed."""
REFRESH_TASKS: Final = 1_000
"""Number of tasks of changed steps after which a refresh stops; the next one continues.

Bounds the time that a planning pass takes.
"""

StepKey = tuple[str, int]


class _Observation(NamedTuple):
    worker: Worker
    log_seconds: float
    percent: int


class _StepSample(NamedTuple):
    log_speed: float
    variance: float
    tasks: int


@dataclass(kw_only=True, slots=True)
class _WorkerState:
    incarnation: int
    kind: tuple[object, ...]
    samples: dict[StepKey, _StepSample] = field(default_factory=dict)
    level: int = 0
    speed: float = 1.0

    def update(self) -> None:
        """Compute the speed and its level from the samples."""
        samples = self.samples.values()
        # Of an even number the faster one counts: a worker may be slowed down for some seconds.
        target = median_high(s.log_speed for s in samples) if samples else 0.0
        self.speed = math.exp(target)
        unsure = target < 0 and len(samples) < MIN_STEPS_OF_SLOW
        if unsure or sum(s.tasks for s in samples) < MIN_TASKS:
            target = 0.0
        else:
            error = math.sqrt(1 / sum(1 / s.variance for s in samples))
            if abs(target) < MIN_STANDARD_ERRORS * error:
                target = 0.0
        if abs(target - self.level * LEVEL_WIDTH) > LEVEL_HYSTERESIS * LEVEL_WIDTH:
            self.level = round(target / LEVEL_WIDTH)


class WorkerSpeeds:
    """Relative speeds of workers; 1.0 is the usual speed and that of unknown workers.

    Tasks of one step are alike, so their durations on different workers are compared. Members of a
    gang advance together, at the speed of the slowest one, and tell nothing about a single worker.

    Args:
        reporter: Receives log events and counts.
    """

    def __init__(self, *, reporter: Reporter) -> None:
        self._log = reporter.log
        self._count = reporter.count
        self._steps: dict[StepKey, dict[int, _Observation | None]] = {}
        self._changed_steps: dict[StepKey, None] = {}
        self._states: dict[str, _WorkerState] = {}
        self._deviating: dict[str, _WorkerState] = {}
        """States of the workers that are known not to have the usual speed."""
        self._refreshed_at = float("-inf")

    @property
    def differ(self) -> bool:
        """Whether any worker is known not to have the usual speed."""
        return bool(self._deviating)

    def level(self, worker: Worker) -> int:
        """Return the speed level of a worker: 0 is usual, higher is faster."""
        state = self._deviating.get(worker.name)
        return state.level if state is not None and _same_machine(state, worker) else 0

    def speed(self, worker: Worker) -> float:
        """Return the relative speed of a worker, by which durations are divided."""
        state = self._deviating.get(worker.name)
        return state.speed if state is not None and _same_machine(state, worker) else 1.0

    def slowest(self, workers: Iterable[Worker | None]) -> float:
        """Return the speed of the slowest of some workers, at which a gang on them runs.

        Args:
            workers: The workers; those that are None count as of usual speed.
        """
        if not self.differ:
            return 1.0
        return min((1.0 if w is None else self.speed(w) for w in workers), default=1.0)

    def record_progress(self, worker: Worker, assignment: Assignment, *, now: float) -> None:
        """Record what the progress of a running task tells about its whole duration.

        Args:
            worker: The incarnation on which it runs.
            assignment: The task, with its progress as listed.
            now: Time of the listing in seconds.
        """
        if assignment.percent >= MIN_PERCENT:
            self._record(worker, assignment, percent=min(assignment.percent, 99), now=now)

    def record_end(self, worker: Worker, assignment: Assignment, *, now: float) -> None:
        """Record the duration of a task that is done.

        Args:
            worker: The incarnation on which it ran.
            assignment: The task.
            now: Time of its end in seconds.
        """
        self._record(worker, assignment, percent=100, now=now)

    def exclude(self, assignment: Assignment) -> None:
        """Ignore a run that stalled, since its duration does not tell its worker's speed."""
        if not _comparable(assignment):
            return
        tasks = self._tasks_of(assignment)
        if tasks.get(assignment.index, assignment) is not None:
            self._add_observation(assignment, tasks, None)

    def refresh(self, *, now: float) -> None:
        """Update the speeds of workers from the steps that changed, within a bounded time.

        Args:
            now: Current time in seconds.
        """
        if now - self._refreshed_at < REFRESH_INTERVAL_SECONDS:
            return
        self._refreshed_at = now
        examined = 0
        while self._changed_steps and examined < REFRESH_TASKS:
            key = next(iter(self._changed_steps))
            del self._changed_steps[key]
            observations = [o for o in self._steps.get(key, {}).values() if o is not None]
            examined += len(observations) + 1
            self._compare(key, observations)

    def _record(self, worker: Worker, assignment: Assignment, *, percent: int, now: float) -> None:
        if not _comparable(assignment) or assignment.started_at is None:
            return
        home_rack = assignment.unit.step.home_rack
        if home_rack and worker.entry.rack != home_rack:
            # It is slow since its data is far away.
            return
        elapsed = now - assignment.started_at
        if elapsed < MIN_ELAPSED_SECONDS:
            return
        tasks = self._tasks_of(assignment)
        if assignment.index in tasks:
            known = tasks[assignment.index]
            if known is None:
                return
            # The end of a run always counts.
            due = min(known.percent + PERCENT_STEP, 100)
            if known.worker.name == worker.name and percent < due:
                return
        self._note_machine(worker)
        log_seconds = math.log(elapsed * 100 / percent)
        self._add_observation(assignment, tasks, _Observation(worker, log_seconds, percent))

    def _tasks_of(self, assignment: Assignment) -> dict[int, _Observation | None]:
        key = _step_key(assignment)
        tasks = self._steps.get(key)
        if tasks is None:
            tasks = self._steps[key] = {}
            if len(self._steps) > MAX_STEPS:
                oldest = next(iter(self._steps))
                del self._steps[oldest]
                self._changed_steps.pop(oldest, None)
        return tasks

    def _add_observation(
        self,
        assignment: Assignment,
        tasks: dict[int, _Observation | None],
        observation: _Observation | None,
    ) -> None:
        tasks[assignment.index] = observation
        if len(tasks) > MAX_STEP_TASKS:
            del tasks[next(iter(tasks))]
        key = _step_key(assignment)
        # Steps are dropped in the order of their last change.
        self._steps[key] = self._steps.pop(key)
        self._changed_steps[key] = None

    def _compare(self, key: StepKey, observations: list[_Observation]) -> None:
        """Compare the workers of a step with each other."""
        by_worker: dict[str, list[float]] = defaultdict(list)
        workers: dict[str, Worker] = {}
        for observation in observations:
            name = observation.worker.name
            by_worker[name].append(observation.log_seconds)
            workers[name] = observation.worker
        if len(by_worker) < MIN_WORKERS:
            return
        log_seconds = {name: median(values) for name, values in by_worker.items()}
        log_work = {
            name: seconds + math.log(self.speed(workers[name]))
            for name, seconds in log_seconds.items()
        }
        usual = median(log_work.values())
        deviation = _deviation(by_worker, log_seconds, log_work, usual)
        for name, values in by_worker.items():
            log_speed = usual - log_seconds[name]
            sample = None
            if abs(log_speed) <= math.log(MAX_FACTOR):
                variance = deviation**2 * (1 / len(values) + 1 / len(by_worker))
                sample = _StepSample(log_speed, variance, len(values))
            self._update_worker(workers[name], key, sample)

    def _update_worker(self, worker: Worker, key: StepKey, sample: _StepSample | None) -> None:
        state = self._states.get(worker.name)
        if state is None or not _same_machine(state, worker):
            # Another machine has its name now.
            return
        if sample is None:
            state.samples.pop(key, None)
        else:
            state.samples[key] = sample
            if len(state.samples) > MAX_STEP_SAMPLES:
                del state.samples[next(iter(state.samples))]
        level = state.level
        state.update()
        if state.level != level:
            self._deviating.pop(worker.name, None)
            if state.level:
                self._deviating[worker.name] = state
            self._count("speeds_learned", _describe(state.level))
            self._log(
                "worker_speed_learned",
                worker=worker.name,
                speed=round(self.speed(worker), 2),
                steps=len(state.samples),
                tasks=sum(s.tasks for s in state.samples.values()),
            )

    def _note_machine(self, worker: Worker) -> None:
        """Keep what is known about a worker, unless it is another machine now."""
        state = self._states.get(worker.name)
        if state is not None and state.incarnation == worker.incarnation:
            return
        kind = _kind_of(worker)
        if state is not None and state.kind == kind:
            state.incarnation = worker.incarnation
            return
        if state is not None:
            self._forget(worker.name)
        self._states[worker.name] = _WorkerState(incarnation=worker.incarnation, kind=kind)
        if len(self._states) > MAX_WORKERS:
            self._forget(next(iter(self._states)))

    def _forget(self, name: str) -> None:
        del self._states[name]
        self._deviating.pop(name, None)


def _comparable(assignment: Assignment) -> bool:
    """Return whether a run's duration can be compared with that of its siblings."""
    unit = assignment.unit
    return (
        len(unit.indexes) == 1
        and unit.step.count >= MIN_WORKERS
        and not assignment.inherited
        and not unit.run_checkpoint
    )


def _step_key(assignment: Assignment) -> StepKey:
    return (assignment.unit.job.job_id, assignment.unit.step_number)


def _kind_of(worker: Worker) -> tuple[object, ...]:
    entry = worker.entry
    return (entry.labels, entry.cpu_millis, entry.memory_mb, entry.accelerators)


def _same_machine(state: _WorkerState, worker: Worker) -> bool:
    """Return whether a worker is the machine whose speed is known.

    The capacity of one incarnation may shrink; a later one of another size is another machine.
    """
    return state.incarnation == worker.incarnation or state.kind == _kind_of(worker)


def _deviation(
    by_worker: dict[str, list[float]],
    log_seconds: dict[str, float],
    log_work: dict[str, float],
    usual: float,
) -> float:
    """Return the standard deviation of the logarithms of the lengths of a step's tasks.

    Tasks on the same worker tell it without the speeds of workers.
    """
    residuals = [
        abs(value - log_seconds[name]) * math.sqrt(len(values) / (len(values) - 1))
        for name, values in by_worker.items()
        if len(values) > 1
        for value in values
    ]
    if len(residuals) <= MIN_WORKERS:
        residuals = [abs(work - usual) for work in log_work.values()]
    # The median of absolute deviations, scaled to the standard deviation of a normal distribution.
    return max(1.4826 * median(residuals), MIN_DEVIATION)


def _describe(level: int) -> str:
    if not level:
        return "usual"
    return "faster" if level > 0 else "slower"
