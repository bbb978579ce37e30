"""Steps in which operators change settings through VMs or directly on the log."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

import httpx

from zinniaweir.wire.log_service import LOG_SERVICE, AppendRequest
from zinniaweir.wire.records import SettingsPut, encode_record, new_record
from zinniaweir.wire.service import ServiceClient
from zinniaweir_testkit.layout import HOST
from zinniaweir_testkit.scenario.context import CheckFailedError

if TYPE_CHECKING:
    from zinniaweir_testkit.scenario.context import ScenarioContext
    from zinniaweir_testkit.scenario.parser import Change

PROBE_TIMEOUT_SECONDS: Final = 3.0
MAX_PUT_ATTEMPTS: Final = 5
_DOMAIN_STATES: Final = {"drain": "out", "undrain": "in"}
NEW_CUSTOMER_SETTINGS: Final = {"name_correction": False}


class SettingsSteps:
    """Steps on settings: changes, and checks of the VMs on which they are in force.

    A customer is in force on a VM if a request of that customer through the VM appears in the
    history of an upstream.
    """

    def __init__(self, *, context: ScenarioContext) -> None:
        self._context = context
        self._probes = 0

    def drain(self, domain: str, vm: str | None) -> None:
        """Drain a failure domain: set its state to `out`."""
        self._put(_domain_path(domain), "out", vm)

    def undrain(self, domain: str, vm: str | None) -> None:
        """Return a drained failure domain: set its state to `in`."""
        self._put(_domain_path(domain), "in", vm)

    def race(self, first: Change, second: Change, vms: tuple[str, ...]) -> None:
        """Make two changes concurrently, each through its own VM; either may be refused."""
        barrier = threading.Barrier(2)

        def make(change: Change, vm: str) -> None:
            barrier.wait(5.0)
            self._try_put(change, vm)

        threads = [
            threading.Thread(target=make, args=(change, self._context.resolve_vm(vm)))
            for change, vm in zip((first, second), vms, strict=True)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(15.0)

    def publish_drain(self, domain: str) -> None:
        """Drain a failure domain with a record appended to the log directly, not through a VM."""
        self._publish(_domain_path(domain), "out")

    def publish_undrain(self, domain: str) -> None:
        """Return a failure domain with a record appended to the log directly, not through a VM."""
        self._publish(_domain_path(domain), "in")

    def add_customer(self, name: str, vm: str | None) -> None:
        """Add a customer with default settings and without name correction."""
        self._put(f"customers/{name}", NEW_CUSTOMER_SETTINGS, vm)

    def remove_customer(self, name: str, vm: str | None) -> None:
        """Remove a customer."""
        self._put(f"customers/{name}", None, vm)

    def publish_customer(self, name: str) -> None:
        """Add a customer with a record appended to the log directly, not through a VM."""
        self._publish(f"customers/{name}", NEW_CUSTOMER_SETTINGS)

    def expect_in_force(self, customer: str, seconds: float) -> None:
        """Check that every running VM serves a customer within some seconds of the change."""
        accepted_at = self._accepted_at(customer)
        late = []
        for vm in self._running_vms():
            left = max(0.1, accepted_at + seconds - self._context.now())
            try:
                self._context.wait(
                    lambda vm=vm: self._is_served(customer, vm), timeout=left, what="served"
                )
            except CheckFailedError:
                late.append(vm)
        problem = f"{customer} is not in force on {late} {seconds:g} s after its acceptance"
        self._context.require(not late, problem)

    def expect_not_in_force(self, customer: str) -> None:
        """Check that no running VM serves a customer."""
        served = [vm for vm in self._running_vms() if self._is_served(customer, vm)]
        self._context.require(not served, f"{customer} is in force on {served}")

    def _accepted_at(self, customer: str) -> float:
        path = f"customers/{customer}"
        _, accepted = self._context.observer.settings_changes()
        times = [at for at, put in accepted if put.path == path]
        self._context.require(bool(times), f"the log holds no accepted change of {path}")
        return times[-1]

    def _running_vms(self) -> list[str]:
        cluster = self._context.cluster
        return [vm.name for vm in cluster.layout.vms if cluster.is_up(vm.name)]

    def _is_served(self, customer: str, vm: str) -> bool:
        self._probes += 1
        body = f"probe-{self._probes}-{vm}"
        request = {"customer": customer, "name": "probe", "idempotent": True, "body": body}
        try:
            self._context.cluster.call(
                "POST", "/v1/requests", vm=vm, body=request, timeout=PROBE_TIMEOUT_SECONDS
            )
        except httpx.HTTPError:
            return False
        runs = self._context.observer.runs()
        return any(run.body == body and run.customer == customer for run in runs)

    def _put(self, path: str, value: Any, vm: str | None) -> None:
        """Change settings, and retry a conflict (status 409) on the version then in force."""
        vm_name = self._context.resolve_vm(vm) if vm else self._context.callers.healthy_vm()
        for _ in range(MAX_PUT_ATTEMPTS - 1):
            try:
                self._context.cluster.put(path, value, vm=vm_name)
                return
            except RuntimeError as error:
                if "409" not in str(error):
                    raise
        self._context.cluster.put(path, value, vm=vm_name)

    def _try_put(self, change: Change, vm: str) -> None:
        path, value = f"customers/{change.name}", NEW_CUSTOMER_SETTINGS
        if change.kind in _DOMAIN_STATES:
            path, value = _domain_path(change.name), _DOMAIN_STATES[change.kind]
        try:
            self._context.cluster.put(path, value, vm=vm)
        except (RuntimeError, httpx.HTTPError):
            return

    def _publish(self, path: str, value: Any) -> None:
        _, version = self._context.observer.settings().get(path)
        body = SettingsPut(path=path, value=value, base_version=version, author="operator")
        entry = encode_record(new_record(vm="operator", body=body))

        async def append() -> None:
            port = self._context.cluster.layout.log_port
            client = ServiceClient(service=LOG_SERVICE, host=HOST, port=port)
            try:
                await client.call("Append", AppendRequest(entries=[entry]), timeout=5.0)
            finally:
                client.close()

        self._context.cluster.loop.run(append())


def _domain_path(domain: str) -> str:
    return f"topology/failure_domains/{domain}/state"
