"""Relays of TCP connections and UDP datagrams over links that a test can cut, delay or degrade."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    Address = tuple[str, int]

HOST: Final = "127.0.0.1"
CHUNK_BYTES: Final = 65_536


@dataclass(kw_only=True)
class Link:
    """The path between two processes, in both directions.

    Cutting a link simulates a network partition: connections stay open, TCP data arrives after
    the link is healed, and datagrams are lost.
    """

    delay_seconds: float = 0.0
    """Delay of each TCP chunk and each datagram."""
    drop_share: float = 0.0
    """Probability from 0 to 1 that a datagram is lost."""
    _open: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._open.set()

    @property
    def is_cut(self) -> bool:
        """Whether the link is cut."""
        return not self._open.is_set()

    def cut(self) -> None:
        """Block everything on the link."""
        self._open.clear()

    def heal(self) -> None:
        """End a cut."""
        self._open.set()

    async def wait_to_pass(self) -> None:
        """Wait for the delay, and until the link is not cut."""
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        await self._open.wait()


class TcpRelay:
    """Forwards TCP connections from one port to another over a link.

    Args:
        port: Port to listen on.
        target: Port to forward to.
        link: Link that the data passes in both directions.
    """

    def __init__(self, *, port: int, target: int, link: Link) -> None:
        self._port = port
        self._target = target
        self._link = link
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on the port."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Close all open connections; new ones are still accepted."""
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._link.wait_to_pass()
            target_reader, target_writer = await asyncio.open_connection(HOST, self._target)
            await asyncio.gather(
                self._copy_stream(reader, target_writer), self._copy_stream(target_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _copy_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._link.wait_to_pass()
                writer.write(chunk)
                await writer.drain()
            await self._link.wait_to_pass()
        except OSError:
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()


class UdpRelay(asyncio.DatagramProtocol):
    """Receives the datagrams that one process sends to another, and passes them to a callback.

    Args:
        port: Port to listen on.
        deliver: Called with each datagram and the port of its sender.
    """

    def __init__(self, *, port: int, deliver: Callable[[bytes, int], None]) -> None:
        self._port = port
        self._deliver = deliver
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Listen on the port."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, self._port)
        )

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram to the callback."""
        self._deliver(data, addr[1])

    def send(self, data: bytes, port: int, link: Link, rng: random.Random) -> None:
        """Send a datagram from this port over a link, unless the link is cut or loses it."""
        if link.is_cut or rng.random() < link.drop_share or self._transport is None:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(link.delay_seconds, self._send, data, port)

    def _send(self, data: bytes, port: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (HOST, port))
