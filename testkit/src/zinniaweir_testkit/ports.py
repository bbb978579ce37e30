"""Finds free loopback ports."""

from __future__ import annotations

import os
import socket
from typing import Final

FIRST_PORT: Final = 12_000
LAST_PORT: Final = 31_999
"""Upper end of the range, which is not used itself.

The range lies below the ephemeral ports of Linux, so that outgoing connections cannot take these
ports.
"""

_allocated: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP and that no earlier call returned.

    The search starts at a port that depends on the process id, so that parallel test processes
    rarely try the same ports.

    Args:
        count: Number of ports.

    Raises:
        RuntimeError: If there are not enough free ports.
    """
    found: list[int] = []
    span = LAST_PORT - FIRST_PORT
    start = (os.getpid() * 1009) % span
    for step in range(span):
        port = FIRST_PORT + (start + step) % span
        if port not in _allocated and _is_free(port):
            _allocated.add(port)
            found.append(port)
            if len(found) == count:
                return found
    raise RuntimeError(
        f"only {len(found)} of {count} ports are free from {FIRST_PORT} to {LAST_PORT - 1}"
    )


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
