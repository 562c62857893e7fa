"""Bounds the memory that requests take, over all connections of callers."""

from datetime import timedelta
from typing import Protocol

from almonddock_core.model import Clock

#: The most bytes that all requests take together, unless set otherwise.
MAX_REQUEST_BYTES = 0x1800000

#: A request of which nothing has arrived for this long counts as stalled.
STALL = timedelta(seconds=1)


class RequestHolder(Protocol):
    """A connection that holds requests."""

    @property
    def serving(self) -> bool:
        """Whether a request of this connection is being served."""
        ...

    @property
    def progress_at(self) -> timedelta:
        """When bytes arrived last."""
        ...

    def refuse(self) -> None:
        """Refuses what is not being served, and closes the connection."""
        ...


class RequestMemory:
    """Refuses requests that are not being served while all take too much.

    Requests that have stalled are refused first, the longest stalled before
    the others, then the largest: small ones are the least likely to be part of
    the cause.
    """

    def __init__(
        self,
        clock: Clock,
        max_bytes: int = MAX_REQUEST_BYTES,
    ) -> None:
        #: The bytes that all requests take now.
        self.held = 0
        #: How many connections were refused.
        self.refused = 0
        self._clock = clock
        self._max_bytes = max_bytes
        self._holders: dict[RequestHolder, int] = {}

    def update(self, holder: RequestHolder, size: int) -> None:
        """Sets the bytes that a connection holds, without a check."""
        self.held += size - self._holders.pop(holder, 0)
        if size:
            self._holders[holder] = size

    def hold(self, holder: RequestHolder, size: int) -> None:
        """Sets the bytes that a connection holds, and keeps the bound."""
        self.update(holder, size)
        while self.held > self._max_bytes:
            refused = self._choose()
            self.refused += 1
            if refused is None:
                holder.refuse()
                return
            self.update(refused, 0)
            refused.refuse()

    def _choose(self) -> RequestHolder | None:
        """Returns the connection to refuse, None if all are being served."""
        now = self._clock.now()

        def rank(holder: RequestHolder) -> tuple[timedelta, int]:
            silent = now - holder.progress_at
            stalled = silent if silent > STALL else timedelta()
            return stalled, self._holders[holder]

        waiting = (one for one in self._holders if not one.serving)
        return max(waiting, key=rank, default=None)
