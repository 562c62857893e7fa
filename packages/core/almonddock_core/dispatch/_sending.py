"""How long an answer that is due takes to be sent.

The timer of a busy host fires late, merging the replies of many shards takes a
while on a slow processor, and so does a large answer on a slow link. A host of
a large deployment sends few answers, so it starts with an estimate.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch._records import RECORD_BYTES
from almonddock_core.routing import Route

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

#: The resolution of the timers of an event loop, which is the mean delay
#: before the first one is observed.
TIMER_RESOLUTION = timedelta(milliseconds=1)

#: About the bytes of a stamp, with its separator.
STAMP_BYTES = 30


@dataclass(slots=True)
class SendingDelay:
    """The recent delays of this host's answers on all routes."""

    _mean: timedelta = TIMER_RESOLUTION
    _deviation: timedelta = TIMER_RESOLUTION / 2

    @property
    def expected(self) -> timedelta:
        """The delay that few answers exceed."""
        return self._mean + DEVIATIONS * self._deviation

    def observe(self, delay: timedelta) -> None:
        """Records the time from when an answer was due until it was sent.

        It ends when the answer is handed to the kernel.
        """
        error = min(delay, MAX_DELAY) - self._mean
        self._mean += MEAN_WEIGHT * error
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)


@dataclass(slots=True)
class AnswerSending:
    """How long the answers of a host that are due take to be sent."""

    #: The time that a byte takes on the host's link; zero if unknown.
    byte_time: timedelta = timedelta()
    #: How late they are handed to the kernel.
    delay: SendingDelay = field(default_factory=SendingDelay)
    # The bytes of the last answer, by route.
    _sizes: dict[str, int] = field(default_factory=dict)

    def estimate(self, route: Route) -> timedelta:
        """Returns the time that few answers of a route exceed."""
        size = self._sizes.get(route.name)
        if size is None:
            size = len(route.shards) * STAMP_BYTES
            size += route.top_records * RECORD_BYTES
        return self.delay.expected + size * self.byte_time

    def observe(self, route: Route, delay: timedelta, size: int) -> None:
        """Records an answer's delay, and its bytes."""
        self.delay.observe(delay)
        self._sizes[route.name] = size

    def keep(self, names: frozenset[str]) -> None:
        """Forgets all other routes."""
        for name in self._sizes.keys() - names:
            del self._sizes[name]
