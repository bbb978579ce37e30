"""Stand-in of the platform's store: keyed topics of one partition, with fenced appends."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from typing import Final

from standins.http import Reply, Request

RECORD_BYTES: Final = 262_144
CALL_BYTES: Final = 2_097_152
PAGE_KEYS: Final = 500
REPEATS_KNOWN: Final = 5
"""Number of newest appends whose repeats get their first answer again."""
READ_ONLY_TOPICS: Final = ("keyed.op", "keyed.servers")


@dataclass(kw_only=True)
class _Topic:
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    answers: dict[tuple[int, int], int] = field(default_factory=dict)


class Store:
    """Keeps topics, and loses nothing that it has acknowledged."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Condition()

    async def put(self, topic: str, key: str, value: object | None) -> None:
        """Write a record as the operator or a runner does; None removes the key."""
        content = b"" if value is None else json.dumps(value).encode()
        self._append(self._topic(topic), [bytes([len(key)]) + key.encode() + content])
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, request: Request) -> Reply | None:
        """Answer a call of a VM."""
        topic = self._topic(request.query.get("topic", ""))
        match request.path:
            case "/log-append":
                return await self._handle_append(topic, request)
            case "/log-read":
                return await self._handle_read(topic, request.query)
            case "/log-newest":
                return self._handle_newest(topic, request.query.get("dependsOn", ""))
        return Reply(status=404)

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _handle_append(self, topic: _Topic, request: Request) -> Reply:
        if request.query["topic"] in READ_ONLY_TOPICS:
            return Reply(status=403)
        records = _split(request.body)
        if len(request.body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            return Reply(status=400)
        if "epoch" in request.query:
            key = int(request.query["epoch"]), int(request.query["sequence"])
            if key in topic.answers:
                return _json(200, {"offset": topic.answers[key], "end": len(topic.records)})
            if key[0] < topic.epoch:
                return _json(409, {"reason": "fenced"})
            if key[0] == topic.epoch and key[1] != topic.sequence + 1:
                return _json(409, {"reason": "seq", "sequence": topic.sequence + 1})
            topic.epoch, topic.sequence = key
            topic.answers[key] = len(topic.records)
            for old in list(topic.answers)[:-REPEATS_KNOWN]:
                del topic.answers[old]
        offset = len(topic.records)
        self._append(topic, records)
        async with self._changed:
            self._changed.notify_all()
        return _json(200, {"offset": offset, "end": len(topic.records)})

    def _append(self, topic: _Topic, records: list[bytes]) -> None:
        for content in records:
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            if value:
                topic.newest[key] = value, len(topic.records)
            else:
                topic.newest.pop(key, None)
            topic.records.append(content)

    async def _handle_read(self, topic: _Topic, query: dict[str, str]) -> Reply:
        start = int(query["from"])
        wait = min(int(query.get("waitMs", "0")) / 1e3, 30.0)
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: len(topic.records) > start)
        except TimeoutError:
            pass
        body = struct.pack(">QQ", len(topic.records), 0)
        room = int(query.get("maxKb", "1024")) * 1024
        for content in topic.records[start:]:
            room -= 4 + len(content)
            if room < 0:
                break
            body += struct.pack(">I", len(content)) + content
        return Reply(status=200, body=body)

    def _handle_newest(self, topic: _Topic, after: str) -> Reply:
        keys = [key for key in sorted(topic.newest) if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][0]).decode(),
                "offset": topic.newest[key][1],
            }
            for key in keys[:PAGE_KEYS]
        ]
        more = len(keys) > PAGE_KEYS
        return _json(200, {"items": items, "hasMore": more, "end": len(topic.records)})


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records


def _json(status: int, content: object) -> Reply:
    return Reply(status=status, body=json.dumps(content).encode())
