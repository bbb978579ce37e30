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
from zinniaweir.workloads.queues import Customer, ResourceLimit
from zinniaweir.workloads.shares import CustomerShares

LAST_CHANCE_SECONDS: Final = 0.5
"""Work that must start within this time may go before work that loses nothing by it."""
YIELD_SPARE_SECONDS: Final = 1.0
"""Work that may start this much later and still be in time loses nothing by a short wait."""
MAX_YIELD_SECONDS: Final = 0.5
"""Time after which waiting work does not let others go first, so that a stream cannot starve it."""
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
            if uncovered and self._shares_decide(band, jobs):
                yield from self._by_share(jobs)
            else:
                for job, rank in jobs:
                    yield Turn(job, rank, job.ready_units())
            self._shares = None

    def _shares_decide(self, band: int, jobs: Sequence[RankedJob]) -> bool:
        customers = {job.customer for job, _ in jobs}
        if len(customers) < 2:
            return False
        demand = _Demand(jobs, self._inputs.quotas)
        if not demand.startable or not demand.exceeds_free(self._inputs.usable):
            return False
        if self._used is None:
            self._used = self._count_used()
        self._shares = CustomerShares(
            capacity=_capacity(self._inputs.usable),
            used={customer: usage.amounts for customer, usage in self._used.items()},
            weights=self._policy.weights,
            waiting=customers,
        )
        return self._policy.decides(
            band, self._shares, waiting=list(demand.startable), now=self._inputs.now
        )

    def _by_share(self, jobs: Sequence[RankedJob]) -> Iterator[Turn]:
        """Yield units one by one, each time of the customer that holds least of its part."""
        waiting: dict[str, deque[_Entry]] = defaultdict(deque)
        for job, rank in jobs:
            waiting[job.customer].extend(_Entry(job, rank, unit) for unit in job.ready_units())
        waiting = {customer: entries for customer, entries in waiting.items() if entries}
        while waiting:
            customer = self._choose_customer(waiting)
            entries = waiting[customer]
            job, placed = entries[0].job, self._placed
            # The order of customers changes only if something is placed or another job is first.
            while entries and entries[0].job is job and self._placed == placed:
                entry = entries.popleft()
                yield Turn(entry.job, entry.rank, (entry.unit,))
            if not entries:
                del waiting[customer]

    def _choose_customer(self, waiting: Mapping[str, deque[_Entry]]) -> str:
        """Return the customer whose first unit is next.

        It is the one that holds least of its part, unless its unit loses nothing by letting work
        go first that would otherwise be late.
        """

        def key(customer: str) -> tuple[int, Rank, str]:
            assert self._shares is not None
            return self._shares.level(customer), waiting[customer][0].rank, customer

        first = min(waiting, key=key)
        if not self._may_yield(waiting[first][0]):
            return first
        pressing = [c for c, entries in waiting.items() if self._has_last_chance(entries[0])]
        return min(pressing, key=key, default=first)

    def _may_yield(self, entry: _Entry) -> bool:
        now = self._inputs.now
        return (
            entry.rank.latest_start - now > YIELD_SPARE_SECONDS
            and now - entry.unit.waiting_since < MAX_YIELD_SECONDS
        )

    def _has_last_chance(self, entry: _Entry) -> bool:
        return 0 <= entry.rank.latest_start - self._inputs.now < LAST_CHANCE_SECONDS

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
            total = [0, 0, 0]
            for customer, wanted in by_customer.items():
                limit, used = self._quotas.quota(customer), self._quotas.usage(customer)
                for n, amount in enumerate(_admitted(wanted, limit, used)):
                    total[n] += amount
            if any(t > f for t, f in zip(total, free[service], strict=True)):
                return True
        return False


def _admitted(wanted: Usage, limit: ResourceLimit, used: Usage) -> Iterator[int]:
    """Yield the amount of each resource that is wanted and within a limit."""
    most = (limit.cpu_millis, limit.memory_mb, limit.accelerators)
    for amount, maximum, in_use in zip(wanted.amounts, most, used.amounts, strict=True):
        yield min(amount, max(maximum - in_use, 0)) if maximum else amount


def _capacity(workers: Iterable[Worker]) -> tuple[int, int, int]:
    """Return the thousandths of a core, MB and accelerators of workers."""
    cpu = memory = accelerators = 0
    for worker in workers:
        cpu += worker.entry.cpu_millis
        memory += worker.entry.memory_mb
        accelerators += worker.entry.accelerators
    return cpu, memory, accelerators
