"""The interface of the store, which an adapter implements."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from almonddock_core.model import AlmonddockError


class StoreLostError(AlmonddockError):
    """The store did not answer, or refused the call."""

    code = 'store_lost'


class HistoryLostError(AlmonddockError):
    """The store no longer keeps the changes after the given revision."""

    code = 'history_lost'


class LeaseEndedError(AlmonddockError):
    """The lease ran out or was revoked."""

    code = 'lease_ended'


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key of the store with its content, None if it was removed."""

    key: str
    content: bytes | None
    #: The revision of the store that last changed the key.
    revision: int


@dataclass(frozen=True, slots=True)
class StoreView:
    """Items, and the revision of the store that they reflect."""

    items: Sequence[StoreItem]
    revision: int
    #: Whether the store may have more changes than fit into the answer.
    has_more: bool = False


class Store(Protocol):
    """The calls to the store.

    All raise :class:`StoreLostError` if the store does not answer.
    """

    async def read_prefix(self, prefix: str) -> StoreView:
        """Returns all items under a prefix."""
        ...

    async def read_prefix_stale(self, prefix: str) -> StoreView:
        """Returns all items under a prefix, possibly seconds old."""
        ...

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: timedelta,
    ) -> StoreView:
        """Returns the changes after a revision, waiting for the first.

        Raises :class:`HistoryLostError` if they are no longer kept.
        """
        ...

    async def grant_lease(self, time_to_live: timedelta) -> int:
        """Returns a new lease."""
        ...

    async def renew_lease(self, lease: int) -> None:
        """Renews a lease; raises :class:`LeaseEndedError` if it is gone."""
        ...

    async def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        ...

    async def put(self, key: str, content: bytes, lease: int) -> None:
        """Writes a key that is removed when the lease ends."""
        ...

    async def put_if(
        self, expected: Mapping[str, int], contents: Mapping[str, bytes]
    ) -> int | None:
        """Writes all keys if others have the expected revisions.

        A revision of 0 stands for a key that does not exist. Returns the
        revision of the write, None if one of them differs.
        """
        ...
