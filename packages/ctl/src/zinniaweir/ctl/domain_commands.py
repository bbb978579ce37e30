"""Commands that drain a failure domain and bring it back."""

from __future__ import annotations

from typing import Annotated, Any, Final

from cyclopts import App, Parameter

from zinniaweir.ctl import exits
from zinniaweir.ctl.client import Answer, UnreachableError
from zinniaweir.ctl.puts import put_settings, settings_path, settings_url
from zinniaweir.ctl.session import Options, Session

POLL_INTERVAL_SECONDS: Final = 1.0
MAX_LISTED_JOBS: Final = 1_000

InjectedSession = Annotated[Session, Parameter(parse=False)]


def register(app: App) -> None:
    """Add the commands to the program."""
    app.command(drain)
    app.command(undrain)


def drain(
    failure_domain: str,
    *,
    wait: float = 0.0,
    author: str = "",
    note: str = "",
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Take a failure domain out; no task starts there after a few seconds.

    Args:
        failure_domain: Name of the failure domain.
        wait: Seconds to wait until no job runs there any more.
        author: Who makes the change; your user name if it is left out.
        note: Why, for the history.
        options: Options of every command.
        session: The running command.
    """
    answer = _set_state(session, failure_domain, "out", author, note)
    if answer.code != exits.DONE or wait <= 0:
        return session.write_answer(
            answer, lambda body: _render(session, failure_domain, "out", body)
        )
    left = _wait_until_empty(session, failure_domain, wait)
    body = {**answer.body, "jobs_left": left}
    code = session.write_answer(
        Answer(status=answer.status, body=body),
        lambda body: _render(session, failure_domain, "out", body),
    )
    return code if left == 0 else exits.UNKNOWN


def undrain(
    failure_domain: str,
    *,
    author: str = "",
    note: str = "",
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Bring a failure domain back; work returns to it gradually.

    Args:
        failure_domain: Name of the failure domain.
        author: Who makes the change; your user name if it is left out.
        note: Why, for the history.
        options: Options of every command.
        session: The running command.
    """
    answer = _set_state(session, failure_domain, "in", author, note)
    return session.write_answer(answer, lambda body: _render(session, failure_domain, "in", body))


def _set_state(session: Session, failure_domain: str, state: str, author: str, note: str) -> Answer:
    path = settings_path(f"topology/failure_domains/{failure_domain}")
    current = session.client.get(settings_url(path))
    if current.code != exits.DONE:
        return current
    version = int(current.body.get("version") or 0)
    if (current.body.get("value") or {}).get("state", "in") == state:
        return Answer(status=200, body={"state": "unchanged", "version": version})
    return put_settings(session, f"{path}/state", state, base=version, author=author, note=note)


def _render(session: Session, failure_domain: str, state: str, body: dict[str, Any]) -> None:
    word = "was already" if body.get("state") == "unchanged" else "is now"
    session.output.line(f"{failure_domain} {word} {state} (version {body.get('version')})")
    for job in body.get("preempts") or []:
        session.output.line(f"preempts {job}")
    if "jobs_left" in body:
        left = body["jobs_left"]
        session.output.line(f"jobs still running there: {'not known' if left is None else left}")


def _wait_until_empty(session: Session, failure_domain: str, wait: float) -> int | None:
    """Wait until no job runs in a failure domain or `wait` seconds have passed.

    Returns:
        Jobs that still run there, or None if their number is not known.
    """
    environment = session.environment
    end = environment.clock() + wait
    while True:
        left = _count_jobs(session, failure_domain)
        shown = "it is not known how many" if left is None else left
        session.output.progress(f"{shown} jobs still run in {failure_domain}")
        if left == 0 or environment.clock() >= end:
            return left
        environment.sleep(POLL_INTERVAL_SECONDS)


def _count_jobs(session: Session, failure_domain: str) -> int | None:
    """Return the number of starting and running jobs in a failure domain.

    Returns:
        The number, or None if it is not known: a call failed or was refused, or the list of
        jobs was truncated and none of the listed jobs runs there.
    """
    try:
        topology = session.client.get(settings_url("topology"))
        answers = [
            session.client.get("/v1/jobs", state=state, limit=MAX_LISTED_JOBS)
            for state in ("starting", "running")
        ]
    except UnreachableError:
        return None
    if any(answer.code != exits.DONE for answer in (topology, *answers)):
        return None
    workers = _workers_in(topology.body.get("value") or {}, failure_domain)
    lists = [answer.body.get("jobs") or [] for answer in answers]
    left = sum(_uses_any(job, workers) for jobs in lists for job in jobs)
    truncated = any(len(jobs) >= MAX_LISTED_JOBS for jobs in lists)
    return None if truncated and left == 0 else left


def _workers_in(topology: dict[str, Any], failure_domain: str) -> set[str]:
    racks = topology.get("racks") or {}
    return {
        name
        for name, worker in (topology.get("workers") or {}).items()
        if racks.get(worker.get("rack"), {}).get("failure_domain") == failure_domain
    }


def _uses_any(job: dict[str, Any], workers: set[str]) -> bool:
    return any(member.get("worker") in workers for member in job.get("members") or [])
