"""A discrete-event simulation that runs scenarios in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.model import ManualClock

LOCAL_DELAY = timedelta(microseconds=100)
DISTANT_DELAY = timedelta(milliseconds=1)
#: No timer fires sooner than this after it was set.
MIN_TIMER_DELAY = timedelta(microseconds=50)
#: Limit on events at one time, above what any scenario has.
MAX_EVENTS_AT_ONCE = 100_000


class Simulation:
    """A virtual clock with pending events and a trace of decisions."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.trace: list[str] = []
        #: Pairs of hosts between which messages get lost.
        self.partitioned: set[frozenset[str]] = set()
        self._order = itertools.count()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []

    @property
    def now(self) -> timedelta:
        return self.clock.now()

    def call_at(self, time: timedelta, action: Callable[[], None]) -> None:
        entry = (max(time, self.now), next(self._order), action)
        heapq.heappush(self._events, entry)

    def call_later(self, delay: timedelta, action: Callable[[], None]) -> None:
        self.call_at(self.now + delay, action)

    def record(self, source: str, message: object) -> None:
        milliseconds = self.now / timedelta(milliseconds=1)
        self.trace.append(f'{milliseconds:10.3f} ms {source}: {message}')

    def run_until(self, end: timedelta) -> None:
        repeated = 0
        while self._events and self._events[0][0] <= end:
            time, _, action = heapq.heappop(self._events)
            repeated = repeated + 1 if time <= self.now else 0
            if repeated > MAX_EVENTS_AT_ONCE:
                raise RuntimeError(f'endless events at {self.now}: {action}')
            self.clock.advance(time - self.now)
            action()
        self.clock.advance(end - self.now)

    def split(self, one: frozenset[str], other: frozenset[str]) -> None:
        self.partitioned = {
            frozenset((left, right)) for left in one for right in other
        }
