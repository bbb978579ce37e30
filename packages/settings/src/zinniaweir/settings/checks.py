"""Rules that relate parts of the settings tree; a change rechecks only the parts it affects."""

from __future__ import annotations

import socket
from collections import Counter
from itertools import chain, islice
from typing import TYPE_CHECKING, Any, Final

import msgspec

from zinniaweir.settings.model import FailureDomain, Settings
from zinniaweir.settings.plain import MAX_PROBLEMS, problem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from zinniaweir.settings.model import Customer, Leases, Policy, Service, Topology, Worker
    from zinniaweir.wire.scheduler_service import Problem

    CheckGuarantees = Callable[[Settings], list[Problem]]

MAX_MEMBERS: Final = {
    "topology/failure_domains": 200,
    "topology/racks": 5_000,
    "topology/workers": 10_000,
    "services": 200,
    "customers": 2_000,
}
"""Members of each collection, several times the expected size in two years.

The limits keep bad input from filling the memory of a VM.
"""


def no_guarantee_check(settings: Settings) -> list[Problem]:
    """Accept all guarantees, for programs without a scheduling core."""
    del settings
    return []


def check_settings(
    new: Settings, old: Settings, check_guarantees: CheckGuarantees
) -> list[Problem]:
    """Check the parts of a tree that differ from a tree that was checked before.

    Args:
        new: The tree to check.
        old: A tree that breaks no rule, or an empty one.
        check_guarantees: Checks that all guaranteed shapes fit the topology together. It is called
            only if no other rule is broken and guarantees or capacity differ.

    Returns:
        The problems, at most `MAX_PROBLEMS`.
    """
    found = chain(
        _size_problems(new),
        _topology_problems(new, old),
        _service_problems(new, old),
        _customer_problems(new, old),
        _policy_problems(new, old),
    )
    problems = list(islice(found, MAX_PROBLEMS))
    if not problems and _guarantee_fit_may_differ(new, old):
        problems += check_guarantees(with_all_domains_in(new))[:MAX_PROBLEMS]
    return problems


def with_all_domains_in(settings: Settings) -> Settings:
    """Return the settings with every failure domain in.

    Guarantees are checked against the whole topology, because draining a failure domain must not
    make them invalid.
    """
    domains = settings.topology.failure_domains
    if all(domain.state == "in" for domain in domains.values()):
        return settings
    all_in = {name: FailureDomain(region=domain.region) for name, domain in domains.items()}
    topology = msgspec.structs.replace(settings.topology, failure_domains=all_in)
    return msgspec.structs.replace(settings, topology=topology)


def host_problems(host: str, path: str) -> list[Problem]:
    """Return a problem if the host is not an IP address."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except (OSError, ValueError):
            continue
        return []
    return [problem(path, host, "hosts are IP addresses")]


def unknown_member_rule(kind: str) -> str:
    """Return the rule that a reference to a member that does not exist breaks."""
    return f"no {kind} has this name"


def _size_problems(new: Settings) -> Iterator[Problem]:
    sizes = {
        "topology/failure_domains": len(new.topology.failure_domains),
        "topology/racks": len(new.topology.racks),
        "topology/workers": len(new.topology.workers),
        "services": len(new.services),
        "customers": len(new.customers),
    }
    for path, size in sizes.items():
        if size > MAX_MEMBERS[path]:
            yield problem(path, size, f"at most {MAX_MEMBERS[path]} members")


def _changed(new: Mapping[str, Any], old: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    """Return the members that are new or not identical to the old object."""
    if new is old:
        return iter(())
    return ((name, value) for name, value in new.items() if old.get(name) is not value)


def _has_removed_members(new: Mapping[str, Any], old: Mapping[str, Any]) -> bool:
    """Return whether members were removed, so that references to them have to be checked."""
    return new is not old and any(name not in new for name in old)


def _reference_problems(
    name: str | None, known: Mapping[str, Any], path: str, kind: str
) -> list[Problem]:
    if name is None or name in known:
        return []
    return [problem(path, name, unknown_member_rule(kind))]


def _topology_problems(new: Settings, old: Settings) -> Iterator[Problem]:
    domains, racks = new.topology.failure_domains, new.topology.racks
    check_all_racks = _has_removed_members(domains, old.topology.failure_domains)
    for name, rack in racks.items() if check_all_racks else _changed(racks, old.topology.racks):
        path = f"topology/racks/{name}/failure_domain"
        yield from _reference_problems(rack.failure_domain, domains, path, "failure domain")
    workers, old_workers = new.topology.workers, old.topology.workers
    check_all_workers = _has_removed_members(racks, old.topology.racks)
    for name, worker in workers.items() if check_all_workers else _changed(workers, old_workers):
        yield from _reference_problems(worker.rack, racks, f"topology/workers/{name}/rack", "rack")
        yield from host_problems(worker.host, f"topology/workers/{name}/host")
    if workers is not old_workers:
        yield from _address_problems(workers, old_workers)


def _address_problems(workers: Mapping[str, Any], old: Mapping[str, Any]) -> Iterator[Problem]:
    """Return a problem for each changed worker whose address another worker has.

    Commands to one of them would reach the other.
    """
    address_counts = Counter((worker.host, worker.port) for worker in workers.values())
    if len(address_counts) == len(workers):
        return
    for name, worker in _changed(workers, old):
        if address_counts[worker.host, worker.port] > 1:
            address = f"{worker.host}:{worker.port}"
            yield problem(f"topology/workers/{name}", address, "another worker has this address")


def _service_problems(new: Settings, old: Settings) -> Iterator[Problem]:
    domains = new.topology.failure_domains
    check_all = _has_removed_members(domains, old.topology.failure_domains)
    services = new.services.items() if check_all else _changed(new.services, old.services)
    for name, service in services:
        yield from _one_service_problems(service, f"services/{name}", domains)


def _one_service_problems(
    service: Service, path: str, domains: Mapping[str, Any]
) -> Iterator[Problem]:
    if service.connections < service.slots:
        rule = f"at least `slots` ({service.slots}), or some slots can never be used"
        yield problem(f"{path}/connections", service.connections, rule)
    addresses = Counter((upstream.host, upstream.port) for upstream in service.upstreams.values())
    for name, upstream in service.upstreams.items():
        member_path = f"{path}/upstreams/{name}"
        yield from host_problems(upstream.host, f"{member_path}/host")
        domain = upstream.failure_domain
        yield from _reference_problems(
            domain, domains, f"{member_path}/failure_domain", "failure domain"
        )
        if addresses[upstream.host, upstream.port] > 1:
            address = f"{upstream.host}:{upstream.port}"
            yield problem(member_path, address, "another upstream of the service has this address")


def _customer_problems(new: Settings, old: Settings) -> Iterator[Problem]:
    domains = new.topology.failure_domains
    check_all = _has_removed_members(domains, old.topology.failure_domains)
    customers = new.customers.items() if check_all else _changed(new.customers, old.customers)
    for name, customer in customers:
        yield from _one_customer_problems(customer, f"customers/{name}", domains)
    if new.customers is not old.customers:
        yield from _alias_problems(new.customers, old.customers)


def _one_customer_problems(
    customer: Customer, path: str, domains: Mapping[str, Any]
) -> Iterator[Problem]:
    for index, guarantee in enumerate(customer.guarantees):
        member_path = f"{path}/guarantees/{index}/failure_domain"
        yield from _reference_problems(
            guarantee.failure_domain, domains, member_path, "failure domain"
        )
    yield from _limit_problems(customer, f"{path}/limits")
    yield from _quota_problems(customer, f"{path}/quota")
    if len(set(customer.priorities)) != len(customer.priorities) or not customer.priorities:
        listed = list(customer.priorities)
        yield problem(f"{path}/priorities", listed, "one or more priorities, each once")
    yield from _job_alias_problems(customer, f"{path}/jobs")


def _limit_problems(customer: Customer, path: str) -> Iterator[Problem]:
    limits = customer.limits
    if limits.burst is not None and limits.requests_per_second is None:
        yield problem(f"{path}/burst", limits.burst, "needs `requests_per_second`")
    elif limits.burst is not None and limits.burst < (limits.requests_per_second or 0):
        rate = limits.requests_per_second
        yield problem(f"{path}/burst", limits.burst, f"at least `requests_per_second` ({rate:g})")
    if limits.queued_jobs == 0 and customer.guarantees:
        yield problem(f"{path}/queued_jobs", 0, "at least 1 where there are guarantees")


def _quota_problems(customer: Customer, path: str) -> Iterator[Problem]:
    quota = customer.quota
    for name in ("accelerators", "cores", "memory_gb"):
        most = getattr(quota, name)
        # Sums of decimal fractions of a gigabyte are off in the last digits.
        guaranteed = round(
            sum(g.members * getattr(g, name) * g.count for g in customer.guarantees), 6
        )
        if most is not None and most < guaranteed:
            yield problem(f"{path}/{name}", most, f"at least the guaranteed {name} ({guaranteed})")
    gangs = sum(g.count for g in customer.guarantees)
    if quota.running_jobs is not None and quota.running_jobs < gangs:
        rule = f"at least the guaranteed jobs ({gangs})"
        yield problem(f"{path}/running_jobs", quota.running_jobs, rule)
    if quota.running_jobs == 0 and quota.accelerators:
        yield problem(f"{path}/running_jobs", 0, "at least 1 where `accelerators` is not 0")


def _alias_problems(
    customers: Mapping[str, Customer], old: Mapping[str, Customer]
) -> Iterator[Problem]:
    """Return problems of customer aliases: ambiguous, listed twice or padded with spaces.

    Aliases are compared without regard to case, because callers write them in any case.
    """
    owners: dict[str, str] = {name: name for name in customers}
    changed = dict(_changed(customers, old))
    unchanged = ((name, c) for name, c in customers.items() if name not in changed)
    for name, customer in [*unchanged, *changed.items()]:
        seen: set[str] = set()
        for index, alias in enumerate(customer.aliases):
            path, key = f"customers/{name}/aliases/{index}", alias.casefold()
            owner = owners.setdefault(key, name)
            if owner != name:
                yield problem(path, alias, f"already leads to customer {owner}")
            if alias != alias.strip():
                yield problem(path, alias, "no spaces at either end")
            if key in seen:
                yield problem(path, alias, "listed twice")
            seen.add(key)


def _job_alias_problems(customer: Customer, path: str) -> Iterator[Problem]:
    owners: dict[str, str] = {name: name for name in customer.jobs}
    for name, job in customer.jobs.items():
        for index, alias in enumerate(job.aliases):
            owner = owners.setdefault(alias.casefold(), name)
            if owner != name:
                yield problem(f"{path}/{name}/aliases/{index}", alias, f"already leads to {owner}")


def _policy_problems(new: Settings, old: Settings) -> Iterator[Problem]:
    if new.policy is not old.policy:
        yield from _reclaim_problems(new.policy)
        yield from _lease_problems(new.policy.leases)
    if new.policy is old.policy and not _has_removed_members(new.services, old.services):
        return
    for job, services in new.policy.services_for_jobs.items():
        path = f"policy/services_for_jobs/{job}"
        if not services or len(set(services)) != len(services):
            yield problem(path, list(services), "one or more services, each once")
        for index, service in enumerate(services):
            yield from _reference_problems(service, new.services, f"{path}/{index}", "service")


def _reclaim_problems(policy: Policy) -> Iterator[Problem]:
    reclaim = policy.reclaim_seconds
    if reclaim.normal < reclaim.urgent:
        rule = f"at least `urgent` ({reclaim.urgent:g})"
        yield problem("policy/reclaim_seconds/normal", reclaim.normal, rule)
    if reclaim.batch < reclaim.normal:
        rule = f"at least `normal` ({reclaim.normal:g})"
        yield problem("policy/reclaim_seconds/batch", reclaim.batch, rule)


def _lease_problems(leases: Leases) -> Iterator[Problem]:
    if leases.renew_seconds > leases.lease_seconds / 2:
        rule = f"at most half of `lease_seconds` ({leases.lease_seconds:g}), so one may be missed"
        yield problem("policy/leases/renew_seconds", leases.renew_seconds, rule)
    if leases.first_seconds > leases.lease_seconds:
        rule = f"at most `lease_seconds` ({leases.lease_seconds:g})"
        yield problem("policy/leases/first_seconds", leases.first_seconds, rule)


def _guarantee_fit_may_differ(new: Settings, old: Settings) -> bool:
    if not any(customer.guarantees for customer in new.customers.values()):
        return False
    return _guarantees_by_customer(new) != _guarantees_by_customer(old) or _capacity_differs(
        new, old
    )


def _guarantees_by_customer(settings: Settings) -> list[tuple[str, Any]]:
    return [(name, c.guarantees) for name, c in settings.customers.items() if c.guarantees]


def _capacity_differs(new: Settings, old: Settings) -> bool:
    if new.topology is old.topology:
        return False
    before, after = old.topology, new.topology
    return (
        _regions(before) != _regions(after)
        or before.racks != after.racks
        or before.workers.keys() != after.workers.keys()
        or any(
            _capacity(worker) != _capacity(before.workers[name])
            for name, worker in _changed(after.workers, before.workers)
        )
    )


def _regions(topology: Topology) -> dict[str, str]:
    return {name: domain.region for name, domain in topology.failure_domains.items()}


def _capacity(worker: Worker) -> tuple[Any, ...]:
    return worker.rack, worker.cores, worker.memory_gb, worker.accelerators
