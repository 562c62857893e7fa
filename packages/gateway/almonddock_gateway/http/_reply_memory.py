"""Bounds the memory that incomplete replies take, over all connections."""

from typing import Protocol

from almonddock_core.framing import MAX_REPLY_BYTES

#: The most bytes of incomplete replies on all connections together.
MAX_HELD_BYTES = 0x2000000


class ReplyHolder(Protocol):
    """A connection that holds an incomplete reply."""

    def abort(self) -> None:
        """Closes the connection, which fails its request."""
        ...


class ReplyMemory:
    """Aborts the largest incomplete replies while all take too much.

    Servers in trouble may send bytes without end, each on many connections.
    The largest reply is the least likely to be an honest one.
    """

    def __init__(
        self,
        max_bytes: int = MAX_HELD_BYTES,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        #: The bytes that all connections hold now.
        self.held = 0
        #: How many connections were aborted.
        self.aborted = 0
        #: The most bytes that a server may send for one request.
        self.max_reply_bytes = max_reply_bytes
        self._max_bytes = max_bytes
        self._holders: dict[ReplyHolder, int] = {}

    def hold(self, holder: ReplyHolder, size: int) -> None:
        """Sets the size in bytes of what a connection holds."""
        self.held += size - self._holders.get(holder, 0)
        self._holders[holder] = size
        while self.held > self._max_bytes:
            largest = max(self._holders, key=self._holders.__getitem__)
            self.release(largest)
            self.aborted += 1
            largest.abort()

    def release(self, holder: ReplyHolder) -> None:
        """Forgets a connection whose reply is complete or has failed."""
        self.held -= self._holders.pop(holder, 0)
