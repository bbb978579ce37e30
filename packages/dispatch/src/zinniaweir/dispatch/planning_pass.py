"""One pass over all waiting work, in the order of its rank."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from zinniaweir.dispatch.fleet import Worker
from zinniaweir.dispatch.guarantees import GUARANTEED_PRIORITY
from zinniaweir.dispatch.health import Health
from zinniaweir.dispatch.ordering import Rank
from zinniaweir.dispatch.placement import allowed_on, choose, largest_rack_room
from zinniaweir.dispatch.preemption import choose_eviction, unit_cores
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.reserving import BACKFILL_MARGIN, Reservation, reserve
from zinniaweir.dispatch.runtimes import RunTimes
from zinniaweir.dispatch.units import Assignment, Unit
from zinniaweir.workloads.spec import StepSpec

MAX_RESERVATIONS: Final = 4
"""Units that room is kept for at one time; more would leave too much idle."""
SURE_RESERVATIONS: Final = 2
"""Units that room is kept for whatever share of the workers they take."""
RESERVED_SHARE: Final = 0.3
"""Share of the workers that may be kept for more units than that."""
PREEMPTION_SECONDS: Final = 1.2
"""How long stopped work may take to leave before more is stopped; a stop takes 0.9 s at most."""
SEARCH_SECONDS: Final = 0.15
"""How often work to stop is searched for one unit; a search looks at all that runs."""
PREEMPTION_RATIO: Final = 2.0
"""Urgent work beyond a guarantee stops other work only if at most this many times the core-seconds
that it takes itself are lost; other work has seconds to spare, urgent work has not."""
IDLE_WAIT_SECONDS: Final = 1.5
"""A job with nothing running waits no longer than this for room that is kept on an idle cluster."""
SPREAD_WAIT_SECONDS: Final = 2.0
"""A rack-local gang waits no longer than this for its rack on an idle cluster; it then runs on
several racks, more slowly. Nothing may stand still for 3 s while the cluster is idle."""
IDLE_SHARE: Final = 0.5
"""A cluster with less than this share of its accelerators in use is idle."""
LARGE_SHARE: Final = 0.5
"""A task that wants more than this share of a worker gets room kept for it."""


class RoomKeeper(Protocol):
    """What the planner remembers between passes."""

    def expected_end(self, assignment: Assignment, now: float) -> float:
        """Return when a seat is expected to be free, in seconds."""

    def claim_room(self, unit: Unit, workers: Iterable[str], *, until: float) -> None:
        """Keep the room that is being made on workers for a unit."""

    def claimed_for_others(self, unit: Unit, now: float) -> set[str]:
        """Return the workers on which room is being made for other units that still wait."""


@dataclass(frozen=True, kw_only=True)
class PassContext:
    """What a pass starts from."""

    now: float
    view_age: float
    """Seconds since settings and the list of workers were read."""
    usable: Sequence[Worker]
    lasting: Sequence[Worker]
    """Workers that are usable, or will soon be."""
    place: Callable[[Unit, list[Worker]], None]
    stop: Callable[[Unit, str], None]


class PlanningPass:
    """Place, keep room for, or make room for one unit after the other.

    Args:
        context: What the pass starts from.
        keeper: What outlasts the pass.
        health: The standing of workers.
        run_times: Expected durations.
        reporter: Takes log lines and counts.
    """

    def __init__(
        self,
        *,
        context: PassContext,
        keeper: RoomKeeper,
        health: Health,
        run_times: RunTimes,
        reporter: Reporter,
    ) -> None:
        self._context = context
        self._now = context.now
        self._keeper = keeper
        self._health = health
        self._run_times = run_times
        self._reporter = reporter
        self._usable = context.usable
        total = sum(w.entry.accelerators for w in self._usable)
        used = sum(w.used_accelerators for w in self._usable)
        self._idle = used < IDLE_SHARE * total
        self._full: set[tuple[object, ...]] = set()
        self._reservations: list[Reservation] = []
        self._allowed: dict[tuple[object, ...], list[Worker]] = {}
        self._roomy: dict[tuple[object, ...], list[Worker]] = {}
        self._ends: dict[str, float] = {}
        self._rack_rooms: dict[tuple[object, ...], int] = {}
        self._rack_use: dict[str, int] = defaultdict(int)
        for worker in self._usable:
            self._rack_use[worker.entry.rack] += worker.used_accelerators

    def try_unit(self, unit: Unit, found: Rank, *, covered: bool) -> None:
        """Place a unit, or keep or make room for it."""
        # Room that is kept for others is open to some units and not to others of the same shape.
        shape = (*_shape(unit), unit.job.job_id if self._reservations else "")
        if shape in self._full:
            return
        spread = self._spread_allowed(unit)
        closed = self._closed_to(unit)
        chosen = choose(
            unit,
            _preferred(unit, self._roomy_for(unit), closed),
            rack_use=self._rack_use,
            suspicion=self._health.suspicion,
            spread_allowed=spread,
        )
        if chosen is not None:
            self._context.place(unit, chosen)
            for worker in chosen:
                self._rack_use[worker.entry.rack] += unit.demand.accelerators
            return
        self._full.add(shape)
        self._report_wait(unit, found, closed, covered=covered)
        if unit.job.terms.priority == GUARANTEED_PRIORITY:
            self._make_room(unit, found, closed, spread=spread, covered=covered)
        self._keep_room(unit, found, spread)

    def _report_wait(self, unit: Unit, found: Rank, closed: set[str], *, covered: bool) -> None:
        if unit.wait_logged:
            return
        unit.wait_logged = True
        workers = _preferred(unit, self._allowed_for(unit), closed)
        self._reporter.count("waits", "no_worker" if not workers else "no_room")
        self._reporter.log(
            "unit_waits",
            job_id=unit.job.job_id,
            step=unit.step_number,
            first=unit.indexes[0],
            tasks=len(unit.indexes),
            place=found.place,
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

    def _roomy_for(self, unit: Unit) -> list[Worker]:
        """Return workers with room for a task; during a pass room only gets less."""
        key = (unit.job.terms.service, unit.step.required_label, unit.demand)
        found = self._roomy.get(key)
        if found is None:
            allowed = self._allowed_for(unit)
            found = self._roomy[key] = [w for w in allowed if w.fits(unit.demand)]
        return found

    def _closed_to(self, unit: Unit) -> set[str]:
        return self._keeper.claimed_for_others(unit, self._now) | self._reserved_from(unit)

    def _reserved_from(self, unit: Unit) -> set[str]:
        """Return workers that are kept for others until before the unit would end there."""
        if not self._reservations:
            return set()
        if self._idle and self._waits_with_nothing_running(unit, IDLE_WAIT_SECONDS):
            return set()
        expected = self._run_times.expect(unit.job.terms.name, unit.step.estimate_ms)
        end = self._now + BACKFILL_MARGIN * expected
        kept = (r.workers for r in self._reservations if end > r.ready_at)
        return set().union(*kept)

    def _waits_with_nothing_running(self, unit: Unit, seconds: float) -> bool:
        return self._now - unit.waiting_since > seconds and not any(unit.job.assignments)

    def _spread_allowed(self, unit: Unit) -> bool:
        if not unit.step.rack_local or len(unit.indexes) == 1:
            return True
        if self._idle and self._waits_with_nothing_running(unit, SPREAD_WAIT_SECONDS):
            return True
        step = unit.step
        key = (unit.job.terms.service, step.required_label, unit.demand, step.max_per_worker)
        room = self._rack_rooms.get(key)
        if room is None:
            allowed = [w for w in self._context.lasting if allowed_on(unit, w)]
            room = self._rack_rooms[key] = largest_rack_room(allowed, unit)
        return room < len(unit.indexes)

    def _make_room(
        self, unit: Unit, found: Rank, closed: set[str], *, spread: bool, covered: bool
    ) -> None:
        now = self._now
        if unit.room_asked_at is not None and now - unit.room_asked_at < PREEMPTION_SECONDS:
            return
        if not covered and found.tier > 0:
            return
        if unit.room_sought_at is not None and now - unit.room_sought_at < SEARCH_SECONDS:
            return
        unit.room_sought_at = now
        workers = _preferred(unit, self._allowed_for(unit), closed)
        eviction = choose_eviction(unit, workers, now=now, spread_allowed=spread)
        if eviction is None:
            return
        expected = self._run_times.expect(unit.job.terms.name, unit.step.estimate_ms)
        if not covered and eviction.lost > PREEMPTION_RATIO * unit_cores(unit) * expected:
            return
        unit.room_asked_at = now
        self._keeper.claim_room(unit, eviction.workers, until=now + 2 * PREEMPTION_SECONDS)
        reason = "guarantee" if covered else "urgent"
        for victim in eviction.units:
            self._reporter.count("preemptions", reason)
            self._reporter.log(
                "unit_preempted",
                job_id=victim.job.job_id,
                step=victim.step_number,
                run=victim.run,
                for_job=unit.job.job_id,
                reason=reason,
                lost_core_seconds=round(eviction.lost, 1),
            )
            self._context.stop(victim, "preempted")

    def _keep_room(self, unit: Unit, found: Rank, spread: bool) -> None:
        if found.tier > 1 or not self._may_reserve(unit):
            return
        if len(unit.indexes) == 1 and not _large(unit.step, self._usable):
            return
        taken = {name for r in self._reservations for name in r.workers}
        reservation = reserve(
            unit,
            [w for w in self._usable if w.name not in taken],
            free_at=lambda w: self._free_at(w, unit),
            one_rack=unit.step.rack_local and not spread,
        )
        if reservation is not None and reservation.ready_at > self._now:
            self._reservations.append(reservation)

    def _may_reserve(self, unit: Unit) -> bool:
        count = len(self._reservations)
        if count < SURE_RESERVATIONS:
            return True
        kept = sum(len(r.workers) for r in self._reservations) + len(unit.indexes)
        return count < MAX_RESERVATIONS and kept <= RESERVED_SHARE * len(self._usable)

    def _free_at(self, worker: Worker, unit: Unit) -> float:
        if worker.fits(unit.demand) >= worker.fits_empty(unit.demand):
            return self._now
        end = self._ends.get(worker.name)
        if end is None:
            ends = (
                self._keeper.expected_end(assignment, self._now)
                for assignment in worker.assignments.values()
            )
            end = self._ends[worker.name] = max(ends, default=self._now)
        return end


def _preferred(unit: Unit, workers: Sequence[Worker], closed: set[str]) -> list[Worker]:
    """Return workers that are open to a unit, without those on which it failed if others do."""
    found = [w for w in workers if w.name not in closed]
    if not unit.blamed:
        return found
    unblamed = [w for w in found if w.name not in unit.blamed]
    return unblamed if len(unblamed) >= len(unit.indexes) else found


def _shape(unit: Unit) -> tuple[object, ...]:
    """Return what units have in common that find or don't find room alike."""
    step = unit.step
    if step.max_per_worker or unit.blamed or len(unit.indexes) > 1:
        return (unit.job.job_id, unit.step_number, *unit.indexes[:1])
    return (unit.job.terms.service, unit.demand, step.required_label)


def _large(step: StepSpec, workers: Sequence[Worker]) -> bool:
    if not workers:
        return False
    entry = workers[0].entry
    return (
        step.accelerators > LARGE_SHARE * entry.accelerators
        or step.memory_mb > LARGE_SHARE * entry.memory_mb
        or step.cpu_millis > LARGE_SHARE * entry.cpu_millis
    )
