"""The planner: decides which waiting units are placed and which running ones are preempted."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import LARGE_FLEET_WORKERS, MAX_SILENCE_SECONDS, Fleet, Worker
from zinniaweir.dispatch.guarantees import covered_jobs
from zinniaweir.dispatch.headroom import Headroom
from zinniaweir.dispatch.health import WorkerHealth
from zinniaweir.dispatch.interference import Interference
from zinniaweir.dispatch.ordering import Rank, objective_seconds, rank
from zinniaweir.dispatch.pass_slices import PassSlices
from zinniaweir.dispatch.planning_pass import PassContext, PlanningPass
from zinniaweir.dispatch.quotas import Quotas
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.retries import RetryPolicy
from zinniaweir.dispatch.run_times import RunTimes
from zinniaweir.dispatch.shares import ShareInputs, SharePolicy, ShareTurns
from zinniaweir.dispatch.time_limits import TimeLimits
from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit
from zinniaweir.dispatch.worker_speed import WorkerSpeeds
from zinniaweir.workloads.queues import Configuration, ResourceLimit

PLACEMENT_SECONDS: Final = 0.4
"""Time to record and start a placement, while the view must stay recent enough for the start."""
EXPECTED_STOP_SECONDS: Final = 0.6
"""Expected time until a stopped or overdue task has ended."""
TRUSTED_PERCENT: Final = 20
"""Progress from which it alone tells when a task ends."""
EXPECTED_PREEMPTION_SECONDS: Final = 3.0
"""Expected time until a preempted unit runs again; an urgent gang takes about as long."""
IDLE_QUOTA_SHARE: Final = 0.5
"""A customer with less than this share of its quota in use has room for other work."""

PlaceUnit = Callable[[Unit, list[Worker]], None]
StopUnit = Callable[[Unit, str], None]


@dataclass(frozen=True, kw_only=True)
class _WorkerClaim:
    unit: Unit
    until: float


class Planner:
    """Place waiting units in the order of their rank and preempt for them.

    Args:
        fleet: The workers.
        health: Health of the workers.
        retries: When failed work is tried again.
        run_times: Expected durations.
        speeds: Speeds of the workers.
        interference: Queues whose tasks slow each other down.
        time_limits: Durations that limit the age of views.
        apart_from: Returns the workers that a unit should keep away from, since the units there and
            this one were lost with one worker.
        inherited: Assignments of a previous owner on workers that are not in the fleet yet.
        reporter: Receives log events and counts.
        clock: Returns the time in seconds, by which slices of a pass are limited.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        health: WorkerHealth,
        retries: RetryPolicy,
        run_times: RunTimes,
        speeds: WorkerSpeeds,
        interference: Interference,
        time_limits: TimeLimits,
        apart_from: Callable[[Unit], set[str]],
        inherited: Iterable[Assignment],
        reporter: Reporter,
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._inherited = inherited
        self._health = health
        self._retries = retries
        self._run_times = run_times
        self._speeds = speeds
        self._interference = interference
        self._time_limits = time_limits
        self._apart_from = apart_from
        self._reporter = reporter
        self._guaranteed: dict[str, int] = {}
        self._quotas: dict[str, ResourceLimit] = {}
        self._quota_idle_since: dict[str, float] = {}
        self._quota_use = Quotas()
        self._slices = PassSlices(clock=clock)
        self._share_policy = SharePolicy(reporter=reporter)
        self._evacuated: frozenset[str] = frozenset()
        self._view_at = float("-inf")
        self._jobs_read_at = float("-inf")
        self._claims: dict[str, _WorkerClaim] = {}
        self._set_aside: set[str] = set()
        self._headroom = Headroom()
        self._expected: dict[Unit, float] = {}
        """Expected durations of running units at one time, since members of a gang share them."""
        self._expected_at = float("-inf")

    def configure(self, configuration: Configuration, evacuated: frozenset[str]) -> None:
        """Apply the operators' settings.

        Args:
            configuration: The newest version.
            evacuated: Failure domains that receive no work.
        """
        self._guaranteed = {c.name: c.guaranteed_accelerators for c in configuration.customers}
        self._quotas = {c.name: c.quota for c in configuration.customers}
        self._share_policy.configure(configuration.customers)
        self._evacuated = evacuated

    def update_view_time(self, read_at: float, *, jobs_read_at: float) -> None:
        """Record when the view was read.

        Args:
            read_at: When the settings and the list of workers were read, in seconds.
            jobs_read_at: When the records of jobs were read, in seconds.
        """
        self._view_at = max(self._view_at, read_at)
        self._jobs_read_at = max(self._jobs_read_at, jobs_read_at)

    @property
    def view_read_at(self) -> float:
        """When the settings and the list of workers were read, in seconds."""
        return self._view_at

    @property
    def starts_allowed_until(self) -> float:
        """Time until which the view is recent enough to send starts, in seconds."""
        return self.permission_ends_at - self._time_limits.start_delivery_seconds

    @property
    def permission_ends_at(self) -> float:
        """Time until which workers may begin the starts that the view allows, in seconds."""
        limits = self._time_limits
        return min(
            self._view_at + limits.start_permission_seconds,
            self._jobs_read_at + limits.cancellation_seconds,
        )

    def usable_soon(self, worker: Worker) -> bool:
        """Return whether a worker is neither missing, draining nor evacuated.

        Such a worker is usable now or is expected to be usable soon.
        """
        return (
            worker.missing_since is None
            and not worker.entry.draining
            and worker.entry.failure_domain not in self._evacuated
        )

    def exclusion_reason(self, worker: Worker, now: float) -> str:
        """Return why a worker may not receive work now, or an empty string if it may."""
        if now > self.starts_allowed_until:
            return "view_too_old"
        if worker.listed_at is None:
            return "not_listed"
        if worker.entry_outdated:
            return "entry_outdated"
        if worker.missing_since is not None:
            return "missing"
        if worker.entry.draining:
            return "draining"
        if worker.entry.failure_domain in self._evacuated:
            return "evacuated"
        if now - worker.answered_at > MAX_SILENCE_SECONDS:
            return "silent"
        if not worker.leased(now):
            return "not_leased"
        if worker.orphan_runs:
            return "stray_runs"
        return "" if self._health.usable(worker.name, now=now) else "paused"

    @property
    def unfinished(self) -> bool:
        """Whether a pass goes on with the next call of `plan`."""
        return self._slices.unfinished

    def plan(
        self, jobs: Iterable[OwnedJob], *, now: float, place: PlaceUnit, stop: StopUnit
    ) -> None:
        """Place the waiting units that fit, unless the view is too old.

        A call carries out one slice of a pass.

        Args:
            jobs: All jobs.
            now: Current time in seconds.
            place: Called for each unit that is placed.
            stop: Called for each unit that is preempted.
        """
        if now + PLACEMENT_SECONDS > self.starts_allowed_until:
            self._slices.drop()
            return
        if self._slices.pending(now):
            # Runs may have become known since the last slice.
            self._quota_use.count_running(self._fleet, self._inherited, now)
        else:
            self._slices.begin(self._carry_out(jobs, now, place, stop), now)
        self._slices.advance(sliced=len(self._fleet) > LARGE_FLEET_WORKERS)

    def _carry_out(
        self, jobs: Iterable[OwnedJob], now: float, place: PlaceUnit, stop: StopUnit
    ) -> Iterator[int]:
        """Try the waiting units by rank, and yield how many workers were examined so far."""
        self._share_policy.end_unused(now)
        open_jobs = [job for job in jobs if not job.closed and job.job_id not in self._set_aside]
        waiting = [job for job in open_jobs if any(True for _ in job.ready_units())]
        if not waiting:
            return
        covered = covered_jobs(open_jobs, self._guaranteed)
        quotas = self._count_quotas(now)
        usable = [w for w in self._fleet if not self.exclusion_reason(w, now)]
        inputs = ShareInputs(
            now=now, usable=usable, quotas=quotas, fleet=self._fleet, inherited=self._inherited
        )
        shares = ShareTurns(policy=self._share_policy, inputs=inputs)

        def place_and_count(unit: Unit, workers: list[Worker]) -> None:
            self._headroom.record_placement(unit, workers, now=now)
            place(unit, workers)

        context = PassContext(
            now=now,
            view_age=now - self._view_at,
            usable=usable,
            usable_soon=[w for w in self._fleet if self.usable_soon(w)],
            apart_from=self._apart_from,
            speed_level=self._speeds.level if self._speeds.differ else None,
            conflicts_of=self._interference.conflicts_of,
            quotas=quotas,
            headroom=self._headroom,
            place=shares.counting(place_and_count),
            stop=stop,
        )
        planning_pass = PlanningPass(
            context=context,
            planner_state=self,
            health=self._health,
            retries=self._retries,
            run_times=self._run_times,
            reporter=self._reporter,
        )
        for job, job_rank, units in shares.turns(self._ranked(waiting, covered, now), covered):
            for unit in list(units):
                if job.job_id in self._set_aside or job.closed or not unit.waiting:
                    continue
                with self._set_aside_on_fault(job):
                    planning_pass.schedule_unit(unit, job_rank, covered=job.job_id in covered)
                yield planning_pass.examined

    def _count_quotas(self, now: float) -> Quotas:
        """Return the quotas with what counts against them now."""
        quotas = self._quota_use = Quotas(self._quotas)
        quotas.count_running(self._fleet, self._inherited, now)
        self._quota_idle_since = {
            customer: self._quota_idle_since.get(customer, now)
            for customer in quotas.customers
            if quotas.share_in_use(customer) < IDLE_QUOTA_SHARE
        }
        return quotas

    @contextmanager
    def _set_aside_on_fault(self, job: OwnedJob) -> Iterator[None]:
        """Stop placing a job whose planning fails, so that the other jobs go on."""
        try:
            yield
        except Exception as error:
            self._set_aside.add(job.job_id)
            self._reporter.count("job_faults", type(error).__name__)
            self._reporter.log("job_set_aside", job_id=job.job_id, error=repr(error))

    def _ranked(
        self, jobs: Sequence[OwnedJob], covered: set[str], now: float
    ) -> list[tuple[OwnedJob, Rank]]:
        """Return jobs in the order of placement; those covered by a guarantee come first."""
        ranked: list[tuple[OwnedJob, Rank]] = []
        for job in jobs:
            with self._set_aside_on_fault(job):
                ranked.append((job, rank(job, self._run_times, now=now)))
        ranked.sort(key=lambda pair: (pair[0].job_id not in covered, pair[1]))
        return ranked

    def expected_end(self, assignment: Assignment, now: float) -> float:
        """Return when an assignment is expected to end, in seconds."""
        if assignment.stop_reason:
            return now + EXPECTED_STOP_SECONDS
        percent = assignment.percent
        if assignment.started_at is None:
            return now + self._expected_seconds(assignment, now)
        elapsed = now - assignment.started_at
        if assignment.inherited or assignment.unit.run_checkpoint:
            # The run began before `started_at`, or with part of its work done.
            return now + self._expected_seconds(assignment, now) * (100 - percent) / 100
        if percent >= TRUSTED_PERCENT:
            return now + elapsed / percent * (100 - percent)
        left = max(self._expected_seconds(assignment, now) - elapsed, EXPECTED_STOP_SECONDS)
        if percent > 0:
            # Few percent tell little, since they are whole numbers and starts take time.
            trust = percent / TRUSTED_PERCENT
            left = trust * elapsed / percent * (100 - percent) + (1 - trust) * left
        return now + left

    def _expected_seconds(self, assignment: Assignment, now: float) -> float:
        """Return the expected duration of a whole run on its workers in seconds."""
        unit = assignment.unit
        if now != self._expected_at:
            self._expected_at, self._expected = now, {}
        expected = self._expected.get(unit)
        if expected is None:
            members = unit.assignments.values()
            speed = self._speeds.slowest(self._fleet.get(member.worker) for member in members)
            expected = self._expected[unit] = self._run_times.expect(unit.job, unit.step) / speed
        return expected

    def late_if_stopped(self, unit: Unit, now: float) -> bool:
        """Return whether a unit in time is late if it is stopped now and runs again."""
        running = [a for a in unit.assignments.values() if not a.stop_reason]
        end = max((self.expected_end(assignment, now) for assignment in running), default=now)
        deadline = unit.job.accepted_at + objective_seconds(unit.job, self._run_times)
        if end > deadline:
            return False
        lost = 0.0
        if not unit.step.checkpointing:
            lost = max(
                (now - a.started_at for a in running if a.started_at is not None), default=0.0
            )
        return end + lost + EXPECTED_PREEMPTION_SECONDS > deadline

    def quota_idle_since(self, customer: str) -> float:
        """Return since when most of a customer's quota is idle, in seconds; infinity if not."""
        return self._quota_idle_since.get(customer, float("inf"))

    def claim_workers(self, unit: Unit, workers: Iterable[str], *, until: float) -> None:
        """Claim workers for a unit, for which work on them is preempted."""
        for name in workers:
            self._claims[name] = _WorkerClaim(unit=unit, until=until)

    def claimed_for_others(self, unit: Unit, now: float) -> set[str]:
        """Return the workers that are claimed for other units that still wait."""
        claimed = set()
        for name, claim in list(self._claims.items()):
            if now >= claim.until or not claim.unit.waiting or claim.unit.job.closed:
                del self._claims[name]
            elif claim.unit is not unit:
                claimed.add(name)
        return claimed
