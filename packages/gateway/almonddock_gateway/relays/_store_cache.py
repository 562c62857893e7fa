"""What this host has read of the store, for hosts that ask it."""

import asyncio
from collections.abc import Callable, Collection
from datetime import timedelta

from almonddock_core.news import NewsLog
from almonddock_gateway.store import HistoryLostError, StoreItem, StoreView


class StoreCache:
    """Answers reads of the store without a call to it."""

    def __init__(self, prefix: str, is_fresh: Callable[[], bool]) -> None:
        """Takes the prefix that is followed.

        ``is_fresh`` tells whether this host reads the store itself now: what
        came from another host is not handed on, or two could ask each other.
        """
        self.prefix = prefix
        self.is_fresh = is_fresh
        self._log: NewsLog[StoreItem] = NewsLog()
        self._changed = asyncio.Event()

    def apply_snapshot(self, view: StoreView) -> None:
        """Takes everything that the store holds."""
        self._log.take_all(view.items, view.revision)
        self._notify_readers()

    def apply_changes(
        self,
        view: StoreView,
        unchanged: Collection[int],
    ) -> None:
        """Takes changes; those at revisions in ``unchanged`` are no news."""
        self._log.take_changes(view.items, view.revision, unchanged)
        self._notify_readers()

    async def read(self, after: int | None, wait: timedelta) -> StoreView:
        """Returns everything, or the changes after a revision.

        Waits for the first change, and returns none if there was none. Raises
        :class:`HistoryLostError` if changes may have been forgotten.
        """
        if after is None:
            return StoreView(self._log.list_all(), self._log.revision or 0)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait.total_seconds()
        while True:
            changes = self._log.list_changes(after)
            if changes is None:
                raise HistoryLostError(f'nothing after revision {after}')
            left = deadline - loop.time()
            if changes or left <= 0:
                return StoreView(changes, self._log.revision or 0)
            await self._wait(left)

    async def _wait(self, seconds: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            # No news is an answer too.
            return

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
