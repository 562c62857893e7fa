"""Caches the store's contents for hosts that read through this one."""

import asyncio
from collections.abc import Callable, Collection
from datetime import timedelta

from almonddock_core.model import get_era
from almonddock_core.news import ChangeLog, Freshness
from almonddock_gateway.store import HistoryLostError, StoreItem, StoreView


class StoreCache:
    """Answers reads of the store from what this host has read."""

    def __init__(self, prefix: str, is_fresh: Callable[[], bool]) -> None:
        """Starts empty.

        ``prefix`` is the prefix that this host follows; ``is_fresh`` returns
        whether this host currently reads the store itself. Data from another
        host is not passed on, or two hosts could serve each other stale data.
        """
        self.prefix = prefix
        self.is_fresh = is_fresh
        self._log: ChangeLog[StoreItem] = ChangeLog()
        self._changed = asyncio.Event()
        self._freshness = Freshness()

    @property
    def era(self) -> int:
        """The era of the store that the cache is of."""
        return get_era(self._log.revision or 0)

    def apply_snapshot(self, view: StoreView) -> None:
        """Replaces all items with those of the store."""
        self._log.apply_snapshot(view.items, view.revision)
        self._note_applied(view)

    def apply_changes(
        self,
        view: StoreView,
        unchanged: Collection[int],
    ) -> None:
        """Applies changes; revisions in ``unchanged`` change no content."""
        self._log.apply_changes(view.items, view.revision, unchanged)
        self._note_applied(view)

    async def read(self, after: int | None, wait: timedelta) -> StoreView:
        """Returns all items, or the changes after a revision.

        Waits for the first change, and returns no items if none comes. Raises
        :class:`HistoryLostError` if some changes may no longer be kept.
        """
        if after is None:
            return self._build_view(self._log.list_all())
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait.total_seconds()
        while True:
            changes = self._log.list_changes(after)
            if changes is None:
                raise HistoryLostError(f'no history after revision {after}')
            left = deadline - loop.time()
            if changes or left <= 0:
                return self._build_view(changes)
            await self._wait(left)

    async def _wait(self, seconds: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            # Without a change the answer is an empty list.
            return

    def _build_view(self, items: list[StoreItem]) -> StoreView:
        return StoreView(
            items, self._log.revision or 0, as_of=self._freshness.as_of
        )

    def _note_applied(self, view: StoreView) -> None:
        if not view.has_more:
            self._freshness.note(view.as_of)
        self._changed.set()
        self._changed = asyncio.Event()
