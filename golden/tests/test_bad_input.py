"""Tests of bad input to every port of the processes of a VM."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

from zinniaweir.wire.codec import MsgpackCodec
from zinniaweir.wire.peer_service import PEER_SERVICE
from zinniaweir.wire.scheduler_service import SCHEDULER_SERVICE
from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import HOST, make_layout
from zinniaweir_testkit.process import wait_until
from zinniaweir_testkit.raw_http import (
    RawAnswer,
    make_chunked_request,
    make_request,
    read_answers,
    send_and_receive,
)

pytestmark = pytest.mark.xdist_group("bad_input")

MAX_CONNECTIONS = 40
IDLE_SECONDS = 1.0
MEBIBYTE = 1_048_576
SEEDS = range(12)
VALID_REQUEST = {"customer": "parish", "name": "gnomon-check", "idempotent": True, "body": "angle"}
VALID_JOB = {"customer": "parish", "name": "sweep", "members": 1, "accelerators": 1}


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    layout = make_layout(vms=1, workers_per_domain=2)
    limits = {
        "max_connections": MAX_CONNECTIONS,
        "idle_seconds": IDLE_SECONDS,
        "receive_seconds": IDLE_SECONDS,
    }
    with Cluster(layout=layout, entry_settings=limits) as cluster:
        cluster.start()
        yield cluster


@pytest.fixture(autouse=True)
def state_stays_unchanged(cluster: Cluster) -> Iterator[None]:
    """Guards against refused input that creates jobs, changes settings or ends a process."""
    before = observable_state(cluster)
    yield
    assert observable_state(cluster) == before
    assert all(process.is_running for process in cluster.processes.values())
    assert cluster.request(**VALID_REQUEST)["state"] == "done"


def observable_state(cluster: Cluster) -> dict[str, Any]:
    settings = cluster.get("/v1/settings/")
    return {
        "settings": settings["value"],
        "version": settings["version"],
        "jobs": cluster.get("/v1/jobs")["jobs"],
        "pids": [process.pid for process in cluster.processes.values()],
    }


def http_port(cluster: Cluster) -> int:
    return cluster.vm("vm1").http


def make_head(*lines: bytes) -> bytes:
    return b"\r\n".join([*lines, b"", b""])


POST_LINE = b"POST /v1/requests HTTP/1.1"
HOST_HEADER = b"Host: entry"
MALFORMED_HTTP = {
    "no HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20 + b"\r\n\r\n", "malformed"),
    "HTTP 0.9": (b"GET /healthz\r\n\r\n", "malformed"),
    "HTTP 2 preface": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "malformed"),
    "major version": (make_head(b"GET /healthz HTTP/3.7", HOST_HEADER), "malformed"),
    "no host": (make_head(b"GET /healthz HTTP/1.1"), "malformed"),
    "two hosts": (make_head(b"GET /healthz HTTP/1.1", HOST_HEADER, b"Host: other"), "malformed"),
    "space before colon": (make_head(b"GET /healthz HTTP/1.1", b"Host : entry"), "malformed"),
    "zero byte": (make_head(b"GET /healthz HTTP/1.1", HOST_HEADER, b"A: b\0c"), "malformed"),
    "raw bytes in path": (make_head(b"GET /v1/jobs/\xff\xfe HTTP/1.1", HOST_HEADER), "malformed"),
    "path no UTF-8": (make_request("GET", "/v1/settings/customers/%ff%fe"), "malformed"),
    "query no UTF-8": (make_request("GET", "/v1/jobs?customer=%ff"), "malformed"),
    "query fields": (make_request("GET", "/v1/jobs?" + "a=1&" * 100), "malformed"),
    "long path": (make_request("GET", "/" + "a" * 20_000), "too_large"),
    "long header": (make_head(b"GET / HTTP/1.1", HOST_HEADER, b"A: " + b"b" * 70_000), "too_large"),
    "many headers": (make_head(b"GET / HTTP/1.1", HOST_HEADER, *[b"A: b"] * 9_000), "too_large"),
    "endless head": (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 400_000, "too_large"),
    "declared body": (make_head(POST_LINE, HOST_HEADER, b"Content-Length: 1048577"), "too_large"),
    "huge length": (
        make_head(POST_LINE, HOST_HEADER, b"Content-Length: " + b"9" * 6_000),
        "malformed",
    ),
    "large length": (
        make_head(POST_LINE, HOST_HEADER, b"Content-Length: " + b"9" * 18),
        "too_large",
    ),
    "negative length": (make_head(POST_LINE, HOST_HEADER, b"Content-Length: -1"), "malformed"),
    "length no number": (make_head(POST_LINE, HOST_HEADER, b"Content-Length: 0x10"), "malformed"),
    "two lengths": (
        make_head(POST_LINE, HOST_HEADER, b"Content-Length: 3", b"Content-Length: 4") + b"{}  ",
        "malformed",
    ),
    "length and chunks": (
        make_head(POST_LINE, HOST_HEADER, b"Content-Length: 3", b"Transfer-Encoding: chunked")
        + b"0\r\n\r\n",
        "malformed",
    ),
    "unknown encoding": (
        make_head(POST_LINE, HOST_HEADER, b"Transfer-Encoding: gzip"),
        "malformed",
    ),
    "bad chunk": (
        make_head(POST_LINE, HOST_HEADER, b"Transfer-Encoding: chunked") + b"zz\r\n{}\r\n",
        "malformed",
    ),
    "chunks too large": (
        make_chunked_request("POST", "/v1/requests", [b" " * 9_000] * 120),
        "too_large",
    ),
    "tiny chunks": (
        make_chunked_request("POST", "/v1/requests", [b" "] * (2 * MEBIBYTE // 5)),
        "too_large",
    ),
    "sent body": (make_request("POST", "/v1/requests", b" " * (MEBIBYTE + 1)), "too_large"),
}
NESTING_DEPTH = 100_000
INVALID_BODIES = {
    "empty": b"",
    "null": b"null",
    "array": b"[]",
    "text": b'"x"',
    "no JSON": b"{'a': 1}",
    "cut": b'{"customer": "par',
    "two values": b"{} {}",
    "no UTF-8": b'{"customer": "\xff\xfe"}',
    "half a surrogate": b'{"customer": "\\ud800"}',
    "deep array": b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH,
    "deep object": b'{"a":' * NESTING_DEPTH + b"1" + b"}" * NESTING_DEPTH,
    "unknown field": json.dumps({**VALID_REQUEST, **VALID_JOB, "surprise": 1}).encode(),
    "zero bytes": b"\0" * 1000,
}
ENDPOINTS = (
    ("POST", "/v1/requests"),
    ("POST", "/v1/jobs"),
    ("POST", "/v1/cancel"),
    ("PUT", "/v1/settings/customers/parish"),
)
WRONG_VALUES: tuple[Any, ...] = (None, [], {}, True, "x", -1, 1.5, 10**30, 10**400, "9" * 300)
INVALID_NUMBERS = ("1e999", "-1e999", "NaN", "Infinity", "1" + "0" * 5_000)


@pytest.mark.parametrize("name", MALFORMED_HTTP)
def test_broken_http_is_refused_with_a_reason(cluster: Cluster, name: str) -> None:
    """Guards against unbounded buffers, and against guessing where a request ends."""
    data, reason = MALFORMED_HTTP[name]
    answers = send_and_receive(http_port(cluster), data)
    assert answers is not None, "closed without an answer"
    assert 400 <= answers[0].status < 500, answers
    assert answers[0].json()["state"] == "not_run"
    assert answers[0].json()["reason"] == reason
    assert answers[0].json()["detail"]


@pytest.mark.parametrize("endpoint", ENDPOINTS, ids=lambda endpoint: endpoint[1])
@pytest.mark.parametrize("name", INVALID_BODIES)
def test_bad_body_is_refused_with_a_reason(
    cluster: Cluster, name: str, endpoint: tuple[str, str]
) -> None:
    """Guards against bodies that raise an error in a handler, and against ignored fields."""
    assert_refused(
        send_and_receive(http_port(cluster), make_request(*endpoint, INVALID_BODIES[name]))
    )


@pytest.mark.parametrize(
    ("path", "base"),
    [("/v1/requests", VALID_REQUEST), ("/v1/jobs", VALID_JOB)],
    ids=["requests", "jobs"],
)
def test_wrong_type_or_size_of_any_field_is_refused(
    cluster: Cluster, path: str, base: dict[str, Any]
) -> None:
    """Guards against fields of a wrong type, or impossible shapes, that reach the scheduler."""
    fields = ["customer", "name", "priority", "idempotent", "deadline_seconds"]
    if path == "/v1/jobs":
        fields += ["members", "accelerators", "cores", "memory_gb", "spread", "declared_seconds"]
        fields += ["checkpointable", "wait_seconds", "payload"]
    valid = {("deadline_seconds", 1.5), ("memory_gb", 1.5), ("declared_seconds", 1.5)}
    valid |= {("wait_seconds", 1.5), ("idempotent", True), ("checkpointable", True)}
    for field in fields:
        for value in WRONG_VALUES:
            if (field == "payload" and value == {}) or (
                isinstance(value, float | bool) and (field, value) in valid
            ):
                continue
            if field == "deadline_seconds" and value is None and path == "/v1/jobs":
                continue
            body = json.dumps({**base, field: value}).encode()
            assert_refused(
                send_and_receive(http_port(cluster), make_request("POST", path, body)),
                f"{field}={value!r:.60}",
            )
    for number in INVALID_NUMBERS:
        text = json.dumps({**base, "deadline_seconds": 0}).replace(
            '"deadline_seconds": 0', f'"deadline_seconds": {number}'
        )
        assert_refused(
            send_and_receive(http_port(cluster), make_request("POST", path, text.encode())),
            number[:20],
        )


@pytest.mark.parametrize("depth", [150, 400, 900])
def test_deeply_nested_settings_are_refused(cluster: Cluster, depth: int) -> None:
    """Guards against deeply nested values that one process can decode and the next cannot."""
    deep = "[" * depth + "]" * depth
    put = f'{{"value": {deep}, "base_version": 0, "author": "a"}}'
    for path in ("customers/parish/limits", "customers/parish", "policy", ""):
        assert_refused(
            send_and_receive(
                http_port(cluster), make_request("PUT", f"/v1/settings/{path}", put.encode())
            ),
            path,
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_random_bytes_get_a_refusal_or_a_closed_connection(cluster: Cluster, seed: int) -> None:
    """Guards against bytes that stop the server or one of its handlers."""
    rng = random.Random(seed)
    noise = rng.randbytes(rng.randrange(1, 5_000)) + b"\r\n\r\n"
    good = make_request("POST", "/v1/cancel", json.dumps({"job_ids": ["none"]}).encode())
    flipped = bytearray(good)
    for _ in range(4):
        flipped[rng.randrange(len(flipped))] = rng.randrange(256)
    for data in (noise, bytes(flipped), good[: rng.randrange(1, len(good))]):
        answers = send_and_receive(http_port(cluster), data)
        assert answers is None or answers[0].status < 500, answers


def test_refusals_are_counted_by_reason(cluster: Cluster) -> None:
    """Guards against refusals that do not show in the metrics."""
    send_and_receive(http_port(cluster), b"no HTTP\r\n\r\n")
    send_and_receive(http_port(cluster), make_request("POST", "/v1/jobs", b"[]"))
    text = cluster.call("GET", "/metrics").text
    for name in ("http_refusals", "refused_calls"):
        assert any(name in line and "malformed" in line for line in text.splitlines()), text


def test_pipelined_requests_are_answered_in_order(cluster: Cluster) -> None:
    """Guards against answers that are sent to another request on the same connection."""
    bodies = [json.dumps({**VALID_REQUEST, "body": f"angle {n}"}).encode() for n in range(40)]
    data = b"".join(
        make_request("POST", "/v1/requests", body)
        if number % 2
        else make_chunked_request("POST", "/v1/requests", [body[:7], body[7:]])
        for number, body in enumerate(bodies)
    )
    answers = send_and_receive(http_port(cluster), data, answers=len(bodies))
    assert answers is not None
    got = [answer.json()["body"].partition(":")[2] for answer in answers]
    assert got == [f"angle {n}" for n in range(40)]


def test_bad_request_behind_good_ones_leaves_their_answers(cluster: Cluster) -> None:
    """Guards against a refusal that is sent before the answers to earlier requests."""
    body = json.dumps(VALID_REQUEST).encode()
    data = make_request("POST", "/v1/requests", body) * 3 + b"\0\0\0\r\n\r\n"
    answers = send_and_receive(http_port(cluster), data, answers=4)
    assert [answer.status for answer in answers or []] == [200, 200, 200, 400]


def test_slow_senders_are_ended_and_do_not_delay_others(cluster: Cluster) -> None:
    """Guards against a request that is never completed and occupies a connection for ever."""
    data = make_request("POST", "/v1/requests", json.dumps(VALID_REQUEST).encode())
    with socket.create_connection((HOST, http_port(cluster)), timeout=10.0) as sock:
        started = time.monotonic()
        for byte in data[:30]:
            sock.sendall(bytes([byte]))
            assert cluster.call("GET", "/healthz").elapsed.total_seconds() < 1.0
        answers = read_answers(sock, 1)
        took = time.monotonic() - started
    assert answers is not None and answers[0].status == 408
    assert answers[0].json()["reason"] == "request_timeout"
    assert took < 4 * IDLE_SECONDS


def test_request_sent_byte_by_byte_is_answered(cluster: Cluster) -> None:
    """Guards against a parser that needs the whole request in one read."""
    data = make_request("POST", "/v1/requests", json.dumps(VALID_REQUEST).encode())
    with socket.create_connection((HOST, http_port(cluster)), timeout=10.0) as sock:
        for byte in data:
            sock.sendall(bytes([byte]))
        answers = read_answers(sock, 1)
    assert answers is not None and answers[0].status == 200


def test_idle_connections_are_closed_and_do_not_shut_out_others(cluster: Cluster) -> None:
    """Guards against idle connections that use up the connection limit."""
    idle = [socket.create_connection((HOST, http_port(cluster)), timeout=10.0) for _ in range(120)]
    try:
        assert (
            send_and_receive(http_port(cluster), make_request("GET", "/healthz"))[0].status == 200
        )
        for sock in idle:
            assert sock.recv(1) == b"", "an idle connection got bytes"
    finally:
        for sock in idle:
            sock.close()


def test_connections_above_the_limit_get_a_reason(cluster: Cluster) -> None:
    """Guards against callers that wait without an answer while the server is full."""
    busy = []
    try:
        for _ in range(MAX_CONNECTIONS):
            sock = socket.create_connection((HOST, http_port(cluster)), timeout=10.0)
            sock.sendall(b"GET /healthz HTTP/1.1\r\n")
            busy.append(sock)
        time.sleep(0.3)
        answers = send_and_receive(http_port(cluster), b"")
        assert answers is not None and answers[0].status == 503
        assert answers[0].json()["reason"] == "too_many_connections"
    finally:
        for sock in busy:
            sock.close()
    wait_until(lambda: is_served(cluster), timeout=5.0, what="connections are accepted again")


def is_served(cluster: Cluster) -> bool:
    return send_and_receive(http_port(cluster), make_request("GET", "/healthz"))[0].status == 200


def test_expect_continue_and_head_and_http_1_0(cluster: Cluster) -> None:
    """Guards against failures with clients such as curl, which wait for `100 Continue`.

    Also covers HEAD, whose answer has no body, and HTTP/1.0, which closes the connection.
    """
    with socket.create_connection((HOST, http_port(cluster)), timeout=10.0) as sock:
        body = json.dumps(VALID_REQUEST).encode()
        whole = make_request("POST", "/v1/requests", body, [("Expect", "100-continue")])
        sock.sendall(whole[: -len(body)])
        assert sock.recv(100).startswith(b"HTTP/1.1 100 ")
        sock.sendall(body)
        assert read_answers(sock, 1)[0].status == 200
    with socket.create_connection((HOST, http_port(cluster)), timeout=10.0) as sock:
        sock.sendall(make_request("HEAD", "/healthz") + make_request("GET", "/healthz"))
        text = b""
        while b'"ready"' not in text:
            text += sock.recv(1000)
        assert text.count(b"HTTP/1.1 ") == 2 and text.count(b"\r\n\r\n{") == 1
    with socket.create_connection((HOST, http_port(cluster)), timeout=10.0) as sock:
        sock.sendall(b"GET /healthz HTTP/1.0\r\n\r\n")
        text = b"".join(iter(lambda: sock.recv(1000), b""))
        assert text.startswith(b"HTTP/1.0 200")


@pytest.mark.parametrize("seed", SEEDS)
def test_random_bytes_on_the_scheduler_ports(cluster: Cluster, seed: int) -> None:
    """Guards against datagrams and streams that stop the scheduler process."""
    rng = random.Random(seed)
    target = (HOST, cluster.vm("vm1").grpc)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for size in (0, 1, 50, 1_400, 60_000):
            sock.sendto(rng.randbytes(size), target)
        for value in (None, [], {"vm": "vm1"}, ["vm1"] * 9, {"type": "Heartbeat"}, 2**60):
            sock.sendto(msgspec.msgpack.encode(value), target)
    preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
    frames = b"\0\0\0\4\0\0\0\0\0" + rng.randbytes(3_000)
    for data in (rng.randbytes(5_000), preface + frames, make_request("GET", "/")):
        with socket.create_connection(target, timeout=5.0) as sock:
            sock.sendall(data)


class RawCodec(CodecBase):
    """gRPC codec that sends and returns bytes unchanged."""

    __content_subtype__ = MsgpackCodec.__content_subtype__

    def encode(self, message: Any, message_type: Any) -> bytes:
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        return data


async def raw_calls(cluster: Cluster, messages: list[bytes]) -> list[str]:
    """Send each message to each method of the scheduler process and return the statuses."""
    channel = Channel(HOST, cluster.vm("vm1").grpc, codec=RawCodec())
    found = []
    for service in (SCHEDULER_SERVICE, PEER_SERVICE):
        for method in service.methods:
            call = UnaryUnaryMethod(channel, service.path(method), None, None)
            for message in messages:
                # Unknown fields are ignored, since VMs of two versions call each other. A map is
                # therefore a valid message of a type without fields.
                if not msgspec.structs.fields(method.request) and message[0] & 0xF0 == 0x80:
                    continue
                try:
                    await call(message, timeout=10.0)
                    found.append(f"{method.name}: accepted {message[:30]!r}")
                except GRPCError as error:
                    found.append(error.status.name)
    channel.close()
    return found


@pytest.mark.parametrize("seed", range(4))
def test_bad_messages_to_every_method_of_the_scheduler(cluster: Cluster, seed: int) -> None:
    """Guards against messages that stop the scheduler process or are applied half decoded."""
    rng = random.Random(seed)
    deep: Any = None
    for _ in range(400):
        deep = [deep]
    values = (None, [], 7, "x", [deep], {"job_ids": 3, "put": 3, "limit": "x"})
    messages = [msgspec.msgpack.encode(value) for value in values]
    put = msgspec.msgpack.encode({"path": "policy", "base_version": 0, "value": 0})
    messages += [put[:-1] + b"\x91" * 100_000 + b"\x00"]
    messages += [b"\xc1", b"\x91" * 100_000, rng.randbytes(64), rng.randbytes(100_000)]
    statuses = asyncio.run(raw_calls(cluster, messages))
    assert set(statuses) == {"INVALID_ARGUMENT"}


def assert_refused(answers: list[RawAnswer] | None, case: str = "") -> None:
    assert answers is not None, f"{case}: closed without an answer"
    answer = answers[0]
    assert 400 <= answer.status < 500, f"{case}: {answer.status} {answer.body[:300]!r}"
    assert answer.json()["state"] in ("not_run", "invalid", "conflict"), case
    assert answer.json().get("reason") or answer.json().get("problems"), f"{case}: {answer.body!r}"
