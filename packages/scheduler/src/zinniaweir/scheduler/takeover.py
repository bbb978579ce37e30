"""Inventory of the workers that a new region owner takes over."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from zinniaweir.scheduler.worker_link import StaleEpochError, WorkerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from zinniaweir.scheduler.jobs import JobEntry
    from zinniaweir.scheduler.worker_link import WorkerLink
    from zinniaweir.wire.worker_service import TaskStatus, WorkerEvent

MAX_POLL_ATTEMPTS: Final = 2
"""Two polls of 1 s leave time to start an urgent job within 5.5 s after the previous owner died."""


@dataclass(kw_only=True)
class ReportedGang:
    """Tasks and events of one attempt that the workers reported."""

    tasks: dict[int, tuple[str, TaskStatus]] = field(default_factory=dict)
    """Task or reservation of each member, with the name of its worker."""
    last_events: dict[int, tuple[str, WorkerEvent]] = field(default_factory=dict)
    """Last event of each member that has one, with the name of its worker."""

    @property
    def workers(self) -> tuple[str, ...]:
        """Names of the workers that hold tasks or reservations, without duplicates."""
        return tuple(dict.fromkeys(worker for worker, _ in self.tasks.values()))

    def is_complete(self, job: JobEntry) -> bool:
        """Return whether every member of the job runs or is done."""
        done = {m for m, (_, event) in self.last_events.items() if event.kind == "done"}
        runs = {m for m, (_, task) in self.tasks.items() if task.state == "running"}
        return bool(runs | done) and runs | done >= set(range(job.spec.members))


@dataclass(frozen=True, kw_only=True)
class WorkerInventory:
    """Tasks and events on all workers of a region."""

    gangs: Mapping[tuple[str, int], ReportedGang]
    """Reported gangs by job id and attempt."""
    unreachable: tuple[str, ...]
    """Names of the workers that did not answer."""


async def collect_inventory(links: Iterable[WorkerLink]) -> WorkerInventory:
    """Poll all workers for their tasks and recent events, and raise their epoch.

    Raises:
        StaleEpochError: If a worker has seen a later owner.
    """
    gangs: dict[tuple[str, int], ReportedGang] = defaultdict(ReportedGang)
    unreachable: list[str] = []
    links = list(links)
    replies = await asyncio.gather(*(_poll(link) for link in links))
    for link, reply in zip(links, replies, strict=True):
        if reply is None:
            unreachable.append(link.worker)
            continue
        events, tasks = reply
        for event in events:
            gangs[event.job_id, event.attempt].last_events[event.member] = (link.worker, event)
        for task in tasks:
            gangs[task.job_id, task.attempt].tasks[task.member] = (link.worker, task)
    return WorkerInventory(gangs=dict(gangs), unreachable=tuple(unreachable))


async def _poll(link: WorkerLink) -> tuple[list[WorkerEvent], list[TaskStatus]] | None:
    for _ in range(MAX_POLL_ATTEMPTS):
        try:
            # List tasks before events: a task that ends in between is then among the events.
            tasks = (await link.list()).tasks
            return await link.retained_events(), tasks
        except WorkerUnreachableError:
            continue
        except StaleEpochError:
            raise
    return None
