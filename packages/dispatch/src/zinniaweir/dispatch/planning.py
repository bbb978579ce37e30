"""One pass over all waiting work: who gets room now, who waits for it, who makes way."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import SILENCE_SECONDS, Fleet, Worker
from zinniaweir.dispatch.guarantees import GUARANTEED_PRIORITY, covered_jobs
from zinniaweir.dispatch.health import Health
from zinniaweir.dispatch.ordering import Rank, rank
from zinniaweir.dispatch.placement import allowed_on, choose, fewest_racks, room_for
from zinniaweir.dispatch.preemption import choose_eviction, unit_cores
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.reserving import BACKFILL_MARGIN, Reservation, reserve
from zinniaweir.dispatch.runtimes import RunTimes
from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit
from zinniaweir.workloads.queues import Configuration
from zinniaweir.workloads.spec import StepSpec

VIEW_SECONDS: Final = 1.5
"""Nothing starts on an older view of drains and evacuations; their shortest bound is 2 s."""
PLACE_VIEW_SECONDS: Final = 1.1
"""Nothing is placed on an older view, so that it can still be recorded and started in time."""
MAX_RESERVATIONS: Final = 2
"""Units that room is kept for at one time; more would leave too much idle."""
PREEMPTION_SECONDS: Final = 1.2
"""How long stopped work may take to leave before more is stopped; a stop takes 0.9 s at most."""
PREEMPTION_RATIO: Final = 2.0
"""Urgent work beyond a guarantee stops other work only if at most this many times the core-seconds
that it takes itself are lost; other work has seconds to spare, urgent work has not."""
STOPPING_SECONDS: Final = 0.6
"""Expected time until a stopped task has left."""
IDLE_WAIT_SECONDS: Final = 1.5
"""A job with nothing running waits no longer than this for room that is kept on an idle cluster."""
IDLE_SHARE: Final = 0.5
"""A cluster with less than this share of its accelerators in use is idle."""
LARGE_SHARE: Final = 0.5
"""A task that wants more than this share of a worker gets room kept for it."""

Place = Callable[[Unit, list[Worker]], None]
Stop = Callable[[Unit, str], None]


@dataclass(frozen=True, kw_only=True)
class _RoomClaim:
    unit: Unit
    until: float


class Planner:
    """Place waiting units in the order of their rank.

    Args:
        fleet: The workers.
        health: The standing of workers.
        run_times: Expected durations.
        reporter: Takes log lines and counts.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        health: Health,
        run_times: RunTimes,
        reporter: Reporter,
    ) -> None:
        self._fleet = fleet
        self._health = health
        self._run_times = run_times
        self._log = reporter.log
        self._count = reporter.count
        self._guaranteed: dict[str, int] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._view_at = float("-inf")
        self._room_claims: dict[str, _RoomClaim] = {}

    def configure(self, configuration: Configuration, evacuated: frozenset[str]) -> None:
        """Take the operators' settings."""
        self._guaranteed = {c.name: c.guaranteed_accelerators for c in configuration.customers}
        self._evacuated = evacuated

    def confirm_view(self, at: float) -> None:
        """Note that settings and the list of workers were read at a time."""
        self._view_at = max(self._view_at, at)

    def lasting(self, worker: Worker) -> bool:
        """Return whether a worker that is not usable now will soon be."""
        return (
            worker.missing_since is None
            and not worker.entry.draining
            and worker.entry.failure_domain not in self._evacuated
        )

    def obstacle(self, worker: Worker, now: float) -> str:
        """Return why a worker may not be given work now, empty if it may."""
        if now - self._view_at > VIEW_SECONDS:
            return "view_too_old"
        if worker.listed_at is None:
            return "not_listed"
        if worker.missing_since is not None:
            return "missing"
        if worker.entry.draining:
            return "draining"
        if worker.entry.failure_domain in self._evacuated:
            return "evacuated"
        if now - worker.answered_at > SILENCE_SECONDS:
            return "silent"
        return "" if self._health.usable(worker.name, now=now) else "paused"

    def plan(self, jobs: Iterable[OwnedJob], *, now: float, place: Place, stop: Stop) -> None:
        """Place what fits.

        Args:
            jobs: All jobs.
            now: Present time in seconds.
            place: Called for each unit that gets workers.
            stop: Called for each unit that makes way.
        """
        open_jobs = [job for job in jobs if not job.closed]
        waiting = [job for job in open_jobs if any(True for _ in job.ready_units())]
        if not waiting or now - self._view_at > PLACE_VIEW_SECONDS:
            return
        covered = covered_jobs(open_jobs, self._guaranteed)
        one_pass = _Pass(self, now=now, place=place, stop=stop)
        for job, found in self._ranked(waiting, covered, now):
            for unit in list(job.ready_units()):
                one_pass.try_unit(unit, found, covered=job.job_id in covered)

    def _ranked(
        self, jobs: Sequence[OwnedJob], covered: set[str], now: float
    ) -> list[tuple[OwnedJob, Rank]]:
        ranked = [(job, rank(job, self._run_times, now=now)) for job in jobs]
        ranked.sort(key=lambda pair: (pair[0].job_id not in covered, pair[1]))
        return ranked

    def expected_end(self, seat: Assignment, now: float) -> float:
        """Return when a seat is expected to be free, in seconds."""
        if seat.stop_reason:
            return now + STOPPING_SECONDS
        step, queue = seat.unit.step, seat.unit.job.terms.name
        expected = self._run_times.expect(queue, step.estimate_ms)
        if seat.started_at is None:
            return now + expected
        elapsed = now - seat.started_at
        if seat.percent > 0:
            return now + elapsed / seat.percent * (100 - seat.percent)
        return now + max(expected - elapsed, STOPPING_SECONDS)

    def claim_room(self, unit: Unit, workers: Iterable[str], *, until: float) -> None:
        """Keep the room that is being made on workers for a unit."""
        for name in workers:
            self._room_claims[name] = _RoomClaim(unit=unit, until=until)

    def claimed_for_other(self, worker: Worker, unit: Unit, now: float) -> bool:
        """Return whether room on a worker is being made for another unit that still waits."""
        claim = self._room_claims.get(worker.name)
        if claim is None or claim.unit is unit:
            return False
        if now >= claim.until or not claim.unit.waiting or claim.unit.job.closed:
            del self._room_claims[worker.name]
            return False
        return True


class _Pass:
    """The state of one pass of the planner."""

    def __init__(self, planner: Planner, *, now: float, place: Place, stop: Stop) -> None:
        self._planner = planner
        self._now = now
        self._place = place
        self._stop = stop
        self._all = list(planner._fleet)
        self._usable = [w for w in self._all if not planner.obstacle(w, now)]
        total = sum(w.entry.accelerators for w in self._usable)
        used = sum(w.used_accelerators for w in self._usable)
        self._idle = used < IDLE_SHARE * total
        self._full: set[tuple[object, ...]] = set()
        self._reservations: list[Reservation] = []

    def try_unit(self, unit: Unit, found: Rank, *, covered: bool) -> None:
        """Place a unit, or keep or make room for it."""
        # Room that is kept for others is open to some units and not to others of the same shape.
        shape = (*_shape(unit), unit.job.job_id if self._reservations else "")
        if shape in self._full:
            return
        spread = self._spread_allowed(unit)
        workers = self._workers_for(unit)
        chosen = choose(
            unit,
            workers,
            room=room_for,
            suspicion=self._planner._health.suspicion,
            spread_allowed=spread,
        )
        if chosen is not None:
            self._place(unit, chosen)
            return
        self._full.add(shape)
        self._report_wait(unit, found, workers, covered=covered)
        if unit.job.terms.priority == GUARANTEED_PRIORITY:
            self._make_room(unit, found, workers, spread=spread, covered=covered)
        self._keep_room(unit, found, spread)

    def _report_wait(
        self, unit: Unit, found: Rank, workers: Sequence[Worker], *, covered: bool
    ) -> None:
        if unit.wait_logged:
            return
        unit.wait_logged = True
        planner = self._planner
        planner._count("waits", "no_worker" if not workers else "no_room")
        planner._log(
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
            view_age=round(self._now - planner._view_at, 3),
        )

    def _workers_for(self, unit: Unit) -> list[Worker]:
        now, planner = self._now, self._planner
        workers = [
            w
            for w in self._usable
            if allowed_on(unit, w)
            and not planner.claimed_for_other(w, unit, now)
            and self._open_to(unit, w)
        ]
        unblamed = [w for w in workers if w.name not in unit.blamed]
        return unblamed if len(unblamed) >= len(unit.indexes) else workers

    def _open_to(self, unit: Unit, worker: Worker) -> bool:
        if self._idle and self._waits_with_nothing_running(unit):
            return True
        for reservation in self._reservations:
            if worker.name not in reservation.workers:
                continue
            expected = self._planner._run_times.expect(unit.job.terms.name, unit.step.estimate_ms)
            if self._now + BACKFILL_MARGIN * expected > reservation.ready_at:
                return False
        return True

    def _waits_with_nothing_running(self, unit: Unit) -> bool:
        waited = self._now - unit.waiting_since
        return waited > IDLE_WAIT_SECONDS and not any(unit.job.seats)

    def _spread_allowed(self, unit: Unit) -> bool:
        if not unit.step.rack_local or len(unit.indexes) == 1:
            return True
        allowed = [w for w in self._all if allowed_on(unit, w) and self._planner.lasting(w)]
        return fewest_racks(allowed, unit) < len(unit.indexes)

    def _make_room(
        self, unit: Unit, found: Rank, workers: Sequence[Worker], *, spread: bool, covered: bool
    ) -> None:
        now, planner = self._now, self._planner
        if unit.room_asked_at is not None and now - unit.room_asked_at < PREEMPTION_SECONDS:
            return
        if not covered and found.tier > 0:
            return
        eviction = choose_eviction(unit, workers, now=now, spread_allowed=spread)
        if eviction is None:
            return
        expected = planner._run_times.expect(unit.job.terms.name, unit.step.estimate_ms)
        if not covered and eviction.lost > PREEMPTION_RATIO * unit_cores(unit) * expected:
            return
        unit.room_asked_at = now
        planner.claim_room(unit, eviction.workers, until=now + 2 * PREEMPTION_SECONDS)
        reason = "guarantee" if covered else "urgent"
        for victim in eviction.units:
            planner._count("preemptions", reason)
            planner._log(
                "unit_preempted",
                job_id=victim.job.job_id,
                step=victim.step_number,
                run=victim.run,
                for_job=unit.job.job_id,
                reason=reason,
                lost_core_seconds=round(eviction.lost, 1),
            )
            self._stop(victim, "preempted")

    def _keep_room(self, unit: Unit, found: Rank, spread: bool) -> None:
        if len(self._reservations) >= MAX_RESERVATIONS or found.tier > 1:
            return
        if len(unit.indexes) == 1 and not _large(unit.step, self._usable):
            return
        taken = {name for r in self._reservations for name in r.workers}
        reservation = reserve(
            unit,
            [w for w in self._usable if w.name not in taken],
            free_at=lambda w: self._free_at(w, unit.step),
            one_rack=unit.step.rack_local and not spread,
        )
        if reservation is not None and reservation.ready_at > self._now:
            self._reservations.append(reservation)

    def _free_at(self, worker: Worker, step: StepSpec) -> float:
        if worker.fits(step) >= worker.fits_empty(step):
            return self._now
        ends = (self._planner.expected_end(seat, self._now) for seat in worker.seats.values())
        return max(ends, default=self._now)


def _shape(unit: Unit) -> tuple[object, ...]:
    """Return what units have in common that find or don't find room alike."""
    step = unit.step
    if step.max_per_worker or unit.blamed or len(unit.indexes) > 1:
        return (unit.job.job_id, unit.step_number, *unit.indexes[:1])
    return (
        unit.job.terms.service,
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        step.required_label,
    )


def _large(step: StepSpec, workers: Sequence[Worker]) -> bool:
    if not workers:
        return False
    entry = workers[0].entry
    return (
        step.accelerators > LARGE_SHARE * entry.accelerators
        or step.memory_mb > LARGE_SHARE * entry.memory_mb
        or step.cpu_millis > LARGE_SHARE * entry.cpu_millis
    )
