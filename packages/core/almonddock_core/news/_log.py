"""The last state of every key, for hosts that ask what has changed."""

from collections.abc import Collection, Iterable
from typing import Generic, Protocol, TypeVar

#: Removals that are kept. A host that was away for longer reads everything.
KEPT_REMOVALS = 2000


class LoggedItem(Protocol):
    """A key, and what it holds since a revision."""

    @property
    def key(self) -> str:
        """The key."""
        ...

    @property
    def content(self) -> bytes | None:
        """What it holds; None if it was removed."""
        ...

    @property
    def revision(self) -> int:
        """The revision of the change."""
        ...


ItemT = TypeVar('ItemT', bound=LoggedItem)


class NewsLog(Generic[ItemT]):
    """Keeps one item a key, so that its size does not grow with time."""

    def __init__(self) -> None:
        #: The revision that the log reflects; None before the first read.
        self.revision: int | None = None
        # Changes up to this revision may be missing.
        self._oldest = 0
        self._items: dict[str, ItemT] = {}
        self._removals: dict[str, ItemT] = {}

    def take_all(self, items: Iterable[ItemT], revision: int) -> None:
        """Takes everything, in place of what was known."""
        self._items = {item.key: item for item in items}
        self._removals = {}
        self._oldest = revision
        self.revision = revision

    def take_changes(
        self,
        items: Iterable[ItemT],
        revision: int,
        unchanged: Collection[int] = (),
    ) -> None:
        """Takes changes; those at revisions in ``unchanged`` are no news.

        A key may change and be confirmed in one batch, so keys do not tell.
        """
        for item in items:
            if item.content is None:
                self._items.pop(item.key, None)
                self._removals[item.key] = item
            elif item.revision not in unchanged or item.key not in self._items:
                self._removals.pop(item.key, None)
                self._items[item.key] = item
        self._forget_removals()
        self.revision = max(revision, self.revision or 0)

    def list_all(self) -> list[ItemT]:
        """Returns all items that exist."""
        return list(self._items.values())

    def list_changes(self, after: int) -> list[ItemT] | None:
        """Returns the changes after a revision, in their order.

        Returns None if some of them may have been forgotten.
        """
        if after < self._oldest:
            return None
        known = (*self._items.values(), *self._removals.values())
        return sorted(
            (item for item in known if item.revision > after),
            key=lambda item: item.revision,
        )

    def _forget_removals(self) -> None:
        while len(self._removals) > KEPT_REMOVALS:
            key = next(iter(self._removals))
            self._oldest = max(self._oldest, self._removals.pop(key).revision)
