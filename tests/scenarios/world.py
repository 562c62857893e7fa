"""Virtual time: everything that happens in a scenario, in order."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.model import ManualClock

LOCAL_DELAY = timedelta(microseconds=100)
DISTANT_DELAY = timedelta(milliseconds=1)
#: No timer fires sooner than this after it was set.
TIMER_STEP = timedelta(microseconds=50)
#: More events than any scenario has at one time.
MAX_REPEATED = 100_000


class World:
    """A clock, the events to come and the trace of decisions."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.trace: list[str] = []
        #: Pairs of hosts between which messages get lost.
        self.cut: set[frozenset[str]] = set()
        self._order = itertools.count()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []

    @property
    def now(self) -> timedelta:
        return self.clock.now()

    def schedule(self, time: timedelta, act: Callable[[], None]) -> None:
        entry = (max(time, self.now), next(self._order), act)
        heapq.heappush(self._events, entry)

    def after(self, delay: timedelta, act: Callable[[], None]) -> None:
        self.schedule(self.now + delay, act)

    def note(self, who: str, what: object) -> None:
        milliseconds = self.now / timedelta(milliseconds=1)
        self.trace.append(f'{milliseconds:10.3f} ms {who}: {what}')

    def run_until(self, end: timedelta) -> None:
        repeated = 0
        while self._events and self._events[0][0] <= end:
            time, _, act = heapq.heappop(self._events)
            repeated = repeated + 1 if time <= self.now else 0
            if repeated > MAX_REPEATED:
                raise RuntimeError(f'time stands still at {self.now}: {act}')
            self.clock.advance(time - self.now)
            act()
        self.clock.advance(end - self.now)

    def split(self, one: frozenset[str], other: frozenset[str]) -> None:
        self.cut = {frozenset((left, right)) for left in one for right in other}
