"""Access to the log through another VM while the log does not serve this one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, Protocol, TypeVar

from zinniaweir.node.boottime import boottime
from zinniaweir.node.ports import (
    Fence,
    KeyedRecord,
    Log,
    NoAnswerError,
    NothingDoneError,
    Page,
    Stream,
    Tail,
)
from zinniaweir.telemetry.counters import Counters
from zinniaweir.telemetry.logs import log

DIRECT_RETRY_INTERVAL_SECONDS: Final = 0.4
"""How often the log is tried directly while calls are relayed through other VMs."""
PEER_RETRY_DELAY_SECONDS: Final = 1.0
"""How long a VM is skipped after a relayed call failed there."""
MAX_PEERS_PER_CALL: Final = 2
"""Number of VMs to try for one call; if neither reaches the log, it is assumed down for all."""

T = TypeVar("T")


class Peers(Protocol):
    """Access to the log through other VMs."""

    def log_at(self, address: str) -> Log:
        """Return the log as reached through the VM at an address."""


class RelayLog:
    """Call the log directly, or through another VM if that fails.

    Every call may be repeated after one without an answer: reads have no effect, an owner's
    appends have sequence numbers, and of callers' records only the first takes effect.

    Args:
        direct: The log as reached directly.
        peers: Access to the log through other VMs.
        addresses: Returns the addresses of other VMs, those of this failure domain first.
        counters: Receives counts of relayed calls and their failures.
    """

    def __init__(
        self,
        *,
        direct: Log,
        peers: Peers,
        addresses: Callable[[], Sequence[str]],
        counters: Counters,
    ) -> None:
        self._direct = direct
        self._peers = peers
        self._addresses = addresses
        self._counters = counters
        self._retry_direct_at = 0.0
        self._direct_failing = False
        self._retry_peer_at: dict[str, float] = {}
        self._retries: set[asyncio.Task[Any]] = set()

    @property
    def for_peers(self) -> Log:
        """The log as reached directly, for calls from other VMs; they are not relayed again.

        Raises:
            NothingDoneError: If the last direct call failed.
        """
        if self._direct_failing:
            raise NothingDoneError("the log does not serve this VM")
        return self._direct

    async def newest(self, stream: Stream, *, after: str = "") -> Page:
        """Return a page of the newest record of each key."""
        return await self._call(lambda target: target.newest(stream, after=after))

    async def read(
        self, stream: Stream, start: int, *, wait_seconds: float, timeout_seconds: float
    ) -> Tail:
        """Return the records from an offset on."""
        return await self._call(
            lambda target: target.read(
                stream, start, wait_seconds=wait_seconds, timeout_seconds=timeout_seconds
            )
        )

    async def append(
        self,
        records: list[KeyedRecord],
        *,
        fence: Fence | None = None,
        timeout_seconds: float | None = None,
    ) -> int:
        """Append records to the jobs' stream and return the offset of the first."""
        return await self._call(
            lambda target: target.append(records, fence=fence, timeout_seconds=timeout_seconds)
        )

    async def _call(self, call: Callable[[Log], Awaitable[T]]) -> T:
        if not self._direct_failing:
            try:
                return await self._call_direct(call)
            except (NothingDoneError, NoAnswerError) as error:
                return await self._call_peers(call, error)
        if boottime() >= self._retry_direct_at:
            return await self._call_both(call)
        return await self._call_peers(call, NothingDoneError("the log failed before"))

    async def _call_direct(self, call: Callable[[Log], Awaitable[T]]) -> T:
        self._retry_direct_at = boottime() + DIRECT_RETRY_INTERVAL_SECONDS
        try:
            result = await call(self._direct)
        except (NothingDoneError, NoAnswerError) as error:
            self._on_direct_failure(error)
            raise
        self._on_direct_success()
        return result

    async def _call_both(self, call: Callable[[Log], Awaitable[T]]) -> T:
        """Try the log directly while other VMs are called, and return the first result.

        A log that is silent towards this VM would otherwise delay each of these calls.
        """
        direct = asyncio.create_task(self._call_direct(call))
        self._retries.add(direct)
        direct.add_done_callback(self._on_retry_done)
        try:
            return await self._call_peers(call, NothingDoneError("the log failed before"))
        except (NothingDoneError, NoAnswerError) as error:
            try:
                return await direct
            except NothingDoneError:
                # The call through another VM may have taken effect.
                raise error from None

    def _on_retry_done(self, retry: asyncio.Task[Any]) -> None:
        self._retries.discard(retry)
        if not retry.cancelled():
            # Marks the error as seen; whoever waits for the retry gets it too.
            retry.exception()

    async def _call_peers(
        self,
        call: Callable[[Log], Awaitable[T]],
        failure: NothingDoneError | NoAnswerError,
    ) -> T:
        for address in self._usable_peers():
            try:
                result = await call(self._peers.log_at(address))
            except (NothingDoneError, NoAnswerError) as error:
                self._counters.add("relay_failures", reason=type(error).__name__)
                self._retry_peer_at[address] = boottime() + PEER_RETRY_DELAY_SECONDS
                if isinstance(error, NoAnswerError):
                    failure = error
                continue
            self._counters.add("relayed_calls")
            return result
        raise failure

    def _usable_peers(self) -> list[str]:
        now = boottime()
        found = [a for a in self._addresses() if self._retry_peer_at.get(a, 0.0) <= now]
        return found[:MAX_PEERS_PER_CALL]

    def _on_direct_failure(self, error: Exception) -> None:
        if not self._direct_failing:
            self._direct_failing = True
            log("log_unreachable", error=f"{type(error).__name__}: {error}")

    def _on_direct_success(self) -> None:
        if self._direct_failing:
            self._direct_failing = False
            log("log_reachable")
