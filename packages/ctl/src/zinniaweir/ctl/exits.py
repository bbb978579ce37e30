"""Exit codes of the program."""

from __future__ import annotations

from typing import Final

DONE: Final = 0
INVALID: Final = 2
"""Wrong usage, or a value that breaks a rule."""
NOT_RUN: Final = 3
"""Refused, and it is proved that nothing ran."""
CONFLICT: Final = 4
"""Another change came first, or a key was used for something else."""
UNKNOWN: Final = 5
"""It may or may not have taken effect, or has not ended in the time given."""
FAILED: Final = 6
UNREACHABLE: Final = 7
"""No server answered, and nothing took effect."""
NOT_FOUND: Final = 8
INTERRUPTED: Final = 130
"""What shells report after an interrupt from the keyboard."""

BY_STATUS: Final = {
    400: INVALID,
    404: NOT_FOUND,
    409: CONFLICT,
    413: INVALID,
    429: NOT_RUN,
    502: FAILED,
    503: NOT_RUN,
    504: UNKNOWN,
}
"""Exit code of each status code of the HTTP interface."""

BY_JOB_STATE: Final = {
    "done": DONE,
    "failed": FAILED,
    "cancelled": FAILED,
    "not_run": NOT_RUN,
    "unknown": UNKNOWN,
}
"""Exit code of a job that ended."""

HELP: Final = (
    "Exit codes: 0 done, 2 usage or invalid, 3 refused (not run), 4 conflict, 5 unknown, "
    "6 failed, 7 unreachable, 8 not found."
)


def code_for_status(status: int) -> int:
    """Return the exit code for a status code."""
    if status < 300:
        return DONE
    return BY_STATUS.get(status, INVALID if status < 500 else FAILED)
