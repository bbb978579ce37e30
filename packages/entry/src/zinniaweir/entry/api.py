"""Finds the operation for an HTTP request."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from zinniaweir.entry.answers import Answer, json_answer, not_run
from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from zinniaweir.entry.http_reader import HttpRequest


class BadRequestError(Exception):
    """The request is not one that the operation accepts."""


@dataclass(frozen=True, kw_only=True)
class Call:
    """One request as an operation sees it."""

    argument: str
    """The part of the path behind the operation's prefix."""
    query: dict[str, str]
    body: bytes

    def decode(self, message_type: type) -> Any:
        """Return the JSON body as a message.

        Raises:
            BadRequestError: If the body is not such a message.
        """
        try:
            return msgspec.json.decode(self.body, type=message_type)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise BadRequestError(str(error)) from error

    def number(self, name: str, default: float, *, maximum: float) -> float:
        """Return a number of the query, between zero and a bound.

        Raises:
            BadRequestError: If it is no such number.
        """
        text = self.query.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError as error:
            raise BadRequestError(f"{name}: expected a number, got {text!r}") from error
        if not 0 <= value <= maximum:
            raise BadRequestError(f"{name}: expected 0 to {maximum:g}, got {text}")
        return value


@dataclass(frozen=True, kw_only=True)
class Route:
    """An operation with its method and path pattern."""

    method: str
    pattern: re.Pattern[str]
    operation: Callable[[Call], Awaitable[Answer]]


class Api:
    """Dispatch requests to operations.

    A pattern's first group, if it has one, is the argument of the operation.
    """

    def __init__(self) -> None:
        self._routes: list[Route] = []

    def add(
        self, method: str, pattern: str, operation: Callable[[Call], Awaitable[Answer]]
    ) -> None:
        """Add an operation under a method and a path pattern."""
        self._routes.append(Route(method=method, pattern=re.compile(pattern), operation=operation))

    async def answer(self, request: HttpRequest) -> Answer:
        """Return the answer to a request; never raises."""
        matches = [(r, r.pattern.fullmatch(request.path)) for r in self._routes]
        found = [(route, match) for route, match in matches if match]
        if not found:
            return not_run("unknown_path", request.path)
        for route, match in found:
            if route.method == request.method:
                return await self._run(route, match, request)
        allowed = ", ".join(sorted({route.method for route, _ in found}))
        return json_answer(
            405, {"state": "not_run", "reason": "method_not_allowed", "detail": f"use {allowed}"}
        )

    async def _run(self, route: Route, match: re.Match[str], request: HttpRequest) -> Answer:
        call = Call(
            argument=match.group(1) if match.re.groups else "",
            query=request.query,
            body=request.body,
        )
        try:
            return await route.operation(call)
        except BadRequestError as error:
            return not_run("malformed", str(error))
        except Exception as error:
            log("operation_failed", path=request.path, error=repr(error))
            return json_answer(
                500, {"state": "unknown", "reason": "internal_error", "detail": repr(error)}
            )
