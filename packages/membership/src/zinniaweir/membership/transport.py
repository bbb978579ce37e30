"""Exchange of heartbeats as UDP datagrams."""

from __future__ import annotations

import asyncio
import ipaddress
import math
import time
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from zinniaweir.wire.peer_service import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from zinniaweir.membership.view import Membership
    from zinniaweir.wire.vmlist_service import VmEntry

    Address = tuple[str, int]

HEARTBEAT_INTERVAL_SECONDS: Final = 0.5
"""Default time between heartbeats."""
MAX_DATAGRAM_BYTES: Final = 512
"""Larger datagrams are refused; a heartbeat with usual names has 80 to 102 bytes."""
MAX_NAME_LENGTH: Final = 64
"""Maximum length of the names in a heartbeat, in characters."""
FORWARD_NEW_PEER_SECONDS: Final = 3.0
"""Time for which the heartbeats of a new VM are forwarded to the other VMs.

VMs that share only a seed address thus learn each other's address, even if datagrams are lost.
"""
MAX_ADDRESSES: Final = 256
"""Maximum number of addresses to which a heartbeat is sent."""
MAX_OFFSET: Final = 2**62
"""Maximum log offset that is accepted in a heartbeat."""


class TransportError(Exception):
    """The UDP socket cannot be opened."""


class CounterSink(Protocol):
    """Counters by name and reason."""

    def add(self, name: str, *, reason: str = "", amount: int = 1) -> None:
        """Increase a counter by an amount."""


class HeartbeatTransport:
    """Exchange heartbeats with the other VMs.

    A VM uses the same port number for UDP and for gRPC. The addresses of other VMs come from the
    seed addresses, the VM list and received heartbeats.

    Args:
        host: IP address to listen on.
        port: UDP port to listen on.
        membership: View to which received heartbeats are applied.
        make_heartbeat: Returns the current heartbeat of this VM.
        seed_addresses: IP addresses and ports to which heartbeats are always sent; others than IP
            addresses are ignored.
        counters: Counts refused datagrams and socket errors by reason.
        interval: Seconds between heartbeats.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        membership: Membership,
        make_heartbeat: Callable[[], Heartbeat],
        seed_addresses: Iterable[Address] = (),
        counters: CounterSink,
        interval: float = HEARTBEAT_INTERVAL_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._port = port
        self._membership = membership
        self._make_heartbeat = make_heartbeat
        self._seed_addresses = frozenset(filter(_is_address, seed_addresses))
        self._vm_list_addresses: frozenset[Address] = frozenset()
        self._counters = counters
        self._interval = interval
        self._clock = clock
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Heartbeat)
        self._socket: asyncio.DatagramTransport | None = None
        self.bytes_sent = 0
        """Total payload bytes sent."""
        self.bytes_received = 0
        """Total payload bytes received."""

    @property
    def port(self) -> int:
        """UDP port on which heartbeats are received."""
        return self._port

    async def open(self) -> None:
        """Open the socket.

        Raises:
            TransportError: If the socket cannot be bound to the address.
        """
        loop = asyncio.get_running_loop()
        try:
            self._socket, _ = await loop.create_datagram_endpoint(
                lambda: _Receiver(self), local_addr=(self._host, self._port)
            )
        except OSError as error:
            raise TransportError(
                f"{self._host}:{self._port}: cannot bind UDP socket: {error}"
            ) from error
        self._port = self._socket.get_extra_info("sockname")[1]

    async def run(self) -> None:
        """Send heartbeats until cancelled.

        Raises:
            TransportError: If the socket cannot be opened.
        """
        if self._socket is None:
            await self.open()
        try:
            while True:
                self.send_now()
                await asyncio.sleep(self._interval)
        finally:
            self.close()

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send_now(self) -> None:
        """Send one heartbeat to every known address at once, such as when draining starts."""
        data = self._encoder.encode(self._make_heartbeat())
        for address in self._addresses():
            self._send(data, address)

    def on_vm_list(self, entries: Iterable[VmEntry]) -> None:
        """Replace the addresses that come from the VM list by those of its system VMs."""
        self._vm_list_addresses = frozenset(
            (entry.host, entry.port)
            for entry in entries
            if entry.role == "system" and _is_address((entry.host, entry.port))
        )

    def receive(self, data: bytes, source: Address) -> None:
        """Handle a datagram; one that holds no valid or no new heartbeat is counted and dropped."""
        self.bytes_received += len(data)
        heartbeat = self._decode(data)
        if heartbeat is None:
            self._counters.add("heartbeats_refused", reason="malformed")
            return
        now = self._clock()
        if not self._membership.on_heartbeat(heartbeat, now):
            self._counters.add("heartbeats_refused", reason="outdated")
            return
        if source == (heartbeat.host, heartbeat.port):
            self._forward_if_new(heartbeat, data, now)

    def count_socket_error(self, error: OSError) -> None:
        """Count an error that the network reported for a datagram sent earlier."""
        self._counters.add("heartbeat_socket_errors", reason=type(error).__name__)

    def _addresses(self) -> set[Address]:
        peers = self._membership.peers(self._clock())
        peer_addresses = {(peer.heartbeat.host, peer.heartbeat.port) for peer in peers}
        addresses = peer_addresses | self._seed_addresses | self._vm_list_addresses
        addresses.discard((self._host, self._port))
        return set(sorted(addresses)[:MAX_ADDRESSES])

    def _forward_if_new(self, heartbeat: Heartbeat, data: bytes, now: float) -> None:
        peer = self._membership.peer(heartbeat.vm)
        if peer is None or now - peer.live_since > FORWARD_NEW_PEER_SECONDS:
            return
        for other in self._membership.peers(now):
            if other.vm != heartbeat.vm:
                self._send(data, (other.heartbeat.host, other.heartbeat.port))

    def _send(self, data: bytes, address: Address) -> None:
        if self._socket is None:
            return
        self._socket.sendto(data, address)
        self.bytes_sent += len(data)

    def _decode(self, data: bytes) -> Heartbeat | None:
        if len(data) > MAX_DATAGRAM_BYTES:
            return None
        try:
            heartbeat = self._decoder.decode(data)
        except (msgspec.MsgspecError, RecursionError, ValueError):
            return None
        return heartbeat if _is_valid(heartbeat) else None


class _Receiver(asyncio.DatagramProtocol):
    """Passes datagrams and errors of the socket to the transport."""

    def __init__(self, transport: HeartbeatTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram to the transport."""
        self._transport.receive(data, (addr[0], addr[1]))

    def error_received(self, exc: OSError) -> None:
        """Pass an error to the transport."""
        self._transport.count_socket_error(exc)


def _is_valid(heartbeat: Heartbeat) -> bool:
    names = (heartbeat.vm, heartbeat.incarnation, heartbeat.region, heartbeat.failure_domain)
    return (
        bool(heartbeat.vm and heartbeat.incarnation)
        and all(len(name) <= MAX_NAME_LENGTH for name in names)
        and _is_address((heartbeat.host, heartbeat.port))
        and -1 <= heartbeat.log_offset <= MAX_OFFSET
        and not math.isnan(heartbeat.fresh_age_seconds)
        and heartbeat.fresh_age_seconds >= 0
    )


def _is_address(address: Address) -> bool:
    """Return whether a host is an IP address and its port valid.

    Names are refused because their resolution would block the event loop.
    """
    host, port = address
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port < 65536
