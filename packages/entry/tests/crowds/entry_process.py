"""The entry process of a test cluster, whose memory and descriptors are observed."""

from __future__ import annotations

import contextlib
import json
import threading
import time
from typing import Final

import psutil

from zinniaweir.settings.process import EntrySettings
from zinniaweir_testkit.cluster import Cluster
from zinniaweir_testkit.raw_http import make_request, send_and_receive

MEMORY_MB: Final = 96
"""Memory of the machine that the process may use; it idles at about 56 MB."""
MAX_FDS: Final = 500
"""Descriptor limit of the processes."""
ENTRY_SETTINGS: Final = (
    {"memory_mb": MEMORY_MB} if "memory_mb" in EntrySettings.__struct_fields__ else {}
)
SAMPLE_SECONDS: Final = 0.02
CALM_SECONDS: Final = 0.5
"""Time between the end of a crowd, or its beginning if it stays, and the ordinary request."""
ORDINARY_REQUEST: Final = {
    "customer": "parish",
    "name": "gnomon-check",
    "idempotent": True,
    "body": "angle",
}


class ObservedEntry:
    """A fresh entry process, and the most memory and descriptors that it had."""

    def __init__(self, *, cluster: Cluster) -> None:
        self._cluster = cluster
        self._sampling = True
        self.peak_memory_bytes = 0
        self.peak_descriptors = 0

    @property
    def port(self) -> int:
        """Port of the entry process."""
        return self._cluster.vm("vm1").http

    def start(self) -> None:
        """Replace the entry process of the cluster by a fresh one and observe it."""
        self._cluster.processes["vm1-entry"].kill()
        self._cluster.start_entry("vm1")
        self._cluster.wait_ready("vm1")
        self._process = psutil.Process(self._cluster.processes["vm1-entry"].pid)
        self._sampler = threading.Thread(target=self._sample, daemon=True)
        self._sampler.start()

    def stop(self) -> None:
        """End the observation."""
        self._sampling = False
        self._sampler.join()

    def check(self) -> None:
        """Check that the process kept within its machine and answers an ordinary request."""
        time.sleep(CALM_SECONDS)
        data = make_request("POST", "/v1/requests", json.dumps(ORDINARY_REQUEST).encode())
        answers = send_and_receive(self.port, data)
        status = answers[0].status if answers else 0
        print(f"memory {self.peak_memory_bytes / 2**20:.0f} MB,", end=" ")
        print(f"descriptors {self.peak_descriptors}, ordinary request {status}")
        assert self._cluster.processes["vm1-entry"].pid == self._process.pid
        assert self._cluster.processes["vm1-entry"].is_running
        assert self.peak_memory_bytes < MEMORY_MB * 2**20
        assert self.peak_descriptors < MAX_FDS
        assert status == 200

    def _sample(self) -> None:
        with contextlib.suppress(psutil.Error):
            while self._sampling:
                memory = self._process.memory_info().rss
                self.peak_memory_bytes = max(self.peak_memory_bytes, memory)
                self.peak_descriptors = max(self.peak_descriptors, self._process.num_fds())
                time.sleep(SAMPLE_SECONDS)
