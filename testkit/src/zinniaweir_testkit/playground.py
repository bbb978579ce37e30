"""Runs three VMs and the stand-ins until Ctrl-C, to try out the system interactively."""

from __future__ import annotations

import os
import shlex
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING

from cyclopts import App

from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.layout import HOST, make_layout
from zinniaweir_testkit.process import source_paths

if TYPE_CHECKING:
    from zinniaweir_testkit.layout import Layout

app = App(name="playground", help="Run three VMs and the stand-ins until Ctrl-C.")


@app.default
def run(*, env: Path = Path(".playground.env")) -> None:
    """Start the processes, write a shell file with their addresses, and wait for Ctrl-C.

    Args:
        env: Shell file to write; `source` it in another shell. It is removed at the end.
    """
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    with Cluster(layout=make_layout()) as cluster:
        cluster.start()
        env.write_text(shell_file(cluster.layout))
        try:
            print(f"three VMs are ready; in another shell: source {env}", flush=True)
            for vm in cluster.layout.vms:
                print(f"  {vm.name} in {vm.failure_domain}: http://{HOST}:{vm.http}", flush=True)
            print(f"logs are in {cluster.folder}; Ctrl-C stops all processes", flush=True)
            stop.wait()
        finally:
            env.unlink(missing_ok=True)


def shell_file(layout: Layout) -> str:
    """Return shell commands that export the addresses and define a function `zinniaweir`."""
    servers = [f"{HOST}:{vm.http}" for vm in layout.vms]
    paths = os.pathsep.join([source_paths(), *filter(None, [os.environ.get("PYTHONPATH")])])
    return (
        f"export ENTRY=http://{servers[0]}\n"
        f"export ZINNIAWEIR_SERVER={','.join(servers)}\n"
        f"export PYTHONPATH={shlex.quote(paths)}\n"
        f'zinniaweir() {{ {shlex.quote(sys.executable)} -m zinniaweir.ctl.main "$@"; }}\n'
    )


if __name__ == "__main__":
    app()
