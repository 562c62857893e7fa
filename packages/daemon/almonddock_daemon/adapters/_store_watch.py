"""The position of one watch, kept across reconnects."""

from collections.abc import Iterator

from almonddock_core.store import StoredValue
from almonddock_daemon.adapters import _store_codec as codec
from almonddock_daemon.adapters._store_values import WatchEvent


class StoreWatch:
    """Tracks the next revision of a watch and filters repeated changes."""

    def __init__(self, key: str, from_revision: int) -> None:
        self.key = key
        self._next = from_revision

    def build_request(self) -> codec.JsonObject:
        """Returns the request that resumes the watch."""
        return codec.build_watch(self.key, self._next)

    def needs_reset(self, reply: codec.WatchReply) -> bool:
        """Returns whether changes were lost or the revision decreased.

        A store restored from an old backup has a smaller revision than the
        one that the watch has reached, and would send no events until its
        revision has caught up.
        """
        return reply.cancelled or reply.store_revision < self._next - 1

    def reset(
        self,
        reply: codec.WatchReply,
        current: StoredValue | None,
    ) -> WatchEvent:
        """Restarts the watch after a fresh read of the key."""
        at = current.revision if current is not None else 0
        self._next = max(reply.store_revision, at) + 1
        return WatchEvent(current, at or reply.store_revision, reset=True)

    def receive(self, reply: codec.WatchReply) -> Iterator[WatchEvent]:
        """Yields the changes of one message that are new."""
        for revision, current in reply.changes:
            if revision >= self._next:
                self._next = revision + 1
                yield WatchEvent(current, revision)
