"""Order of waiting work by the shares that customers hold while capacity is short."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import groupby
from typing import Final, NamedTuple, TypeAlias

from zinniaweir.dispatch.fleet import Fleet, Worker
from zinniaweir.dispatch.ordering import Rank
from zinniaweir.dispatch.quotas import Quotas, Usage, counted_units
from zinniaweir.dispatch.reporting import Reporter
from zinniaweir.dispatch.units import Assignment, OwnedJob, Unit
from zinniaweir.workloads.queues import Customer
from zinniaweir.workloads.shares import CustomerShares, demand_within
from zinniaweir.workloads.turns import Head, TurnLimits, Turns

TURN_LIMITS: Final = TurnLimits(last_chance_seconds=0.5, spare_seconds=1.0, wait_seconds=0.5)
"""Tasks last some seconds, and capacity is given back several times in a second."""
END_AFTER_SECONDS: Final = 1.0
"""Time without a shortage after which shares have stopped to decide."""

RankedJob: TypeAlias = tuple[OwnedJob, Rank]


class Turn(NamedTuple):
    """Units of one job to schedule next."""

    job: OwnedJob
    rank: Rank
    units: Iterable[Unit]


class _Entry(NamedTuple):
    """A waiting unit."""

    job: OwnedJob
    rank: Rank
    unit: Unit


@dataclass(kw_only=True, slots=True)
class _ShareOrder:
    """A time in which shares decide the order of a band."""

    cause: str
    began_at: float
    short_at: float
    """When capacity was last short, in seconds."""


@dataclass(frozen=True, kw_only=True)
class ShareInputs:
    """What a planning pass knows of the capacity and of what is in use."""

    now: float
    """Current time in seconds."""
    usable: Sequence[Worker]
    """Workers that may receive work now."""
    quotas: Quotas
    """Quotas of customers, with what they have in use."""
    fleet: Fleet
    inherited: Iterable[Assignment]
    """Assignments of a previous owner on workers that are not in the fleet yet."""


class SharePolicy:
    """Decide when shares order a band of waiting work.

    Shares decide if the band wants more than is free, and if either weights are stated or one
    customer holds far more than its part while another one waits with far less. In the second case
    they decide until capacity is not short any more, so that the order does not change to and fro.

    Args:
        reporter: Receives log events and counts.
    """

    def __init__(self, *, reporter: Reporter) -> None:
        self._reporter = reporter
        self._weights: dict[str, float] = {}
        self._orders: dict[int, _ShareOrder] = {}

    def configure(self, customers: Iterable[Customer]) -> None:
        """Apply the weights of customers."""
        self._weights = {c.name: c.weight for c in customers if c.weight is not None}

    @property
    def weights(self) -> Mapping[str, float]:
        """The stated weights by customer."""
        return self._weights

    def end_unused(self, now: float) -> None:
        """Report the bands that shares have stopped to order."""
        for band, order in list(self._orders.items()):
            if now - order.short_at > END_AFTER_SECONDS:
                del self._orders[band]
                self._reporter.log(
                    "share_order_ended",
                    place=band,
                    cause=order.cause,
                    seconds=round(order.short_at - order.began_at, 1),
                )

    def decides(
        self, band: int, shares: CustomerShares, *, waiting: Sequence[str], now: float
    ) -> bool:
        """Return whether shares order a band for which capacity is short, and report it.

        Args:
            band: The band of the waiting jobs.
            shares: What customers hold.
            waiting: The customers with work that may start as far as their quotas go.
            now: Current time in seconds.
        """
        order = self._orders.get(band)
        if self._weights:
            cause = "weights"
        elif order is not None or shares.is_uneven(waiting):
            cause = "excess"
        else:
            return False
        self._reporter.count("share_orders", cause)
        if order is not None and order.cause == cause:
            order.short_at = now
            return True
        self._orders[band] = _ShareOrder(cause=cause, began_at=now, short_at=now)
        by_ratio = sorted(waiting, key=lambda customer: (shares.ratio(customer), customer))
        first, last = by_ratio[0], by_ratio[-1]
        self._reporter.log(
            "share_order_began",
            place=band,
            cause=cause,
            customers=len(waiting),
            first=first,
            first_ratio=round(shares.ratio(first), 2),
            last=last,
            last_ratio=round(shares.ratio(last), 2),
        )
        return True


class ShareTurns:
    """Turns of the waiting jobs during one planning pass.

    Args:
        policy: Decides when shares order a band.
        inputs: What the pass knows of the capacity and of what is in use.
    """

    def __init__(self, *, policy: SharePolicy, inputs: ShareInputs) -> None:
        self._policy = policy
        self._inputs = inputs
        self._used: dict[str, Usage] | None = None
        self._shares: CustomerShares | None = None
        self._placed = 0

    def counting(
        self, place: Callable[[Unit, list[Worker]], None]
    ) -> Callable[[Unit, list[Worker]], None]:
        """Return a callback for placed units that counts them and passes them on."""

        def place_and_count(unit: Unit, workers: list[Worker]) -> None:
            place(unit, workers)
            self._count_placed(unit)

        return place_and_count

    def turns(self, ranked: Iterable[RankedJob], covered: set[str]) -> Iterator[Turn]:
        """Yield jobs, or single units of them, in the order in which they are scheduled.

        What the caller places between two turns counts from the next one on.

        Args:
            ranked: Jobs in the order of their ranks, those covered by a guarantee first.
            covered: Ids of the covered jobs.
        """
        for (uncovered, band), group in groupby(
            ranked, key=lambda pair: (pair[0].job_id not in covered, pair[1].band)
        ):
            jobs = list(group)
            self._shares = self._deciding_shares(band, jobs) if uncovered else None
            if self._shares is not None:
                yield from self._by_share(jobs, self._shares)
                continue
            for job, rank in jobs:
                yield Turn(job, rank, job.ready_units())

    def _deciding_shares(self, band: int, jobs: Sequence[RankedJob]) -> CustomerShares | None:
        """Return what customers hold if that decides the order of a band, else None."""
        customers = {job.customer for job, _ in jobs}
        if len(customers) < 2:
            return None
        demand = _Demand(jobs, self._inputs.quotas)
        if not demand.startable or not demand.exceeds_free(self._inputs.usable):
            return None
        if self._used is None:
            self._used = self._count_used()
        shares = CustomerShares(
            capacity=_capacity(self._inputs.usable),
            used={customer: usage.amounts for customer, usage in self._used.items()},
            weights=self._policy.weights,
            waiting=customers,
        )
        decides = self._policy.decides(
            band, shares, waiting=list(demand.startable), now=self._inputs.now
        )
        return shares if decides else None

    def _by_share(self, jobs: Sequence[RankedJob], shares: CustomerShares) -> Iterator[Turn]:
        """Yield units one by one, each time of the customer that is next."""
        waiting: dict[str, deque[_Entry]] = defaultdict(deque)
        for job, rank in jobs:
            waiting[job.customer].extend(_Entry(job, rank, unit) for unit in job.ready_units())
        turns = Turns(shares=shares, limits=TURN_LIMITS, now=self._inputs.now)
        for customer, entries in waiting.items():
            turns.set_head(customer, _head(entries))
        while (customer := turns.choose()) is not None:
            entries = waiting[customer]
            job, placed = entries[0].job, self._placed
            # The order of customers changes only if something is placed or another job is first.
            while entries and entries[0].job is job and self._placed == placed:
                entry = entries.popleft()
                yield Turn(entry.job, entry.rank, (entry.unit,))
            turns.set_head(customer, _head(entries))

    def _count_used(self) -> dict[str, Usage]:
        """Return what each customer's running work takes, with what this pass has placed."""
        used: dict[str, Usage] = defaultdict(Usage)
        inputs = self._inputs
        for unit, _ in counted_units(inputs.fleet, inputs.inherited, inputs.now):
            used[unit.job.customer].add(unit.step)
        return used

    def _count_placed(self, unit: Unit) -> None:
        self._placed += 1
        if self._used is not None:
            self._used.setdefault(unit.job.customer, Usage()).add(unit.step, len(unit.indexes))
        if self._shares is not None:
            added = Usage().with_tasks(unit.step, len(unit.indexes))
            self._shares.add(unit.job.customer, added.amounts)


class _Demand:
    """What the jobs of a band would use if all of them ran, as far as quotas allow.

    Args:
        jobs: The jobs.
        quotas: Quotas of customers, with what they have in use.
    """

    def __init__(self, jobs: Iterable[RankedJob], quotas: Quotas) -> None:
        self.startable: dict[str, None] = {}
        """Customers with a unit that their quota admits."""
        self._quotas = quotas
        self._wanted: dict[str, dict[str, Usage]] = defaultdict(lambda: defaultdict(Usage))
        """By service and customer."""
        for job, _ in jobs:
            wanted = self._wanted[job.terms.service][job.customer]
            for unit in job.ready_units():
                wanted.add(unit.step, len(unit.indexes))
                if job.customer not in self.startable and quotas.admits(unit):
                    self.startable[job.customer] = None

    def exceeds_free(self, usable: Iterable[Worker]) -> bool:
        """Return whether a resource does not suffice on the workers of a service.

        Args:
            usable: Workers that may receive work now.
        """
        free: dict[str, list[int]] = {service: [0, 0, 0] for service in self._wanted}
        for worker in usable:
            entry = worker.entry
            left = free.get(entry.service)
            if left is not None:
                left[0] += entry.cpu_millis - worker.used_cpu
                left[1] += entry.memory_mb - worker.used_memory
                left[2] += worker.free_accelerators
        for service, by_customer in self._wanted.items():
            total = [0.0, 0.0, 0.0]
            for customer, wanted in by_customer.items():
                admitted = demand_within(
                    wanted.amounts,
                    used=self._quotas.usage(customer).amounts,
                    limits=self._quotas.quota(customer).limits,
                )
                total = [t + a for t, a in zip(total, admitted, strict=True)]
            if any(t > f for t, f in zip(total, free[service], strict=True)):
                return True
        return False


def _head(entries: Sequence[_Entry]) -> Head | None:
    """Return the first of a customer's entries as the turns see it, None if there is none."""
    if not entries:
        return None
    entry = entries[0]
    return Head(entry.rank, entry.rank.latest_start, entry.unit.waiting_since)


def _capacity(workers: Iterable[Worker]) -> tuple[int, int, int]:
    """Return the thousandths of a core, MB and accelerators of workers."""
    cpu = memory = accelerators = 0
    for worker in workers:
        cpu += worker.entry.cpu_millis
        memory += worker.entry.memory_mb
        accelerators += worker.entry.accelerators
    return cpu, memory, accelerators
