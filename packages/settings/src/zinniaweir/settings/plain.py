"""Limits on untrusted plain data, checked before it is converted to settings."""

from __future__ import annotations

import math
from typing import Any, Final

import msgspec

from zinniaweir.wire.scheduler_service import Problem

MAX_DEPTH: Final = 12
"""Maximum levels of nesting; the settings tree has 7."""
MAX_NODES: Final = 100_000
"""Maximum number of values in a tree; 1,600 workers and 150 customers need about 20,000."""
MAX_TEXT_CHARACTERS: Final = 1_000
"""Maximum length of a text or key."""
MAX_INTEGER: Final = 2**53
"""JSON readers that use floating point change integers beyond this."""
MAX_SHOWN_CHARACTERS: Final = 80
"""Maximum length of a value as shown in a problem."""
MAX_PATH_CHARACTERS: Final = 400
"""Maximum length of a path in a problem or record; real paths have fewer than 300 characters."""
MAX_PROBLEMS: Final = 100
"""Maximum problems reported at once; a hostile record may have one for each of its values."""


def format_value(value: Any) -> str:
    """Format a value for a message, shortened to `MAX_SHOWN_CHARACTERS`."""
    if isinstance(value, (list, dict)) and len(value) > 8:
        return f"{'list' if isinstance(value, list) else 'mapping'} of {len(value)} values"
    try:
        text = msgspec.json.encode(value).decode()
        if isinstance(value, float) and not math.isfinite(value):
            text = str(value)
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError):
        text = f"a value of type {type(value).__name__}"
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 1] + "…"


def problem(path: str, value: Any, rule: str) -> Problem:
    """Create a problem for a value at a path.

    Args:
        path: Settings path of the value.
        value: The value that breaks the rule.
        rule: The rule that is broken.
    """
    return _problem(path, format_value(value), rule)


def _problem(path: str, shown: str, rule: str) -> Problem:
    return Problem(path=path[:MAX_PATH_CHARACTERS] or "/", value=shown, rule=rule)


def join_path(path: str, segment: str | int) -> str:
    """Return the path of a member of the value at a path."""
    return f"{path}/{segment}" if path else str(segment)


def check_plain(value: Any, path: str = "") -> list[Problem]:
    """Check that a value stays within the limits on plain data and holds only supported types.

    The check ends at the first problem, so its cost is bounded even if parts of the value are
    shared and would be visited many times.

    Args:
        value: The value.
        path: Settings path of the value.

    Returns:
        The first problem, or an empty list.
    """
    found = _PlainValueChecker().first_problem(value, path, 1)
    return [found] if found else []


class _PlainValueChecker:
    """Depth-first search for the first problem, which counts the values that it visits."""

    def __init__(self) -> None:
        self._nodes = 0

    def first_problem(self, value: Any, path: str, depth: int) -> Problem | None:
        self._nodes += 1
        if self._nodes > MAX_NODES:
            return _problem(path, "…", f"at most {MAX_NODES} values")
        if depth > MAX_DEPTH:
            return _problem(path, "…", f"at most {MAX_DEPTH} levels")
        if isinstance(value, dict):
            return self._in_mapping(value, path, depth)
        if isinstance(value, list):
            return self._in_list(value, path, depth)
        return _scalar_problem(value, path)

    def _in_mapping(self, value: dict[Any, Any], path: str, depth: int) -> Problem | None:
        for key, member in value.items():
            if not isinstance(key, str):
                return problem(path, key, "keys are text")
            if found := _text_problem(key, path):
                return found
            if found := self.first_problem(member, join_path(path, key), depth + 1):
                return found
        return None

    def _in_list(self, value: list[Any], path: str, depth: int) -> Problem | None:
        for index, member in enumerate(value):
            if found := self.first_problem(member, join_path(path, index), depth + 1):
                return found
        return None


def _scalar_problem(value: Any, path: str) -> Problem | None:
    if value is None or isinstance(value, bool):
        return None
    if isinstance(value, str):
        return _text_problem(value, path)
    if isinstance(value, int):
        return None if abs(value) <= MAX_INTEGER else _integer_problem(path)
    if isinstance(value, float):
        return None if math.isfinite(value) else problem(path, value, "numbers are finite")
    rule = "only text, numbers, booleans, null, lists and mappings"
    return _problem(path, type(value).__name__, rule)


def _integer_problem(path: str) -> Problem:
    return _problem(path, "a huge integer", f"integers within ±{MAX_INTEGER}")


def _text_problem(text: str, path: str) -> Problem | None:
    if len(text) > MAX_TEXT_CHARACTERS:
        return problem(
            path, text[:MAX_SHOWN_CHARACTERS] + "…", f"at most {MAX_TEXT_CHARACTERS} characters"
        )
    if not text.isascii() and any("\ud800" <= character <= "\udfff" for character in text):
        return _problem(path, "text", "text is valid Unicode")
    if not text.isprintable():
        return problem(path, text, "text has no control characters")
    return None
