"""Admission of work: names, priorities and limits of customers."""

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

QUEUE_PER_SLOT = 4
"""Requests that may wait for each one in flight; more could not meet usual deadlines."""


@dataclass(frozen=True, kw_only=True)
class NameProblem:
    """Names that lead to no work."""

    reason: str
    detail: str
    nearest: tuple[str, ...] = ()


class Admission:
    """Apply the names and limits of the settings in force."""

    def __init__(self, *, max_in_flight: int, counters: Counters) -> None:
        self._counters = counters
        self._names = NameResolver()
        self._gate = AdmissionGate(
            in_flight=max_in_flight, queued=QUEUE_PER_SLOT * max_in_flight, counters=counters
        )
        self._settings: Mapping[str, Any] = {}
        self._live_vms = 1

    @property
    def report(self) -> NameReport:
        """Corrections and refusals of names so far."""
        return self._names.report

    @property
    def in_flight(self) -> int:
        """Requests that were admitted and have not ended."""
        return self._gate.in_flight

    @property
    def queued(self) -> int:
        """Requests that wait for admission."""
        return self._gate.queued

    def update(self, settings: Mapping[str, Any]) -> None:
        """Apply a settings tree."""
        self._settings = settings
        self._names.update(settings)
        self._update_limits()

    def share_limits(self, live_vms: int) -> None:
        """Take an equal part of each customer's limits.

        The balancer spreads callers evenly, so that all VMs together allow about the whole limit.

        Args:
            live_vms: Number of VMs that divide the limits.
        """
        self._live_vms = live_vms
        self._update_limits()

    def resolve(self, customer: str, job: str, priority: str) -> Result[ResolvedNames, NameProblem]:
        """Return the names that are meant, if the customer may use the priority."""
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
        """Wait until a request may run; the permit ends with the request."""
        return await self._gate.enter(
            customer=customer, priority=priority, deadline_seconds=deadline_seconds
        )

    def _update_limits(self) -> None:
        self._gate.update(self._settings, share=1 / self._live_vms)

    def job_refusal(self, customer: str) -> LimitRefusal | None:
        """Return why a customer may not submit a job now; the scheduler process counts jobs."""
        return self._gate.job_refusal(customer, queued_jobs=0)


def corrected_from(names: ResolvedNames) -> str:
    """Return the names as the caller wrote them, or nothing if none was corrected."""
    return ", ".join(f"{name.given} -> {name.name}" for name in names.corrected)


def refused_name(problem: NameProblem) -> Answer:
    """Return the answer to names that lead to no work."""
    return not_run(problem.reason, problem.detail, nearest=list(problem.nearest))
