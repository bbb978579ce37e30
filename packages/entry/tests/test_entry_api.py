"""Tests of the operations API, the drain and the HTTP reader."""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest

from zinniaweir.entry.answers import json_answer, status_of
from zinniaweir.entry.api import Api, BadRequestError, Call
from zinniaweir.entry.drain import Drain
from zinniaweir.entry.http_reader import BadHttpError, HttpRequest, RequestReader


def send_request(api: Api, method: str, path: str) -> tuple[int, dict]:
    request = HttpRequest(method=method, path=path, query={}, body=b"")
    answer = asyncio.run(api.answer(request))
    return answer.status, msgspec.json.decode(answer.body)


def test_failures_of_operations_become_answers() -> None:
    """An operation that raises must not leave the client without an answer."""

    async def good(call: Call):
        return json_answer(200, {"argument": call.argument})

    async def bad(call: Call):
        raise BadRequestError("field: wrong")

    async def broken(call: Call):
        raise ZeroDivisionError

    api = Api()
    api.add("GET", r"/good/(\w+)", good)
    api.add("GET", r"/bad", bad)
    api.add("GET", r"/broken", broken)
    assert send_request(api, "GET", "/good/x") == (200, {"argument": "x"})
    assert send_request(api, "GET", "/bad")[1]["reason"] == "malformed"
    status, body = send_request(api, "GET", "/broken")
    # The operation may have had an effect, so the state must not be "not_run".
    assert (status, body["state"]) == (500, "unknown")
    assert send_request(api, "POST", "/bad")[0] == 405
    assert send_request(api, "GET", "/good/x/y")[1]["reason"] == "unknown_path"


@pytest.mark.parametrize("text", ["nan", "inf", "-1", "1e400", "x", "101"])
def test_query_numbers_outside_bounds_are_refused(text: str) -> None:
    """An unchecked number would allow unlimited waits and result sizes."""
    call = Call(argument="", query={"n": text}, body=b"")
    with pytest.raises(BadRequestError):
        call.number("n", 1.0, maximum=100)


def test_status_codes_of_outcomes() -> None:
    """A wrong status code would make clients repeat work whose outcome is unknown."""
    assert [status_of(state, "") for state in ("done", "failed", "unknown")] == [200, 502, 504]
    assert status_of("not_run", "key_reused") == 409
    assert status_of("not_run", "a new reason") == 503


@pytest.mark.parametrize(
    ("ends_after", "limit", "least", "most"), [(0.3, 5.0, 0.3, 1.0), (60.0, 0.4, 0.4, 1.0)]
)
def test_drain_waits_for_requests_up_to_its_limit(
    ends_after: float, limit: float, least: float, most: float
) -> None:
    """A planned stop must neither cut off requests in flight nor wait beyond its limit."""

    async def run() -> float:
        drain = Drain(notice_seconds=0.1, limit_seconds=limit)
        started = time.monotonic()
        task = asyncio.create_task(drain.run(lambda: int(time.monotonic() - started < ends_after)))
        await asyncio.sleep(0.05)
        assert drain.is_draining
        await task
        return time.monotonic() - started

    assert least <= asyncio.run(run()) < most


def read_all(data: bytes, size: int) -> list[HttpRequest]:
    reader, found = RequestReader(), []
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
        while (received := reader.next_request()) is not None:
            found.append(received.request)
    return found


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_pipelined_requests_are_separated(size: int) -> None:
    """A body must not be parsed as the head of the next request, however the bytes are split."""
    head = "POST /v1/{} HTTP/1.1\r\nHost: e\r\n"
    data = b"".join(
        (head.format(n) + "Content-Length: 4\r\n\r\nGET ").encode()
        + (head.format(n) + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n").encode()
        for n in range(3)
    )
    found = [(request.path, request.body) for request in read_all(data, size)]
    assert found == [(f"/v1/{n}", body) for n in range(3) for body in (b"GET ", b"ab")]


@pytest.mark.parametrize("size", [100, 4_096, 3_000_000])
def test_reader_refuses_large_chunked_body(size: int) -> None:
    """A client must not fill the memory with a large body, whatever the size of its packets."""
    head = b"POST / HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + (b"10000\r\n" + b"x" * 65_536 + b"\r\n") * 40
    with pytest.raises(BadHttpError) as error:
        read_all(data, size)
    assert error.value.reason == "too_large"
