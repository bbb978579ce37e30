"""Incremental reader of the HTTP/1.1 requests of one connection, with size limits."""

from __future__ import annotations

from typing import Final
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec

from zinniaweir.entry.connection_budget import FIELD_BYTES

MAX_HEAD_BYTES: Final = 16_384
"""Maximum size of the request line and the headers."""
MAX_BODY_BYTES: Final = 1_048_576
"""Maximum size of a body, as documented for the HTTP interface."""
MAX_MESSAGE_BYTES: Final = MAX_HEAD_BYTES + MAX_BODY_BYTES
"""Maximum size of a head and a body together.

The bytes of a request as sent, chunk headers included, may be twice as many.
"""
MAX_CHUNKS: Final = 10_000
"""Maximum number of chunks of a body.

A chunk of any size takes about 10 us to parse, so a body of one-byte chunks would take seconds.
"""
MAX_QUERY_FIELDS: Final = 32
"""Maximum number of fields of a query string."""


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as the operations see it."""

    method: str
    path: str
    """Percent-decoded path without the query."""
    query: dict[str, str]
    """Query fields; a repeated field has its last value."""
    body: bytes


class ReceivedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that has arrived in full, and whether its connection stays open."""

    request: HttpRequest
    version: tuple[int, int]
    """HTTP version of the request."""
    is_last: bool
    """Whether the connection is closed after the answer."""


class BadHttpError(Exception):
    """The received bytes are not an acceptable HTTP request; the connection cannot be reused."""

    def __init__(self, *, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        """`malformed` or `too_large`."""
        self.detail = detail
        """What is wrong with the request."""


class RequestReader:
    """Parse the bytes of one connection into requests, one at a time.

    h11 does the parsing, because the parser of circuits.web neither limits its buffer nor
    separates requests that arrive together. Bytes that follow a request are kept for the next
    call of `next_request`.
    """

    def __init__(self) -> None:
        self._parser = _new_parser()
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._received_bytes = 0
        self._chunk_count = 0
        self._wants_continue = False

    @property
    def is_idle(self) -> bool:
        """Whether no part of the next request has arrived."""
        return self._head is None and not self._received_bytes

    @property
    def received_bytes(self) -> int:
        """Number of bytes received since the last complete request."""
        return self._received_bytes

    @property
    def held_bytes(self) -> int:
        """Memory of the next request as far as it has arrived."""
        fields = 0 if self._head is None else len(self._head.headers)
        return self._received_bytes + FIELD_BYTES * fields

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._received_bytes += len(data)
        self._parser.receive_data(data)

    def next_request(self) -> ReceivedRequest | None:
        """Return the next request, or None if it has not arrived in full.

        Raises:
            BadHttpError: If the bytes are not an acceptable request.
        """
        try:
            return self._next_request()
        except h11.RemoteProtocolError as error:
            is_large = error.error_status_hint == 431
            detail = f"headers above {MAX_HEAD_BYTES} bytes" if is_large else str(error)
            raise BadHttpError(
                reason="too_large" if is_large else "malformed", detail=detail
            ) from error

    def wants_continue(self) -> bool:
        """Return whether the client waits for `100 Continue` before it sends the body.

        Returns True only once per request.
        """
        wanted, self._wants_continue = self._wants_continue, False
        return wanted

    def _next_request(self) -> ReceivedRequest | None:
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._check_limits()
                return None
            if isinstance(event, h11.Request):
                self._start_request(event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._chunk_count += event.chunk_start
                self._check_limits()
            elif isinstance(event, h11.EndOfMessage):
                return self._finish_request()
            else:
                raise BadHttpError(reason="malformed", detail="no HTTP request")

    def _start_request(self, head: h11.Request) -> None:
        self._head = head
        if head.http_version not in (b"1.0", b"1.1"):
            raise BadHttpError(reason="malformed", detail="expected HTTP/1.0 or HTTP/1.1")
        # h11 limits the size only of a head that arrives in several parts.
        if _head_size(head) > MAX_HEAD_BYTES:
            raise BadHttpError(reason="too_large", detail=f"headers above {MAX_HEAD_BYTES} bytes")
        self._wants_continue = self._parser.they_are_waiting_for_100_continue
        length = _header(head, b"content-length")
        if length and _header(head, b"transfer-encoding"):
            # A load balancer that uses the other length would see a different end of the request
            # (request smuggling).
            raise BadHttpError(
                reason="malformed", detail="both content-length and transfer-encoding"
            )
        # Refuse before the body is sent. The number of digits is checked first, because `int`
        # raises ValueError for very long numbers.
        if length and (len(length) > 10 or int(length) > MAX_BODY_BYTES):
            self._raise_body_too_large()

    def _check_limits(self) -> None:
        if len(self._body) > MAX_BODY_BYTES or self._received_bytes > 2 * MAX_MESSAGE_BYTES:
            self._raise_body_too_large()
        if self._chunk_count > MAX_CHUNKS:
            raise BadHttpError(reason="too_large", detail=f"body in more than {MAX_CHUNKS} chunks")

    def _raise_body_too_large(self) -> None:
        raise BadHttpError(reason="too_large", detail=f"body above {MAX_BODY_BYTES} bytes")

    def _finish_request(self) -> ReceivedRequest:
        assert self._head is not None
        head, body = self._head, bytes(self._body)
        version = (1, 0) if head.http_version == b"1.0" else (1, 1)
        tokens = _header(head, b"connection").lower().split(b",")
        is_last = version == (1, 0) or b"close" in [token.strip() for token in tokens]
        received = ReceivedRequest(request=_request(head, body), version=version, is_last=is_last)
        trailing = self._parser.trailing_data[0]
        self._parser = _new_parser()
        self._head, self._body, self._received_bytes = None, bytearray(), 0
        self._chunk_count = 0
        if trailing:
            self.feed(trailing)
        return received


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)


def _header(head: h11.Request, name: bytes) -> bytes:
    return b",".join(value for key, value in head.headers if key == name)


def _head_size(head: h11.Request) -> int:
    fields = sum(len(name) + len(value) + len(": \r\n") for name, value in head.headers)
    return len(head.method) + len(head.target) + fields


def _request(head: h11.Request, body: bytes) -> HttpRequest:
    target = head.target.decode("ascii")
    try:
        parts = urlsplit(target)
        path = unquote(parts.path, errors="strict")
        fields = parse_qsl(
            parts.query,
            keep_blank_values=True,
            errors="strict",
            max_num_fields=MAX_QUERY_FIELDS,
        )
    except ValueError as error:
        raise BadHttpError(reason="malformed", detail=f"request target: {error}") from error
    return HttpRequest(method=head.method.decode("ascii"), path=path, query=dict(fields), body=body)
