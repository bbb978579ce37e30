"""Limits the rate of gang starts in a failure domain that has just returned."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class _Ramp:
    until: float
    next_start: float


class Ramps:
    """The failure domains that ramp up after their return, by index."""

    def __init__(self) -> None:
        self._ramps: dict[int, _Ramp] = {}

    def begin(self, domain: int, *, now: float, seconds: float) -> None:
        """Limit the rate of starts in a failure domain for a number of seconds."""
        self._ramps[domain] = _Ramp(until=now + seconds, next_start=now)

    def end(self, domain: int) -> None:
        """Remove the limit of a failure domain that left again."""
        self._ramps.pop(domain, None)

    def closed_domains(self, now: float) -> frozenset[int]:
        """Return the failure domains in which no gang may start now."""
        if not self._ramps:
            return frozenset()
        for domain in [d for d, ramp in self._ramps.items() if ramp.until <= now]:
            del self._ramps[domain]
        return frozenset(d for d, ramp in self._ramps.items() if ramp.next_start > now)

    def count_start(self, domain: int, *, now: float, rate: float) -> float | None:
        """Count a gang start.

        Args:
            domain: Index of the failure domain.
            now: Current time in seconds.
            rate: Permitted starts per second.

        Returns:
            When the next gang may start, or None if the domain has no limit.
        """
        ramp = self._ramps.get(domain)
        if ramp is None:
            return None
        ramp.next_start = now + 1.0 / rate
        return ramp.next_start

    def to_data(self) -> dict[int, list[float]]:
        """Return the ramps as plain data."""
        return {domain: [ramp.until, ramp.next_start] for domain, ramp in self._ramps.items()}

    def load(self, data: dict) -> None:
        """Replace the ramps with those that `to_data` returned."""
        self._ramps = {int(domain): _Ramp(*values) for domain, values in data.items()}
