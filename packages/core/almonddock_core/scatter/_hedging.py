"""When the late sub-queries of a query are hedged."""

import heapq
from collections.abc import Mapping
from datetime import timedelta

from almonddock_core.model import ShardId
from almonddock_core.scatter._settings import ScatterSettings
from almonddock_core.scatter._shard import ShardState

#: Hedges wait for the budget up to this multiple of the relative time.
PATIENCE = 2


class HedgeTimer:
    """Tells which shards are late, by their own tries or by the others.

    A try is late once its own expected time has passed. Besides, when most
    shards of the query are in, each other one is late after a multiple of
    the time that those took.
    """

    def __init__(self, settings: ScatterSettings) -> None:
        self._settings = settings
        self._started = timedelta()
        self._total = 0
        #: When the shards that have had one try are late, once known.
        self._relative: timedelta | None = None
        self._relative_done = False
        #: When the last try of each shard is late, with the tries so far.
        self._expected: list[tuple[timedelta, ShardId, int]] = []

    def start(self, now: timedelta, total: int) -> None:
        """Starts the wait for ``total`` shards."""
        self._started = now
        self._total = total

    def watch(self, state: ShardState, expected: timedelta) -> None:
        """Notes when the try that was sent last is late."""
        heapq.heappush(self._expected, (expected, state.shard, state.tries))

    def note_reply(self, now: timedelta, missing: int) -> None:
        """Sets the relative time once the given share of shards is in."""
        if self._relative is not None:
            return
        if self._total - missing >= self._total * self._settings.hedge_share:
            wait = (now - self._started) * self._settings.hedge_factor
            self._relative = self._started + wait

    def may_wait(self, now: timedelta) -> bool:
        """Returns whether few enough shards are late to wait for fewer."""
        if self._relative is None:
            return False
        return now - self._started < (self._relative - self._started) * PATIENCE

    def next_due(self, missing: int) -> timedelta | None:
        """Returns when some shard may be late, None if never."""
        due = self._expected[0][0] if self._expected else None
        relative = self._find_relative(missing)
        if due is None or relative is None:
            return due or relative
        return min(due, relative)

    def take_late(
        self,
        unanswered: Mapping[ShardId, ShardState],
        now: timedelta,
    ) -> list[ShardState]:
        """Returns the shards that are late now; each try is late once."""
        late: dict[ShardId, ShardState] = {}
        while self._expected and self._expected[0][0] <= now:
            _, shard, tries = heapq.heappop(self._expected)
            state = unanswered.get(shard)
            if state is not None and state.tries == tries:
                late[shard] = state
        relative = self._find_relative(len(unanswered))
        if relative is not None and relative <= now:
            self._relative_done = True
            late.update(
                (shard, state)
                for shard, state in unanswered.items()
                if state.tries == 1
            )
        return list(late.values())

    def _find_relative(self, missing: int) -> timedelta | None:
        few = missing <= max(self._total * self._settings.hedge_limit, 1)
        return self._relative if few and not self._relative_done else None
