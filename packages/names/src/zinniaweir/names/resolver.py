"""Resolution of the customer and the job in a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from zinniaweir.names.report import NameReport
from zinniaweir.names.table import DEFAULT_MARGIN, NameRefusal, NameTable, ResolvedName

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, kw_only=True)
class ResolvedNames:
    """Resolved customer and job of a request."""

    customer: str
    job: str
    corrected: tuple[ResolvedName, ...] = ()
    """Names whose spelling was corrected, at most one."""


class NameResolver:
    """Resolve names by the current settings.

    At most one of the two names of a request is corrected: a correct name is evidence for the
    correction of the other, whereas two corrections would only be guesses.
    """

    def __init__(self, *, margin: int = DEFAULT_MARGIN, report: NameReport | None = None) -> None:
        self._margin = margin
        self._customers = NameTable(kind="customer", aliases={}, correctable=())
        self._jobs: dict[str, NameTable] = {}
        self.report = report or NameReport()
        """Corrections and refusals so far."""

    def update(self, settings: Mapping[str, Any]) -> None:
        """Apply a settings tree.

        Args:
            settings: The complete tree, of which only `customers` is used.
        """
        customers = settings.get("customers") or {}
        self._customers = NameTable(
            kind="customer",
            aliases={name: (entry or {}).get("aliases") or () for name, entry in customers.items()},
            correctable=[name for name, entry in customers.items() if _allows_correction(entry)],
            margin=self._margin,
        )
        self._jobs = {
            name: self._job_table(entry) for name, entry in customers.items() if _jobs(entry)
        }

    def resolve(self, *, customer: str, job: str) -> Result[ResolvedNames, NameRefusal]:
        """Return the resolved customer and job, or the refusal of the first that is not resolved.

        Args:
            customer: Name of the customer as the caller wrote it.
            job: Name of the job as the caller wrote it.
        """
        customer_result = self._customers.resolve(customer)
        if customer_result.is_error():
            return Error(self._refuse("", customer_result.error))
        resolved = customer_result.ok
        job_result = self._resolve_job(resolved.name, job)
        if job_result.is_error():
            return Error(self._refuse(resolved.name, job_result.error))
        corrected = tuple(name for name in (resolved, job_result.ok) if name.corrected)
        if len(corrected) > 1:
            refusal = NameRefusal(
                kind="customer",
                given=resolved.given,
                reason="two_corrections",
                nearest=(resolved.name,),
            )
            return Error(self._refuse("", refusal))
        for name in corrected:
            is_customer = name is resolved
            self.report.record_correction(
                kind="customer" if is_customer else "job",
                customer="" if is_customer else resolved.name,
                name=name,
            )
        return Ok(
            ResolvedNames(customer=resolved.name, job=job_result.ok.name, corrected=corrected)
        )

    def resolve_customer(self, customer: str) -> Result[ResolvedName, NameRefusal]:
        """Return the customer of an exact name or an alias, without a correction.

        Used for reads of a customer's data, which a wrong correction would show to another caller.
        """
        found = self._customers.resolve(customer)
        if found.is_ok() and found.ok.corrected:
            refusal = NameRefusal(
                kind="customer", given=customer, reason="unknown", nearest=(found.ok.name,)
            )
            return Error(self._refuse("", refusal))
        return found

    def _resolve_job(self, customer: str, job: str) -> Result[ResolvedName, NameRefusal]:
        table = self._jobs.get(customer)
        if table is None:
            return Ok(ResolvedName(name=job.strip(), given=job, match_kind="exact"))
        return table.resolve(job)

    def _job_table(self, entry: Mapping[str, Any]) -> NameTable:
        jobs = _jobs(entry)
        return NameTable(
            kind="job",
            aliases={name: (job or {}).get("aliases") or () for name, job in jobs.items()},
            correctable=jobs if _allows_correction(entry) else (),
            margin=self._margin,
        )

    def _refuse(self, customer: str, refusal: NameRefusal) -> NameRefusal:
        self.report.record_refusal(customer=customer, refusal=refusal)
        return refusal


def _allows_correction(entry: Mapping[str, Any] | None) -> bool:
    return (entry or {}).get("name_correction") is True


def _jobs(entry: Mapping[str, Any] | None) -> Mapping[str, Any]:
    return (entry or {}).get("jobs") or {}
