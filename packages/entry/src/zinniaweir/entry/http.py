"""HTTP server of the entry process, a circuits component.

Requests are handed to the asyncio thread, which returns the answers.
"""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from socket import SHUT_RDWR
from typing import TYPE_CHECKING, Any, ClassVar, Final

from circuits import Component, Event, Timer, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from circuits.net.events import close, write
from circuits.web.events import response
from circuits.web.headers import Headers
from circuits.web.wrappers import Request, Response

from zinniaweir.entry.answers import Answer, not_run
from zinniaweir.entry.connection_budget import HANDLING_COPIES, ConnectionBudget, Holding
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
    holding: Holding
    """What the connection takes from the limits that all share."""
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

    is_sending: bool = False
    """Whether the client has not read the whole of the last answer."""
    answer_bytes: int = 0
    """Size of the last answer."""
    is_paused: bool = False
    """Whether nothing is read from the connection."""

    @property
    def is_busy(self) -> bool:
        """Whether the connection has a request whose answer the client has not read."""
        return self.current_request is not None or self.is_sending

    @property
    def is_idle(self) -> bool:
        """Whether the connection has neither a request nor a part of one."""
        return not self.is_busy and not self.is_refused and self.reader.is_idle


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
        budget: ConnectionBudget,
        max_connections: int,
        idle_seconds: float,
        receive_seconds: float,
    ) -> None:
        """Create the component.

        Args:
            submit: Submits a request; its second argument is called with the answer.
            on_stop: Begins the planned stop; its argument is called when the drain has ended.
            on_refused: Called with the reason of each refusal of a connection.
            budget: Limits of memory and of connections of one address.
            max_connections: Maximum number of open connections; above it, an idle connection is
                closed or the new one refused.
            idle_seconds: Time that a connection may stay open without a request.
            receive_seconds: Time that a request may take to arrive in full.
        """
        self._found_poller: BasePoller | None = None
        super().__init__()
        self._submit = submit
        self._on_stop = on_stop
        self._on_refused = on_refused
        self._budget = budget
        self._max_connections = max_connections
        self._idle_seconds = idle_seconds
        self._receive_seconds = receive_seconds
        self._is_draining = False
        self._is_closing = False
        self._connections: dict[socket, _Connection] = {}
        Timer(SWEEP_INTERVAL_SECONDS, Sweep(), "web", persist=True).register(self)

    @handler("connect", channel="web", priority=10.0)
    def _on_connect(self, sock: socket, *address: Any) -> None:
        holding, is_crowded = self._budget.open(str(address[0]) if address else "")
        connection = _Connection(sock=sock, holding=holding, timeout_started_at=time.monotonic())
        is_full = len(self._connections) >= self._max_connections
        self._connections[sock] = connection
        if is_crowded and not self._close_longest_idle(connection, holding.address):
            self._refuse(connection, "too_many_connections_per_address")
        elif is_full and not is_crowded and not self._close_longest_idle(connection):
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
        if not connection.is_busy:
            self._submit_next(connection)
            return
        # Nothing more is read before the client has its answer.
        self._pause(connection)
        if connection.reader.received_bytes > MAX_MESSAGE_BYTES:
            self._count_refusal(connection, "pipeline_too_long")
            self._close(connection)
        else:
            self._hold(connection)

    @handler("disconnect", channel="web")
    def _on_disconnect(self, sock: socket) -> None:
        connection = self._connections.pop(sock, None)
        if connection is not None:
            self._budget.close(connection.holding)
        self._stop_if_done()

    @handler("_write", channel="web", priority=-10.0)
    def _on_written(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is None or not connection.is_sending or self._poller.isWriting(sock):
            return
        connection.is_sending = False
        connection.timeout_started_at = time.monotonic()
        if connection.reader.is_idle:
            self._hold(connection)
            self._resume(connection)
        else:
            self._submit_next(connection)

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
            elif connection.is_sending:
                if elapsed > self._receive_seconds:
                    self._count_refusal(connection, "slow_reader")
                    self._abort(connection)
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
        connection.holding.is_in_flight = False
        connection.timeout_started_at = time.monotonic()
        if is_last:
            self._close(connection)
        elif self._poller.isWriting(connection.sock):
            connection.is_sending = True
            self._hold(connection)
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
            if self._hold(connection):
                self._resume(connection)
                if connection.reader.wants_continue():
                    self.fire(write(connection.sock, CONTINUE_RESPONSE), "web")
            return
        if not self._hold(connection, HANDLING_COPIES * len(received.request.body)):
            return
        connection.holding.is_in_flight = True
        connection.current_request = received
        self._submit(
            received.request, lambda answer: self.fire(AnswerReady(connection, answer), "web")
        )

    def _refuse(self, connection: _Connection, reason: str, detail: str = "") -> None:
        """Answer with a refusal; the connection is closed after a delay."""
        self._count_refusal(connection, reason)
        answer = not_run(reason, detail)
        connection.is_refused = True
        connection.reader = RequestReader()
        self._budget.hold(connection.holding, 0, time.monotonic())
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
        connection.answer_bytes = len(answer.body)
        self.fire(response(res), "web")

    def _hold(self, connection: _Connection, in_flight_bytes: int = 0) -> bool:
        """Account for what a connection holds; return False if it had to make way itself."""
        now = time.monotonic()
        held_bytes = connection.reader.held_bytes + in_flight_bytes
        if connection.is_sending:
            held_bytes += connection.answer_bytes
        victim = self._budget.hold(connection.holding, held_bytes, now)
        while victim is not None:
            found = next(c for c in self._connections.values() if c.holding is victim)
            if found.is_sending:
                self._count_refusal(found, "bytes_held")
                self._abort(found)
            else:
                self._refuse(found, "bytes_held")
            if found is connection:
                return False
            victim = self._budget.hold(connection.holding, held_bytes, now)
        return True

    def _count_refusal(self, connection: _Connection, reason: str) -> None:
        """Count a refusal, and log it at a bounded rate."""
        self._on_refused(reason)
        now = time.monotonic()
        count = self._budget.report(reason, now)
        if count:
            log(
                "http_refused",
                reason=reason,
                client=connection.holding.address,
                held_bytes=connection.holding.held_bytes,
                seconds=round(now - connection.timeout_started_at, 3),
                count=count,
                all_held_bytes=self._budget.held_bytes,
                connections=len(self._connections),
            )

    @property
    def _poller(self) -> BasePoller:
        # The search takes a walk through all components.
        if self._found_poller is None:
            self._found_poller = findcmp(self.root, BasePoller)
        return self._found_poller

    def _pause(self, connection: _Connection) -> None:
        if not connection.is_paused:
            connection.is_paused = True
            self._poller.removeReader(connection.sock)

    def _resume(self, connection: _Connection) -> None:
        if connection.is_paused and connection.sock in self._connections:
            connection.is_paused = False
            self._poller.addReader(self, connection.sock)

    def _close_longest_idle(self, exclude: _Connection, address: str | None = None) -> bool:
        """Close the connection that has been idle longest; return whether there was one.

        Args:
            exclude: A connection that stays open.
            address: Address of the connections to choose from, any if None.
        """
        idle = [
            c
            for c in self._connections.values()
            if c.is_idle and c is not exclude and address in (None, c.holding.address)
        ]
        if not idle:
            return False
        self._close(min(idle, key=lambda connection: connection.timeout_started_at))
        return True

    def _close(self, connection: _Connection) -> None:
        # Closing a socket twice would make circuits keep a buffer for it forever.
        if self._connections.pop(connection.sock, None) is not None:
            self._budget.close(connection.holding)
            self.fire(close(connection.sock), "web")

    def _abort(self, connection: _Connection) -> None:
        """Close a connection although its client has not read the answer."""
        # circuits would wait until the answer is sent; a socket that is shut down fails to send.
        with suppress(OSError):
            connection.sock.shutdown(SHUT_RDWR)
        self._close(connection)
