"""HTTP client for entry processes."""

from __future__ import annotations

from typing import Any, Final, Literal

import httpx
import msgspec

from zinniaweir.ctl import exits

CONNECT_TIMEOUT_SECONDS: Final = 2.0
READ_TIMEOUT_SECONDS: Final = 10.0
MAX_SHOWN_CHARACTERS: Final = 200

Effect = Literal["repeatable", "once"]
"""Whether a call may be repeated after it may have taken effect."""


class UnreachableError(Exception):
    """No server answered, and the call took no effect."""


class OutcomeUnknownError(Exception):
    """The connection was lost after the call may have taken effect."""


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Status code and JSON body of a response."""

    status: int
    body: dict[str, Any]

    @property
    def code(self) -> int:
        """Exit code for the status code."""
        return exits.code_for_status(self.status)

    def text(self, name: str) -> str:
        """Return a field of the body as text, or an empty string if it is missing or null."""
        value = self.body.get(name)
        return "" if value is None else str(value)


class Client:
    """Client that calls a list of servers in order until one answers.

    The next server is tried if one is unreachable or answers that nothing ran (503). A call that
    may have taken effect is sent to the next server only if it is repeatable.
    """

    def __init__(
        self,
        *,
        servers: tuple[str, ...],
        transport: httpx.BaseTransport | None = None,
        read_timeout_seconds: float = READ_TIMEOUT_SECONDS,
    ) -> None:
        """Initialize a client without connections.

        Args:
            servers: Base URLs, in the order in which they are tried.
            transport: Transport used instead of the network, for tests.
            read_timeout_seconds: Maximum wait for an answer, in addition to the `wait_seconds` of
                a call.
        """
        self._servers = servers
        self._read_timeout_seconds = read_timeout_seconds
        self._http = httpx.Client(transport=transport, trust_env=False)

    @property
    def servers(self) -> tuple[str, ...]:
        """Base URLs of the servers."""
        return self._servers

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def for_server(self, server: str) -> Client:
        """Return a client for one of the servers that shares this client's connections."""
        other = Client.__new__(Client)
        other._servers = (server,)
        other._read_timeout_seconds, other._http = self._read_timeout_seconds, self._http
        return other

    def get(self, path: str, *, wait_seconds: float = 0.0, **query: Any) -> Answer:
        """Send a GET request and return the answer.

        Args:
            path: Path of the URL.
            wait_seconds: How long the server may hold the answer back.
            **query: Parameters of the URL; empty ones are omitted.

        Raises:
            UnreachableError: If no server answered.
        """
        given = {name: value for name, value in query.items() if value not in ("", None)}
        if wait_seconds > 0:
            given["wait_seconds"] = wait_seconds
        return self.send("GET", path, query=given, wait_seconds=wait_seconds)

    def send(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, Any] | None = None,
        body: dict[str, Any] | None = None,
        effect: Effect = "repeatable",
        wait_seconds: float = 0.0,
    ) -> Answer:
        """Send a request and return the answer.

        Args:
            method: HTTP method.
            path: Path of the URL.
            query: Parameters of the URL.
            body: Fields of the JSON body.
            effect: Whether the call may be repeated after it may have taken effect.
            wait_seconds: How long the server may hold the answer back.

        Returns:
            The first answer other than 503, or the last 503 if servers answered nothing else.

        Raises:
            UnreachableError: If no server answered and the call took no effect.
            OutcomeUnknownError: If the answer of a call with effect "once" was lost, or if that of
                a repeatable call other than a GET was lost and every other server was unreachable,
                answered 503 or lost its answer as well.
        """
        refused: Answer | None = None
        errors: list[str] = []
        lost = False
        for server in self._servers:
            try:
                answer = self._exchange(server, method, path, query, body, wait_seconds)
            except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
                errors.append(f"{server}: {_error_text(error)}")
                continue
            except (httpx.TransportError, _ForeignAnswerError) as error:
                errors.append(f"{server}: {_error_text(error)}")
                if effect == "once":
                    raise OutcomeUnknownError("; ".join(errors)) from error
                lost = True
                continue
            if answer.status != 503:
                return answer
            refused = answer
        if lost and method != "GET":
            raise OutcomeUnknownError("; ".join(errors))
        if refused is not None:
            return refused
        raise UnreachableError("; ".join(errors))

    def _exchange(
        self,
        server: str,
        method: str,
        path: str,
        query: dict[str, Any] | None,
        body: dict[str, Any] | None,
        wait_seconds: float,
    ) -> Answer:
        timeout = httpx.Timeout(
            self._read_timeout_seconds + wait_seconds, connect=CONNECT_TIMEOUT_SECONDS
        )
        content = None if body is None else msgspec.json.encode(body)
        response = self._http.request(
            method,
            server + path,
            params=query or None,
            content=content,
            headers={"content-type": "application/json"} if content is not None else None,
            timeout=timeout,
        )
        return _answer(response)


class _ForeignAnswerError(Exception):
    """A load balancer or another program answered instead of an entry process."""


def _answer(response: httpx.Response) -> Answer:
    try:
        body = msgspec.json.decode(response.content)
    except msgspec.MsgspecError:
        body = None
    if isinstance(body, dict):
        return Answer(status=response.status_code, body=body)
    text = response.text[:MAX_SHOWN_CHARACTERS]
    if response.is_success or response.is_server_error or response.is_redirect:
        raise _ForeignAnswerError(f"status {response.status_code} without a JSON object: {text}")
    return Answer(status=response.status_code, body={"detail": text})


def _error_text(error: Exception) -> str:
    return str(error) or type(error).__name__
