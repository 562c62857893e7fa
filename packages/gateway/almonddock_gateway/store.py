"""The interface of the store, which an adapter implements.

All revisions order what the store says over its whole history, also after it
was restored from a copy: see :func:`almonddock_core.model.join_revision`.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Protocol

from almonddock_core.model import AlmonddockError, Clock


class StoreLostError(AlmonddockError):
    """The store did not answer, or refused the call."""

    code = 'store_lost'


class CallCutError(StoreLostError):
    """The connection of a call ended; the store may answer the next call."""


class EraChangedError(StoreLostError):
    """The store was restored from a copy during the call, or since then.

    Whether a write has been executed is not known.
    """


class HistoryLostError(AlmonddockError):
    """The store does not have the changes after the given revision.

    It has discarded them, or was restored from a copy without them.
    """

    code = 'history_lost'


class LeaseEndedError(AlmonddockError):
    """The lease ran out, was revoked, or is of an earlier era of the store."""

    code = 'lease_ended'


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key of the store with its content, None if it was removed."""

    key: str
    #: Not printed: a configuration holds the keys of callers.
    content: bytes | None = field(repr=False)
    #: The revision of the store that last changed the key.
    revision: int


@dataclass(frozen=True, slots=True)
class StoreView:
    """Items, and the revision of the store that they reflect."""

    items: Sequence[StoreItem]
    revision: int
    #: Whether the store may have more changes than fit into the answer.
    has_more: bool = False
    #: When the read was sent that shows them, so that all that was confirmed
    #: before is in them; None if that is not known.
    as_of: timedelta | None = field(default=None, compare=False)


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

    async def put(
        self,
        key: str,
        content: bytes,
        lease: int,
        expected: int | None = None,
    ) -> int:
        """Writes a key that is removed when the lease ends.

        If a revision is ``expected``, only over that one; 0 means that the
        key does not exist. Returns the revision of the write. Raises
        :class:`LeaseEndedError` if the lease is gone, and
        :class:`EraChangedError` if the store was restored meanwhile.
        """
        ...

    async def remove(self, key: str, expected: int) -> None:
        """Removes a key if it has the expected revision."""
        ...

    async def put_if(
        self, expected: Mapping[str, int], contents: Mapping[str, bytes]
    ) -> int | None:
        """Writes all keys if others have the expected revisions.

        A revision of 0 stands for a key that does not exist. Returns the
        revision of the write, None if one of them differs. Raises
        :class:`EraChangedError` if the store was restored meanwhile.
        """
        ...


async def read_dated(
    read: Callable[[], Awaitable[StoreView]], clock: Clock
) -> StoreView:
    """Returns what a read of the store shows, and as of when."""
    sent = clock.now()
    view = await read()
    return replace(view, as_of=sent)
