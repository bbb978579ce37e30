"""HTTP server of the entry process, a circuits component.

Requests are handed to the asyncio thread, which returns the answers.
"""

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
"""Interval between checks for connections that have timed out."""
LINGER_TIMEOUT_SECONDS: Final = 2.0
"""Time that a refused connection stays open.

Closing at once with unread input would send a reset, and the client might never read the refusal.
"""
FLUSH_TIMEOUT_SECONDS: Final = 3.0
"""Time that a planned stop allows for clients that read their answers slowly."""
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Sent to a client that waits for permission to send the body."""


class AnswerReady(Event):
    """Fired when the asyncio thread has answered a request."""

    name: ClassVar[str] = "answer_ready"


class StopServing(Event):
    """Fired when the drain has ended, so that all connections can be closed."""

    name: ClassVar[str] = "stop_serving"


class StopNow(Event):
    """Fired when the server must stop, even if some answers have not been sent in full."""

    name: ClassVar[str] = "stop_now"


class Sweep(Event):
    """Fired at an interval to close connections that have timed out."""

    name: ClassVar[str] = "sweep"


@dataclass(eq=False, kw_only=True)
class _Connection:
    """State of one client connection."""

    sock: socket
    timeout_started_at: float
    """Monotonic time from which the current timeout counts.

    It is set when the connection opens, when the first byte of a request arrives, when an answer
    has been sent, and when the connection is refused.
    """
    reader: RequestReader = field(default_factory=RequestReader)
    current_request: ReceivedRequest | None = None
    """Request that has been submitted and whose answer has not been sent."""
    is_refused: bool = False
    """Whether the connection was refused; its input is then ignored."""

    @property
    def is_idle(self) -> bool:
        """Whether the connection has neither a request nor a part of one."""
        return self.current_request is None and not self.is_refused and self.reader.is_idle


class HttpFrontend(Component):
    """Read requests in order, within size and time limits, and send the answers.

    circuits.web owns the sockets and writes the responses. Its parser is bypassed, because it
    buffers without limit and keeps only one request per connection.
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
            submit: Submits a request; its second argument is called with the answer.
            on_stop: Begins the planned stop; its argument is called when the drain has ended.
            on_refused: Called with the reason of each refusal of a connection.
            max_connections: Maximum number of open connections; above it, an idle connection is
                closed or the new one refused.
            idle_seconds: Time that a connection may stay open without a request.
            receive_seconds: Time that a request may take to arrive in full.
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
        """Ignore errors of a single connection, since a `disconnect` event follows."""

    @handler("sweep", channel="web")
    def _on_sweep(self) -> None:
        now = time.monotonic()
        for connection in list(self._connections.values()):
            elapsed = now - connection.timeout_started_at
            if connection.is_refused:
                if elapsed > LINGER_TIMEOUT_SECONDS:
                    self._close(connection)
            elif connection.current_request is None and connection.reader.is_idle:
                if elapsed > self._idle_seconds:
                    self._close(connection)
            elif connection.current_request is None and elapsed > self._receive_seconds:
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
        # The handler of circuits.web would close all connections at once and exit after 3 s.
        event.stop()
        if self._is_draining:
            return
        self._is_draining = True
        self._on_stop(lambda: self.fire(StopServing(), "web"))

    @handler("stop_serving", channel="web")
    def _on_stop_serving(self) -> None:
        # circuits closes a connection only after a slow client has read the buffered answer.
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
        """Submit the next request of a connection if it has arrived in full."""
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
        """Answer with a refusal; the connection is closed after a delay."""
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
            # The client has disconnected, so its address cannot be read.
            self._close(connection)
            return
        res = Response(req, status=answer.status)
        res.headers["Content-Type"] = answer.content_type
        if received.is_last:
            res.headers["Connection"] = "close"
        res.body = answer.body
        self.fire(response(res), "web")

    def _close_longest_idle(self, exclude: _Connection) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        idle = [c for c in self._connections.values() if c.is_idle and c is not exclude]
        if not idle:
            return False
        self._close(min(idle, key=lambda connection: connection.timeout_started_at))
        return True

    def _close(self, connection: _Connection) -> None:
        # Closing a socket twice would make circuits keep a buffer for it forever.
        if self._connections.pop(connection.sock, None) is not None:
            self.fire(close(connection.sock), "web")
