"""Decides when the late sub-queries of a query are hedged."""

import heapq
from collections.abc import Mapping
from datetime import timedelta

from almonddock_core.model import ShardId
from almonddock_core.scatter._settings import ScatterSettings
from almonddock_core.scatter._shard import ShardState

#: Hedges that the budget cannot cover are postponed up to this multiple of the
#: time after which the relative threshold is due.
MAX_POSTPONE_FACTOR = 2


class HedgeTimer:
    """Tells which shards are late, by two thresholds.

    A try is late once its own expected time has passed. In addition, when
    ``hedge_share`` of the shards have answered, the remaining ones are late
    after ``hedge_factor`` times the time that those took (the relative
    threshold). It applies once, to shards with a single try, when at most
    ``hedge_limit`` of the shards, or one shard, are missing.
    """

    def __init__(self, settings: ScatterSettings) -> None:
        self._settings = settings
        self._started = timedelta()
        self._total = 0
        #: When shards with a single try become late; None until enough
        #: shards have answered.
        self._relative_due: timedelta | None = None
        self._relative_applied = False
        #: A heap of when the last try of each shard becomes late, with the
        #: number of its tries at that time.
        self._expected_due: list[tuple[timedelta, ShardId, int]] = []

    def start(self, now: timedelta, total: int) -> None:
        """Starts the clock for ``total`` shards."""
        self._started = now
        self._total = total

    def watch(self, state: ShardState, expected: timedelta) -> None:
        """Records when the last try of a shard becomes late."""
        heapq.heappush(self._expected_due, (expected, state.shard, state.tries))

    def note_reply(self, now: timedelta, missing: int) -> None:
        """Sets the relative threshold once enough shards have answered."""
        if self._relative_due is not None:
            return
        if self._total - missing >= self._total * self._settings.hedge_share:
            wait = (now - self._started) * self._settings.hedge_factor
            self._relative_due = self._started + wait

    def may_postpone(self, now: timedelta) -> bool:
        """Returns whether hedges may still be postponed to save budget.

        They may not until the relative threshold is known.
        """
        if self._relative_due is None:
            return False
        return (
            now - self._started
            < (self._relative_due - self._started) * MAX_POSTPONE_FACTOR
        )

    def next_due(self, missing: int) -> timedelta | None:
        """Returns when a shard may become late, None if never."""
        due = self._expected_due[0][0] if self._expected_due else None
        relative = self._find_relative_due(missing)
        if due is None or relative is None:
            return due or relative
        return min(due, relative)

    def take_late(
        self,
        unanswered: Mapping[ShardId, ShardState],
        now: timedelta,
    ) -> list[ShardState]:
        """Returns the shards that have become late since the last call."""
        late: dict[ShardId, ShardState] = {}
        while self._expected_due and self._expected_due[0][0] <= now:
            _, shard, tries = heapq.heappop(self._expected_due)
            state = unanswered.get(shard)
            if state is not None and state.tries == tries:
                late[shard] = state
        relative = self._find_relative_due(len(unanswered))
        if relative is not None and relative <= now:
            self._relative_applied = True
            late.update(
                (shard, state)
                for shard, state in unanswered.items()
                if state.tries == 1
            )
        return list(late.values())

    def _find_relative_due(self, missing: int) -> timedelta | None:
        few = missing <= max(self._total * self._settings.hedge_limit, 1)
        return (
            self._relative_due if few and not self._relative_applied else None
        )
