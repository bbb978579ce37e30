"""Reading of untrusted YAML within limits of size, depth and content."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from zinniaweir.settings.errors import SettingsError
from zinniaweir.settings.plain import (
    MAX_DEPTH,
    MAX_NODES,
    MAX_TEXT_CHARACTERS,
    check_plain,
    problem,
)

if TYPE_CHECKING:
    from zinniaweir.wire.scheduler_service import Problem

MAX_BYTES: Final = 1_048_576
"""Maximum size of a document, equal to the limit on HTTP bodies."""


def load_yaml(data: bytes | str) -> Any:
    """Parse one YAML document into plain data.

    PyYAML is imported here and not with the module, because the scheduler process needs it only
    when it starts.

    Args:
        data: The text, or its UTF-8 bytes.

    Raises:
        SettingsError: If the text is too large, not UTF-8 or not YAML, has aliases or repeated
            keys, or contains values that settings cannot have.
    """
    if len(data) > MAX_BYTES:
        raise SettingsError([problem("", len(data), f"at most {MAX_BYTES} bytes")])
    text = _decode(data)
    import yaml

    try:
        found = _structure_problem(text, yaml)
        value = None if found else yaml.load(text, Loader=_unique_key_loader(yaml))
    except (yaml.YAMLError, ValueError, RecursionError, OverflowError) as error:
        message = " ".join(str(error).split())
        raise SettingsError([problem("", None, f"no readable YAML: {message[:300]}")]) from error
    problems = [found] if found else check_plain(value)
    if problems:
        raise SettingsError(problems)
    return value


def _decode(data: bytes | str) -> str:
    if isinstance(data, str):
        return data
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        shown = f"byte 0x{data[error.start]:02x} at {error.start}"
        raise SettingsError([problem("", shown, "text is UTF-8")]) from error


def _structure_problem(text: str, yaml: Any) -> Problem | None:
    """Return a problem of aliases, depth or size, found before any value is constructed."""
    depth = nodes = 0
    for event in yaml.parse(text, Loader=_base_loader(yaml)):
        if isinstance(event, yaml.AliasEvent):
            line = event.start_mark.line + 1
            return problem("", f"*{event.anchor} on line {line}", "no YAML aliases")
        if isinstance(event, yaml.NodeEvent):
            nodes += 1
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if isinstance(event, yaml.ScalarEvent) and len(event.value) > MAX_TEXT_CHARACTERS:
            return problem(
                "", event.value[:MAX_TEXT_CHARACTERS], f"at most {MAX_TEXT_CHARACTERS} characters"
            )
        if depth > MAX_DEPTH:
            return problem("", depth, f"at most {MAX_DEPTH} levels")
        # In YAML, the key of each value is a node as well.
        if nodes > 2 * MAX_NODES:
            return problem("", nodes, f"at most {MAX_NODES} values")
    return None


def _base_loader(yaml: Any) -> Any:
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _unique_key_loader(yaml: Any) -> Any:
    class UniqueKeyLoader(_base_loader(yaml)):
        """Loader that rejects repeated keys, of which PyYAML silently keeps the last."""

        def construct_mapping(self, node: Any, deep: bool = False) -> Any:
            seen: set[tuple[str, Any]] = set()
            for key, _ in node.value:
                if isinstance(key, yaml.ScalarNode) and (key.tag, key.value) in seen:
                    line = key.start_mark.line + 1
                    message = f"key {key.value!r} on line {line} is repeated"
                    raise yaml.constructor.ConstructorError(None, None, message)
                if isinstance(key, yaml.ScalarNode):
                    seen.add((key.tag, key.value))
            return super().construct_mapping(node, deep=deep)

    return UniqueKeyLoader
