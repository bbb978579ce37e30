"""Structured logs as JSON lines."""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

import eliot

from zinniaweir.telemetry.sink import EventRateLimiter, LineSink

_fields: dict[str, Any] = {}
_rate_limiter = EventRateLimiter()


def start_logs(*, process: str, vm: str, stream: TextIO | None = None) -> LineSink:
    """Write log messages to a stream, each with the name of the process and of the VM.

    Args:
        process: Name of the process, such as `entry`.
        vm: Name of the VM.
        stream: Destination, standard error by default.
    """
    _fields.update(process=process, vm=vm)
    sink = LineSink(stream or sys.stderr)
    eliot.add_destinations(lambda message: sink.put(json.dumps(message, default=str) + "\n"))
    return sink


def log(event: str, **fields: Any) -> None:
    """Write a log message, unless the event exceeds its rate limit.

    Args:
        event: Name of the event in snake case.
        **fields: Fields of the message.
    """
    suppressed = _rate_limiter.admit(event)
    if suppressed is None:
        return
    if suppressed:
        fields["left_out"] = suppressed
    eliot.log_message(message_type=event, **_fields, **fields)
