from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from zinniaweir.journal.journal import PublishError
from zinniaweir.scheduler.gangs import Gang, GangRunner, StartOutcome
from zinniaweir.scheduler.leases import LeaseSettings
from zinniaweir.scheduler.worker_link import (
    COMMAND_TIMEOUT_SECONDS,
    StaleEpochError,
    WorkerUnreachableError,
)
from zinniaweir.wire.records import JobSpec, Member
from zinniaweir_standins.worker import WorkerStandin

GANG = Gang(
    job_id="j",
    attempt=1,
    spec=JobSpec(customer="parish", name="sweep", members=2),
    members=tuple(Member(member=n, worker=f"w{n}", accelerators=(0,)) for n in range(2)),
)
TIMEOUT = WorkerUnreachableError(worker="w1", reason="timeout", is_unsent=False)


class FakeLink:
    """Link to a worker that answers each command from a table.

    An answer is a refusal (empty to accept), an exception, a coroutine function, or a list of
    these for consecutive calls.
    """

    def __init__(self, **answers: Any) -> None:
        self.answers = answers
        self.commands: list[str] = []
        self.requests: list[Any] = []
        self.renewed: set[tuple[str, int]] = set()

    async def command(self, name: str, request: Any) -> str:
        self.commands.append(name)
        self.requests.append(request)
        answer = self.answers.get(name, "")
        answer = answer.pop(0) if isinstance(answer, list) and answer else answer
        if callable(answer):
            answer = await answer()
        if isinstance(answer, Exception):
            raise answer
        return answer or ""

    def start_renewing(self, job_id: str, attempt: int) -> None:
        self.renewed.add((job_id, attempt))

    def stop_renewing(self, job_id: str, attempt: int) -> None:
        self.renewed.discard((job_id, attempt))


class FakeJournal:
    def __init__(self, *errors: PublishError) -> None:
        self.errors = list(errors)
        self.published: list[str] = []

    async def publish(self, body: Any, *, timeout: float) -> None:
        if self.errors:
            raise self.errors.pop(0)
        self.published.append(type(body).__name__)

    async def publish_many(self, bodies: list[Any], timeout: float) -> None:
        for body in bodies:
            await self.publish(body, timeout=timeout)


def publish_error(*, may_appear: bool) -> PublishError:
    return PublishError(reason="log_unavailable", may_appear=may_appear, record_id="r")


def make(
    links: dict[str, FakeLink],
    journal: FakeJournal | None = None,
    start_refusal: Callable[[Gang], str] = lambda gang: "",
) -> GangRunner:
    return GangRunner(
        region="luzon",
        epoch=7,
        journal=journal or FakeJournal(),
        links=links,
        leases=LeaseSettings(),
        start_refusal=start_refusal,
    )


def start(links: dict[str, FakeLink], *arguments: Any) -> StartOutcome:
    return asyncio.run(make(links, *arguments).start(GANG))


def test_whole_gang_starts_after_its_placement() -> None:
    """Guards against starts that the log does not record.

    A start command that precedes the placement's publication would cause them.
    """
    links = {"w0": FakeLink(), "w1": FakeLink()}
    journal = FakeJournal()
    assert start(links, journal).started
    assert journal.published == ["JobPlaced"]
    assert all(link.commands == ["Reserve", "Start"] for link in links.values())
    assert all(link.renewed == {("j", 1)} for link in links.values())


@pytest.mark.parametrize(
    ("answers", "reason", "may_have_run"),
    [
        ({"Reserve": "busy"}, "busy", False),
        ({"Reserve": TIMEOUT}, "unreachable", False),
        ({"Reserve": StaleEpochError()}, "stale_epoch", False),
        ({"Start": "start_failed"}, "start_failed", True),
        ({"Start": TIMEOUT}, "unreachable", True),
        ({"Start": StaleEpochError()}, "stale_epoch", True),
    ],
)
def test_no_member_runs_unless_all_start(
    answers: dict[str, Any], reason: str, may_have_run: bool
) -> None:
    """Guards against a partial gang that goes on after a member failed to start.

    Also guards against the outcome "not run" after a start command that got no answer.
    """
    links = {"w0": FakeLink(), "w1": FakeLink(**answers)}
    outcome = start(links)
    assert (outcome.started, outcome.worker, outcome.reason) == (False, "w1", reason)
    assert outcome.may_have_run is may_have_run
    for link in links.values():
        assert link.commands[-1] == "Stop"
        assert not link.renewed
        assert ("Start" in link.commands) is may_have_run


@pytest.mark.parametrize("may_appear", [False, True])
def test_unconfirmed_placement_starts_nothing(may_appear: bool) -> None:
    """Guards against starts whose placement may be missing on the log.

    Its publication got no answer.
    """
    links = {"w0": FakeLink(), "w1": FakeLink()}
    outcome = start(links, FakeJournal(publish_error(may_appear=may_appear)))
    assert (outcome.reason, outcome.may_have_run) == ("log_unavailable", False)
    assert all(link.commands == ["Reserve", "Stop"] for link in links.values())


@pytest.mark.parametrize("reason", ["not_fresh", "failure_domain_out", "cancelled", "stale_epoch"])
def test_change_after_reservation_prevents_the_start(reason: str) -> None:
    """Guards against a start after a drain, a cancellation or a change of owner.

    The change comes between the first check and the start command.
    """
    answers = iter(["", reason])
    links = {"w0": FakeLink(), "w1": FakeLink()}
    outcome = start(links, None, lambda gang: next(answers))
    assert (outcome.started, outcome.reason, outcome.may_have_run) == (False, reason, False)
    assert all("Start" not in link.commands for link in links.values())


def test_start_waits_for_fresh_knowledge_of_the_log() -> None:
    """Guards against starts during an outage of the log, when drains are unknown."""
    answers = iter(["not_fresh"] * 3 + ["", ""])
    assert start({"w0": FakeLink(), "w1": FakeLink()}, None, lambda gang: next(answers)).started


def test_stop_is_repeated_only_to_workers_that_did_not_answer() -> None:
    """Guards against a lost stop command that leaves a member running until its lease expires."""
    links = {"w0": FakeLink(), "w1": FakeLink(Stop=[TIMEOUT, ""])}
    assert asyncio.run(make(links).stop(GANG, retry_seconds=1.0))
    assert [links[name].commands for name in ("w0", "w1")] == [["Stop"], ["Stop", "Stop"]]
    silent = {"w0": FakeLink(), "w1": FakeLink(Stop=TIMEOUT)}
    assert not asyncio.run(make(silent).stop(GANG, retry_seconds=0.0))


def test_checkpoint_command_that_is_lost_is_sent_again() -> None:
    """Guards against a gang of which only some members checkpoint, because a command was lost."""
    links = {"w0": FakeLink(), "w1": FakeLink(Checkpoint=[TIMEOUT, TIMEOUT, ""])}
    asyncio.run(make(links).checkpoint(GANG))
    assert links["w1"].commands == ["Checkpoint"] * 3
    assert links["w0"].commands == ["Checkpoint"]


def test_cancelled_start_tells_whether_it_may_have_run() -> None:
    """Guards against a job that is reported as not run although it may have run.

    The start is cancelled after a start command was sent.
    """

    async def run(command: str) -> bool:
        async def hang() -> str:
            await asyncio.sleep(60)
            return ""

        runner = make({"w0": FakeLink(), "w1": FakeLink(**{command: hang})})
        task = asyncio.create_task(runner.start(GANG))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return runner.may_have_run(GANG)

    assert not asyncio.run(run("Reserve"))
    assert asyncio.run(run("Start"))


def test_owner_records_are_published_until_they_are_on_the_log() -> None:
    """Guards against a start that is missing on the log after one failed publication."""
    journal = FakeJournal(publish_error(may_appear=True))
    asyncio.run(make({}, journal).record_start(GANG))
    assert journal.published == ["JobStarted"]


def test_start_that_is_held_up_on_its_way_is_refused_by_its_worker() -> None:
    """Guards against a start that takes effect after a drain; it was only checked when it was sent.

    The link holds the start up for longer than a start may take after it was checked.
    """
    worker = WorkerStandin(name="w0", accelerators=1)
    held_up: list[Any] = []

    async def reserve() -> str:
        return (await worker.reserve(link.requests[-1])).refusal

    async def hold_up() -> str:
        held_up.append(link.requests[-1])
        return ""

    link = FakeLink(Reserve=reserve, Start=hold_up)
    gang = replace(GANG, members=GANG.members[:1])

    async def work() -> str:
        assert (await make({"w0": link}).start(gang)).started
        await asyncio.sleep(COMMAND_TIMEOUT_SECONDS + 0.1)
        return (await worker.start(held_up[0])).refusal

    assert asyncio.run(work()) == "too_late"
