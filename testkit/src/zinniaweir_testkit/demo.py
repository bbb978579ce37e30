"""Runs jobs and requests through the processes of three VMs and prints the results."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Any

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import make_layout

if TYPE_CHECKING:
    from collections.abc import Callable


def main() -> int:
    """Run the demo and return its exit code."""
    started = time.monotonic()
    failures = 0
    with Cluster(layout=make_layout()) as cluster:
        try:
            cluster.start()
            print(f"three VMs in three failure domains are ready ({_elapsed_since(started)})")
            for step in (gang_job, idempotent_check, renewal, drained_domain):
                failures += not step(cluster, print)
        except (TimeoutError, RuntimeError) as error:
            failures += 1
            print(f"failed: {error}")
            for name, process in cluster.processes.items():
                if name.startswith("vm"):
                    print(f"--- {name}\n{process.log_text()[-1500:]}")
    verdict = f"{failures} steps failed" if failures else "all steps passed"
    print(f"{verdict} in {_elapsed_since(started)}")
    return 1 if failures else 0


def gang_job(cluster: Cluster, show: Callable[[str], Any]) -> bool:
    """Submit a gang of two members under a misspelled customer name, and wait until it is done."""
    answer = cluster.submit(
        customer="parihs",
        name="ray-trace",
        members=2,
        accelerators=8,
        spread="rack",
        idempotent=False,
        key="demo-trace-1",
        payload={"seconds": 1.0},
        wait_seconds=30,
    )
    job = answer.get("job", answer)
    workers = ", ".join(member["worker"] for member in job.get("members", []))
    show(f"gang job {job.get('job_id')}: {job.get('state')} ({job.get('reason')}) {workers}")
    show(f"  customer corrected: {job.get('corrected_from')}")
    return job.get("state") == "done"


def idempotent_check(cluster: Cluster, show: Callable[[str], Any]) -> bool:
    """Send an idempotent request, which may run more than once."""
    answer = cluster.request(
        vm="vm2",
        customer="parish",
        name="gnomon-check",
        priority="urgent",
        idempotent=True,
        body="angle 14.6",
    )
    show(f"check: {answer['state']} by {answer.get('upstream')}: {answer.get('body')}")
    return answer["state"] == "done"


def renewal(cluster: Cluster, show: Callable[[str], Any]) -> bool:
    """Send the same request with a key through two VMs; it runs once and both get its answer."""
    body = {
        "customer": "heritage",
        "name": "renewal",
        "idempotent": False,
        "key": "permit-77",
        "body": "permit 77",
    }
    first = cluster.request(vm="vm1", **body)
    second = cluster.request(vm="vm3", **body)
    runs = 0
    for node in cluster.layout.upstreams:
        runs += cluster.set_faults(node.port)["runs"].get("permit-77", 0)
    show(f"renewal: {first['state']}, again by another VM: {second['state']}, ran {runs} time(s)")
    return first["body"] == second["body"] != "" and runs == 1


def drained_domain(cluster: Cluster, show: Callable[[str], Any]) -> bool:
    """Drain the failure domain of a running job; the job is done in another one."""
    job = cluster.submit(
        customer="catalogue",
        name="sweep",
        members=1,
        accelerators=4,
        checkpointable=True,
        payload={"seconds": 4.0},
    )["job"]
    job = _wait_for_state(cluster, job["job_id"], "running")
    domain = job["members"][0]["worker"].rsplit("-", 1)[0]
    cluster.drain(domain)
    took = cluster.wait_settings()
    show(f"drained {domain}; in force on every VM after {took:.2f} s")
    job = cluster.get(f"/v1/jobs/{job['job_id']}?wait_seconds=20", vm="vm2")["job"]
    why = cluster.get(f"/v1/jobs/{job['job_id']}/why", vm="vm2")
    for entry in why["history"]:
        show(f"  {entry['event']}: {entry['reason']}")
    cluster.undrain(domain)
    return job["state"] == "done" and job["attempt"] > 1


def _wait_for_state(cluster: Cluster, job_id: str, state: str) -> dict[str, Any]:
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        job = cluster.get(f"/v1/jobs/{job_id}")["job"]
        if job["state"] == state:
            return job
        time.sleep(0.05)
    raise TimeoutError(f"{job_id} is {job['state']}, not {state}")


def _elapsed_since(since: float) -> str:
    return f"{time.monotonic() - since:.1f} s"


if __name__ == "__main__":
    sys.exit(main())
