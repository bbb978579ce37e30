"""Declaration of unary gRPC services, and their servers and clients."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream
from h2.exceptions import H2Error

from zinniaweir.wire.codec import MsgpackCodec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CONNECT_TIMEOUT_SECONDS: Final = 1.0
"""Maximum wait for a connection.

An address that does not answer must not use up the deadline of a call that could be sent to
another address.
"""

_DECODE_ERRORS: Final = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of the codec; a message that is nested too deeply raises a RecursionError."""

_CONNECTION_ERRORS: Final = (OSError, StreamTerminatedError, H2Error)
"""Errors of a connection that was refused, reset or closed."""


class RemoteError(Exception):
    """A call to another process returned no reply."""

    def __init__(self, *, method: str, reason: str, detail: str = "") -> None:
        super().__init__(f"{method}: {reason}: {detail}" if detail else f"{method}: {reason}")
        self.method = method
        """Name of the method that was called."""
        self.reason = reason
        """One of `timeout`, `unreachable`, `broken` or `rejected`."""
        self.detail = detail
        """Message of the underlying error, or empty."""

    @property
    def is_unsent(self) -> bool:
        """Whether it is proven that the request was never sent, so that it cannot have run."""
        return self.reason == "unreachable"


@dataclass(frozen=True, kw_only=True)
class Method:
    """One unary method of a service."""

    name: str
    """Name in CamelCase."""
    request: type
    """Type of the request message."""
    reply: type
    """Type of the reply message."""


@dataclass(frozen=True, kw_only=True)
class Service:
    """A named set of unary methods."""

    name: str
    """Name without the package `zinniaweir`."""
    methods: tuple[Method, ...]
    """The methods of the service."""

    def path(self, method: Method) -> str:
        """Return the gRPC path of a method."""
        return f"/zinniaweir.{self.name}/{method.name}"


class ServiceHandler:
    """Expose the coroutines of an object as a gRPC service.

    Args:
        service: The service to expose.
        implementation: Object with a coroutine for each method, named like the method in snake
            case, which receives the request and returns the reply.
    """

    def __init__(self, *, service: Service, implementation: object) -> None:
        self._service = service
        self._implementation = implementation

    def __mapping__(self) -> dict[str, Handler]:
        return {
            self._service.path(method): Handler(
                _unary_handler(getattr(self._implementation, snake_case(method.name))),
                Cardinality.UNARY_UNARY,
                method.request,
                method.reply,
            )
            for method in self._service.methods
        }


class ServiceClient:
    """Call the methods of a service at one address.

    The connection is opened on the first call and reopened after it was lost.

    Args:
        service: The service to call.
        host: Host name or address of the server.
        port: gRPC port of the server.
    """

    def __init__(self, *, service: Service, host: str, port: int) -> None:
        self._channel = Channel(host, port, codec=MsgpackCodec())
        self._methods = {
            method.name: UnaryUnaryMethod(
                self._channel, service.path(method), method.request, method.reply
            )
            for method in service.methods
        }

    async def call(self, name: str, request: Any, *, timeout: float) -> Any:
        """Call a method and return its reply.

        Args:
            name: Name of the method.
            request: The request message.
            timeout: Timeout in seconds, which is also sent to the server.

        Raises:
            RemoteError: If the call failed, or no reply came before the timeout.
        """
        is_connected = False
        try:
            async with self._methods[name].open(timeout=timeout) as stream:
                # Opening the stream sends only headers, and a method runs only after its message
                # arrived. A failure up to here therefore proves that the request did not run.
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await stream.send_request()
                is_connected = True
                await stream.send_message(request, end=True)
                reply = await stream.recv_message()
        except GRPCError as error:
            raise _from_grpc_error(name, error) from error
        except _CONNECTION_ERRORS as error:
            raise _from_connection_error(name, error, is_connected=is_connected) from error
        except (*_DECODE_ERRORS, ProtocolError, AssertionError) as error:
            # grpclib raises AssertionError if a message is shorter than its header says.
            raise RemoteError(method=name, reason="broken", detail=str(error)) from error
        if reply is None:
            raise RemoteError(method=name, reason="broken", detail="no reply message")
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()


def snake_case(name: str) -> str:
    """Convert a CamelCase name to snake case."""
    return "".join(f"_{c.lower()}" if c.isupper() else c for c in name).lstrip("_")


def make_server(handlers: list[ServiceHandler]) -> Server:
    """Return a gRPC server that encodes messages as msgpack."""
    return Server(handlers, codec=MsgpackCodec())


def _unary_handler(
    coroutine: Callable[[Any], Awaitable[Any]],
) -> Callable[[Stream], Awaitable[None]]:
    async def handle(stream: Stream) -> None:
        try:
            request = await stream.recv_message()
        except _DECODE_ERRORS as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no request message")
        await stream.send_message(await coroutine(request))

    return handle


def _from_connection_error(method: str, error: Exception, *, is_connected: bool) -> RemoteError:
    if not is_connected:
        return RemoteError(method=method, reason="unreachable", detail=str(error))
    if isinstance(error, TimeoutError):
        return RemoteError(method=method, reason="timeout")
    return RemoteError(method=method, reason="broken", detail=str(error))


def _from_grpc_error(method: str, error: GRPCError) -> RemoteError:
    if error.status is Status.DEADLINE_EXCEEDED:
        return RemoteError(method=method, reason="timeout")
    return RemoteError(
        method=method, reason="rejected", detail=f"{error.status.name}: {error.message}"
    )
