"""The last state of every key, for hosts that ask what has changed."""

from collections.abc import Collection, Iterable
from typing import Generic, Protocol, TypeVar

#: Removed keys that are remembered. A host that missed an older removal reads
#: everything.
MAX_TOMBSTONES = 2000


class LoggedItem(Protocol):
    """A key, and its content since a revision."""

    @property
    def key(self) -> str:
        """The key."""
        ...

    @property
    def content(self) -> bytes | None:
        """The content of the key; None if it was removed."""
        ...

    @property
    def revision(self) -> int:
        """The revision of the change."""
        ...


ItemT = TypeVar('ItemT', bound=LoggedItem)


class ChangeLog(Generic[ItemT]):
    """A compacted log: one item a key, so it does not grow with time."""

    def __init__(self) -> None:
        #: The revision that the log reflects; None before the first read.
        self.revision: int | None = None
        # Changes up to this revision may be missing.
        self._complete_after = 0
        self._items: dict[str, ItemT] = {}
        self._tombstones: dict[str, ItemT] = {}

    def apply_snapshot(self, items: Iterable[ItemT], revision: int) -> None:
        """Replaces the log with all keys of the store at a revision."""
        self._items = {item.key: item for item in items}
        self._tombstones = {}
        self._complete_after = revision
        self.revision = revision

    def apply_changes(
        self,
        items: Iterable[ItemT],
        revision: int,
        unchanged: Collection[int] = (),
    ) -> None:
        """Adds changes; ``unchanged`` names those that change nothing.

        These are writes that repeat an entry, such as a target's heartbeats.
        ``unchanged`` holds their revisions, not keys, because one batch may
        hold a change and a heartbeat of the same key.
        """
        for item in items:
            if item.content is None:
                self._items.pop(item.key, None)
                self._tombstones[item.key] = item
            elif item.revision not in unchanged or item.key not in self._items:
                self._tombstones.pop(item.key, None)
                self._items[item.key] = item
        self._drop_tombstones()
        self.revision = max(revision, self.revision or 0)

    def list_all(self) -> list[ItemT]:
        """Returns all items that exist."""
        return list(self._items.values())

    def list_changes(self, after: int) -> list[ItemT] | None:
        """Returns the changes after a revision, in the order of revisions.

        Returns None if some of them may have been forgotten.
        """
        if after < self._complete_after:
            return None
        known = (*self._items.values(), *self._tombstones.values())
        return sorted(
            (item for item in known if item.revision > after),
            key=lambda item: item.revision,
        )

    def _drop_tombstones(self) -> None:
        while len(self._tombstones) > MAX_TOMBSTONES:
            key = next(iter(self._tombstones))
            self._complete_after = max(
                self._complete_after, self._tombstones.pop(key).revision
            )
