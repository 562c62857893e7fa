"""Reads one prefix of the store and watches it for changes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Clock, get_era
from almonddock_gateway.store import (
    HistoryLostError,
    Store,
    StoreLostError,
    StoreView,
)
from almonddock_gateway.telemetry import Telemetry

#: The pause between reads after an answer that does not help, such as an
#: outdated snapshot, and before the first answer: it doesn't grow, because no
#: caller is served until then.
START_RETRY_PAUSE = timedelta(milliseconds=100)

#: How long after the first answer, or after an outage, the store may be watched
#: with shorter pauses: callers wait for expired keys to return, which takes
#: about two seconds.
RECOVERY_PERIOD_S = 2.5
RECOVERY_PERIOD = timedelta(seconds=RECOVERY_PERIOD_S)

#: The bounds of the pause after a failed call; each failure doubles it.
MIN_RETRY_PAUSE = timedelta(milliseconds=100)
MAX_RETRY_PAUSE_MS = 800
MAX_RETRY_PAUSE = timedelta(milliseconds=MAX_RETRY_PAUSE_MS)


@dataclass(frozen=True, slots=True)
class FollowSettings:
    """The prefix to follow, its timing and its callbacks."""

    prefix: str
    #: How long the store may hold a watch without a change.
    wait: timedelta
    #: Returns the pause between two watches; the argument says whether expired
    #: keys may currently be written again.
    choose_pause: Callable[[bool], timedelta]
    #: Applies all items under the prefix.
    apply_snapshot: Callable[[StoreView], None]
    #: Applies changes.
    apply_changes: Callable[[StoreView], None]
    #: Called when the store answers again after a failure, and before a
    #: snapshot of a later era of the store is applied.
    store_back: Callable[[], None]


class Follower:
    """Reads a prefix, then watches it; reads again if history is lost."""

    def __init__(
        self,
        settings: FollowSettings,
        store: Store,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        #: When the store last answered; None before the first answer.
        self.fresh_at: timedelta | None = None
        #: Why the last call failed; empty if it did not.
        self.fault = ''
        self._settings = settings
        self._store = store
        self._clock = clock
        self._telemetry = telemetry
        # The revision to watch from; None if everything is to be read.
        self._revision: int | None = None
        #: The newest revision that was applied.
        self.newest = 0
        # When the store answered first, or again after a failure.
        self._recovered_at = timedelta()
        self._lost_since: timedelta | None = None
        self._retry_pause = MIN_RETRY_PAUSE

    @property
    def is_fresh(self) -> bool:
        """Whether the store answered the last call."""
        return self.fresh_at is not None and self._lost_since is None

    async def run(self) -> None:
        """Follows the prefix until cancelled.

        Reads all items first, also when it is run again after an error, which
        may have left changes out.
        """
        self._revision = None
        while True:
            try:
                await self._step()
            except HistoryLostError as lost:
                self._telemetry.log_event(
                    'store_history_lost',
                    prefix=self._settings.prefix,
                    revision=self._revision,
                    reason=lost.message,
                )
                self._revision = None
                await asyncio.sleep(START_RETRY_PAUSE.total_seconds())
            except StoreLostError as lost:
                await self._wait_for_store(lost)
            else:
                self._note_answer()

    async def _step(self) -> None:
        settings = self._settings
        if self._revision is None:
            view = await self._store.read_prefix(settings.prefix)
            self._note_answer()
            if view.revision < self.newest:
                await self._skip_outdated(view.revision)
                return
            self._note_era(view.revision)
            settings.apply_snapshot(view)
        else:
            view = await self._store.watch(
                settings.prefix,
                self._revision,
                settings.wait,
            )
            self._note_answer()
            settings.apply_changes(view)
        known = self._revision or 0
        self.newest = max(view.revision, self.newest)
        self._revision = self.newest
        if not view.has_more:
            await asyncio.sleep(self._choose_pause().total_seconds())
        elif self.newest <= known:
            # The rest of the changes is asked for with the same call again.
            await asyncio.sleep(START_RETRY_PAUSE.total_seconds())

    async def _skip_outdated(self, revision: int) -> None:
        """Ignores a snapshot of a watcher that is behind this host.

        Applied, it would bring back targets that have left.
        """
        self._telemetry.log_event(
            'store_snapshot_outdated',
            prefix=self._settings.prefix,
            revision=revision,
            newest_revision=self.newest,
        )
        await asyncio.sleep(START_RETRY_PAUSE.total_seconds())

    def _note_era(self, revision: int) -> None:
        """Notes that the store was restored: keys may be written again now."""
        era = get_era(revision)
        if not self.newest or era == get_era(self.newest):
            return
        self._telemetry.log_event(
            'store_era_changed',
            prefix=self._settings.prefix,
            revision=revision,
            newest_revision=self.newest,
        )
        self._recovered_at = self._clock.now()
        self._settings.store_back()

    def _choose_pause(self) -> timedelta:
        since = self._clock.now() - self._recovered_at
        return self._settings.choose_pause(since < RECOVERY_PERIOD)

    async def _wait_for_store(self, lost: StoreLostError) -> None:
        now = self._clock.now()
        self.fault = lost.message
        if self._lost_since is None:
            self._lost_since = now
            self._telemetry.log_event(
                'store_lost',
                prefix=self._settings.prefix,
                reason=lost.message,
                fresh_at=self.fresh_at,
            )
        if self.fresh_at is None:
            await asyncio.sleep(START_RETRY_PAUSE.total_seconds())
            return
        await asyncio.sleep(self._retry_pause.total_seconds())
        self._retry_pause = min(self._retry_pause * 2, MAX_RETRY_PAUSE)

    def _note_answer(self) -> None:
        now = self._clock.now()
        if self.fresh_at is None or self._lost_since is not None:
            self._recovered_at = now
        self.fresh_at = now
        self.fault = ''
        self._retry_pause = MIN_RETRY_PAUSE
        if self._lost_since is None:
            return
        self._telemetry.log_event(
            'store_back',
            prefix=self._settings.prefix,
            lost_for=now - self._lost_since,
        )
        self._lost_since = None
        self._settings.store_back()
