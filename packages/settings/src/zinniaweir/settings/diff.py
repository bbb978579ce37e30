"""Readable differences between two plain values."""

from __future__ import annotations

from typing import Any, Final

from zinniaweir.settings.plain import format_value, join_path

MAX_LINES: Final = 500
"""Maximum lines of a diff; replacing a whole topology would give tens of thousands."""


def diff_lines(old: Any, new: Any, path: str = "") -> list[str]:
    """Return one line for each value that was removed, added or changed.

    Lines beyond `MAX_LINES` are replaced by their number.

    Args:
        old: Value before the change, or None.
        new: Value after the change, or None.
        path: Settings path of both values.
    """
    lines: list[str] = []
    _collect_lines(old, new, path, lines)
    if len(lines) > MAX_LINES:
        return [*lines[:MAX_LINES], f"… and {len(lines) - MAX_LINES} more"]
    return lines


def _collect_lines(old: Any, new: Any, path: str, lines: list[str]) -> None:
    if old is new or _same(old, new):
        return
    if _is_mapping_or_none(old) and _is_mapping_or_none(new):
        for key in [*(old or {}), *(key for key in new or {} if key not in (old or {}))]:
            _collect_lines((old or {}).get(key), (new or {}).get(key), join_path(path, key), lines)
    elif old is None:
        lines.append(f"+ {path}: {format_value(new)}")
    elif new is None:
        lines.append(f"- {path}: {format_value(old)}")
    else:
        lines.append(f"~ {path}: {format_value(old)} -> {format_value(new)}")


def _same(old: Any, new: Any) -> bool:
    """Return whether two values have the same type and are equal; False for mappings."""
    return type(old) is type(new) and not isinstance(old, dict) and old == new


def _is_mapping_or_none(value: Any) -> bool:
    return value is None or isinstance(value, dict)
