"""A stand-in of the platform's store, by the page on its log."""

from __future__ import annotations

import asyncio
import base64
import struct
from dataclasses import dataclass, field

from standins_2.http import RESET, SILENT, Reply, Request, json_reply

ANSWER_SECONDS = 0.004
"""Time of an answer, as in the sheets of the small sites."""
APPEND_SECONDS = 0.002
RECORD_BYTES = 262_144
"""`recordBytes` of the settings: the most that one record may hold."""
CALL_BYTES = 2_097_152
"""`callBytes` of the settings: the most that the records of one call may hold."""
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
REPEATED_APPENDS = 5


@dataclass(kw_only=True)
class _Producer:
    epoch: int = -1
    sequence: int | None = None
    recent: list[tuple[int, int, int, int]] = field(default_factory=list)
    """Epoch, sequence number, offset and end of the last appends."""


@dataclass(kw_only=True)
class _Topic:
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(default_factory=dict)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Store:
    """Keeps topics of one partition; nothing that was acknowledged is lost.

    `down` is empty while it serves, else how it fails: `busy` (503), `reset` or `silent`. Answers
    take `slowness` times as long as usual.
    """

    def __init__(self) -> None:
        self.down = ""
        self.slowness = 1.0
        self.too_large: list[int] = []
        """Sizes of the records that were rejected since they are over `recordBytes`."""
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Condition()

    async def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write a record as the operator or a runner does."""
        self._add(self._topic(topic), bytes([len(key)]) + key.encode() + (value or b""))
        await self._notify()

    def largest_record(self, topic: str) -> int:
        """Return the size of the largest newest record of a topic."""
        found = self._topic(topic).newest.items()
        return max((1 + len(key) + len(value) for key, (value, _) in found), default=0)

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        await asyncio.sleep(ANSWER_SECONDS * self.slowness)
        if (failure := self._failure()) is not None:
            return failure
        topic = self._topic(request.query.get("topic", ""))
        match request.path:
            case "/log-append":
                async with topic.lock:
                    await asyncio.sleep(APPEND_SECONDS)
                    if (failure := self._failure()) is not None:
                        return failure
                    reply = self._append(topic, request)
                await self._notify()
                return reply
            case "/log-read":
                reply = await self._read(topic, request.query)
                return self._failure() or reply
            case "/log-newest":
                return self._newest(topic, request.query.get("dependsOn", ""))
        return json_reply(404, {})

    def _failure(self) -> Reply | None:
        match self.down:
            case "busy":
                return json_reply(503, {})
            case "reset":
                return RESET
            case "silent":
                return SILENT
        return None

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _append(self, topic: _Topic, request: Request) -> Reply:
        records = _split(request.body)
        large = [len(content) for content in records if len(content) > RECORD_BYTES]
        if large or sum(map(len, records)) > CALL_BYTES:
            self.too_large += large
            return json_reply(400, {"reason": "size"})
        query = request.query
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return json_reply(412, {"end": end})
        if "producer" not in query:
            for content in records:
                self._add(topic, content)
            return json_reply(200, {"offset": end, "end": len(topic.records)})
        producer = topic.producers.setdefault(query["producer"], _Producer())
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        for known_epoch, known, offset, known_end in producer.recent:
            if (known_epoch, known) == (epoch, sequence):
                return json_reply(200, {"offset": offset, "end": known_end})
        if epoch < producer.epoch:
            return json_reply(409, {"reason": "fenced"})
        follows = producer.sequence is None or sequence == producer.sequence + 1
        if epoch == producer.epoch and not follows:
            return json_reply(409, {"reason": "seq", "sequence": producer.sequence + 1})
        producer.epoch, producer.sequence = epoch, sequence
        for content in records:
            self._add(topic, content)
        producer.recent.append((epoch, sequence, end, len(topic.records)))
        del producer.recent[:-REPEATED_APPENDS]
        return json_reply(200, {"offset": end, "end": len(topic.records)})

    def _add(self, topic: _Topic, content: bytes) -> None:
        length = content[0]
        key, value = content[1 : 1 + length].decode(), content[1 + length :]
        if value:
            topic.newest[key] = (value, len(topic.records))
        else:
            topic.newest.pop(key, None)
        topic.records.append(content)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _read(self, topic: _Topic, query: dict[str, str]) -> Reply:
        start = int(query["from"])
        seconds = min(int(query.get("waitMs", "0")), 30_000) / 1e3
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: len(topic.records) > start)
        except TimeoutError:
            pass
        limit = int(query.get("maxKb", "1024")) * 1024
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for content in topic.records[start:]:
            if size and size + len(content) + 4 > limit:
                break
            size += len(content) + 4
            parts.append(struct.pack(">I", len(content)) + content)
        return Reply(status=200, body=b"".join(parts))

    def _newest(self, topic: _Topic, after: str) -> Reply:
        keys = [key for key in sorted(topic.newest) if key > after]
        items, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            value, offset = topic.newest[key]
            text = base64.b64encode(value).decode()
            if items and size + len(text) > PAGE_BYTES:
                break
            size += len(text)
            items.append({"key": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        return json_reply(200, {"items": items, "hasMore": more, "end": len(topic.records)})


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position + 4 <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
