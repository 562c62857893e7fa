"""Limits requests to a whole number in any window."""

import math
from dataclasses import dataclass
from datetime import timedelta

#: Keeps a limit below the next whole number in spite of rounding.
RATE_MARGIN = 1e-6
ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Allowance:
    """A limit on requests: a burst, and a rate at which it comes back."""

    burst: float
    #: Requests a second.
    rate: float


#: Lets nothing in.
NO_ALLOWANCE = Allowance(0, 0)


def limit_count(count: int, burst: float, window: timedelta) -> Allowance:
    """Returns an allowance of at most ``count`` requests in any window.

    Up to ``burst`` of them may come at once.
    """
    if not count:
        return NO_ALLOWANCE
    at_once = min(max(1, burst), count)
    rate = (count + 1 - at_once) / window.total_seconds()
    return Allowance(at_once, rate * (1 - RATE_MARGIN))


class Bucket:
    """Counts requests against an allowance, which may change at any time.

    Holds what was used, not what is left, so that a changed allowance is not
    a fresh one.
    """

    def __init__(self, now: timedelta) -> None:
        """Starts with nothing used."""
        self._used: float = 0
        self._updated = now

    def take(self, wanted: int, allowance: Allowance, now: timedelta) -> int:
        """Takes up to ``wanted`` requests; returns how many."""
        self._advance(allowance, now)
        left = allowance.burst - self._used + ROUNDING_TOLERANCE
        taken = min(wanted, max(0, math.floor(left)))
        self._used += taken
        return taken

    def give_back(
        self, count: int, allowance: Allowance, age: timedelta = timedelta()
    ) -> None:
        """Returns requests that were taken ``age`` ago and did not run.

        What the passing of time has given back since is not returned twice.
        """
        regained = allowance.rate * age.total_seconds()
        self._used = max(0, self._used - count * max(0, 1 - regained))

    def find_wait(self, allowance: Allowance, now: timedelta) -> timedelta:
        """Returns the time until one request can be taken."""
        self._advance(allowance, now)
        missing = self._used + 1 - allowance.burst
        if missing <= 0:
            return timedelta()
        if not allowance.rate:
            return timedelta.max
        return timedelta(seconds=missing / allowance.rate)

    def is_unused(self, allowance: Allowance, now: timedelta) -> bool:
        """Whether nothing counts as used any more."""
        self._advance(allowance, now)
        return not self._used

    def _advance(self, allowance: Allowance, now: timedelta) -> None:
        elapsed = (now - self._updated).total_seconds()
        if elapsed > 0:
            self._used = max(0, self._used - allowance.rate * elapsed)
            self._updated = now
