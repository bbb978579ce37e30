"""Steps that send requests and check which of them the upstreams ran."""

from __future__ import annotations

import operator
from collections import Counter
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from zinniaweir_testkit.scenario.callers import Call
    from zinniaweir_testkit.scenario.context import ScenarioContext
    from zinniaweir_testkit.scenario.standin_observer import UpstreamRun

PATH: Final = "/v1/requests"
_COMPARISONS: Final = {"at most": operator.le, "exactly": operator.eq, "at least": operator.ge}


class RequestSteps:
    """Steps on requests: calls, and checks of their answers against the runs at the upstreams."""

    def __init__(self, *, context: ScenarioContext) -> None:
        self._context = context

    def request(
        self, name: str, vms: tuple[str, ...] | None, copies: int | None, fields: dict[str, Any]
    ) -> None:
        """Send copies of a request through each VM at once, without waiting for the answers."""
        for _ in range(copies or 1):
            for vm in vms or (None,):
                vm_name = self._context.resolve_vm(vm) if vm else None
                self._context.callers.post(name, PATH, _body(name, None, fields), vm_name)

    def retry(
        self, name: str, vms: tuple[str, ...], seconds: float, fields: dict[str, Any]
    ) -> None:
        """Repeat a request in the background, through VMs in turn, until done or out of time."""
        vm_names = [self._context.resolve_vm(vm) for vm in vms]
        body = _body(name, None, fields)
        self._context.callers.retry(name, PATH, body, vms=vm_names, seconds=seconds)

    def load(self, rate: int, name: str, fields: dict[str, Any]) -> None:
        """Send requests at a constant rate per second, each with its own body and key."""
        self._context.callers.load(rate, lambda number: (name, PATH, _body(name, number, fields)))

    def stop_load(self) -> None:
        """Stop all loads and wait for the outstanding answers."""
        self._context.callers.stop_load()

    def expect_answered(self, name: str, states: tuple[str, ...] | None, seconds: float) -> None:
        """Check that within some seconds every call with a name has an answer in one of the states.

        Without states, any answer but a connection error is allowed.
        """
        self._context.wait(
            lambda: all(call.ended_at for call in self._context.callers.named(name)),
            timeout=seconds,
            what=f"all calls of {name} are answered",
        )
        found = Counter(call.state for call in self._context.callers.named(name))
        allowed = set(states) if states else {"done", "failed", "not_run", "unknown"}
        self._context.require(
            bool(found) and set(found) <= allowed, f"{name}: answers {dict(found)}"
        )

    def expect_runs(self, name: str, bound: str, count: int) -> None:
        """Check how many times the upstreams began to run a request, or each request of a load."""
        bodies = {call.body["body"] for call in self._context.callers.named(name)}
        runs = Counter(run.body for run in self._context.observer.runs())
        wrong = {body: runs[body] for body in bodies if not _COMPARISONS[bound](runs[body], count)}
        self._context.require(not wrong, f"{name} ran {wrong}, expected {bound} {count}")

    def expect_fallen(self, count: int, name: str) -> None:
        """Check that at least the given number of calls of a load were answered with `done`."""
        done = sum(call.state == "done" for call in self._context.callers.named(name))
        self._context.require(done >= count, f"only {done} answers of {name} are done")

    def expect_true_answers(self) -> None:
        """Check that no answer contradicts the histories of the upstreams.

        An answer `done` has to hold the body of its own request, from an upstream that ran it. A
        request whose answers are all `not_run` must have no run.
        """
        self._context.callers.wait()
        calls = [call for call in self._context.callers.calls if call.path == PATH]
        runs = self._context.observer.runs()
        problems = [*_mismatched_answers(calls, runs), *_false_refusals(calls, runs)]
        print(f"  {len(calls)} answers compared, {len(problems)} untrue")
        self._context.require(not problems, "; ".join(problems[:5]))

    def expect_nothing_cut(self) -> None:
        """Check that every call has a complete answer that is neither `unknown` nor `failed`."""
        self._context.callers.wait()
        calls = self._context.callers.calls
        states = Counter(call.state for call in calls)
        print(f"  {dict(states)}")
        cut = [c for c in calls if c.state in ("connection_error", "unknown", "failed")]
        shown = [
            (c.name, c.vm, round(c.started_at - self._context.stopped_at, 2), c.error or c.answer)
            for c in cut[:6]
        ]
        self._context.require(bool(calls) and not cut, f"{len(cut)} of {len(calls)} cut: {shown}")

    def expect_no_request(self, name: str, seconds: float) -> None:
        """Check that an upstream began no run more than some seconds after it began to leave."""
        leaving_since = self._context.leaving_since[name]
        late = [
            run.at - leaving_since
            for run in self._context.observer.runs()
            if run.upstream == name and run.at - leaving_since > seconds
        ]
        problem = f"{name} got {len(late)} requests, the last after {max(late, default=0):.2f} s"
        self._context.require(not late, problem)


def _body(name: str, number: int | None, fields: dict[str, Any]) -> dict[str, Any]:
    token = name if number is None else f"{name}-{number}"
    body = {"idempotent": True, **fields, "body": token}
    if not body["idempotent"]:
        body.setdefault("key", token)
    return body


def _mismatched_answers(calls: Iterable[Call], runs: Iterable[UpstreamRun]) -> list[str]:
    expected_bodies = {f"{run.upstream}:{run.body}" for run in runs}
    return [
        f"{call.body['body']} was answered {call.answer['body']!r}"
        for call in calls
        if call.state == "done"
        and not (
            call.answer["body"] in expected_bodies
            and call.answer["body"].endswith(f":{call.body['body']}")
        )
    ]


def _false_refusals(calls: Iterable[Call], runs: Iterable[UpstreamRun]) -> list[str]:
    ran = Counter(run.body for run in runs)
    states: dict[str, set[str]] = {}
    for call in calls:
        states.setdefault(call.body["body"], set()).add(call.state)
    return [
        f"{body} was answered not_run and ran {ran[body]} times"
        for body, found in states.items()
        if found == {"not_run"} and ran[body]
    ]
