"""Processes of stand-ins, and measurements of wire bytes and memory."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import struct
import tempfile
import tracemalloc
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from zinniaweir.wire.service import RemoteError, ServiceClient
from zinniaweir_standins.faults import CONTROL_SERVICE, FaultRequest
from zinniaweir_testkit.ports import free_ports
from zinniaweir_testkit.process import ManagedProcess

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

HOST: Final = "127.0.0.1"
HEADER_BYTES: Final = 52
"""Size of IP and TCP headers with time stamps."""
_TCP_INFO_BYTES: Final = 144
"""Size of Linux's `struct tcp_info` up to and including `tcpi_segs_in`."""
_TRAFFIC_COUNTS: Final = struct.Struct("QQII")
"""Bytes acknowledged and received, and segments sent and received."""
_ACKED_OFFSET: Final = 120
"""Offset of `tcpi_bytes_acked`, the first of the traffic counts, in `struct tcp_info`."""


class NullCounters:
    """Takes the place of a process's counters and counts nothing."""

    def add(self, name: str, *, reason: str = "", amount: int = 1) -> None:
        """Ignore the count."""


@contextlib.contextmanager
def log_standin(appends_per_second: float = 100_000.0) -> Iterator[int]:
    """Run a log stand-in and yield its port."""
    port = free_ports(1)[0]
    arguments = [f"--port={port}", f"--appends-per-second={appends_per_second}"]
    with _running("log", "zinniaweir_standins.log", [arguments], [port]):
        yield port


@contextlib.contextmanager
def worker_standins(count: int, *, processes: int = 4) -> Iterator[list[int]]:
    """Run stand-in workers in a few processes and yield their ports."""
    ports = free_ports(count)
    shares = [ports[number::processes] for number in range(processes)]
    arguments = [
        [item for port in share for item in (f"--ports={port}", f"--names=w{port}")]
        for share in shares
        if share
    ]
    with _running("workers", "zinniaweir_standins.worker", arguments, ports):
        yield ports


@contextlib.contextmanager
def _running(
    name: str, module: str, argument_lists: list[list[str]], ports: list[int]
) -> Iterator[None]:
    with tempfile.TemporaryDirectory(prefix="zinniaweir-") as folder:
        processes = [
            ManagedProcess(
                name=f"{name}{number}", module=module, arguments=arguments, folder=Path(folder)
            )
            for number, arguments in enumerate(argument_lists)
        ]
        try:
            for process in processes:
                process.start()
            asyncio.run(_wait_for(ports))
            yield
        finally:
            for process in processes:
                process.kill()


async def _wait_for(ports: list[int]) -> None:
    for port in ports:
        client = ServiceClient(service=CONTROL_SERVICE, host=HOST, port=port)
        try:
            async with asyncio.timeout(30.0):
                while not await _answers(client):
                    await asyncio.sleep(0.05)
        finally:
            client.close()


async def _answers(client: ServiceClient) -> bool:
    try:
        await client.call("SetFaults", FaultRequest(), timeout=2.0)
    except RemoteError:
        return False
    return True


def wire_bytes(client: ServiceClient) -> int:
    """Return the bytes that a connection carried in both directions, with estimated headers."""
    protocol = client._channel._protocol
    if protocol is None:
        return 0
    connection: socket.socket = protocol.connection._transport.get_extra_info("socket")
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    acked, received, segments_out, segments_in = _TRAFFIC_COUNTS.unpack_from(info, _ACKED_OFFSET)
    return acked + received + HEADER_BYTES * (segments_out + segments_in)


def bytes_held(build: Callable[[], Any]) -> int:
    """Return the memory in bytes that is held by what a function builds."""
    gc.collect()
    tracemalloc.start()
    try:
        held = build()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del held
        return size
    finally:
        tracemalloc.stop()
