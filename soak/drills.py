"""Copies of the store from which it comes back, some seconds older."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_platform.tests.standins import (
    StoreCopy,
    StoreFault,
    StoreStandin,
)

#: The pause between two copies, in seconds, and the number that is kept.
COPY_INTERVAL_S = 0.25
MAX_COPIES = 40

#: How long the store is away, in seconds.
AWAY_S = 0.8


@dataclass(frozen=True, slots=True)
class DatedCopy:
    """A copy of the store, and when it was taken."""

    taken: timedelta
    copy: StoreCopy


class StoreCopies:
    """Takes copies of the store, and lets it come back from one."""

    def __init__(
        self, store: StoreStandin, now: Callable[[], timedelta]
    ) -> None:
        self._store = store
        self._now = now
        self._copies: deque[DatedCopy] = deque(maxlen=MAX_COPIES)

    async def run(self) -> None:
        """Takes copies until cancelled."""
        while True:
            self.take()
            await asyncio.sleep(COPY_INTERVAL_S)

    def take(self) -> None:
        """Takes a copy."""
        copy = DatedCopy(self._now(), self._store.take_copy())
        self._copies.append(copy)

    async def restore(self, age: timedelta) -> timedelta:
        """Takes the store away for a moment; it comes back from a copy.

        Returns when the copy was taken: ``age`` before or earlier, or as long
        before as there are copies. Later copies are dropped.
        """
        store = self._store
        limit = self._now() - age
        store.fault = StoreFault.DOWN
        await asyncio.sleep(AWAY_S)
        while len(self._copies) > 1 and self._copies[-1].taken > limit:
            self._copies.pop()
        newest = self._copies[-1]
        store.restore(newest.copy)
        if store.fault is StoreFault.DOWN:
            store.fault = StoreFault.NONE
        return newest.taken
