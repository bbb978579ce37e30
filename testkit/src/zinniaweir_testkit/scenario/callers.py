"""Sends requests and jobs to a test cluster in the background and records the answers."""

from __future__ import annotations

import itertools
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import httpx

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from zinniaweir_testkit.scenario.cluster import RelayedCluster

MAX_CONCURRENT_CALLS: Final = 48
CALL_TIMEOUT_SECONDS: Final = 45.0
HEALTH_POLL_INTERVAL_SECONDS: Final = 0.5
"""Interval at which the simulated load balancer polls the health checks."""
RETRY_DELAY_SECONDS: Final = 0.4


@dataclass(kw_only=True)
class Call:
    """One call to an entry process, with its answer."""

    name: str
    """Name by which steps refer to the call; several calls can share it."""
    vm: str
    path: str
    body: dict[str, Any]
    started_at: float = field(default_factory=time.time)
    """Wall-clock time in seconds."""
    ended_at: float | None = None
    """Wall-clock time in seconds, or None while the answer is outstanding."""
    status: int = 0
    """HTTP status code; 0 if no HTTP answer was received."""
    answer: dict[str, Any] = field(default_factory=dict)
    error: str = ""
    """Connection failure; empty if a complete HTTP answer was received."""

    @property
    def state(self) -> str:
        """State in the answer; `connection_error` if no complete answer was received."""
        if self.error:
            return "connection_error"
        return str(self.answer.get("state") or self.answer.get("job", {}).get("state", ""))


class Callers:
    """Clients that call the entry processes from background threads.

    A simulated load balancer distributes calls without a VM over the healthy VMs in turn.
    """

    def __init__(self, *, cluster: RelayedCluster) -> None:
        self.calls: list[Call] = []
        """All calls in the order in which they were sent."""
        self._cluster = cluster
        self._client = httpx.Client(
            timeout=CALL_TIMEOUT_SECONDS,
            limits=httpx.Limits(
                max_connections=4 * MAX_CONCURRENT_CALLS, max_keepalive_connections=0
            ),
        )
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_CALLS)
        self._futures: list[Future[Any]] = []
        self._stop_load = threading.Event()
        self._loads: list[threading.Thread] = []
        self._balancer_lock = threading.Lock()
        self._balancer_thread: threading.Thread | None = None
        self._healthy: list[str] = []
        self._rotation = itertools.count()
        self._closed = threading.Event()

    def post(self, name: str, path: str, body: dict[str, Any], vm: str | None = None) -> Future:
        """Send a call in the background, and return the future of the finished `Call`."""
        future = self._pool.submit(self._post, name, path, body, vm)
        self._futures.append(future)
        return future

    def retry(
        self,
        name: str,
        path: str,
        body: dict[str, Any],
        *,
        vms: Sequence[str],
        seconds: float,
    ) -> None:
        """Repeat a call in the background, through the VMs in turn, until done or out of time."""

        def run() -> None:
            deadline = time.monotonic() + seconds
            for vm in itertools.cycle(vms):
                call = self._post(name, path, body, vm)
                if call.state == "done" or time.monotonic() > deadline:
                    return
                self._closed.wait(RETRY_DELAY_SECONDS)

        self._futures.append(self._pool.submit(run))

    def load(self, rate: float, make: Callable[[int], tuple[str, str, dict[str, Any]]]) -> None:
        """Send calls at a constant rate until `stop_load`.

        Args:
            rate: Calls per second.
            make: Returns the name, path and body of the call with a given number.
        """

        def run() -> None:
            started = time.monotonic()
            for number in itertools.count():
                wait = started + number / rate - time.monotonic()
                if self._stop_load.wait(max(0.0, wait)):
                    return
                self.post(*make(number))

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self._loads.append(thread)

    def stop_load(self) -> None:
        """Stop all loads and wait for the outstanding answers."""
        self._stop_load.set()
        for thread in self._loads:
            thread.join(5.0)
        self._loads.clear()
        self.wait()
        self._stop_load.clear()

    def wait(self, timeout: float = CALL_TIMEOUT_SECONDS) -> None:
        """Wait for all outstanding answers.

        Args:
            timeout: Longest wait in seconds.

        Raises:
            TimeoutError: If an answer is still outstanding then.
        """
        deadline = time.monotonic() + timeout
        for future in self._futures:
            future.result(max(0.0, deadline - time.monotonic()))
        self._futures.clear()

    def named(self, name: str) -> list[Call]:
        """Return the calls with a name."""
        return [call for call in list(self.calls) if call.name == name]

    def close(self) -> None:
        """Stop the background work without waiting for answers."""
        self._stop_load.set()
        self._closed.set()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._client.close()

    def healthy_vm(self) -> str:
        """Return the next healthy VM, or the next of all VMs if none is healthy."""
        with self._balancer_lock:
            if self._balancer_thread is None:
                self._poll_health()
                self._balancer_thread = threading.Thread(target=self._run_balancer, daemon=True)
                self._balancer_thread.start()
        vms = self._healthy or [vm.name for vm in self._cluster.layout.vms]
        return vms[next(self._rotation) % len(vms)]

    def _run_balancer(self) -> None:
        while not self._closed.wait(HEALTH_POLL_INTERVAL_SECONDS):
            self._poll_health()

    def _poll_health(self) -> None:
        self._healthy = [vm.name for vm in self._cluster.layout.vms if self._is_healthy(vm.name)]

    def _is_healthy(self, vm: str) -> bool:
        try:
            answer = self._client.get(self._cluster.url(vm, "/healthz"), timeout=1.0)
        except (httpx.HTTPError, RuntimeError):
            return False
        return answer.status_code == 200

    def _post(self, name: str, path: str, body: dict[str, Any], vm: str | None) -> Call:
        vm = vm or self.healthy_vm()
        call = Call(name=name, vm=vm, path=path, body=body)
        self.calls.append(call)
        try:
            answer = self._client.post(self._cluster.url(vm, path), json=body)
            call.status = answer.status_code
            call.answer = answer.json()
        except (httpx.HTTPError, ValueError, RuntimeError) as error:
            call.error = f"{type(error).__name__}: {error}"
        call.ended_at = time.time()
        return call
