"""Operations on immutable plain trees, which share unchanged parts with their predecessors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from zinniaweir.settings.paths import collection_of, format_path
from zinniaweir.settings.plain import problem

if TYPE_CHECKING:
    from zinniaweir.settings.paths import Path
    from zinniaweir.wire.scheduler_service import Problem


def value_at(tree: dict[str, Any], path: Path) -> Any:
    """Return the value at a path, or None if there is none."""
    value: Any = tree
    for segment in path:
        if not isinstance(value, dict) or segment not in value:
            return None
        value = value[segment]
    return value


def with_value(tree: dict[str, Any], path: Path, value: Any) -> dict[str, Any]:
    """Return a copy of a tree with a new value at a path; None removes the value.

    Only the mappings on the path are copied; the old tree is not modified.
    """
    if not path:
        return value if value is not None else {}
    head, rest = path[0], path[1:]
    changed = dict(tree)
    if rest:
        changed[head] = with_value(tree.get(head) or {}, rest, value)
    elif value is None:
        changed.pop(head, None)
    else:
        changed[head] = value
    return changed


def placement_problems(tree: dict[str, Any], path: Path, value: Any) -> list[Problem]:
    """Return problems of putting a value at a path, independent of the type of the value.

    A put below a customer, service or member of the topology that does not exist is refused,
    because it could create one under a misspelled name.
    """
    text = format_path(path)
    if path in ((), ("topology",)) and value is None:
        return [problem(text, value, "the topology cannot be removed")]
    if not path and isinstance(value, dict) and "topology" not in value:
        return [problem("topology", None, "required field is missing")]
    if value is None and value_at(tree, path) is None:
        return [problem(text, value, "there is nothing to remove at this path")]
    collection = collection_of(path)
    member = path[: len(collection) + 1] if collection else ()
    if len(path) > len(member) and member and value_at(tree, member) is None:
        return [problem(format_path(member), None, "does not exist; put it whole to create it")]
    for length in range(1, len(path)):
        ancestor = value_at(tree, path[:length])
        if ancestor is not None and not isinstance(ancestor, dict):
            return [problem(text, value, f"{format_path(path[:length])} is put as a whole")]
    return []
