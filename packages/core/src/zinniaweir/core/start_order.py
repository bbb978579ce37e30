"""Order in which waiting gangs are tried: by priority, and by shares while capacity is short."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, TypeAlias

from zinniaweir.core.gangs import Gang
from zinniaweir.core.job import PRIORITIES, Job
from zinniaweir.core.pool import Pool
from zinniaweir.core.quotas import Quotas
from zinniaweir.core.runtimes import RunTimes
from zinniaweir.core.waiting import WaitingClass, WaitingQueue
from zinniaweir.workloads.shares import CustomerShares, demand_within
from zinniaweir.workloads.turns import Head, TurnLimits, Turns

PRIORITY_AGING_SECONDS: Final = 1800.0
"""Wait after which a job is sorted with the next higher priority."""
FAIR_SHARE_SECONDS: Final = 600.0
"""The jobs of a customer that holds all accelerators are sorted as if submitted this much later."""
TURN_LIMITS: Final = TurnLimits(last_chance_seconds=2.0, spare_seconds=10.0, wait_seconds=2.0)
"""Urgent work starts within 5.5 s and may use up less than half of that for the work of others."""

Rank: TypeAlias = tuple[int, float, float, str]
"""Raised priority, deadline, time of submission with the customer's share, and job id."""


class _Entry(NamedTuple):
    """A waiting class with the rank of its first job and a tie-breaker."""

    rank: Rank
    number: int
    waiting_class: WaitingClass


class StartOrder:
    """Waiting classes in the order in which their first jobs are tried.

    Classes of one priority are taken by rank. If weights are stated and they want more than is
    free, the customer that holds least of its part is next, see `zinniaweir.workloads.turns`. Jobs
    that fit into an idle allocation of their customer's guarantees come first then.

    Args:
        waiting: All waiting jobs.
        gangs: All gangs by job id.
        pool: The capacity.
        quotas: What customers hold and may hold.
        run_times: Expected run times.
        covered: Returns whether a gang fits into an idle allocation of its customer.
        version: Version of the capacity; classes that were blocked at it are left out.
        now: Current time in seconds.
    """

    def __init__(
        self,
        *,
        waiting: WaitingQueue,
        gangs: Mapping[str, Gang],
        pool: Pool,
        quotas: Quotas,
        run_times: RunTimes,
        covered: Callable[[Gang], bool],
        version: int,
        now: float,
    ) -> None:
        self._waiting = waiting
        self._gangs = gangs
        self._pool = pool
        self._quotas = quotas
        self._run_times = run_times
        self._covered = covered
        self._now = now
        self._weights = quotas.weights
        self._total_accelerators = max(pool.topology.capacity[2], 1)
        self._heap = [_Entry(*entry) for entry in waiting.unblocked(version, self._rank)]
        heapq.heapify(self._heap)
        self._band: _Band | None = None
        self._checked_priority = -1

    def pop(self) -> tuple[int, WaitingClass] | None:
        """Remove and return the tie-breaker and the class that is next, None if none is left."""
        while self._heap or self._band is not None:
            priority = self._heap[0].rank[0] if self._heap else len(PRIORITIES)
            if self._band is not None and self._band.priority <= priority:
                entry = self._band.pop()
                if entry is not None:
                    return entry.number, entry.waiting_class
                self._band = None
            elif priority <= self._checked_priority or not self._begin_band(priority):
                entry = heapq.heappop(self._heap)
                return entry.number, entry.waiting_class
        return None

    def push_back(self, number: int, waiting_class: WaitingClass) -> None:
        """Add a class again after its first job left, unless it has no other one."""
        if not waiting_class.entries:
            return
        entry = _Entry(self._rank(waiting_class.head), number, waiting_class)
        if self._band is not None and self._band.priority == entry.rank[0]:
            self._add_to_band(self._band, entry)
        else:
            heapq.heappush(self._heap, entry)

    def count_placed(self, job: Job) -> None:
        """Count what a job holds that is placed."""
        if self._band is not None:
            self._band.shares.add(job.customer, job.shape.amounts)

    def _begin_band(self, priority: int) -> bool:
        """Take the classes of a priority out of the heap if shares decide their order."""
        self._checked_priority = priority
        shares = self._deciding_shares(priority)
        if shares is None:
            return False
        turns = Turns(shares=shares, limits=TURN_LIMITS, now=self._now)
        self._band = _Band(priority=priority, shares=shares, turns=turns, head=self._head)
        while self._heap and self._heap[0].rank[0] == priority:
            self._add_to_band(self._band, heapq.heappop(self._heap))
        return True

    def _add_to_band(self, band: _Band, entry: _Entry) -> None:
        gang = self._gangs[entry.waiting_class.head]
        band.add(entry, customer=gang.job.customer, covered=self._covered(gang))

    def _deciding_shares(self, priority: int) -> CustomerShares | None:
        """Return what customers hold if that decides the order of a priority, else None."""
        if not self._weights:
            return None
        wanted = self._wanted(priority)
        if len(wanted) < 2:
            return None
        used = self._quotas.used
        total = [0.0, 0.0, 0.0]
        for customer, amounts in wanted.items():
            admitted = demand_within(
                amounts,
                used=used.get(customer, (0, 0, 0)),
                limits=self._quotas.limits(customer),
            )
            total = [t + a for t, a in zip(total, admitted, strict=True)]
        free = self._pool.unheld.total_free
        if all(t <= f for t, f in zip(total, free, strict=True)):
            return None
        return CustomerShares(
            capacity=self._pool.topology.capacity,
            used=used,
            weights=self._weights,
            waiting=wanted,
        )

    def _wanted(self, priority: int) -> dict[str, list[int]]:
        """Return what the jobs of a priority want that their quotas admit now, by customer."""
        wanted: dict[str, list[int]] = {}
        for waiting_class in self._waiting.classes():
            job = self._gangs[waiting_class.head].job
            if self._rank(waiting_class.head)[0] != priority or not self._quotas.allows(job):
                continue
            amounts = wanted.setdefault(job.customer, [0, 0, 0])
            for index, amount in enumerate(job.shape.amounts):
                amounts[index] += amount * len(waiting_class.entries)
        return wanted

    def _head(self, entry: _Entry) -> Head:
        gang = self._gangs[entry.waiting_class.head]
        deadline = math.inf if gang.job.deadline is None else gang.job.deadline
        latest_start = deadline - self._run_times.expected(gang.job)
        return Head((entry.rank, entry.number), latest_start, gang.ready_at)

    def _rank(self, job_id: str) -> Rank:
        """Return the sort key of a waiting job: priority, deadline, age and customer share.

        A long wait raises the priority in this order, so that no job starves; it gives no right
        to preempt.
        """
        job = self._gangs[job_id].job
        raised_levels = int((self._now - job.submitted_at) / PRIORITY_AGING_SECONDS)
        priority = max(PRIORITIES.index(job.priority) - raised_levels, 0)
        deadline = math.inf if job.deadline is None else job.deadline
        share = self._quotas.accelerators(job.customer) / self._total_accelerators
        return (priority, deadline, job.submitted_at + FAIR_SHARE_SECONDS * share, job_id)


class _Band:
    """Classes of one priority whose order shares decide.

    Args:
        priority: The priority.
        shares: What customers hold.
        turns: Chooses the customer that is next.
        head: Returns what the turns need to know of an entry.
    """

    def __init__(
        self,
        *,
        priority: int,
        shares: CustomerShares,
        turns: Turns,
        head: Callable[[_Entry], Head],
    ) -> None:
        self.priority = priority
        self.shares = shares
        self._turns = turns
        self._head = head
        self._covered: list[_Entry] = []
        self._by_customer: dict[str, list[_Entry]] = {}

    def add(self, entry: _Entry, *, customer: str, covered: bool) -> None:
        """Add a class; covered ones come first."""
        if covered:
            heapq.heappush(self._covered, entry)
            return
        heap = self._by_customer.setdefault(customer, [])
        heapq.heappush(heap, entry)
        self._turns.set_head(customer, self._head(heap[0]))

    def pop(self) -> _Entry | None:
        """Remove and return the class that is next, None if none is left."""
        if self._covered:
            return heapq.heappop(self._covered)
        customer = self._turns.choose()
        if customer is None:
            return None
        heap = self._by_customer[customer]
        entry = heapq.heappop(heap)
        self._turns.set_head(customer, self._head(heap[0]) if heap else None)
        return entry
