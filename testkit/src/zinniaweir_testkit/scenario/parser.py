"""Parses scenario files into steps."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from importlib import resources
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError


class ScenarioSyntaxError(Exception):
    """A line of a scenario is not a valid step."""


@dataclass(frozen=True, kw_only=True)
class Step:
    """One line of a scenario."""

    verb: str
    """Name of the grammar rule, which is also the name of its handler."""
    arguments: tuple[Any, ...]
    """Values in the order of the rule; absent optional parts are None."""
    line: int
    text: str


@dataclass(frozen=True, kw_only=True)
class NodeRef:
    """Reference to a worker, upstream or VM by name, or to the worker that runs a job's member."""

    name: str
    member: int | None = None
    """Number of the member, counted from 1; `name` is then the label of a job."""


@dataclass(frozen=True, kw_only=True)
class NodeSet:
    """A set of stand-ins."""

    kind: str
    """One of `all_workers`, `first_workers`, `all_upstreams` or `one_node`."""
    node: NodeRef | None = None


@dataclass(frozen=True, kw_only=True)
class Change:
    """A change of settings that a `race` step makes."""

    kind: str
    """One of `drain`, `undrain` or `customer`."""
    name: str


def parse(text: str) -> list[Step]:
    """Return the steps of a scenario.

    Raises:
        ScenarioSyntaxError: If a line is not a valid step.
    """
    try:
        tree = _grammar().parse(text.rstrip() + "\n")
        return _StepTransformer(text.splitlines()).transform(tree)
    except UnexpectedInput as error:
        raise ScenarioSyntaxError(f"line {error.line}: {error.get_context(text)}") from error
    except VisitError as error:
        raise ScenarioSyntaxError(str(error.orig_exc)) from error


def parse_duration(text: str) -> float:
    """Return the seconds of a text such as `5s` or `500ms`."""
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


@cache
def _grammar() -> Lark:
    source = resources.files(__package__).joinpath("grammar.lark").read_text()
    return Lark(source, parser="lalr", maybe_placeholders=True, propagate_positions=True)


@v_args(inline=True)
class _StepTransformer(Transformer):  # type: ignore[type-arg]
    """Transforms the parse tree into steps; each rule without a method here is a step."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self._lines = lines

    def start(self, *steps: Step) -> list[Step]:
        return list(steps)

    def names(self, *names: str) -> tuple[str, ...]:
        return names

    def value(self, value: Any) -> Any:
        return {"yes": True, "no": False}.get(value, value)

    def field(self, name: str, value: Any) -> tuple[str, Any]:
        return name, value

    def fields(self, *fields: tuple[str, Any]) -> dict[str, Any]:
        return dict(fields)

    def named_worker(self, name: str) -> NodeRef:
        return NodeRef(name=name)

    def worker_of_job(self, number: int, job: str) -> NodeRef:
        return NodeRef(name=job, member=number)

    def all_workers(self) -> NodeSet:
        return NodeSet(kind="all_workers")

    def first_workers(self) -> NodeSet:
        return NodeSet(kind="first_workers")

    def all_upstreams(self) -> NodeSet:
        return NodeSet(kind="all_upstreams")

    def one_node(self, node: NodeRef) -> NodeSet:
        return NodeSet(kind="one_node", node=node)

    def drain_change(self, name: str) -> Change:
        return Change(kind="drain", name=name)

    def undrain_change(self, name: str) -> Change:
        return Change(kind="undrain", name=name)

    def customer_change(self, name: str) -> Change:
        return Change(kind="customer", name=name)

    def cluster_options(self, *options: tuple[str, Any]) -> dict[str, Any]:
        return dict(options)

    def workers_option(self, count: int) -> tuple[str, Any]:
        return "workers_per_domain", count

    def retention_option(self, seconds: float) -> tuple[str, Any]:
        return "retention_seconds", seconds

    def services_option(self, names: tuple[str, ...]) -> tuple[str, Any]:
        return "services", names

    def lag_option(self, seconds: float) -> tuple[str, Any]:
        return "lag_seconds", seconds

    def bare_option(self) -> tuple[str, Any]:
        return "publish_settings", False

    def NAME(self, token: Token) -> str:  # noqa: N802
        return str(token)

    def NUMBER(self, token: Token) -> int:  # noqa: N802
        return int(token)

    def DURATION(self, token: Token) -> float:  # noqa: N802
        return parse_duration(token)

    PROCESS = METHOD = PACE = BOUND = NAME

    @v_args(inline=False, meta=True)
    def __default__(self, data: Token, children: list[Any], meta: Any) -> Step:
        line = meta.line if not meta.empty else 0
        return Step(
            verb=str(data),
            arguments=tuple(children),
            line=line,
            text=self._lines[line - 1].strip(),
        )
