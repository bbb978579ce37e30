"""Test of the planned stop of an entry process with requests in flight."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import HOST, make_layout
from zinniaweir_testkit.raw_http import make_request, read_answers, send_and_receive

pytestmark = pytest.mark.xdist_group("planned_stop")

CHECK = {"customer": "parish", "name": "gnomon-check", "idempotent": True}
BODY_BYTES = 900_000


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    with Cluster(layout=make_layout(vms=1)) as cluster:
        cluster.start()
        yield cluster


def make_post(body: str) -> bytes:
    data = json.dumps({**CHECK, "body": body}).encode()
    return make_request("POST", "/v1/requests", data)


def test_requests_in_flight_get_their_answers(cluster: Cluster) -> None:
    """Guards against a planned stop that drops requests in flight, slow readers or new requests."""
    port = cluster.vm("vm1").http
    for node in cluster.layout.upstreams:
        cluster.set_faults(node.port, settings={"work_seconds": 5.0})
    late_statuses: list[int] = []
    with (
        socket.create_connection((HOST, port), timeout=30.0) as slow_work,
        socket.create_connection((HOST, port), timeout=30.0) as slow_reader,
    ):
        slow_reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        slow_work.sendall(make_post("angle 14.6"))
        slow_reader.sendall(make_post("x" * BODY_BYTES))
        time.sleep(0.5)
        entry = cluster.processes["vm1-entry"]
        entry.terminate()
        time.sleep(0.5)
        # The load balancer has the notice period to see the failing health check; requests are
        # still served.
        late_statuses.append(send_and_receive(port, make_request("GET", "/healthz"))[0].status)
        late_caller = threading.Thread(
            target=lambda: late_statuses.append(
                send_and_receive(port, make_post("late"), timeout=30.0)[0].status
            )
        )
        late_caller.start()
        answers = read_answers(slow_work, 1)
        assert answers is not None
        assert json.loads(answers[0].body)["state"] == "done"
        late_caller.join(20.0)
        time.sleep(1.0)
        answers = read_answers(slow_reader, 1)
        assert answers is not None
        assert len(answers[0].json()["body"].partition(":")[2]) == BODY_BYTES
    assert late_statuses == [503, 200]
    assert entry.wait(10.0) == 0
