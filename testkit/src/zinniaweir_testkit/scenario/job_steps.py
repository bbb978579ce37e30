"""Steps that submit jobs and check the histories of the workers."""

from __future__ import annotations

import time
from concurrent.futures import wait
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.wire.records import JobSubmitted
from zinniaweir_testkit.scenario.context import JobGroup
from zinniaweir_testkit.scenario.gang_checks import (
    done_members,
    forbidden_starts,
    partial_spans,
    running_members,
)

if TYPE_CHECKING:
    from zinniaweir_testkit.scenario.context import ScenarioContext
    from zinniaweir_testkit.scenario.standin_observer import TaskEvent

SUBMIT_TIMEOUT_SECONDS: Final = 10.0
PAYLOAD_FIELDS: Final = frozenset({"seconds", "checkpoint_seconds", "fail"})


class JobSteps:
    """Steps on jobs: submissions, and checks against the histories of the workers and the log."""

    def __init__(self, *, context: ScenarioContext) -> None:
        self._context = context

    def submit(
        self, count: int | None, name: str, vms: tuple[str, ...] | None, fields: dict[str, Any]
    ) -> None:
        """Submit jobs, through each of the VMs if any are named, and wait for the answers.

        Answers that take longer than `SUBMIT_TIMEOUT_SECONDS` are left outstanding.
        """
        calls = [
            self._context.callers.post(name, "/v1/jobs", body, vm)
            for number in range(count or 1)
            for vm in ([self._context.resolve_vm(vm) for vm in vms] if vms else [None])
            for body in [self._body(name, number, fields)]
        ]
        self._context.groups[name] = JobGroup(count=count or 1, members=fields.get("members", 1))
        wait(calls, SUBMIT_TIMEOUT_SECONDS)

    def load_jobs(self, rate: int, name: str, fields: dict[str, Any]) -> None:
        """Submit jobs at a constant rate, in jobs per second."""
        self._context.groups[name] = JobGroup(count=0, members=fields.get("members", 1))
        self._context.callers.load(
            rate, lambda number: (name, "/v1/jobs", self._body(name, number, fields))
        )

    def cancel(self, name: str) -> None:
        """Cancel all jobs with a label."""
        body = {"job_ids": self._context.observer.job_ids(name)}
        self._context.cluster.call(
            "POST", "/v1/cancel", vm=self._context.callers.healthy_vm(), body=body
        )

    def expect_accepted(self, name: str, seconds: float) -> None:
        """Check that every job is on the log within some seconds."""
        count = self._context.groups[name].count
        self._context.wait(
            lambda: len(self._context.observer.job_ids(name)) >= count,
            timeout=seconds,
            what=f"{count} jobs of {name} are on the log",
        )

    def expect_submission(self, name: str, reason: str) -> None:
        """Check that every submission was refused with a reason, and that no member started."""
        calls = self._context.callers.named(name)
        found = {call.answer.get("reason", call.error) for call in calls}
        self._context.require(found == {reason}, f"{name}: answers name {found}, not {reason}")
        self.expect_never_started(name)

    def expect_running(self, name: str, seconds: float) -> None:
        """Check that within some seconds all members of all jobs run at the same time."""
        group = self._context.groups[name]
        self._context.wait(
            lambda: (
                sum(len(members) == group.members for members in self._running(name).values())
                >= group.count
            ),
            timeout=seconds,
            what=f"{name} runs whole",
        )

    def expect_members(self, count: int, name: str, seconds: float) -> None:
        """Check that within some seconds exactly the given number of members run."""
        self._context.wait(
            lambda: sum(len(members) for members in self._running(name).values()) == count,
            timeout=seconds,
            what=f"{count} members of {name} run",
        )

    def expect_done(self, name: str, seconds: float) -> None:
        """Check that within some seconds all jobs have completed.

        All members of a job have to complete in the same attempt. The jobs of a load are those
        that are on the log.
        """
        group = self._context.groups[name]
        count = group.count or self._accepted_count(name)

        def are_done() -> bool:
            events = self._context.observer.task_events()
            ids = self._context.observer.job_ids(name)
            done = sum(done_members(events, job_id) == group.members for job_id in ids)
            return done >= count

        self._context.wait(are_done, timeout=seconds, what=f"{count} jobs of {name} are done")

    def expect_stopped(self, name: str, seconds: float) -> None:
        """Check that within some seconds no member of any job runs."""
        self._context.wait(
            lambda: not any(self._running(name).values()),
            timeout=seconds,
            what=f"no member of {name} runs",
        )

    def expect_never_started(self, name: str) -> None:
        """Check that no member of any job ever started."""
        ids = self._context.observer.job_ids(name)
        starts = [event for event in self._events_of(ids) if event.what == "start"]
        self._context.require(not starts, f"{name} started: {starts[:3]}")

    def expect_not_running(self, name: str, seconds: float) -> None:
        """Check for some seconds that no member of any job runs."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            running = self._running(name)
            self._context.require(not any(running.values()), f"{name} runs: {running}")
            time.sleep(0.1)

    def expect_whole(self, name: str, seconds: float) -> None:
        """Check that no part of a gang ran without the rest for longer than some seconds."""
        names = list(self._context.groups) if name == "everything" else [name]
        sizes = {
            job_id: self._context.groups[group].members
            for group in names
            for job_id in self._context.observer.job_ids(group)
        }
        events = self._context.observer.task_events()
        spans = partial_spans(events, sizes, now=self._context.now())
        longest = max(spans, key=lambda span: span.seconds, default=None)
        if longest is None:
            return
        print(f"  longest time that a part of a gang ran: {longest.seconds:.2f} s")
        problem = f"a part of {longest.attempt} ran alone for {longest.seconds:.2f} s"
        self._context.require(longest.seconds <= seconds, problem)

    def expect_no_start(self, domain: str, seconds: float) -> None:
        """Check that no task started in a failure domain more than some seconds after its drain."""
        workers = {node.name: node.failure_domain for node in self._context.cluster.layout.workers}
        _, changes = self._context.observer.settings_changes()
        events = self._context.observer.task_events()
        late = forbidden_starts(events, changes, domain=domain, workers=workers, bound=seconds)
        starts = sum(event.what == "start" for event in events)
        print(f"  {starts} starts in all, {len(late)} too late in {domain}")
        latest = max((after for _, after in late), default=0.0)
        problem = f"{len(late)} starts in {domain}, the latest {latest:.2f} s after it went out"
        self._context.require(not late, problem)

    def expect_true_refusals(self, name: str) -> None:
        """Check that no job whose submission was answered with `not_run` is on the log."""
        self._context.callers.wait()
        refused = {
            call.body["key"]
            for call in self._context.callers.named(name)
            if call.answer.get("state") == "not_run"
        }
        logged = [r.record.body for r in self._context.observer.log_records()]
        untrue = [b.key for b in logged if isinstance(b, JobSubmitted) and b.key in refused]
        print(f"  {len(refused)} jobs refused")
        self._context.require(not untrue, f"{untrue[:5]} were answered not_run and are on the log")

    def expect_held(self, method: str, seconds: float) -> None:
        """Check that within some seconds a worker or upstream has held a call of a method."""
        self._context.wait(
            lambda: self._context.observer.held_calls(method),
            timeout=seconds,
            what=f"a call of {method} is held",
        )

    def expect_owner_change(self, seconds: float) -> None:
        """Check that within some seconds the region is claimed again after the last fault."""
        since = self._context.owner_baseline_at
        self._context.wait(
            lambda: any(at > since for at, _ in self._context.observer.claims()),
            timeout=seconds,
            what="the region is claimed again",
        )

    def expect_exit(self, vm: str, seconds: float) -> None:
        """Check that each process of a VM exits with code 0 within some seconds."""
        codes = [
            process.wait(seconds)
            for process in self._context.processes(self._context.resolve_vm(vm), None)
        ]
        self._context.require(codes == [0, 0], f"exit codes of {vm}: {codes}")

    def _accepted_count(self, name: str) -> int:
        return len(self._context.observer.job_ids(name))

    def _running(self, name: str) -> dict[str, dict[int, TaskEvent]]:
        events = self._context.observer.task_events()
        return {
            job_id: running_members(events, job_id)
            for job_id in self._context.observer.job_ids(name)
        }

    def _events_of(self, job_ids: list[str]) -> list[TaskEvent]:
        return [event for event in self._context.observer.task_events() if event.job_id in job_ids]

    def _body(self, name: str, number: int, fields: dict[str, Any]) -> dict[str, Any]:
        payload = {key: value for key, value in fields.items() if key in PAYLOAD_FIELDS}
        body = {key: value for key, value in fields.items() if key not in PAYLOAD_FIELDS}
        body.setdefault("declared_seconds", payload.get("seconds", 1))
        body.setdefault("key", f"{name}-{number}")
        return {**body, "label": name, "payload": payload}
