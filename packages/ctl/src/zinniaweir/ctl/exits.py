"""Exit codes of the program."""

from __future__ import annotations

from typing import Final

DONE: Final = 0
INVALID: Final = 2
"""Invalid command line, or a value that breaks a rule."""
NOT_RUN: Final = 3
"""Refused; it is proven that nothing ran."""
CONFLICT: Final = 4
"""Conflict with an earlier change, or an idempotency key that was used for another call."""
UNKNOWN: Final = 5
"""The call may or may not have taken effect, or did not end within the time limit."""
FAILED: Final = 6
"""The call failed, or the job failed or was cancelled."""
UNREACHABLE: Final = 7
"""No server answered; the call took no effect."""
NOT_FOUND: Final = 8
WARNINGS: Final = 9
"""A checked configuration breaks no rule, but part of it has no effect or contradicts another."""
INTERRUPTED: Final = 130
"""Code that shells report for a program ended by Ctrl+C."""

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
"""Exit code for each HTTP status code; see `code_for_status` for others."""

BY_JOB_STATE: Final = {
    "done": DONE,
    "failed": FAILED,
    "cancelled": FAILED,
    "not_run": NOT_RUN,
    "unknown": UNKNOWN,
}
"""Exit code for the final state of a job."""

HELP: Final = (
    "Exit codes: 0 done, 2 usage or invalid, 3 refused (not run), 4 conflict, 5 unknown, "
    "6 failed, 7 unreachable, 8 not found, 9 warnings."
)


def code_for_status(status: int) -> int:
    """Return the exit code for an HTTP status code."""
    if status < 300:
        return DONE
    return BY_STATUS.get(status, INVALID if status < 500 else FAILED)
