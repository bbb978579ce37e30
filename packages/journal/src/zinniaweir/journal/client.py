"""Client of the platform's log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from grpclib.exceptions import ProtocolError
from h2.exceptions import H2Error

from zinniaweir.wire.log_service import LOG_SERVICE, AppendReply, AppendRequest, ReadRequest
from zinniaweir.wire.service import RemoteError, ServiceClient

if TYPE_CHECKING:
    from zinniaweir.wire.log_service import ReadReply

_RATE_LIMITED: Final = "RESOURCE_EXHAUSTED"


class LogCallError(Exception):
    """A call to the log failed."""

    def __init__(self, *, reason: str, may_have_taken_effect: bool, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason
        """One of `timeout`, `unreachable`, `broken`, `rejected` or `rate_limited`."""
        self.may_have_taken_effect = may_have_taken_effect
        """Whether the entries of a failed append may be in the log, or appear there later."""


class LogClient:
    """Append to and read from the log at one address.

    A connection whose packets are lost never reports an error itself, so a connection on which a
    call timed out is closed. Appends and reads use separate connections, so that a timeout of one
    does not cut the other.

    Args:
        host: Host name or address of the log.
        port: gRPC port of the log.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._connections: dict[str, ServiceClient] = {}

    async def append(self, entries: list[bytes], *, timeout: float) -> int:
        """Append entries in one call and return the offset of the first.

        Args:
            entries: Encoded records.
            timeout: Timeout of the call in seconds.

        Raises:
            LogCallError: If the call failed; `may_have_taken_effect` tells whether the entries may
                be in the log.
        """
        reply: AppendReply = await self._call(
            "Append", AppendRequest(entries=entries), timeout=timeout
        )
        return reply.first_offset

    async def read(
        self, from_offset: int, *, limit: int, wait_seconds: float, timeout: float
    ) -> ReadReply:
        """Return entries from an offset on.

        Args:
            from_offset: Offset of the first entry to return.
            limit: Maximum number of entries.
            wait_seconds: Maximum time for which the log may wait for a first entry.
            timeout: Timeout of the call in seconds.

        Raises:
            LogCallError: If the call failed.
        """
        request = ReadRequest(from_offset=from_offset, limit=limit, wait_seconds=wait_seconds)
        return await self._call("Read", request, timeout=timeout)

    def close(self) -> None:
        """Close the connections."""
        for method in list(self._connections):
            self._drop(method)

    async def _call(self, method: str, request: Any, *, timeout: float) -> Any:
        try:
            return await self._connection(method).call(method, request, timeout=timeout)
        except RemoteError as error:
            if error.reason == "timeout":
                self._drop(method)
            raise _translate(error) from error
        except (ProtocolError, H2Error) as error:
            self._drop(method)
            raise LogCallError(
                reason="broken", may_have_taken_effect=True, detail=str(error)
            ) from error

    def _connection(self, method: str) -> ServiceClient:
        if method not in self._connections:
            self._connections[method] = ServiceClient(
                service=LOG_SERVICE, host=self._host, port=self._port
            )
        return self._connections[method]

    def _drop(self, method: str) -> None:
        connection = self._connections.pop(method, None)
        if connection is not None:
            connection.close()


def _translate(error: RemoteError) -> LogCallError:
    if error.reason == "rejected" and error.detail.startswith(_RATE_LIMITED):
        return LogCallError(reason="rate_limited", may_have_taken_effect=False, detail=error.detail)
    return LogCallError(
        reason=error.reason, may_have_taken_effect=not error.is_unsent, detail=error.detail
    )
