"""Who gets room, who waits for it, and who makes way: the planner and what it remembers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from zinniaweir.dispatch.fleet import SILENCE_SECONDS, Fleet, Worker
from zinniaweir.dispatch.guarantees import covered_jobs
from zinniaweir.dispatch.health import Health
from zinniaweir.dispatch.ordering import Rank, rank
from zinniaweir.dispatch.planning_pass import PassContext, PlanningPass
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.runtimes import RunTimes
from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit
from zinniaweir.workloads.queues import Configuration

VIEW_SECONDS: Final = 1.5
"""Nothing starts on an older view of drains and evacuations; their shortest bound is 2 s."""
PLACE_VIEW_SECONDS: Final = 1.1
"""Nothing is placed on an older view, so that it can still be recorded and started in time."""
STOPPING_SECONDS: Final = 0.6
"""Expected time until a stopped task has left."""

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
        self._reporter = reporter
        self._guaranteed: dict[str, int] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._view_at = float("-inf")
        self._room_claims: dict[str, _RoomClaim] = {}

    def configure(self, configuration: Configuration, evacuated: frozenset[str]) -> None:
        """Take the operators' settings."""
        self._guaranteed = {c.name: c.guaranteed_accelerators for c in configuration.customers}
        self._evacuated = evacuated

    def update_view_time(self, at: float) -> None:
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
        if worker.orphan_runs:
            return "stray_runs"
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
        context = PassContext(
            now=now,
            view_age=now - self._view_at,
            usable=[w for w in self._fleet if not self.obstacle(w, now)],
            lasting=[w for w in self._fleet if self.lasting(w)],
            place=place,
            stop=stop,
        )
        one_pass = PlanningPass(
            context=context,
            keeper=self,
            health=self._health,
            run_times=self._run_times,
            reporter=self._reporter,
        )
        for job, found in self._ranked(waiting, covered, now):
            for unit in list(job.ready_units()):
                one_pass.try_unit(unit, found, covered=job.job_id in covered)

    def _ranked(
        self, jobs: Sequence[OwnedJob], covered: set[str], now: float
    ) -> list[tuple[OwnedJob, Rank]]:
        ranked = [(job, rank(job, self._run_times, now=now)) for job in jobs]
        ranked.sort(key=lambda pair: (pair[0].job_id not in covered, pair[1]))
        return ranked

    def expected_end(self, assignment: Assignment, now: float) -> float:
        """Return when a seat is expected to be free, in seconds."""
        if assignment.stop_reason:
            return now + STOPPING_SECONDS
        step, queue = assignment.unit.step, assignment.unit.job.terms.name
        expected = self._run_times.expect(queue, step.estimate_ms)
        if assignment.started_at is None:
            return now + expected
        elapsed = now - assignment.started_at
        if assignment.percent > 0:
            return now + elapsed / assignment.percent * (100 - assignment.percent)
        return now + max(expected - elapsed, STOPPING_SECONDS)

    def claim_room(self, unit: Unit, workers: Iterable[str], *, until: float) -> None:
        """Keep the room that is being made on workers for a unit."""
        for name in workers:
            self._room_claims[name] = _RoomClaim(unit=unit, until=until)

    def claimed_for_others(self, unit: Unit, now: float) -> set[str]:
        """Return the workers on which room is being made for other units that still wait."""
        claimed = set()
        for name, claim in list(self._room_claims.items()):
            if now >= claim.until or not claim.unit.waiting or claim.unit.job.closed:
                del self._room_claims[name]
            elif claim.unit is not unit:
                claimed.add(name)
        return claimed
