"""Queues whose tasks slow each other down on one worker, learned from sibling tasks."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median
from typing import Final, NamedTuple

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.units import Assignment, Unit

MIN_SLOWDOWN: Final = 1.15
"""Factor on durations that a pair must certainly exceed to be kept apart."""
KEPT_SLOWDOWN: Final = 1.1
"""Factor on durations below which a judged pair is dropped."""
MIN_STANDARD_ERRORS: Final = 3.0
"""Number of standard errors by which a new pair must exceed `MIN_SLOWDOWN`."""
MIN_SAMPLES: Final = 12
"""Number of samples before a pair is judged; a worker gives at most one for each step."""
MIN_WORKERS: Final = 6
"""Number of workers that these samples must come from."""
KEPT_SAMPLES: Final = 4
"""Number of samples below which a judged pair is dropped; pairs kept apart give few new ones."""
MIN_JOBS: Final = 3
"""Number of jobs that these samples must come from."""
MAX_SAMPLES: Final = 48
"""Number of samples that are kept of a pair; older ones are dropped."""
SAMPLE_LIFETIME_SECONDS: Final = 600.0
"""Time after which a sample is dropped, also if its pair is not seen together any more."""
MAX_PAIRS: Final = 256
"""Number of pairs that are kept."""
MAX_FACTOR: Final = 4.0
"""Ratio of rates beyond which a sample tells of slowness that passes."""
MIN_DEVIATION: Final = 0.05
"""Minimum deviation of the logarithms of rates that is assumed between workers."""
MIN_PERCENT_STEP: Final = 20
"""Progress over which the rate of a task is measured; percents are whole numbers."""
MIN_INTERVAL_SECONDS: Final = 0.5
"""Time below which rates are dominated by the delays of calls."""
MIN_SIBLINGS: Final = 3
"""Number of tasks of a step without the neighbour with which the others are compared."""
MIN_SIBLING_WORKERS: Final = 2
"""Number of workers that these tasks must be on."""
MAX_STEPS: Final = 128
"""Number of steps whose rates are kept."""
MAX_STEP_INTERVALS: Final = 256
"""Number of rates that are kept of a step."""
REFRESH_INTERVAL_SECONDS: Final = 0.5
"""Minimum time between two comparisons of the steps that changed."""
REFRESH_COMPARISONS: Final = 4_000
"""Number of rates after whose comparison a refresh stops; the next one continues.

Bounds the time that a planning pass takes.
"""

StepKey = tuple[str, int]
Pair = tuple[str, str]
"""Queue of the task that is slowed down, and queue of its neighbour."""
NO_QUEUES: Final[frozenset[str]] = frozenset()


class _Mark(NamedTuple):
    """Progress of a task at the beginning of an interval, and the queues beside it."""

    run: int
    worker: str
    at: float
    percent: int
    neighbours: frozenset[str]


class _Interval(NamedTuple):
    """Rate of a task over an interval, and the queues beside it."""

    index: int
    worker: Worker
    log_rate: float
    throughout: frozenset[str]
    """Queues that were there at its beginning and its end."""
    partly: frozenset[str]
    """Queues that were there at only one of them, about which it tells nothing."""


class _Sample(NamedTuple):
    log_slowdown: float
    at: float


@dataclass(kw_only=True, slots=True)
class _Step:
    queue: str
    marks: dict[int, _Mark] = field(default_factory=dict)
    intervals: list[_Interval] = field(default_factory=list)
    excluded: set[int] = field(default_factory=set)
    """Tasks that stalled."""


@dataclass(kw_only=True, slots=True)
class _PairState:
    samples: dict[tuple[StepKey, str], _Sample] = field(default_factory=dict)
    """Newest sample of each step and worker, in the order of time."""
    judged: bool = False

    def expire(self, now: float) -> None:
        """Drop samples that are too old."""
        while self.samples:
            oldest = next(iter(self.samples))
            if now - self.samples[oldest].at <= SAMPLE_LIFETIME_SECONDS:
                return
            del self.samples[oldest]

    def estimate(self) -> tuple[float, float]:
        """Return the logarithm of the slowdown and its standard error.

        The samples of a worker count as one, as they share what is wrong with their worker.
        """
        by_worker: dict[str, list[float]] = defaultdict(list)
        for (_, worker), sample in self.samples.items():
            by_worker[worker].append(sample.log_slowdown)
        values = [median(found) for found in by_worker.values()]
        middle = median(values)
        # The median of absolute deviations, scaled to the deviation of a normal distribution; the
        # error of a median is 1.25 times that of a mean.
        deviation = max(1.4826 * median(abs(v - middle) for v in values), MIN_DEVIATION)
        return middle, 1.25 * deviation / math.sqrt(len(values))

    @property
    def enough(self) -> bool:
        """Whether a pair may be judged."""
        return (
            len(self.samples) >= MIN_SAMPLES
            and len({worker for _, worker in self.samples}) >= MIN_WORKERS
            and len({job_id for (job_id, _), _ in self.samples}) >= MIN_JOBS
        )


class Interference:
    """Pairs of queues of which one slows down the other on the same worker.

    Rates of sibling tasks with and without a neighbour are compared. Gangs advance together, so
    they count as neighbours only.

    Args:
        speed: Returns the relative speed of a worker, by which durations are divided.
        reporter: Receives log events and counts.
    """

    def __init__(self, *, speed: Callable[[Worker], float], reporter: Reporter) -> None:
        self._speed = speed
        self._log = reporter.log
        self._count = reporter.count
        self._steps: dict[StepKey, _Step] = {}
        self._changed_steps: dict[StepKey, None] = {}
        self._pairs: dict[Pair, _PairState] = {}
        self._conflicts: dict[str, frozenset[str]] = {}
        """Queues to keep apart from, by queue, in both directions; only judged pairs."""
        self._refreshed_at = float("-inf")

    def conflicts_of(self, unit: Unit) -> Callable[[Worker], int] | None:
        """Return what tells of a worker if it has work from which a unit should be kept apart.

        Args:
            unit: The unit that is placed.

        Returns:
            A function that returns 1 for such a worker and 0 for others; None if nothing is known
            to conflict with the unit.
        """
        queues = self._conflicts.get(unit.job.terms.name)
        if queues is None:
            return None

        def conflicts(worker: Worker) -> int:
            return int(not queues.isdisjoint(worker.queue_tasks))

        return conflicts

    def record_progress(self, worker: Worker, assignment: Assignment, *, now: float) -> None:
        """Record the rate of a running task since it was last measured.

        Args:
            worker: The incarnation on which it runs.
            assignment: The task, with its progress as listed.
            now: Time of the listing in seconds.
        """
        if assignment.percent < 100:
            self._record(worker, assignment, percent=assignment.percent, now=now)

    def record_end(self, worker: Worker, assignment: Assignment, *, now: float) -> None:
        """Record the rate of a task that is done.

        Args:
            worker: The incarnation on which it ran, which may still hold the task.
            assignment: The task.
            now: Time of its end in seconds.
        """
        self._record(worker, assignment, percent=100, now=now)

    def exclude(self, assignment: Assignment) -> None:
        """Ignore a run that stalled."""
        key = _step_key(assignment)
        step = self._steps.get(key)
        if step is not None and assignment.index not in step.excluded:
            step.excluded.add(assignment.index)
            step.intervals = [i for i in step.intervals if i.index != assignment.index]
            self._changed_steps[key] = None

    def refresh(self, *, now: float) -> None:
        """Update the pairs from the steps that changed, within a bounded time.

        Args:
            now: Current time in seconds.
        """
        if not self._steps or now - self._refreshed_at < REFRESH_INTERVAL_SECONDS:
            return
        self._refreshed_at = now
        touched: dict[Pair, None] = {}
        examined = 0
        while self._changed_steps and examined < REFRESH_COMPARISONS:
            key = next(iter(self._changed_steps))
            del self._changed_steps[key]
            step = self._steps.get(key)
            if step is not None:
                examined += self._compare(key, step, touched, now=now)
        for pair in touched:
            # Judging one pair may have dropped others.
            if pair in self._pairs:
                self._judge(pair, now=now)
        self._expire_pairs(now)

    def _record(self, worker: Worker, assignment: Assignment, *, percent: int, now: float) -> None:
        if assignment.started_at is None or not _comparable(worker, assignment):
            return
        key = _step_key(assignment)
        step = self._steps.get(key)
        if step is None:
            step = self._steps[key] = _Step(queue=assignment.unit.job.terms.name)
            if len(self._steps) > MAX_STEPS:
                oldest = next(iter(self._steps))
                del self._steps[oldest]
                self._changed_steps.pop(oldest, None)
        index = assignment.index
        if index in step.excluded:
            return
        mark = step.marks.get(index)
        same = mark is not None and mark.run == assignment.run and mark.worker == worker.name
        if mark is not None and same and percent - mark.percent < MIN_PERCENT_STEP:
            return
        neighbours = _neighbours(worker, assignment)
        step.marks.pop(index, None)
        if percent < 100:
            step.marks[index] = _Mark(assignment.run, worker.name, now, percent, neighbours)
            if len(step.marks) > MAX_STEP_INTERVALS:
                del step.marks[next(iter(step.marks))]
        if mark is None or not same or now - mark.at < MIN_INTERVAL_SECONDS:
            return
        step.intervals.append(
            _Interval(
                index=index,
                worker=worker,
                log_rate=math.log((percent - mark.percent) / (now - mark.at)),
                throughout=mark.neighbours & neighbours,
                partly=mark.neighbours ^ neighbours,
            )
        )
        if len(step.intervals) > MAX_STEP_INTERVALS:
            del step.intervals[0]
        # Steps are dropped in the order of their last change.
        self._steps[key] = self._steps.pop(key)
        self._changed_steps[key] = None

    def _compare(self, key: StepKey, step: _Step, touched: dict[Pair, None], *, now: float) -> int:
        """Compare a step's rates with and without each neighbour; return how many were read."""
        queue = step.queue
        neighbours = sorted(set().union(*(i.throughout for i in step.intervals)))
        rates = [(i, i.log_rate - math.log(self._speed(i.worker))) for i in step.intervals]
        known = {n for n in neighbours if self._is_judged((queue, n))}
        for neighbour in neighbours:
            # Whatever else is known to slow these tasks down must not count for this neighbour.
            others = known - {neighbour}
            beside: dict[str, list[float]] = defaultdict(list)
            apart: list[float] = []
            apart_workers: set[str] = set()
            for interval, rate in rates:
                if neighbour in interval.partly or not others.isdisjoint(
                    interval.throughout | interval.partly
                ):
                    continue
                if neighbour in interval.throughout:
                    beside[interval.worker.name].append(rate)
                else:
                    apart.append(rate)
                    apart_workers.add(interval.worker.name)
            if len(apart) < MIN_SIBLINGS or len(apart_workers) < MIN_SIBLING_WORKERS:
                continue
            usual = median(apart)
            for worker, found in beside.items():
                slowdown = usual - median(found)
                if abs(slowdown) <= math.log(MAX_FACTOR):
                    pair = queue, neighbour
                    self._add_sample(pair, (key, worker), _Sample(slowdown, now))
                    touched[pair] = None
        return len(rates) * len(neighbours) + 1

    def _add_sample(self, pair: Pair, origin: tuple[StepKey, str], sample: _Sample) -> None:
        # Pairs and samples are dropped in the order of their last change.
        state = self._pairs[pair] = self._pairs.pop(pair, None) or _PairState()
        state.samples.pop(origin, None)
        state.samples[origin] = sample
        if len(state.samples) > MAX_SAMPLES:
            del state.samples[next(iter(state.samples))]
        if len(self._pairs) > MAX_PAIRS:
            oldest = next(iter(self._pairs))
            if self._pairs[oldest].judged:
                self._drop(oldest, "replaced")
            else:
                del self._pairs[oldest]

    def _judge(self, pair: Pair, *, now: float) -> None:
        """Judge a pair that has enough samples, or drop one that no longer holds."""
        state = self._pairs[pair]
        state.expire(now)
        if not (state.enough or state.judged):
            return
        slowdown, error = state.estimate()
        if state.judged:
            if slowdown < math.log(KEPT_SLOWDOWN):
                self._drop(pair, "ended")
        elif slowdown - MIN_STANDARD_ERRORS * error >= math.log(MIN_SLOWDOWN):
            state.judged = True
            self._update_conflicts()
            self._forget_unjudged(pair[0])
            self._count("interference_changes", "judged")
            self._log(
                "interference_judged",
                queue=pair[0],
                neighbour=pair[1],
                slowdown=round(math.exp(slowdown), 2),
                samples=len(state.samples),
                workers=len({worker for _, worker in state.samples}),
            )

    def _expire_pairs(self, now: float) -> None:
        for pair, state in list(self._pairs.items()):
            state.expire(now)
            if state.judged and len(state.samples) < KEPT_SAMPLES:
                self._drop(pair, "expired")
            elif not state.samples:
                del self._pairs[pair]

    def _forget_unjudged(self, queue: str) -> None:
        """Drop samples of the queue's other pairs, which this neighbour may have caused."""
        for pair in [p for p, s in self._pairs.items() if p[0] == queue and not s.judged]:
            del self._pairs[pair]

    def _drop(self, pair: Pair, reason: str) -> None:
        del self._pairs[pair]
        self._update_conflicts()
        self._count("interference_changes", reason)
        self._log("interference_dropped", queue=pair[0], neighbour=pair[1], reason=reason)

    def _is_judged(self, pair: Pair) -> bool:
        state = self._pairs.get(pair)
        return state is not None and state.judged

    def _update_conflicts(self) -> None:
        conflicts: dict[str, set[str]] = defaultdict(set)
        for (queue, neighbour), state in self._pairs.items():
            if state.judged:
                conflicts[queue].add(neighbour)
                conflicts[neighbour].add(queue)
        self._conflicts = {queue: frozenset(found) for queue, found in conflicts.items()}


def _comparable(worker: Worker, assignment: Assignment) -> bool:
    """Return whether a run's rate can be compared with that of its siblings."""
    unit = assignment.unit
    home_rack = unit.step.home_rack
    return (
        len(unit.indexes) == 1
        and unit.step.count > MIN_SIBLINGS
        and not assignment.inherited
        and not assignment.stop_reason
        and not unit.run_checkpoint
        and not (home_rack and worker.entry.rack != home_rack)
    )


def _neighbours(worker: Worker, assignment: Assignment) -> frozenset[str]:
    """Return the other queues with running tasks on a worker.

    Tasks of one queue are packed together, so those without a like neighbour are no usual ones.
    """
    own = assignment.unit.job.terms.name
    return frozenset(worker.started_queue_tasks.keys() - {own})


def _step_key(assignment: Assignment) -> StepKey:
    return (assignment.unit.job.job_id, assignment.unit.step_number)
