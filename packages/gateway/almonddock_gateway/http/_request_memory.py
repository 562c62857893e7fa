"""Bounds the memory that requests take, over all connections of callers."""

from datetime import timedelta
from typing import Protocol

from almonddock_core.memory import (
    Candidate,
    HostMemory,
    PartLimits,
    rank_holder,
)
from almonddock_core.model import Clock

#: The most bytes that all requests take together, unless set otherwise.
MAX_REQUEST_BYTES = 0x1800000


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
        memory: HostMemory | None = None,
        name: str = 'requests',
    ) -> None:
        """Takes a share of ``memory``, which is called ``name`` there."""
        #: The bytes that all requests take now.
        self.held = 0
        #: How many connections were refused.
        self.refused = 0
        self._clock = clock
        self._holders: dict[RequestHolder, int] = {}
        owner = HostMemory(clock) if memory is None else memory
        self._share = owner.register(self, PartLimits(name, max_bytes))

    def update(self, holder: RequestHolder, size: int) -> None:
        """Sets the bytes that a connection holds, without a check."""
        self.held += size - self._holders.pop(holder, 0)
        if size:
            self._holders[holder] = size

    def hold(self, holder: RequestHolder, size: int) -> None:
        """Sets the bytes that a connection holds, and keeps the bound."""
        self.update(holder, size)
        if not self._share.keep_bound():
            self._refuse(holder)

    def find_candidate(self) -> Candidate | None:
        """Returns what to refuse first, None if all are being served."""
        now = self._clock.now()

        def rank(holder: RequestHolder) -> tuple[timedelta, int]:
            return rank_holder(now - holder.progress_at, self._holders[holder])

        waiting = (one for one in self._holders if not one.serving)
        chosen = max(waiting, key=rank, default=None)
        if chosen is None:
            return None
        return Candidate(
            now - chosen.progress_at,
            self._share.estimate(self._holders[chosen]),
            lambda: self._end(chosen),
        )

    def _end(self, holder: RequestHolder) -> None:
        self.update(holder, 0)
        self._refuse(holder)

    def _refuse(self, holder: RequestHolder) -> None:
        self.refused += 1
        holder.refuse()
