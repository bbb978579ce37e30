"""Delay after which callers that were refused in an outage of the log should try again."""

from __future__ import annotations

import math
from typing import Final

MIN_RETRY_AFTER_SECONDS: Final = 1
"""The smallest delay that the header can state, since it holds whole seconds."""
MAX_RETRY_AFTER_SECONDS: Final = 3
"""Limit of the delay, so that callers come back soon after a long outage."""
SPREAD_FROM_SECONDS: Final = 1.0
"""Age of an outage from which delays are spread.

Most outages are shorter, and callers that are refused in the first second have come one by one.
"""


def retry_after_seconds(outage_seconds: float, spread: float = 0.0) -> int:
    """Return the delay to state, in whole seconds.

    Callers try only a few times. An outage that has lasted for some time is likely to last about as
    long again, so the delay grows with it, and the few tries span longer outages. In a long outage
    all that come are refused with the same delay, so half of them are told one second more: their
    returns do not all meet the first second after the outage.

    Args:
        outage_seconds: How long the log has not answered, 0 if it answers.
        spread: Random number from 0 to below 1, by which callers are told apart.
    """
    delay = math.ceil(min(outage_seconds, MAX_RETRY_AFTER_SECONDS))
    later = outage_seconds > SPREAD_FROM_SECONDS and spread >= 0.5
    return max(delay, MIN_RETRY_AFTER_SECONDS) + int(later)
