"""Bound on the number of items of a JSON body, checked before objects are built."""

from __future__ import annotations

import re
from typing import Final

MAX_ITEMS: Final = 100_000
"""Maximum number of objects, arrays and commas outside of texts.

The settings of 3,000 workers have 30,000.
"""
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{,]', re.DOTALL)
"""Texts, and what begins an item outside of texts."""


def has_too_many_items(body: bytes) -> bool:
    """Return whether a JSON value has more than `MAX_ITEMS` items."""
    if sum(body.count(mark) for mark in (b"[", b"{", b",")) <= MAX_ITEMS:
        return False
    items = 0
    for token in _TOKEN.finditer(body):
        items += token.group()[:1] != b'"'
        if items > MAX_ITEMS:
            return True
    return False
