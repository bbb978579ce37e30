"""Delay after which callers that were refused in an outage of the log should try again."""

from __future__ import annotations

import math
from typing import Final

MIN_RETRY_AFTER_SECONDS: Final = 1
"""The smallest delay that the header can state, since it holds whole seconds."""
MAX_RETRY_AFTER_SECONDS: Final = 3
"""Limit of the delay, so that callers come back soon after a long outage."""


def retry_after_seconds(outage_seconds: float) -> int:
    """Return the delay to state, in whole seconds.

    Callers try only a few times. An outage that has lasted for some time is likely to last about as
    long again, so the delay grows with it, and the few tries span longer outages.

    Args:
        outage_seconds: How long the log has not answered, 0 if it answers.
    """
    delay = math.ceil(min(outage_seconds, MAX_RETRY_AFTER_SECONDS))
    return max(delay, MIN_RETRY_AFTER_SECONDS)
