"""Routing of HTTP requests to operations."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from zinniaweir.entry.answers import Answer, json_answer, not_run
from zinniaweir.entry.json_items import MAX_ITEMS, has_too_many_items
from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from zinniaweir.entry.http_reader import HttpRequest


class BadRequestError(Exception):
    """The body or query of a request is not valid for the operation."""


@dataclass(frozen=True, kw_only=True)
class Call:
    """Arguments of an operation, taken from an HTTP request."""

    argument: str
    """First group of the path pattern, or an empty string."""
    query: dict[str, str]
    body: bytes

    def decode(self, message_type: type) -> Any:
        """Decode the JSON body.

        Args:
            message_type: Type to decode into.

        Raises:
            BadRequestError: If the body does not match the type.
        """
        if has_too_many_items(self.body):
            raise BadRequestError(f"expected at most {MAX_ITEMS} items")
        try:
            return msgspec.json.decode(self.body, type=message_type)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise BadRequestError(str(error)) from error

    def number(self, name: str, default: float, *, maximum: float) -> float:
        """Return a numeric query field.

        Args:
            name: Name of the field.
            default: Value if the field is absent.
            maximum: Upper bound; the lower bound is zero.

        Raises:
            BadRequestError: If the field is not a number within the bounds.
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
    """Dispatch HTTP requests to operations by method and path.

    The first group of a path pattern, if it has one, becomes the argument of the operation.
    """

    def __init__(self) -> None:
        self._routes: list[Route] = []

    def add(
        self, method: str, pattern: str, operation: Callable[[Call], Awaitable[Answer]]
    ) -> None:
        """Register an operation for a method and a path pattern."""
        self._routes.append(Route(method=method, pattern=re.compile(pattern), operation=operation))

    async def answer(self, request: HttpRequest) -> Answer:
        """Return the answer to a request.

        Errors of the operation become answers and are not raised.
        """
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
