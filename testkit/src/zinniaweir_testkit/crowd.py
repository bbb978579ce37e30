"""Crowds of clients that may neither finish what they send nor read the answers."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

CONNECT_TIMEOUT_SECONDS: Final = 10.0


@dataclass(frozen=True, kw_only=True)
class Crowd:
    """Clients that connect at the same time and keep their connections open."""

    port: int
    count: int
    pieces: Callable[[], Iterable[bytes]]
    """Returns what one client sends."""
    pause_seconds: float = 0.0
    """Time between two pieces."""
    seconds: float = 4.0
    """Time from the first connection until all are closed."""
    reads: bool = True
    """Whether the clients read answers."""

    def run(self) -> None:
        """Run the crowd until all of its connections are closed."""
        asyncio.run(self.run_here())

    @contextlib.contextmanager
    def present(self) -> Iterator[None]:
        """Run the crowd during the block, and wait for its end after it."""
        thread = threading.Thread(target=self.run)
        thread.start()
        yield
        thread.join()

    async def run_here(self) -> None:
        """Run the crowd in the present event loop."""
        clients = [asyncio.create_task(self._client()) for _ in range(self.count)]
        await asyncio.sleep(self.seconds)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def _client(self) -> None:
        # The server may refuse or close any of these connections.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            try:
                if not self.reads:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                for piece in self.pieces():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(self.pause_seconds)
                while self.reads and await reader.read(65_536):
                    pass
                await asyncio.sleep(self.seconds)
            finally:
                writer.transport.abort()


def in_pieces(data: bytes, size: int) -> list[bytes]:
    """Return data cut into pieces of a size."""
    return [data[start : start + size] for start in range(0, len(data), size)]


def in_chunks(data: bytes, size: int) -> list[bytes]:
    """Return data as HTTP chunks of a size, without the last chunk."""
    return [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in in_pieces(data, size)]
