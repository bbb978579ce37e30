"""Commands that submit, list, explain and cancel jobs."""

from __future__ import annotations

from typing import Annotated, Any, Final, Literal
from urllib.parse import quote

from cyclopts import App, Parameter

from zinniaweir.ctl import exits
from zinniaweir.ctl.client import Answer, UnreachableError
from zinniaweir.ctl.idempotency import send_with_key
from zinniaweir.ctl.output import format_time
from zinniaweir.ctl.reasons import with_explanation
from zinniaweir.ctl.session import FileName, Options, Session, UsageError

LONG_POLL_WAIT_SECONDS: Final = 5.0
"""How long one call waits for a job, so that a lost connection is noticed soon."""
RETRY_DELAY_SECONDS: Final = 1.0

InjectedSession = Annotated[Session, Parameter(parse=False)]
Priority = Literal["urgent", "normal", "batch"]
Spread = Literal["worker", "rack", "failure_domain", "region"]
State = Literal[
    "waiting", "starting", "running", "done", "failed", "not_run", "unknown", "cancelled"
]


def register(app: App) -> None:
    """Add the commands to the program."""
    for command in (jobs, submit, cancel, why):
        app.command(command)


def jobs(
    *,
    customer: str = "",
    state: State | None = None,
    limit: int = 50,
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """List jobs, newest first.

    Args:
        customer: Only jobs of this customer.
        state: Only jobs in this state.
        limit: The most jobs to list.
        options: Options of every command.
        session: The running command.
    """
    answer = session.client.get("/v1/jobs", customer=customer, state=state, limit=limit)

    def render(body: dict[str, Any]) -> None:
        session.output.table(
            (
                "job",
                "customer",
                "name",
                "priority",
                "state",
                "reason",
                "submitted (UTC)",
                "workers",
            ),
            [_job_row(job) for job in body.get("jobs") or []],
        )

    return session.write_answer(answer, render)


def submit(
    *,
    file: FileName = "",
    customer: str | None = None,
    name: str | None = None,
    priority: Priority | None = None,
    members: int | None = None,
    accelerators: int | None = None,
    cores: int | None = None,
    memory_gb: float | None = None,
    spread: Spread | None = None,
    declared_seconds: float | None = None,
    deadline_seconds: float | None = None,
    checkpointable: bool | None = None,
    idempotent: bool | None = None,
    label: str | None = None,
    payload: FileName = "",
    key: str = "",
    wait: float = 0.0,
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Submit a job and print its id.

    The job carries a key, so a submission whose answer was lost is sent again without a second job.

    Args:
        file: YAML file with the fields of the job; - is standard input. Options override it.
        customer: Customer that the job belongs to.
        name: Name of the job.
        priority: Priority.
        members: Tasks of the gang.
        accelerators: Adjacent accelerators of each member.
        cores: Cores of each member.
        memory_gb: Memory of each member, in gigabytes.
        spread: How far apart members may be.
        declared_seconds: Expected run time.
        deadline_seconds: Seconds from now by which the job should be done.
        checkpointable: Whether the job can be checkpointed.
        idempotent: Whether the job may run again after it may have run.
        label: Label, for cancelling jobs together.
        payload: YAML file with the payload of the job.
        key: Idempotency key; a new one if it is left out.
        wait: Seconds to wait until the job has ended.
        options: Options of every command.
        session: The running command.
    """
    given = {
        "customer": customer,
        "name": name,
        "priority": priority,
        "members": members,
        "accelerators": accelerators,
        "cores": cores,
        "memory_gb": memory_gb,
        "spread": spread,
        "declared_seconds": declared_seconds,
        "deadline_seconds": deadline_seconds,
        "checkpointable": checkpointable,
        "idempotent": idempotent,
        "label": label,
        "payload": session.read_yaml(payload) if payload else None,
        "key": key or None,
    }
    body = _job_fields(session, file, given)
    answer = send_with_key(session, "/v1/jobs", body)
    job = answer.body.get("job")
    if answer.code != exits.DONE or not isinstance(job, dict) or wait <= 0:
        return session.write_answer(answer, lambda body: _render_submitted(session, body))
    return _wait_for(session, job, wait)


def cancel(
    *job_ids: str,
    customer: str = "",
    label: str = "",
    options: Options | None = None,
    session: InjectedSession,
) -> int:
    """Cancel jobs by id, or all jobs of a customer, or those with a label.

    Args:
        job_ids: Ids of jobs.
        customer: Cancel the jobs of this customer.
        label: Only those with this label.
        options: Options of every command.
        session: The running command.
    """
    if bool(job_ids) == bool(customer):
        raise UsageError("give job ids or --customer")
    if label and not customer:
        raise UsageError("--label needs --customer")
    body: dict[str, Any] = {"job_ids": list(job_ids)} if job_ids else {"customer": customer}
    if label:
        body["label"] = label
    answer = session.client.send("POST", "/v1/cancel", body=body)
    return session.write_answer(
        answer, lambda body: session.output.line(f"{body.get('matched', 0)} jobs cancelled")
    )


def why(job: str, *, options: Options | None = None, session: InjectedSession) -> int:
    """Show from the records why a job waits, was refused, moved or was preempted.

    Args:
        job: Id of the job.
        options: Options of every command.
        session: The running command.
    """
    answer = session.client.get(f"/v1/jobs/{quote(job, safe='')}/why")
    return session.write_answer(answer, lambda body: _render_why(session, body))


def _job_fields(session: Session, file: str, given: dict[str, Any]) -> dict[str, Any]:
    fields = session.read_yaml(file) if file else {}
    if not isinstance(fields, dict):
        raise UsageError(f"{file}: expected a mapping of job fields")
    fields = {**fields, **{name: value for name, value in given.items() if value is not None}}
    for name in ("customer", "name"):
        if not fields.get(name):
            raise UsageError(f"give --{name} or `{name}` in --file")
    fields.setdefault("key", session.environment.new_key())
    return fields


def _wait_for(session: Session, job: dict[str, Any], wait: float) -> int:
    environment = session.environment
    end = environment.clock() + wait
    path = f"/v1/jobs/{quote(str(job.get('job_id')), safe='')}"
    while job.get("state") not in exits.BY_JOB_STATE:
        remaining = end - environment.clock()
        if remaining <= 0:
            break
        session.output.progress(f"{job.get('job_id')} is {job.get('state')}")
        try:
            answer = session.client.get(path, wait_seconds=min(remaining, LONG_POLL_WAIT_SECONDS))
        except UnreachableError as error:
            session.output.progress(f"no server answers ({error})")
            environment.sleep(min(remaining, RETRY_DELAY_SECONDS))
            continue
        if answer.code not in (exits.DONE, exits.NOT_RUN):
            return session.write_answer(answer, lambda body: None)
        if not isinstance(answer.body.get("job"), dict):
            environment.sleep(min(remaining, RETRY_DELAY_SECONDS))
            continue
        job = answer.body["job"]
    session.write_answer(
        Answer(status=200, body={"job": job}), lambda body: _render_submitted(session, body)
    )
    return exits.BY_JOB_STATE.get(str(job.get("state")), exits.UNKNOWN)


def _render_submitted(session: Session, body: dict[str, Any]) -> None:
    job = body.get("job") or {}
    if job.get("corrected_from"):
        session.output.line(
            f"corrected {job['corrected_from']} to {job.get('customer')}/{job.get('name')}"
        )
    session.output.line(f"{job.get('job_id')} {job.get('state')} {job.get('reason') or ''}".strip())


def _job_row(job: dict[str, Any]) -> tuple[Any, ...]:
    return (
        job.get("job_id"),
        job.get("customer"),
        job.get("name"),
        job.get("priority"),
        job.get("state"),
        job.get("reason"),
        format_time(job.get("submitted_at")),
        " ".join(str(member.get("worker")) for member in job.get("members") or []),
    )


def _render_why(session: Session, body: dict[str, Any]) -> None:
    output = session.output
    job = body.get("job") or {}
    output.line(
        f"{job.get('job_id')} {job.get('customer')}/{job.get('name')} {job.get('priority')}: "
        f"{job.get('state')}, attempt {job.get('attempt', 0)}"
    )
    if job.get("corrected_from"):
        output.line(f"written by the caller as {job['corrected_from']}")
    if reason := job.get("reason"):
        output.line(f"reason: {with_explanation(str(reason))}")
    if waiting_for := body.get("waiting_for"):
        output.line(f"waits for: {with_explanation(str(waiting_for))}")
    output.table(
        ("offset", "at (UTC)", "event", "reason"),
        [
            (
                entry.get("offset"),
                format_time(entry.get("at")),
                entry.get("event"),
                with_explanation(str(entry.get("reason") or "")),
            )
            for entry in body.get("history") or []
        ],
    )
