"""Versions of the subtrees of the settings tree."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from zinniaweir.settings.paths import (
    VERSIONED_COLLECTIONS,
    format_path,
    is_below,
    parse_path,
    subtree_of,
)

if TYPE_CHECKING:
    from zinniaweir.settings.paths import Path

MAX_REMOVED_SUBTREES: Final = 1_000
"""Removed subtrees whose versions are kept; all older ones share the highest of their versions."""
FIRST_VERSION: Final = 1
"""Version of a change at offset 0, because version 0 means that a subtree was never changed."""


class Versions:
    """Version of each subtree: the log offset of its last accepted change, or `FIRST_VERSION`."""

    def __init__(self) -> None:
        self._by_path: dict[Path, int] = {}
        self._removed: dict[Path, int] = {}
        self._discarded_version = 0

    def version_of(self, path: Path) -> int:
        """Return the version of a path; 0 if it was never changed."""
        subtree = subtree_of(path)
        if subtree is None:
            return self._max_version_within(path)
        if subtree in self._by_path:
            return self._by_path[subtree]
        collection = subtree[:-1]
        floor = self._discarded_version if collection in VERSIONED_COLLECTIONS else 0
        return self._removed.get(subtree, floor)

    def advance(self, path: Path, version: int, old: dict[str, Any], new: dict[str, Any]) -> None:
        """Set the version of every subtree that a change affected.

        Args:
            path: Path of the change.
            version: The new version.
            old: Plain tree before the change.
            new: Plain tree after the change.
        """
        subtree = subtree_of(path)
        self._by_path[subtree or path] = version
        for collection in VERSIONED_COLLECTIONS:
            if is_below(path, collection) or is_below(collection, path):
                self._advance_members(
                    collection, version, _mapping_at(old, collection), _mapping_at(new, collection)
                )
        if not path:
            self._advance_undivided(version, old, new)

    def snapshot(self) -> dict[str, Any]:
        """Return the versions as plain data."""
        return {
            "live": {format_path(path): version for path, version in self._by_path.items()},
            "removed": {format_path(path): version for path, version in self._removed.items()},
            "forgotten": self._discarded_version,
        }

    @classmethod
    def restore(cls, data: dict[str, Any]) -> Versions:
        """Return versions with the state of a snapshot."""
        versions = cls()
        versions._by_path = {parse_path(text)[0]: int(v) for text, v in data["live"].items()}
        versions._removed = {parse_path(text)[0]: int(v) for text, v in data["removed"].items()}
        versions._discarded_version = int(data["forgotten"])
        return versions

    def _max_version_within(self, path: Path) -> int:
        """Return the highest version of the subtrees at or below a path."""
        tables = (self._by_path, self._removed)
        found = (v for table in tables for p, v in table.items() if is_below(p, path))
        return max(found, default=0) or self._discarded_version

    def _advance_undivided(self, version: int, old: dict[str, Any], new: dict[str, Any]) -> None:
        """Set the versions of `policy` and `topology`, which have one version each, if changed."""
        before = _undivided_subtrees(old)
        for path, value in _undivided_subtrees(new).items():
            if value != before[path]:
                self._by_path[path] = version

    def _advance_members(
        self, collection: Path, version: int, old: dict[str, Any], new: dict[str, Any]
    ) -> None:
        if old is new:
            return
        for name, value in new.items():
            if name not in old or (old[name] is not value and old[name] != value):
                member = (*collection, name)
                self._removed.pop(member, None)
                self._by_path[member] = version
        for name in old:
            if name not in new:
                member = (*collection, name)
                self._by_path.pop(member, None)
                self._removed.pop(member, None)
                self._removed[member] = version
        while len(self._removed) > MAX_REMOVED_SUBTREES:
            self._discarded_version = max(
                self._discarded_version, self._removed.pop(next(iter(self._removed)))
            )


def _undivided_subtrees(tree: dict[str, Any]) -> dict[Path, Any]:
    """Return the values of `policy` and of `topology` without its failure domains."""
    topology = _mapping_at(tree, ("topology",))
    return {
        ("policy",): tree.get("policy"),
        ("topology",): (topology.get("racks"), topology.get("workers")),
    }


def _mapping_at(tree: dict[str, Any], path: Path) -> dict[str, Any]:
    value: Any = tree
    for segment in path:
        value = value.get(segment) or {}
    return value
