"""One planning pass: place waiting units by rank, reserve capacity and preempt for them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from zinniaweir.dispatch.canaries import Canaries
from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.guarantees import GUARANTEED_PRIORITY
from zinniaweir.dispatch.headroom import Headroom, KeptWorkers
from zinniaweir.dispatch.health import WorkerHealth
from zinniaweir.dispatch.ordering import Rank
from zinniaweir.dispatch.placement import allowed_on, choose_workers, max_rack_capacity
from zinniaweir.dispatch.preemption import (
    PREEMPTION_INTERVAL_SECONDS,
    EvictionSearch,
    search_due,
    unsaved_core_seconds_of,
    worth_losing,
)
from zinniaweir.dispatch.quotas import Quotas
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.reservations import PassReservations
from zinniaweir.dispatch.retries import RetryPolicy
from zinniaweir.dispatch.run_times import CAUTIOUS, RunTimes
from zinniaweir.dispatch.shortlist import Shortlist
from zinniaweir.dispatch.units import Assignment, Unit

MAX_RESERVATION_WAIT_SECONDS: Final = 1.5
"""Time after which a job with nothing running may use reserved workers of an idle cluster."""
MAX_RACK_WAIT_SECONDS: Final = 2.0
"""Time after which a rack-local gang with nothing running may span racks of an idle cluster.

It then runs more slowly. No job may wait with nothing running for 3 s while the cluster is idle.
"""
MAX_EMPTY_WAIT_SECONDS: Final = 2.0
"""Time after which an isolated unit with nothing running may share a worker of an idle cluster.

No job may wait with nothing running for 3 s while the cluster is idle.
"""
MAX_QUOTA_WAIT_SECONDS: Final = 2.0
"""Time with most of its customer's quota idle after which a job with nothing running may use it.

No job may wait with nothing running for 3 s then.
"""
MAX_RETRY_WAIT_SECONDS: Final = 2.0
"""Time after which a failed job with nothing running is tried again on an idle cluster.

No job may wait with nothing running for 3 s while the cluster is idle.
"""
IDLE_CLUSTER_SHARE: Final = 0.5
"""A cluster with less than this share of its accelerators in use counts as idle."""
MAX_APART_SHARE: Final = 0.5
"""Share of the accelerators in use up to which queues that slow each other down are kept apart.

In a fuller cluster it would leave large gangs without whole workers.
"""


class PlannerState(Protocol):
    """State that the planner keeps between passes."""

    def expected_end(self, assignment: Assignment, now: float) -> float:
        """Return when an assignment is expected to end, in seconds."""

    def late_if_stopped(self, unit: Unit, now: float) -> bool:
        """Return whether a unit in time is late if it is stopped now and runs again."""

    def claim_workers(self, unit: Unit, workers: Iterable[str], *, until: float) -> None:
        """Claim workers for a unit, for which work on them is preempted."""

    def claimed_for_others(self, unit: Unit, now: float) -> set[str]:
        """Return the workers that are claimed for other units that still wait."""

    def quota_idle_since(self, customer: str) -> float:
        """Return since when most of a customer's quota is idle, in seconds; infinity if not."""


@dataclass(frozen=True, kw_only=True)
class PassContext:
    """Inputs and callbacks of a planning pass."""

    now: float
    """Current time in seconds."""
    apart_from: Callable[[Unit], set[str]]
    """Returns the workers that a unit should keep away from."""
    speed_level: Callable[[Worker], int] | None
    """Returns the speed level of a worker; None if all workers have the usual speed."""
    conflicts_of: Callable[[Unit], Callable[[Worker], int] | None]
    """Returns what tells of a worker if it has work from which a unit should be kept apart."""
    quotas: Quotas
    """Quotas of customers, with what they have in use."""
    headroom: Headroom
    """Capacity that is kept free for urgent work."""
    view_age: float
    """Seconds since settings and the list of workers were read."""
    usable: Sequence[Worker]
    """Workers that may receive work now."""
    usable_soon: Sequence[Worker]
    """Workers that are neither missing, draining nor evacuated."""
    place: Callable[[Unit, list[Worker]], None]
    """Called for each unit that is placed, with a worker for each task."""
    stop: Callable[[Unit, str], None]
    """Called for each unit that is preempted, with the reason."""


class PlanningPass:
    """Place waiting units one after the other, or reserve capacity or preempt for them.

    Args:
        context: Inputs and callbacks of the pass.
        planner_state: State that outlives the pass.
        health: Health of the workers.
        retries: When failed work is tried again, and on which workers.
        run_times: Expected durations.
        reporter: Receives log events and counts.
    """

    def __init__(
        self,
        *,
        context: PassContext,
        planner_state: PlannerState,
        health: WorkerHealth,
        retries: RetryPolicy,
        run_times: RunTimes,
        reporter: Reporter,
    ) -> None:
        self._context = context
        self._now = context.now
        self._quota_use = context.quotas
        self._kept_until: dict[str, float] = {}
        """When the quota of a customer has room for its first unit that waits for that."""
        self._planner_state = planner_state
        self._health = health
        self._retries = retries
        self._run_times = run_times
        self._reporter = reporter
        self._usable = context.usable
        self._evictions = EvictionSearch(
            now=context.now,
            late_if_stopped=lambda unit: planner_state.late_if_stopped(unit, context.now),
        )
        self._kept_workers = KeptWorkers(
            headroom=context.headroom, workers=context.usable, now=context.now
        )
        total = sum(w.entry.accelerators for w in self._usable)
        used = sum(w.used_accelerators for w in self._usable)
        self._idle = used < IDLE_CLUSTER_SHARE * total
        self._keeps_apart = used <= MAX_APART_SHARE * total
        self._unplaceable: set[tuple[object, ...]] = set()
        self._allowed: dict[tuple[object, ...], list[Worker]] = {}
        self._with_capacity: dict[tuple[object, ...], list[Worker]] = {}
        self._canaries = Canaries(self._usable)
        self._rack_capacities: dict[tuple[object, ...], int] = {}
        self._rack_use: dict[str, int] = defaultdict(int)
        for worker in self._usable:
            self._rack_use[worker.entry.rack] += worker.used_accelerators
        self._shortlist = Shortlist(self._rack_use)
        self._reservations = PassReservations(
            workers=self._usable,
            expected_end=lambda assignment: planner_state.expected_end(assignment, context.now),
            shortlist=self._shortlist,
            now=context.now,
        )

    @property
    def examined(self) -> int:
        """Number of workers that were examined so far, a measure of the processor time."""
        return self._shortlist.examined

    def schedule_unit(self, unit: Unit, rank: Rank, *, covered: bool) -> None:
        """Place a unit, or reserve capacity and preempt for it.

        Args:
            unit: The unit, whose earlier steps are done.
            rank: The rank of its job.
            covered: Whether its job is covered by its customer's guarantee.
        """
        if self._waits_for_retry(unit) or self._canaries.holds_back(unit):
            return
        if self._waits_for_quota(unit, rank, covered=covered):
            return
        kept = self._kept_from(unit)
        if kept and self._now < unit.preemptions.restart_at:
            self._report_wait(unit, rank, set(), covered=covered, reason="headroom")
            return
        # Reserved workers are open to some units and closed to others with the same demand.
        placement_key = (
            *_placement_key(unit),
            unit.job.job_id if self._reservations.any else "",
            bool(kept),
        )
        if placement_key in self._unplaceable:
            return
        spread_allowed = self._spread_allowed(unit)
        excluded = self._excluded_for(unit) | kept
        chosen = choose_workers(
            unit,
            self._shortlist.for_placement(
                unit,
                self._with_capacity_for(unit),
                open_to=lambda workers: self._open_to(unit, workers, excluded),
                one_rack=unit.step.rack_local and not spread_allowed,
                empty_only=self._needs_empty_workers(unit),
            ),
            rack_use=self._rack_use,
            penalty=self._retries.penalty_for(unit, self._health.failed_job_count, now=self._now),
            speed_level=self._context.speed_level,
            conflicts=self._context.conflicts_of(unit) if self._keeps_apart else None,
            spread_allowed=spread_allowed,
            empty_only=self._needs_empty_workers(unit),
        )
        if chosen is not None:
            self._context.place(unit, chosen)
            self._quota_use.add(unit)
            for worker in chosen:
                self._rack_use[worker.entry.rack] += unit.demand.accelerators
            return
        self._unplaceable.add(placement_key)
        reason = ""
        if kept and self._kept_workers.withhold(self._with_capacity_for(unit)):
            reason = "headroom"
            if unit.withheld_run != unit.run:
                # A wait that began for another reason is logged again.
                unit.withheld_run, unit.wait_logged = unit.run, False
        self._report_wait(unit, rank, excluded, covered=covered, reason=reason)
        if unit.job.terms.priority == GUARANTEED_PRIORITY and not unit.isolated:
            self._preempt_for(unit, rank, excluded, spread_allowed=spread_allowed, covered=covered)
        if rank.lateness <= 1:
            self._reservations.reserve(unit, spread_allowed=spread_allowed)

    def _kept_from(self, unit: Unit) -> frozenset[str]:
        """Return the workers that are kept for urgent work and closed to a unit."""
        if self._idle and self._has_waited_without_running(unit, MAX_RESERVATION_WAIT_SECONDS):
            return frozenset()
        return self._kept_workers.closed_to(unit)

    def _waits_for_quota(self, unit: Unit, rank: Rank, *, covered: bool) -> bool:
        """Return whether a unit waits because of its customer's quota, and free some if urgent.

        The first unit that does not fit keeps what becomes free until then: later ones of the
        customer start only if they end before. Otherwise small work would starve a large gang.
        """
        customer = unit.job.customer
        if self._quota_use.admits(unit):
            kept_until = self._kept_until.get(customer)
            if kept_until is None or self._ends_before(unit, kept_until):
                return False
            idle_since = self._planner_state.quota_idle_since(customer)
            idle_too_long = self._now - idle_since > MAX_QUOTA_WAIT_SECONDS
            if idle_too_long and self._has_waited_without_running(unit, MAX_QUOTA_WAIT_SECONDS):
                return False
            self._report_wait(unit, rank, set(), covered=covered, reason="quota")
            return True
        if not self._quota_use.ever_admits(unit):
            self._report_wait(unit, rank, set(), covered=covered, reason="exceeds_quota")
            return True
        self._report_wait(unit, rank, set(), covered=covered, reason="quota")
        if customer not in self._kept_until:
            ends = (
                (self._planner_state.expected_end(assignment, self._now), assignment)
                for assignment in self._quota_use.assignments_of(customer)
            )
            self._kept_until[customer] = self._quota_use.frees_enough_at(unit, ends)
        if unit.job.terms.priority == GUARANTEED_PRIORITY and not unit.isolated:
            self._stop_own_work_for(unit, rank, covered=covered)
        return True

    def _ends_before(self, unit: Unit, time: float) -> bool:
        """Return whether a unit that is started now is expected to end before a time."""
        return self._cautious_end(unit) <= time

    def _cautious_end(self, unit: Unit) -> float:
        """Return when a unit that is started now will most likely have ended, in seconds."""
        return self._now + self._run_times.expect(unit.job, unit.step, quantile=CAUTIOUS)

    def _expected(self, unit: Unit) -> float:
        """Return the expected duration of a unit's tasks in seconds."""
        return self._run_times.expect(unit.job, unit.step)

    def _stop_own_work_for(self, unit: Unit, rank: Rank, *, covered: bool) -> None:
        """Preempt less urgent work of the same customer, which takes the room in its quota."""
        if not covered and rank.lateness > 0 or not search_due(unit, now=self._now):
            return
        victims = self._quota_use.units_to_stop_for(unit, now=self._now)
        lost = sum(unsaved_core_seconds_of(victim, now=self._now) for victim in victims)
        if not victims or not (covered or worth_losing(unit, lost, self._expected(unit))):
            return
        if not covered and any(victim.preemptions.protected for victim in victims):
            return
        unit.preempted_for_at = self._now
        self._preempt(victims, unit, "quota")

    def _report_wait(
        self, unit: Unit, rank: Rank, excluded: set[str], *, covered: bool, reason: str = ""
    ) -> None:
        if unit.wait_logged:
            return
        unit.wait_logged = True
        workers = self._open_to(unit, self._allowed_for(unit), excluded)
        reason = reason or ("no_worker" if not workers else "no_room")
        self._reporter.count("waits", reason)
        self._reporter.log(
            "unit_waits",
            reason=reason,
            customer=unit.job.customer,
            job_id=unit.job.job_id,
            step=unit.step_number,
            first=unit.indexes[0],
            tasks=len(unit.indexes),
            place=rank.band,
            covered=covered,
            usable_workers=len(self._usable),
            open_workers=len(workers),
            free_accelerators=sum(w.free_accelerators for w in workers),
            view_age=round(self._context.view_age, 3),
        )

    def _allowed_for(self, unit: Unit) -> list[Worker]:
        key = (unit.job.terms.service, unit.step.required_label, unit.demand)
        found = self._allowed.get(key)
        if found is None:
            found = self._allowed[key] = [w for w in self._usable if allowed_on(unit, w)]
        return found

    def _with_capacity_for(self, unit: Unit) -> list[Worker]:
        """Return workers with free capacity for a task.

        Cached for the pass. A worker without free capacity gets some during a pass only if a
        preempted unit was not sent to it yet; the next pass uses it.
        """
        key = (unit.job.terms.service, unit.step.required_label, unit.demand)
        found = self._with_capacity.get(key)
        if found is None:
            allowed = self._allowed_for(unit)
            found = self._with_capacity[key] = [w for w in allowed if w.fits(unit.demand)]
        return found

    def _excluded_for(self, unit: Unit) -> set[str]:
        """Return workers that are claimed or reserved for other units."""
        return self._planner_state.claimed_for_others(unit, self._now) | self._reserved_for_others(
            unit
        )

    def _reserved_for_others(self, unit: Unit) -> set[str]:
        """Return workers of the reservations that begin before this unit would end."""
        if not self._reservations.any:
            return set()
        if self._idle and self._has_waited_without_running(unit, MAX_RESERVATION_WAIT_SECONDS):
            return set()
        return self._reservations.ready_before(self._cautious_end(unit))

    def _waits_for_retry(self, unit: Unit) -> bool:
        """Return whether a failed unit is not tried again yet, since workers fail what they start.

        A job that has waited with nothing running for long on an idle cluster is tried at once.
        """
        if self._now >= self._retries.retry_at(unit, self._now):
            return False
        if unit.retry_logged_for != unit.failures:
            unit.retry_logged_for = unit.failures
            self._reporter.count("waits", "retry")
            self._reporter.log(
                "retry_delayed",
                job_id=unit.job.job_id,
                step=unit.step_number,
                failures=unit.failures,
                seconds=round(self._retries.retry_at(unit, self._now) - self._now, 3),
            )
        return not (self._idle and self._has_waited_without_running(unit, MAX_RETRY_WAIT_SECONDS))

    def _needs_empty_workers(self, unit: Unit) -> bool:
        """Return whether a unit may only run where nothing else does."""
        if not unit.isolated:
            return False
        return not (self._idle and self._has_waited_without_running(unit, MAX_EMPTY_WAIT_SECONDS))

    def _open_to(self, unit: Unit, workers: Sequence[Worker], excluded: set[str]) -> list[Worker]:
        """Return the workers that are open to a unit.

        Workers on which it failed, or with a unit that was lost together with it, are left out if
        enough others remain.
        """
        found = [w for w in workers if w.name not in excluded]
        avoided = unit.failed_workers
        if unit.losses:
            avoided = avoided | self._context.apart_from(unit)
        if not avoided:
            return found
        others = [w for w in found if w.name not in avoided]
        return others if len(others) >= len(unit.indexes) else found

    def _has_waited_without_running(self, unit: Unit, seconds: float) -> bool:
        return self._now - unit.waiting_since > seconds and not unit.job.assignment_count

    def _spread_allowed(self, unit: Unit) -> bool:
        """Return whether a unit may be placed on several racks."""
        if not unit.step.rack_local or len(unit.indexes) == 1:
            return True
        if self._idle and self._has_waited_without_running(unit, MAX_RACK_WAIT_SECONDS):
            return True
        step = unit.step
        key = (unit.job.terms.service, step.required_label, unit.demand, step.max_per_worker)
        capacity = self._rack_capacities.get(key)
        if capacity is None:
            allowed = [w for w in self._context.usable_soon if allowed_on(unit, w)]
            capacity = self._rack_capacities[key] = max_rack_capacity(allowed, unit)
        return capacity < len(unit.indexes)

    def _preempt_for(
        self, unit: Unit, rank: Rank, excluded: set[str], *, spread_allowed: bool, covered: bool
    ) -> None:
        now = self._now
        if not covered and rank.lateness > 0 or not search_due(unit, now=self._now):
            return
        allowed = self._shortlist.for_search(unit, self._allowed_for(unit), now=now)
        workers = self._open_to(unit, allowed, excluded)
        eviction = self._evictions.choose(
            unit, workers, spread_allowed=spread_allowed, guaranteed=covered
        )
        if eviction is None:
            return
        if not (covered or worth_losing(unit, eviction.lost_core_seconds, self._expected(unit))):
            return
        unit.preempted_for_at = now
        self._planner_state.claim_workers(
            unit, eviction.workers, until=now + 2 * PREEMPTION_INTERVAL_SECONDS
        )
        reason = "guarantee" if covered else "urgent"
        if eviction.units:
            self._context.headroom.record_preemption(now)
        self._preempt(eviction.units, unit, reason)

    def _preempt(self, victims: Sequence[Unit], unit: Unit, reason: str) -> None:
        self._evictions.forget(victims)
        for victim in victims:
            lost = unsaved_core_seconds_of(victim, now=self._now)
            if any(not assignment.stop_reason for assignment in victim.assignments.values()):
                victim.preemptions.record(self._now)
                victim.job.preemptions.record(self._now)
            self._reporter.count("preemptions", reason)
            self._reporter.log(
                "unit_preempted",
                job_id=victim.job.job_id,
                step=victim.step_number,
                run=victim.run,
                for_job=unit.job.job_id,
                reason=reason,
                lost_core_seconds=round(lost, 1),
                times=victim.preemptions.count,
            )
            self._context.stop(victim, "preempted")


def _placement_key(unit: Unit) -> tuple[object, ...]:
    """Return a key that units share if either all or none of them can be placed."""
    step = unit.step
    if step.max_per_worker or unit.failed_workers or unit.losses or len(unit.indexes) > 1:
        return (unit.job.job_id, unit.step_number, *unit.indexes[:1])
    return (unit.job.terms.service, unit.demand, step.required_label)
