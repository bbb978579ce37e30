"""Loading of process settings for the command line of a process."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final, TypeVar

from zinniaweir.settings.errors import SettingsError
from zinniaweir.settings.process import ProcessSettings, load_process_settings

if TYPE_CHECKING:
    from pathlib import Path

EXIT_INVALID: Final = 2

T = TypeVar("T", bound=ProcessSettings)


def settings_from_command_line(path: Path, kind: type[T], *, check: bool) -> T | None:
    """Return the settings of a process, or print its problems and exit with `EXIT_INVALID`.

    Args:
        path: The YAML file.
        kind: Type of the settings.
        check: Whether to check the file only and return None.
    """
    try:
        settings = load_process_settings(path, kind)
    except SettingsError as error:
        for problem in error.problems:
            print(f"{problem.path}: {problem.value}: {problem.rule}", file=sys.stderr)
        sys.exit(EXIT_INVALID)
    return None if check else settings
