"""Conversion of plain data to msgspec types that reports all problems, not only the first."""

from __future__ import annotations

import types
import typing
from functools import cache
from itertools import islice
from typing import Any, TypeVar

import msgspec

from zinniaweir.settings.plain import MAX_PROBLEMS, join_path, problem

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from zinniaweir.wire.scheduler_service import Problem

T = TypeVar("T")


def convert(value: Any, kind: type[T], path: str) -> tuple[T | None, list[Problem]]:
    """Convert plain data to a type.

    Args:
        value: Plain data.
        kind: The type.
        path: Settings path of the value.

    Returns:
        The typed value and no problems, or None and the problems of types, ranges and fields, at
        most `MAX_PROBLEMS`.
    """
    try:
        return msgspec.convert(value, kind), []
    except msgspec.ValidationError as error:
        problems = list(islice(_problems(value, kind, path), MAX_PROBLEMS))
        return None, problems or [problem(path, value, _rule_text(error))]


def _problems(value: Any, kind: Any, path: str) -> Iterator[Problem]:
    kind = _unwrap_optional(value, kind)
    origin = typing.get_origin(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_problems(value, kind, path)
    elif origin is dict and isinstance(value, dict):
        key_kind, member_kind = typing.get_args(kind)
        for key, member in value.items():
            yield from _leaf_problems(key, key_kind, join_path(path, key))
            yield from _problems(member, member_kind, join_path(path, key))
    elif origin is tuple and isinstance(value, list):
        member_kind = typing.get_args(kind)[0]
        for index, member in enumerate(value):
            yield from _problems(member, member_kind, join_path(path, index))
    else:
        yield from _leaf_problems(value, kind, path)


def _struct_problems(value: Any, kind: type[msgspec.Struct], path: str) -> Iterator[Problem]:
    if not isinstance(value, dict):
        yield problem(path, value, "expected a mapping")
        return
    kinds = _field_types(kind)
    for key, member in value.items():
        if key not in kinds:
            yield problem(
                join_path(path, key), member, f"unknown field; known are {', '.join(kinds)}"
            )
    required = {field.name for field in msgspec.structs.fields(kind) if field.required}
    for name, field_kind in kinds.items():
        if name in value:
            yield from _problems(value[name], field_kind, join_path(path, name))
        elif name in required:
            yield problem(join_path(path, name), None, "required field is missing")


def _leaf_problems(value: Any, kind: Any, path: str) -> Iterator[Problem]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield problem(path, value, _rule_text(error))


def _rule_text(error: msgspec.ValidationError) -> str:
    text = str(error).partition(" - at ")[0]
    return text[:1].lower() + text[1:]


def _unwrap_optional(value: Any, kind: Any) -> Any:
    """Return the type T of an optional `T | None` if the value is not None."""
    if isinstance(kind, types.UnionType) or typing.get_origin(kind) is typing.Union:
        members = [member for member in typing.get_args(kind) if member is not types.NoneType]
        if value is not None and len(members) == 1:
            return members[0]
    return kind


@cache
def _field_types(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return typing.get_type_hints(kind, include_extras=True)
