"""Deterministic fold of settings records into the current settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import msgspec

from zinniaweir.settings.build import build_settings
from zinniaweir.settings.checks import check_settings
from zinniaweir.settings.diff import diff_lines
from zinniaweir.settings.errors import SnapshotError
from zinniaweir.settings.history import History
from zinniaweir.settings.model import Settings
from zinniaweir.settings.paths import format_path, parse_path
from zinniaweir.settings.plain import MAX_PATH_CHARACTERS, check_plain, problem
from zinniaweir.settings.tree import placement_problems, value_at, with_value
from zinniaweir.settings.versions import FIRST_VERSION, Versions
from zinniaweir.wire.scheduler_service import Change, Problem

if TYPE_CHECKING:
    from zinniaweir.settings.checks import CheckGuarantees
    from zinniaweir.settings.paths import Path
    from zinniaweir.wire.records import SettingsPut

CONFLICT: Final = "conflict"
INVALID: Final = "invalid"
DUPLICATE: Final = "duplicate"
SNAPSHOT_FORMAT: Final = 1
MAX_AUTHOR_CHARACTERS: Final = 100
MAX_NOTE_CHARACTERS: Final = 500
MAX_REASON_CHARACTERS: Final = 600
MAX_RECORD_ID_CHARACTERS: Final = 64
"""This and the limits on authors, notes and reasons bound the size of the history, whatever is
published on the log."""
MAX_SHOWN_PROBLEMS: Final = 5
"""Problems listed in the reason of a refused change, which the history stores."""


class Review(msgspec.Struct, frozen=True, kw_only=True):
    """Result of checking a change without applying it."""

    problems: list[Problem] = []
    """Rules that the change breaks."""
    diff: list[str] = []
    """One line for each value that the change adds, removes or replaces."""
    reason: str = ""
    """Why the change would be refused; empty if it would be accepted."""
    model: Settings | None = None
    """Settings after the change, or None if it would be refused."""


class _Outcome(msgspec.Struct, frozen=True, kw_only=True):
    path: Path = ()
    problems: list[Problem] = []
    reason: str = ""
    tree: dict[str, Any] = {}
    model: Settings = Settings()


def refusal_state(change: Change) -> str:
    """Return `accepted`, `conflict`, `invalid` or `duplicate` for a change."""
    return "accepted" if change.accepted else change.reason.partition(":")[0]


class SettingsFold:
    """State machine that applies settings records in log order.

    Processes that apply the same records hold the same settings: the result depends only on the
    records and on `check_guarantees`, which must be a pure function.

    Values of accepted records become part of the tree without a copy; callers must not modify
    them afterwards.
    """

    def __init__(self, *, check_guarantees: CheckGuarantees) -> None:
        """Initialize the fold with empty settings.

        Args:
            check_guarantees: Pure function that returns a problem for each guarantee that does not
                fit the topology together with the others. It is called with settings in which
                every failure domain is in.
        """
        self._check_guarantees = check_guarantees
        self._tree: dict[str, Any] = {}
        self._model = Settings()
        self._versions = Versions()
        self._history = History()
        self._version = 0

    @property
    def model(self) -> Settings:
        """The current settings, typed."""
        return self._model

    @property
    def tree(self) -> dict[str, Any]:
        """The current settings as plain data; callers must not modify them."""
        return self._tree

    @property
    def version(self) -> int:
        """Version of the last accepted change; 0 before the first."""
        return self._version

    def apply(self, offset: int, record_id: str, at: float, put: SettingsPut) -> Change:
        """Apply one record; a record that breaks a rule is refused and raises nothing.

        Args:
            offset: Offset of the record in the log.
            record_id: Id of the record. A record whose id was seen recently is refused as a
                duplicate and is not added to the history.
            at: Wall-clock time of the writer, in seconds.
            put: The change.

        Returns:
            The change, accepted or refused with a reason.
        """
        first = self._history.offset_of(record_id)
        if first is not None:
            reason = f"{DUPLICATE}: the record at offset {first} has the same id"
            return _change(offset, at, put, reason)
        outcome = self._try_evaluate(put, offset)
        if len(record_id) > MAX_RECORD_ID_CHARACTERS:
            reason = f"{INVALID}: a record id has at most {MAX_RECORD_ID_CHARACTERS} characters"
            outcome = _Outcome(reason=reason)
        change = _change(offset, at, put, outcome.reason)
        if change.accepted:
            version = max(offset, FIRST_VERSION)
            self._versions.advance(outcome.path, version, self._tree, outcome.tree)
            self._tree, self._model, self._version = outcome.tree, outcome.model, version
        self._history.add(record_id[:MAX_RECORD_ID_CHARACTERS], change)
        return change

    def review(self, put: SettingsPut) -> Review:
        """Check a change against the current settings without applying it."""
        outcome = self._try_evaluate(put, None)
        path = parse_path(put.path)[0]
        old = value_at(self._tree, path)
        bounded = not check_plain(put.value)
        diff = diff_lines(old, put.value, format_path(path)) if bounded else []
        model = None if outcome.reason else outcome.model
        return Review(problems=outcome.problems, diff=diff, reason=outcome.reason, model=model)

    def get(self, path: str) -> tuple[Any, int]:
        """Return the value at a path, or None if there is none, and the version of its subtree.

        A path that does not parse has no value and version 0.
        """
        segments, problems = parse_path(path)
        if problems:
            return None, 0
        return value_at(self._tree, segments), self._versions.version_of(segments)

    def history(self, path: str, limit: int = 100) -> list[Change]:
        """Return changes at, below or above a path, newest first.

        Args:
            path: Settings path.
            limit: Maximum number of changes.
        """
        segments, problems = parse_path(path)
        return [] if problems else self._history.changes_for(segments, limit)

    def find(self, record_id: str) -> Change | None:
        """Return the change of a record, or None if the history no longer holds it."""
        return self._history.find(record_id)

    def snapshot(self) -> dict[str, Any]:
        """Return the whole state as plain data."""
        return {
            "format": SNAPSHOT_FORMAT,
            "tree": self._tree,
            "version": self._version,
            "versions": self._versions.snapshot(),
            "history": self._history.snapshot(),
        }

    @classmethod
    def restore(cls, data: Any, *, check_guarantees: CheckGuarantees) -> SettingsFold:
        """Return a fold with the state of a snapshot.

        Args:
            data: Plain data returned by `snapshot`.
            check_guarantees: See the constructor.

        Raises:
            SnapshotError: If the data are not a snapshot of this format.
        """
        fold = cls(check_guarantees=check_guarantees)
        try:
            fold._load(data)
        except (KeyError, TypeError, ValueError, AttributeError, msgspec.ValidationError) as error:
            raise SnapshotError(f"no settings snapshot: {error!r}") from error
        return fold

    def _load(self, data: Any) -> None:
        if data["format"] != SNAPSHOT_FORMAT:
            raise ValueError(f"format {data['format']}")
        model, problems = build_settings(data["tree"], {}, Settings())
        if problems:
            raise ValueError(f"{problems[0].path}: {problems[0].rule}")
        self._tree, self._model, self._version = data["tree"], model, int(data["version"])
        self._versions = Versions.restore(data["versions"])
        self._history = History.restore(data["history"])

    def _try_evaluate(self, put: SettingsPut, offset: int | None) -> _Outcome:
        """Evaluate a change; an exception in a check refuses the record.

        Every process applies the same record, so an exception that escaped would stop all of them.
        """
        try:
            return self._evaluate(put, offset)
        except Exception as error:
            found = problem(put.path, None, f"check failed with {type(error).__name__}")
            return _Outcome(problems=[found], reason=_invalid([found]))

    def _evaluate(self, put: SettingsPut, offset: int | None) -> _Outcome:
        path, problems = parse_path(put.path)
        problems = problems or _text_problems(put) or check_plain(put.value, format_path(path))
        if problems:
            return _Outcome(problems=problems, reason=_invalid(problems))
        if reason := self._conflict(path, put.base_version, offset):
            return _Outcome(reason=reason)
        problems = placement_problems(self._tree, path, put.value)
        if problems:
            return _Outcome(problems=problems, reason=_invalid(problems))
        tree = with_value(self._tree, path, put.value)
        model, problems = build_settings(tree, self._tree, self._model)
        problems = problems or check_settings(model, self._model, self._check_guarantees)
        if problems:
            return _Outcome(problems=problems, reason=_invalid(problems))
        return _Outcome(path=path, tree=tree, model=model)

    def _conflict(self, path: Path, base: int, offset: int | None) -> str:
        """Return why a change conflicts with an earlier one, or an empty string.

        A base above the version of the subtree is the version of another part of the tree. Its
        author read the tree after the last change of this subtree, so it does not conflict.
        """
        current = self._versions.version_of(path)
        if base < current:
            name = format_path(path) or "/"
            return f"{CONFLICT}: based on version {base}, but {name} has version {current}"
        if offset is None:
            return ""
        version = max(offset, FIRST_VERSION)
        if base > version:
            return f"{CONFLICT}: version {base} does not exist yet"
        # Offsets 0 and 1 both map to version 1. A second change at version 1 would go unnoticed by
        # readers that compare versions.
        if version <= self._version:
            return f"{CONFLICT}: version {self._version} is only just in force; read it again"
        return ""


def _invalid(problems: list[Problem]) -> str:
    shown = [f"{p.path}: {p.value}: {p.rule}" for p in problems[:MAX_SHOWN_PROBLEMS]]
    if len(problems) > MAX_SHOWN_PROBLEMS:
        shown.append(f"and {len(problems) - MAX_SHOWN_PROBLEMS} more")
    return f"{INVALID}: {'; '.join(shown)}"


def _text_problems(put: SettingsPut) -> list[Problem]:
    problems = []
    if len(put.author) > MAX_AUTHOR_CHARACTERS:
        problems.append(
            problem("author", put.author, f"at most {MAX_AUTHOR_CHARACTERS} characters")
        )
    if len(put.note) > MAX_NOTE_CHARACTERS:
        problems.append(problem("note", put.note, f"at most {MAX_NOTE_CHARACTERS} characters"))
    return problems


def _change(offset: int, at: float, put: SettingsPut, reason: str) -> Change:
    return Change(
        offset=offset,
        at=at,
        path=put.path[:MAX_PATH_CHARACTERS].strip("/"),
        author=put.author[:MAX_AUTHOR_CHARACTERS],
        note=put.note[:MAX_NOTE_CHARACTERS],
        accepted=not reason,
        reason=reason[:MAX_REASON_CHARACTERS],
    )
