"""How long an answer that is due takes to be sent.

The timer of a busy host fires late, merging the replies of many shards takes a
while on a slow processor, and so does a large answer on a slow link.
"""

from dataclasses import dataclass
from datetime import timedelta

#: The weights of a new delay in the mean, and in the mean deviation from it;
#: those of a TCP round trip.
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25

#: The deviations above the mean that are allowed for.
DEVIATIONS = 2

#: Longer delays count as this long: they are pauses of the process, for which
#: no answer can allow.
MAX_DELAY_MS = 20
MAX_DELAY = timedelta(milliseconds=MAX_DELAY_MS)


@dataclass(slots=True)
class SendingDelay:
    """The recent delays of this host's answers on one route."""

    _mean: timedelta = timedelta()
    _deviation: timedelta = timedelta()

    @property
    def expected(self) -> timedelta:
        """The delay that few answers exceed."""
        return self._mean + DEVIATIONS * self._deviation

    def observe(self, delay: timedelta, transfer: timedelta) -> None:
        """Records an answer.

        ``delay`` is the time from when it was due until it was handed to the
        kernel, ``transfer`` the time that its bytes take on the host's link.
        """
        error = min(delay, MAX_DELAY) + transfer - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
