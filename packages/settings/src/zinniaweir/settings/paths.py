"""Settings paths and the versioned subtrees that they belong to.

These subtrees have versions of their own: `customers/<name>`, `services/<name>`,
`topology/failure_domains/<name>`, `policy`, and `topology`, which covers racks and workers
together. A path above several subtrees, such as `customers`, has the highest of their versions.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from zinniaweir.settings.model import NAME_PATTERN
from zinniaweir.settings.plain import MAX_PATH_CHARACTERS, problem

if TYPE_CHECKING:
    from zinniaweir.wire.scheduler_service import Problem

Path = tuple[str, ...]

ROOTS: Final = ("topology", "services", "customers", "policy")
COLLECTIONS: Final[tuple[Path, ...]] = (
    ("topology", "failure_domains"),
    ("topology", "racks"),
    ("topology", "workers"),
    ("services",),
    ("customers",),
)
"""Mappings whose keys are names given by operators."""
VERSIONED_COLLECTIONS: Final[tuple[Path, ...]] = (
    ("topology", "failure_domains"),
    ("services",),
    ("customers",),
)
"""Collections whose members each have a version of their own."""

_SEGMENT: Final = re.compile(NAME_PATTERN)


def parse_path(text: str) -> tuple[Path, list[Problem]]:
    """Split a path into segments and return them with the problems of the path.

    Args:
        text: Segments separated by slashes; an empty text or `/` is the whole tree.
    """
    if len(text) > MAX_PATH_CHARACTERS:
        return (), [problem("", text, f"a path has at most {MAX_PATH_CHARACTERS} characters")]
    stripped = text.strip("/")
    if not stripped:
        return (), []
    segments = tuple(stripped.split("/"))
    wrong = [segment for segment in segments if not _SEGMENT.match(segment)]
    if wrong:
        return segments, [problem("", text, f"path segments match {NAME_PATTERN}")]
    if segments[0] not in ROOTS:
        return segments, [problem("", text, f"paths start with one of {', '.join(ROOTS)}")]
    return segments, []


def format_path(path: Path) -> str:
    """Return the text of a path."""
    return "/".join(path)


def collection_of(path: Path) -> Path | None:
    """Return the collection that contains the path, or None."""
    return next((c for c in COLLECTIONS if path[: len(c)] == c and len(path) > len(c)), None)


def subtree_of(path: Path) -> Path | None:
    """Return the versioned subtree of a path, or None if the path is above several subtrees."""
    for collection in VERSIONED_COLLECTIONS:
        if path[: len(collection)] == collection:
            return path[: len(collection) + 1] if len(path) > len(collection) else None
    if path[:1] == ("policy",):
        return ("policy",)
    if path[:1] == ("topology",) and len(path) > 1:
        return ("topology",)
    return None


def is_below(path: Path, ancestor: Path) -> bool:
    """Return whether a path is equal to an ancestor or below it."""
    return path[: len(ancestor)] == ancestor
