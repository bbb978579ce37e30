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
    """Send log messages to a stream, each with the process and VM.

    Args:
        process: Name of the program.
        vm: Name of the VM.
        stream: Where they go, standard error by default.
    """
    _fields.update(process=process, vm=vm)
    sink = LineSink(stream or sys.stderr)
    eliot.add_destinations(lambda message: sink.put(json.dumps(message, default=str) + "\n"))
    return sink


def log(event: str, **fields: Any) -> None:
    """Write one log message, unless its event has used up its budget.

    Args:
        event: What happened, in snake case.
        **fields: Facts about it.
    """
    suppressed = _rate_limiter.admit(event)
    if suppressed is None:
        return
    if suppressed:
        fields["left_out"] = suppressed
    eliot.log_message(message_type=event, **_fields, **fields)
