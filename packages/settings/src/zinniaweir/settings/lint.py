"""Check of a configuration before it is submitted: broken rules, dead entries and differences."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import msgspec

from zinniaweir.names import NameTable
from zinniaweir.settings.build import build_settings
from zinniaweir.settings.checks import (
    check_settings,
    no_guarantee_check,
    unknown_member_rule,
    with_all_domains_in,
)
from zinniaweir.settings.diff import diff_lines
from zinniaweir.settings.model import Settings
from zinniaweir.settings.paths import Path, format_path, is_below
from zinniaweir.settings.plain import MAX_PROBLEMS, check_plain, format_value, join_path, problem
from zinniaweir.settings.tree import placement_problems, value_at, with_value
from zinniaweir.wire.scheduler_service import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping
    from typing import Literal

    from zinniaweir.settings.checks import CheckGuarantees
    from zinniaweir.settings.model import Customer

REFERENCED: Final[dict[str, Path]] = {
    "failure domain": ("topology", "failure_domains"),
    "rack": ("topology", "racks"),
    "service": ("services",),
}
"""Collections whose members other parts of the tree refer to, by kind of member."""


class LintReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of checking a configuration."""

    errors: list[Problem] = []
    """Rules that the configuration breaks; it would be refused."""
    warnings: list[Problem] = []
    """Entries without effect and limits that contradict each other; it would be accepted."""
    diff: list[str] = []
    """One line for each value that differs from the configuration in force."""


def lint(in_force: Any, path: Path, value: Any, *, check_guarantees: CheckGuarantees) -> LintReport:
    """Check a value that is to replace the one at a path.

    Entries without effect are reported if they are part of the value or have become so by it.

    Args:
        in_force: The whole tree that the value will become part of.
        path: Path of the value; empty for a whole tree.
        value: The value, as plain data.
        check_guarantees: Returns the problems of guarantees that do not fit the topology together.
    """
    if not isinstance(in_force, dict):
        return LintReport(errors=[problem("", in_force, "the tree in force is a mapping")])
    errors = check_plain(value, format_path(path)) or placement_problems(in_force, path, value)
    if errors:
        return LintReport(errors=errors)
    diff = diff_lines(value_at(in_force, path), value, format_path(path))
    tree = with_value(in_force, path, value)
    model, schema_errors = build_settings(tree, {}, Settings())
    errors = [*schema_errors, *_rule_errors(tree, model, schema_errors, check_guarantees)]
    if schema_errors:
        # Entries seem unused if those that refer to them could not be converted.
        return LintReport(errors=errors, diff=diff)
    old = build_settings(in_force, {}, Settings())[0] if path else Settings()
    known = set(map(_key, _warnings(old)))
    refused = {found.path for found in errors}
    warnings = [
        found
        for found in _warnings(model)
        if found.path not in refused
        and (is_below(tuple(found.path.split("/")), path) or _key(found) not in known)
    ]
    return LintReport(errors=errors, warnings=warnings[:MAX_PROBLEMS], diff=diff)


def _key(found: Problem) -> tuple[str, str, str]:
    return found.path, found.value, found.rule


def _rule_errors(
    tree: dict[str, Any],
    model: Settings,
    schema_errors: list[Problem],
    check_guarantees: CheckGuarantees,
) -> list[Problem]:
    """Return the broken rules of the members that could be converted."""
    found = check_settings(model, Settings(), no_guarantee_check)
    unconverted = _references_to_unconverted(tree, model)
    errors = [error for error in found if (error.rule, error.value) not in unconverted]
    # Without the whole topology and all guarantees it is not known whether they fit.
    complete = len(schema_errors) < MAX_PROBLEMS and not any(
        error.path.startswith(("topology", "customers")) for error in schema_errors
    )
    if complete and not any(error.path.startswith("topology") for error in found):
        errors += check_guarantees(with_all_domains_in(model))[:MAX_PROBLEMS]
    return errors


def _references_to_unconverted(tree: dict[str, Any], model: Settings) -> set[tuple[str, str]]:
    """Return the rule and value of references to members that have errors of their own."""
    references: set[tuple[str, str]] = set()
    for kind, collection in REFERENCED.items():
        members: Any = model
        for segment in collection:
            members = getattr(members, segment)
        written = value_at(tree, collection)
        if isinstance(written, dict):
            rule = unknown_member_rule(kind)
            references.update((rule, format_value(name)) for name in written.keys() - members)
    return references


def _warnings(settings: Settings) -> Iterator[Problem]:
    yield from _unused_topology(settings)
    yield from _unreachable_services(settings)
    yield from _unknown_policy_jobs(settings)
    spellings = {name: customer.aliases for name, customer in settings.customers.items()}
    yield from _shadowed_aliases("customer", "customers", spellings)
    for name, customer in settings.customers.items():
        path = f"customers/{name}"
        spellings = {job: entry.aliases for job, entry in customer.jobs.items()}
        yield from _shadowed_aliases("job", f"{path}/jobs", spellings)
        yield from _contradictory_limits(customer, path)


def _unused_topology(settings: Settings) -> Iterator[Problem]:
    topology, customers = settings.topology, settings.customers.values()
    used_racks = {worker.rack for worker in topology.workers.values()}
    used_domains = {rack.failure_domain for rack in topology.racks.values()}
    used_domains |= {
        upstream.failure_domain
        for service in settings.services.values()
        for upstream in service.upstreams.values()
    }
    used_domains |= {g.failure_domain for customer in customers for g in customer.guarantees}
    for name in topology.failure_domains:
        if name not in used_domains:
            rule = "no rack, upstream or guarantee refers to this failure domain"
            yield problem(f"topology/failure_domains/{name}", name, rule)
    for name in topology.racks:
        if name not in used_racks:
            yield problem(f"topology/racks/{name}", name, "no worker refers to this rack")


def _known_jobs(settings: Settings) -> set[str] | None:
    """Return the names of all jobs that can be submitted, or None if any name can be."""
    customers = settings.customers.values()
    if not all(customer.jobs for customer in customers):
        return None
    return {job for customer in customers for job in customer.jobs}


def _unreachable_services(settings: Settings) -> Iterator[Problem]:
    jobs, allowed = _known_jobs(settings), settings.policy.services_for_jobs
    any_job_open = jobs is None or any(job not in allowed for job in jobs)
    reached = {
        service
        for job, services in allowed.items()
        if jobs is None or job in jobs
        for service in services
    }
    for name, service in settings.services.items():
        if not service.upstreams:
            yield problem(f"services/{name}/upstreams", {}, "no upstream, so nothing is served")
        if not any_job_open and name not in reached:
            yield problem(f"services/{name}", name, "no job of any customer may go to this service")


def _unknown_policy_jobs(settings: Settings) -> Iterator[Problem]:
    jobs = _known_jobs(settings)
    for job, services in settings.policy.services_for_jobs.items():
        if jobs is not None and job not in jobs:
            path = f"policy/services_for_jobs/{job}"
            yield problem(path, list(services), "no customer has a job of this name")


def _shadowed_aliases(
    kind: Literal["customer", "job"], path: str, aliases: Mapping[str, tuple[str, ...]]
) -> Iterator[Problem]:
    """Return a problem for each alias that another alias or a name is taken for.

    Each spelling is an entry of its own in the table that resolves the names of callers, so an
    alias that does not resolve to its own entry never has an effect of its own.
    """
    entries = {join_path(path, name): (name,) for name in aliases}
    for name, spellings in aliases.items():
        for index, alias in enumerate(spellings):
            entries[f"{path}/{name}/aliases/{index}"] = (alias,)
    table = NameTable(kind=kind, aliases=entries, correctable=())
    for entry, (spelling,) in entries.items():
        resolved = table.resolve(spelling)
        if resolved.is_error() and "/aliases/" in entry:
            others = ", ".join(other for other in resolved.error.nearest if other != entry)
            yield problem(entry, spelling, f"read as the same name as {others}")


def _contradictory_limits(customer: Customer, path: str) -> Iterator[Problem]:
    limits = customer.limits
    burst = limits.burst if limits.burst is not None else limits.requests_per_second
    if burst is not None and limits.queued_requests is not None and limits.queued_requests < burst:
        rule = f"at least the burst ({burst:g}), or part of a burst is refused"
        yield problem(f"{path}/limits/queued_requests", limits.queued_requests, rule)
