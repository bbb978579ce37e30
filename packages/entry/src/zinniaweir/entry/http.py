"""The HTTP server, a circuits component that hands requests to the asyncio side."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, ClassVar, Final

from circuits import Component, Event, Timer, handler
from circuits.net.events import close, write
from circuits.web.events import response
from circuits.web.headers import Headers
from circuits.web.wrappers import Request, Response

from zinniaweir.entry.answers import Answer, not_run
from zinniaweir.entry.http_reader import (
    MAX_MESSAGE_BYTES,
    BadHttpError,
    HttpRequest,
    ReceivedRequest,
    RequestReader,
)
from zinniaweir.telemetry.logs import log

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

SWEEP_INTERVAL_SECONDS: Final = 1.0
LINGER_TIMEOUT_SECONDS: Final = 2.0
"""How long a refused connection is still read, so that a reset does not overtake the refusal."""
FLUSH_TIMEOUT_SECONDS: Final = 3.0
"""How long the planned stop waits for callers that read their answers slowly."""
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class AnswerReady(Event):
    """The asyncio side has the answer to a request."""

    name: ClassVar[str] = "answer_ready"


class StopServing(Event):
    """The planned stop has ended all requests."""

    name: ClassVar[str] = "stop_serving"


class StopNow(Event):
    """Answers that are not sent by now are given up."""

    name: ClassVar[str] = "stop_now"


class Sweep(Event):
    """Connections whose time is over are to be closed."""

    name: ClassVar[str] = "sweep"


@dataclass(eq=False, kw_only=True)
class _Connection:
    """One connection of a caller."""

    sock: socket
    timeout_started_at: float
    """When it became idle, or the first byte of the present request arrived."""
    reader: RequestReader = field(default_factory=RequestReader)
    current_request: ReceivedRequest | None = None
    is_refused: bool = False

    @property
    def is_idle(self) -> bool:
        return self.current_request is None and not self.is_refused and self.reader.is_idle


class HttpFrontend(Component):
    """Read requests in order and within bounds, and answer them later.

    circuits.web owns the sockets and writes the responses. Its own parser never sees the bytes:
    it buffers without limit and keeps one request for each connection.
    """

    channel = "web"

    def __init__(
        self,
        *,
        submit: Callable[[HttpRequest, Callable[[Answer], None]], None],
        on_stop: Callable[[Callable[[], None]], None],
        on_refused: Callable[[str], None],
        max_connections: int,
        idle_seconds: float,
        receive_seconds: float,
    ) -> None:
        """Create the component.

        Args:
            submit: Hands over a request and the function that takes its answer.
            on_stop: Begins the planned stop; its argument is to be called at the end.
            on_refused: Takes the reason of each connection that is refused.
            max_connections: Most connections at once.
            idle_seconds: How long a connection may stay without a request.
            receive_seconds: How long a request may take to arrive.
        """
        super().__init__()
        self._submit = submit
        self._on_stop = on_stop
        self._on_refused = on_refused
        self._max_connections = max_connections
        self._idle_seconds = idle_seconds
        self._receive_seconds = receive_seconds
        self._is_draining = False
        self._is_closing = False
        self._connections: dict[socket, _Connection] = {}
        Timer(SWEEP_INTERVAL_SECONDS, Sweep(), "web", persist=True).register(self)

    @handler("connect", channel="web", priority=10.0)
    def _on_connect(self, sock: socket, *address: Any) -> None:
        connection = _Connection(sock=sock, timeout_started_at=time.monotonic())
        is_full = len(self._connections) >= self._max_connections
        self._connections[sock] = connection
        if is_full and not self._close_longest_idle(connection):
            self._refuse(connection, "too_many_connections")

    @handler("read", channel="web", priority=10.0)
    def _on_read(self, event: Event, sock: socket, data: bytes) -> None:
        event.stop()
        connection = self._connections.get(sock)
        if connection is None or connection.is_refused:
            return
        if connection.is_idle:
            connection.timeout_started_at = time.monotonic()
        connection.reader.feed(data)
        if connection.current_request is None:
            self._submit_next(connection)
        elif connection.reader.received_bytes > MAX_MESSAGE_BYTES:
            self._on_refused("pipeline_too_long")
            self._close(connection)

    @handler("disconnect", channel="web")
    def _on_disconnect(self, sock: socket) -> None:
        self._connections.pop(sock, None)
        self._stop_if_done()

    @handler("error", channel="web")
    def _on_socket_error(self, *args: Any) -> None:
        """Ignore errors of single connections, which `disconnect` follows."""

    @handler("sweep", channel="web")
    def _on_sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self._connections.values()):
            age = now - connection.timeout_started_at
            if connection.is_refused:
                if age > LINGER_TIMEOUT_SECONDS:
                    self._close(connection)
            elif connection.current_request is None and connection.reader.is_idle:
                if age > self._idle_seconds:
                    self._close(connection)
            elif connection.current_request is None and age > self._receive_seconds:
                self._refuse(connection, "request_timeout")

    @handler("exception", channel="*")
    def _on_exception(self, *args: Any, **kwargs: Any) -> None:
        failed = kwargs.get("fevent")
        log("http_handler_failed", error=repr(args[1]) if len(args) > 1 else "")
        sock = failed.args[0] if failed is not None and failed.args else None
        if isinstance(sock, Response):
            sock = sock.request.sock
        connection = self._connections.get(sock) if sock is not None else None
        if connection is not None:
            self._close(connection)

    @handler("signal", channel="*", priority=10.0)
    def _on_signal(self, event: Event, signo: int, stack: Any) -> None:
        # The handler of circuits.web would close all connections now and exit after 3 s.
        event.stop()
        if self._is_draining:
            return
        self._is_draining = True
        self._on_stop(lambda: self.fire(StopServing(), "web"))

    @handler("stop_serving", channel="web")
    def _on_stop_serving(self) -> None:
        # Answers that a slow caller has not read yet are sent before a connection is closed.
        self._is_closing = True
        Timer(FLUSH_TIMEOUT_SECONDS, StopNow(), "web").register(self)
        for sock in self._connections:
            self.fire(close(sock), "web")
        self._stop_if_done()

    @handler("stop_now", channel="web")
    def _on_stop_now(self) -> None:
        self.root.stop()

    def _stop_if_done(self) -> None:
        if self._is_closing and not self._connections:
            self.root.stop()

    @handler("answer_ready", channel="web")
    def _on_answer_ready(self, connection: _Connection, answer: Answer) -> None:
        if connection.sock in self._connections and connection.current_request is not None:
            self._respond(connection, answer)

    @handler("response_success", channel="web")
    def _on_response_success(self, answered: Event, value: Any) -> None:
        connection = self._connections.get(answered.args[0].request.sock)
        if connection is None or connection.current_request is None:
            return
        is_last = connection.current_request.is_last
        connection.current_request = None
        connection.timeout_started_at = time.monotonic()
        if is_last:
            self._close(connection)
        else:
            self._submit_next(connection)

    def _submit_next(self, connection: _Connection) -> None:
        """Hand over the next request of a connection if it has arrived whole."""
        try:
            received = connection.reader.next_request()
        except BadHttpError as error:
            self._refuse(connection, error.reason, error.detail)
            return
        if received is None:
            if connection.reader.wants_continue():
                self.fire(write(connection.sock, CONTINUE_RESPONSE), "web")
            return
        connection.current_request = received
        self._submit(
            received.request, lambda answer: self.fire(AnswerReady(connection, answer), "web")
        )

    def _refuse(self, connection: _Connection, reason: str, detail: str = "") -> None:
        """Answer bytes that are no request; the connection is closed after a pause."""
        self._on_refused(reason)
        answer = not_run(reason, detail)
        connection.is_refused = True
        connection.timeout_started_at = time.monotonic()
        head = (
            f"HTTP/1.1 {answer.status} {HTTPStatus(answer.status).phrase}\r\n"
            f"Content-Type: {answer.content_type}\r\n"
            f"Content-Length: {len(answer.body)}\r\nConnection: close\r\n\r\n"
        )
        self.fire(write(connection.sock, head.encode() + answer.body), "web")

    def _respond(self, connection: _Connection, answer: Answer) -> None:
        received = connection.current_request
        assert received is not None
        try:
            req = Request(
                connection.sock,
                method=received.request.method,
                protocol=received.version,
                headers=Headers([("Host", "entry")]),
            )
        except OSError:
            # The caller is gone, and its address with it.
            self._close(connection)
            return
        res = Response(req, status=answer.status)
        res.headers["Content-Type"] = answer.content_type
        if received.is_last:
            res.headers["Connection"] = "close"
        res.body = answer.body
        self.fire(response(res), "web")

    def _close_longest_idle(self, exclude: _Connection) -> bool:
        idle = [c for c in self._connections.values() if c.is_idle and c is not exclude]
        if not idle:
            return False
        self._close(min(idle, key=lambda connection: connection.timeout_started_at))
        return True

    def _close(self, connection: _Connection) -> None:
        # Only once: circuits keeps a buffer for ever for a socket that is closed again.
        if self._connections.pop(connection.sock, None) is not None:
            self.fire(close(connection.sock), "web")
