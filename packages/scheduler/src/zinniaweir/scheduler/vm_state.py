"""State of a VM, derived from the age of its knowledge of the log."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from zinniaweir.journal.journal import Journal
    from zinniaweir.membership.view import Membership

READY: Final = "ready"
"""The knowledge of the log is recent."""
STARTING: Final = "starting"
"""The VM has not caught up with the log."""
LOG_UNAVAILABLE: Final = "log_unavailable"
"""The knowledge of the log is too old."""
ISOLATED: Final = "isolated"
"""The knowledge of the log is too old and all known peers are silent."""
NO_STATE: Final = "no_state"
"""The log has lost records that no snapshot covers."""

MAX_READY_LOG_AGE_SECONDS: Final = 2.0
"""Maximum age of the knowledge of the log at which work that needs the log is accepted."""
MIN_ISOLATED_LOG_AGE_SECONDS: Final = 5.0
"""Age of the knowledge of the log above which a VM without live peers counts as isolated.

Such a VM cannot know that operators took a failure domain out.
"""


class VmState:
    """Derive the state of the VM from its journal and its live peers."""

    def __init__(self, *, journal: Journal, membership: Membership) -> None:
        self._journal = journal
        self._membership = membership
        self._has_state = True

    def mark_state_lost(self) -> None:
        """Mark the state as lost: the log no longer has records that no snapshot covers."""
        self._has_state = False

    def mark_state_restored(self) -> None:
        """Mark the state as complete again."""
        self._has_state = True

    def current(self) -> str:
        """Return the current state, one of the constants of this module."""
        now = time.monotonic()
        if not self._has_state:
            return NO_STATE
        if not self._journal.caught_up:
            return STARTING
        age = self._journal.freshness_age(now)
        if age <= MAX_READY_LOG_AGE_SECONDS:
            return READY
        # With live peers, an outage of the log is more likely. If all known peers are silent, this
        # VM itself may be cut off.
        has_peers = bool(self._membership.peers(now))
        if (
            age > MIN_ISOLATED_LOG_AGE_SECONDS
            and has_peers
            and len(self._membership.live(now)) == 1
        ):
            return ISOLATED
        return LOG_UNAVAILABLE
