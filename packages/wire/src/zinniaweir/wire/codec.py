"""Msgpack codec for the gRPC services."""

from __future__ import annotations

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


class MsgpackCodec(CodecBase):
    """Encode messages as msgpack, and decode them with a check of their type."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the msgpack bytes of a message.

        Args:
            message: The message to encode.
            message_type: The declared type of the message.

        Raises:
            TypeError: If the message is not of the declared type.
        """
        if not isinstance(message, message_type):
            raise TypeError(f"expected {message_type.__name__}, got {type(message).__name__}")
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message that is encoded in the bytes.

        Args:
            data: The msgpack bytes.
            message_type: The declared type of the message.

        Raises:
            msgspec.DecodeError: If the bytes are not a message of the declared type.
        """
        return msgspec.msgpack.decode(data, type=message_type)
