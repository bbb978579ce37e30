"""Reads the histories that the stand-ins record, and sets the faults of the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.membership.ownership import OwnershipFold
from zinniaweir.scheduler.core_inputs import guarantee_problems
from zinniaweir.settings.fold import SettingsFold
from zinniaweir.wire.records import (
    JobSubmitted,
    OwnershipClaimed,
    OwnershipReleased,
    Record,
    RecordError,
    SettingsPut,
    decode_record,
)
from zinniaweir.wire.service import ServiceClient
from zinniaweir_standins.faults import CONTROL_SERVICE, FactsRequest, FaultRequest
from zinniaweir_testkit.layout import HOST

if TYPE_CHECKING:
    from zinniaweir_testkit.layout import Node
    from zinniaweir_testkit.scenario.cluster import RelayedCluster

CONTROL_TIMEOUT_SECONDS: Final = 8.0
"""Timeout of calls to stand-ins, which may take seconds to answer on a busy machine."""


@dataclass(frozen=True, kw_only=True)
class TaskEvent:
    """Start or end of a task on a worker."""

    worker: str
    at: float
    """Wall-clock time in seconds."""
    what: str
    """`start`, `killed`, or the kind of the event that the worker reported."""
    job_id: str
    attempt: int
    member: int


@dataclass(frozen=True, kw_only=True)
class UpstreamRun:
    """Run of a request that an upstream began."""

    upstream: str
    at: float
    """Wall-clock time in seconds."""
    customer: str
    key: str
    body: str


@dataclass(frozen=True, kw_only=True)
class LoggedRecord:
    """Record on the log, with the wall-clock time at which the log appended it."""

    offset: int
    at: float
    record: Record


class StandinObserver:
    """Observe and fault the stand-ins through direct connections that bypass the relays."""

    def __init__(self, *, cluster: RelayedCluster) -> None:
        self._cluster = cluster
        self._clients: dict[int, ServiceClient] = {}
        self._faults: dict[int, dict[str, Any]] = {}
        self._last_facts: dict[int, dict[str, Any]] = {}
        self._histories: dict[int, list[Any]] = {}
        self._decoded_count = 0
        self._records: list[LoggedRecord] = []
        self.paused_domains: set[str] = set()
        """Failure domains whose workers are paused; their last facts are used instead of a call."""

    def change_faults(self, name: str, **fields: Any) -> None:
        """Change some faults of a stand-in; `settings` are merged, and None removes a setting."""
        port = self._cluster.port_of(name)
        faults = self._faults.setdefault(port, {"settings": {}})
        settings = {**faults["settings"], **fields.pop("settings", {})}
        faults["settings"] = {k: v for k, v in settings.items() if v is not None}
        faults.update(fields)
        self._cluster.loop.run(self._call(port, "SetFaults", FaultRequest(**faults)))
        # The next change sends all faults again; one-time faults must not be repeated.
        faults.pop("lose_answers", None)
        for once in ("lose", "killed", "changes"):
            faults["settings"].pop(once, None)

    def close(self) -> None:
        """Close the connections to the stand-ins."""
        self._cluster.loop.call(lambda: [client.close() for client in self._clients.values()])

    def task_events(self) -> list[TaskEvent]:
        """Return the starts and ends of all tasks in chronological order."""
        nodes = self._cluster.layout.workers
        events = [
            TaskEvent(worker=node.name, **entry)
            for node, facts in zip(nodes, self._facts(nodes), strict=True)
            for entry in facts["history"]
        ]
        return sorted(events, key=lambda event: event.at)

    def held_calls(self, method: str) -> int:
        """Return how many calls of a method workers and upstreams have held so far."""
        layout = self._cluster.layout
        found = self._facts((*layout.workers, *layout.upstreams))
        return sum(call["method"] == method for facts in found for call in facts["held"])

    def runs(self) -> list[UpstreamRun]:
        """Return the runs that the upstreams began, in chronological order."""
        nodes = self._cluster.layout.upstreams
        runs = [
            UpstreamRun(
                upstream=node.name,
                at=entry["at"],
                customer=entry["customer"],
                key=entry["key"],
                body=entry["body"],
            )
            for node, facts in zip(nodes, self._facts(nodes), strict=True)
            for entry in facts["history"]
        ]
        return sorted(runs, key=lambda run: run.at)

    def log_records(self) -> list[LoggedRecord]:
        """Return all valid records that were ever appended to the log."""
        facts = self._cluster.loop.run(self._read(self._cluster.layout.log_port))
        for offset, at, data in facts["history"][self._decoded_count :]:
            self._decoded_count += 1
            try:
                record = decode_record(data)
            except RecordError:
                continue
            self._records.append(LoggedRecord(offset=offset, at=at, record=record))
        return self._records

    def job_ids(self, label: str) -> list[str]:
        """Return the ids of the jobs on the log with a label; a repeated key counts once."""
        bodies = [logged.record.body for logged in self.log_records()]
        jobs = [b for b in bodies if isinstance(b, JobSubmitted) and b.spec.label == label]
        first = {body.key: body.job_id for body in reversed(jobs)}
        return list(first.values())

    def claims(self) -> list[tuple[float, str]]:
        """Return the time and the VM of each valid claim of a region."""
        fold = OwnershipFold()
        found = []
        for logged in self.log_records():
            body = logged.record.body
            if not isinstance(body, OwnershipClaimed | OwnershipReleased):
                continue
            valid = fold.apply(logged.offset, logged.record.vm, body)
            if valid and isinstance(body, OwnershipClaimed) and body.shard.startswith("region/"):
                found.append((logged.at, logged.record.vm))
        return found

    def settings(self) -> SettingsFold:
        """Return the fold of all settings records on the log."""
        return self.settings_changes()[0]

    def settings_changes(self) -> tuple[SettingsFold, list[tuple[float, SettingsPut]]]:
        """Return the fold of all settings records, and the accepted changes with their times."""
        fold = SettingsFold(check_guarantees=guarantee_problems)
        accepted = []
        for logged in self.log_records():
            body = logged.record.body
            if isinstance(body, SettingsPut):
                change = fold.apply(logged.offset, logged.record.id, logged.at, body)
                if change.accepted:
                    accepted.append((logged.at, body))
        return fold, accepted

    def _facts(self, nodes: tuple[Node, ...]) -> list[dict[str, Any]]:
        async def gather() -> list[dict[str, Any]]:
            return await asyncio.gather(*(self._read_node(node) for node in nodes))

        return self._cluster.loop.run(gather())

    async def _read_node(self, node: Node) -> dict[str, Any]:
        if node.rack and node.failure_domain in self.paused_domains:
            return self._last_facts[node.port]
        return await self._read(node.port)

    async def _read(self, port: int) -> dict[str, Any]:
        history = self._histories.setdefault(port, [])
        request = FactsRequest(history_from=len(history))
        facts = (await self._call(port, "GetFacts", request)).facts
        # A concurrent call may already have appended the same entries.
        if len(history) == request.history_from:
            history += facts["history"]
        self._last_facts[port] = {**facts, "history": history}
        return self._last_facts[port]

    async def _call(self, port: int, name: str, request: Any) -> Any:
        client = self._clients.get(port)
        if client is None:
            client = ServiceClient(service=CONTROL_SERVICE, host=HOST, port=port)
            self._clients[port] = client
        return await client.call(name, request, timeout=CONTROL_TIMEOUT_SECONDS)
