"""Conversion of settings and job records to the types of the scheduling core."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING, Final

from zinniaweir.core.guarantees import check_guarantees
from zinniaweir.core.job import Job
from zinniaweir.core.losses import WorkerLoss
from zinniaweir.core.settings import Customer, Policy
from zinniaweir.core.settings import Settings as CoreSettings
from zinniaweir.core.shape import Guarantee, Member, Shape
from zinniaweir.core.topology import Topology, Worker
from zinniaweir.scheduler.leases import LeaseSettings
from zinniaweir.wire.records import Member as RecordMember
from zinniaweir.wire.records import WorkerLoss as RecordLoss
from zinniaweir.wire.scheduler_service import Problem

if TYPE_CHECKING:
    from zinniaweir.scheduler.jobs import JobEntry
    from zinniaweir.settings.model import Guarantee as GuaranteeSettings
    from zinniaweir.settings.model import Settings
    from zinniaweir.wire.records import JobSpec

BYTES_PER_GB: Final = 1024**3


def region_workers(settings: Settings, region: str) -> dict[str, Worker]:
    """Return the workers of a region by name, or of all regions if the region is empty."""
    topology = settings.topology
    workers = {}
    for name, worker in topology.workers.items():
        domain = topology.racks[worker.rack].failure_domain
        worker_region = topology.failure_domains[domain].region
        if region and worker_region != region:
            continue
        workers[name] = Worker(
            name=name,
            failure_domain=domain,
            rack=worker.rack,
            cores=worker.cores,
            memory_bytes=int(worker.memory_gb * BYTES_PER_GB),
            accelerators=worker.accelerators,
            region=worker_region,
        )
    return workers


def regions(settings: Settings) -> list[str]:
    """Return the names of all regions, sorted."""
    return sorted({domain.region for domain in settings.topology.failure_domains.values()})


def domains_out(settings: Settings, region: str) -> set[str]:
    """Return the failure domains of a region that are out of service."""
    return {
        name
        for name, domain in settings.topology.failure_domains.items()
        if domain.region == region and domain.state == "out"
    }


def core_settings(settings: Settings, region: str) -> CoreSettings:
    """Return the settings of a region in the form that the core uses."""
    policy = settings.policy
    reclaim = policy.reclaim_seconds
    return CoreSettings(
        customers=tuple(
            Customer(
                name=name,
                quota_cores=customer.quota.cores,
                quota_memory_bytes=_bytes(customer.quota.memory_gb),
                quota_accelerators=customer.quota.accelerators,
                quota_running_jobs=customer.quota.running_jobs,
                weight=customer.weight,
                priorities=customer.priorities,
            )
            for name, customer in settings.customers.items()
        ),
        guarantees=tuple(
            guarantee
            for _, guarantee in _guarantees(settings)
            if _is_scheduled_in(settings, guarantee, region)
        ),
        policy=Policy(
            reclaim_seconds={
                "urgent": reclaim.urgent,
                "normal": reclaim.normal,
                "batch": reclaim.batch,
            },
            return_starts_per_second=policy.return_starts_per_second,
        ),
    )


def _bytes(gigabytes: float | None) -> int | None:
    return None if gigabytes is None else int(gigabytes * BYTES_PER_GB)


def core_job(job: JobEntry) -> Job:
    """Return a job in the form that the core uses."""
    spec = job.spec
    return Job(
        job_id=job.job_id,
        customer=spec.customer,
        name=spec.name,
        priority=spec.priority,
        shape=Shape(
            members=spec.members,
            accelerators=spec.accelerators,
            cores=spec.cores,
            memory_bytes=spec.memory_bytes,
            spread=spec.spread,
        ),
        declared_seconds=spec.declared_seconds,
        submitted_at=job.submitted_at,
        deadline=spec.deadline,
        checkpointable=spec.checkpointable,
        idempotent=spec.idempotent,
    )


def record_members(members: tuple[Member, ...]) -> tuple[RecordMember, ...]:
    """Return the members of a placement by the core in the form of log records."""
    return tuple(
        RecordMember(member=m.member, worker=m.worker, accelerators=m.accelerators) for m in members
    )


def core_members(members: tuple[RecordMember, ...]) -> tuple[Member, ...]:
    """Return the members of a recorded placement in the form that the core uses."""
    return tuple(
        Member(member=m.member, worker=m.worker, accelerators=m.accelerators) for m in members
    )


def recorded_losses(losses: Iterable[WorkerLoss]) -> tuple[RecordLoss, ...]:
    """Return the losses of a gang in the form of log records."""
    return tuple(
        RecordLoss(
            attempt=loss.attempt,
            worker=loss.worker,
            at=loss.at,
            sole=loss.sole,
            explained=loss.explained,
            members=loss.members,
            lasted_seconds=loss.lasted_seconds,
        )
        for loss in losses
    )


def core_losses(losses: Iterable[RecordLoss]) -> tuple[WorkerLoss, ...]:
    """Return recorded losses in the form that the core uses."""
    return tuple(
        WorkerLoss(
            attempt=loss.attempt,
            worker=loss.worker,
            at=loss.at,
            sole=loss.sole,
            explained=loss.explained,
            members=loss.members,
            lasted_seconds=loss.lasted_seconds,
        )
        for loss in losses
    )


def losses_at_takeover(
    job: JobEntry, unreachable: Collection[str], now: float
) -> tuple[RecordLoss, ...]:
    """Return the losses of a job whose attempt could not be adopted.

    Args:
        job: The job, whose attempt was placed by a previous owner.
        unreachable: Workers that did not answer the new owner; it cannot know who else was there.
        now: Current time in seconds.
    """
    lost = [member for member in job.members if member.worker in unreachable]
    if not lost or any(loss.attempt == job.attempt for loss in job.losses):
        return job.losses
    loss = RecordLoss(
        attempt=job.attempt,
        worker=lost[0].worker,
        at=now,
        sole=False,
        members=tuple(member.member for member in lost),
    )
    return (*job.losses, loss)


def choose_region(settings: Settings, spec: JobSpec, local_region: str) -> str:
    """Return the region that schedules a job.

    A job whose members and accelerators equal those of a guarantee of its customer goes to the
    region of that guarantee. Other jobs stay in the region of the VM that accepts them if it has
    failure domains, else they go to the first region.

    Args:
        settings: Settings in force.
        spec: The job.
        local_region: Region of the VM that accepts the job.
    """
    names = regions(settings)
    customer = settings.customers.get(spec.customer)
    for guarantee in customer.guarantees if customer else ():
        if (guarantee.members, guarantee.accelerators) != (spec.members, spec.accelerators):
            continue
        if guarantee.failure_domain is None:
            return names[0] if names else local_region
        return settings.topology.failure_domains[guarantee.failure_domain].region
    return local_region if local_region in names or not names else names[0]


def lease_settings(settings: Settings) -> LeaseSettings:
    """Return the durations of leases."""
    leases = settings.policy.leases
    return LeaseSettings(
        first_seconds=leases.first_seconds,
        lease_seconds=leases.lease_seconds,
        renew_seconds=leases.renew_seconds,
        reserve_seconds=leases.reserve_seconds,
    )


def guarantee_problems(settings: Settings) -> list[Problem]:
    """Return a problem for each guarantee that does not fit together with the others.

    A guarantee without a failure domain is scheduled by the first region, so it must fit there.
    """
    problems: list[Problem] = []
    for region in regions(settings) or [""]:
        found = [
            (path, guarantee)
            for path, guarantee in _guarantees(settings)
            if _is_scheduled_in(settings, guarantee, region)
        ]
        topology = Topology(workers=tuple(region_workers(settings, region).values()))
        for problem in check_guarantees(topology, [guarantee for _, guarantee in found]):
            path, guarantee = found[problem.index]
            value = f"{guarantee.count} x {guarantee.shape.members} members"
            problems.append(Problem(path=path, value=value, rule=problem.rule))
    return problems


def _is_scheduled_in(settings: Settings, guarantee: Guarantee, region: str) -> bool:
    names = regions(settings)
    if guarantee.failure_domain is None:
        return not names or region == names[0]
    domain = settings.topology.failure_domains.get(guarantee.failure_domain)
    return domain is not None and domain.region == region


def _guarantees(settings: Settings) -> list[tuple[str, Guarantee]]:
    return [
        (f"customers/{name}/guarantees/{index}", _guarantee(name, guarantee))
        for name, customer in settings.customers.items()
        for index, guarantee in enumerate(customer.guarantees)
    ]


def _guarantee(customer: str, guarantee: GuaranteeSettings) -> Guarantee:
    return Guarantee(
        customer=customer,
        shape=Shape(
            members=guarantee.members,
            accelerators=guarantee.accelerators,
            cores=guarantee.cores,
            memory_bytes=int(guarantee.memory_gb * BYTES_PER_GB),
            spread=guarantee.spread,
        ),
        count=guarantee.count,
        failure_domain=guarantee.failure_domain,
    )
