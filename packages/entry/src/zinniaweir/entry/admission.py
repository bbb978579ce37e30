"""Admission control: resolves names and applies the priorities and limits of customers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from expression import Error, Result

from zinniaweir.entry.answers import not_run
from zinniaweir.limits.gate import AdmissionGate
from zinniaweir.names.resolver import NameResolver
from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from collections.abc import Mapping

    from zinniaweir.entry.answers import Answer
    from zinniaweir.limits.events import LimitRefusal
    from zinniaweir.limits.gate import Permit
    from zinniaweir.names.report import NameReport
    from zinniaweir.names.resolver import ResolvedNames
    from zinniaweir.telemetry.counters import Counters

QUEUED_REQUESTS_PER_SLOT = 4
"""Maximum number of queued requests per allowed request in flight.

With a longer queue, requests at its end could not meet usual deadlines.
"""


@dataclass(frozen=True, kw_only=True)
class NameProblem:
    """Reason why the names or the priority of a request were refused."""

    reason: str
    detail: str
    nearest: tuple[str, ...] = ()
    """Known names that are most similar to the given one."""


class Admission:
    """Apply the names, priorities and limits of the current settings."""

    def __init__(self, *, max_in_flight: int, counters: Counters) -> None:
        self._counters = counters
        self._names = NameResolver()
        self._gate = AdmissionGate(
            in_flight=max_in_flight,
            queued=QUEUED_REQUESTS_PER_SLOT * max_in_flight,
            counters=counters,
        )
        self._settings: Mapping[str, Any] = {}
        self._live_vms = 1

    @property
    def name_report(self) -> NameReport:
        """Report of corrected and refused names."""
        return self._names.report

    @property
    def in_flight(self) -> int:
        """Number of requests that were admitted and have not ended."""
        return self._gate.in_flight

    @property
    def queued(self) -> int:
        """Number of requests that wait for admission."""
        return self._gate.queued

    def update(self, settings: Mapping[str, Any]) -> None:
        """Apply a settings tree."""
        self._settings = settings
        self._names.update(settings)
        self._update_limits()

    def set_live_vms(self, live_vms: int) -> None:
        """Divide each customer's limits equally among the live VMs.

        The load balancer distributes callers evenly, so that all VMs together allow about the
        configured limit.

        Args:
            live_vms: Number of VMs that share the limits.
        """
        self._live_vms = live_vms
        self._update_limits()

    def resolve(self, customer: str, job: str, priority: str) -> Result[ResolvedNames, NameProblem]:
        """Resolve the names of a request and check that the customer may use the priority."""
        resolved = self._names.resolve(customer=customer, job=job)
        if resolved.is_error():
            refusal = resolved.error
            self._counters.add("refusals", reason=f"{refusal.kind}_{refusal.reason}")
            return Error(
                NameProblem(
                    reason="unknown_customer" if refusal.kind == "customer" else "unknown_name",
                    detail=f"{refusal.kind} {refusal.given!r}: {refusal.reason}",
                    nearest=refusal.nearest,
                )
            )
        names = resolved.ok
        for name in names.corrected:
            self._counters.add("name_corrections")
            log("name_corrected", given=name.given, name=name.name)
        customers = self._settings.get("customers") or {}
        allowed = (customers.get(names.customer) or {}).get("priorities")
        if allowed is not None and priority not in allowed:
            self._counters.add("refusals", reason="priority_not_allowed")
            return Error(NameProblem(reason="priority_not_allowed", detail=priority))
        return resolved

    async def enter(
        self, *, customer: str, priority: str, deadline_seconds: float
    ) -> Result[Permit, LimitRefusal]:
        """Wait until a request may run.

        Returns:
            A permit to hold as a context manager while the request runs, or the refusal.
        """
        return await self._gate.enter(
            customer=customer, priority=priority, deadline_seconds=deadline_seconds
        )

    def _update_limits(self) -> None:
        self._gate.update(self._settings, share=1 / self._live_vms)

    def job_refusal(self, customer: str) -> LimitRefusal | None:
        """Return why a customer may not submit a job now, or None.

        The number of queued jobs is not checked here; the scheduler process counts jobs.
        """
        return self._gate.job_refusal(customer, queued_jobs=0)


def corrected_from(names: ResolvedNames) -> str:
    """Return corrected names as `given -> used`, or an empty string if none was corrected."""
    return ", ".join(f"{name.given} -> {name.name}" for name in names.corrected)


def name_problem_answer(problem: NameProblem) -> Answer:
    """Return the answer for a request whose names or priority were refused."""
    return not_run(problem.reason, problem.detail, nearest=list(problem.nearest))
