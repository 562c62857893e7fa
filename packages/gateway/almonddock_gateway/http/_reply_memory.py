"""Bounds the memory that incomplete replies take, over all connections."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from almonddock_core.framing import MAX_REPLY_BYTES
from almonddock_core.memory import (
    Candidate,
    HostMemory,
    PartLimits,
    rank_holder,
)
from almonddock_core.model import ManualClock

#: The most bytes of incomplete replies on all connections together.
MAX_HELD_BYTES = 0x2000000


class ReplyHolder(Protocol):
    """A connection that holds an incomplete reply."""

    def abort(self) -> None:
        """Closes the connection, which fails its request."""
        ...


@dataclass(frozen=True, slots=True)
class _Held:
    """What one connection holds."""

    size: int
    #: When the size changed last.
    since: timedelta


class ReplyMemory:
    """Aborts the largest incomplete replies while all take too much.

    Servers in trouble may send bytes without end, each on many connections.
    The largest reply is the least likely to be an honest one, after those of
    which nothing moves.
    """

    def __init__(
        self,
        max_bytes: int = MAX_HELD_BYTES,
        max_reply_bytes: int = MAX_REPLY_BYTES,
        memory: HostMemory | None = None,
        limits: PartLimits | None = None,
        *,
        is_last: bool = False,
    ) -> None:
        """Takes a share of ``memory``.

        ``limits`` say more of it than ``max_bytes``. ``is_last`` says that
        others are ended before replies are aborted here.
        """
        #: The bytes that all connections hold now.
        self.held = 0
        #: How many connections were aborted.
        self.aborted = 0
        #: The most bytes that a server may send for one request.
        self.max_reply_bytes = max_reply_bytes
        self._is_last = is_last
        self._holders: dict[ReplyHolder, _Held] = {}
        # Without an owner nothing counts as stalled.
        owner = HostMemory(ManualClock()) if memory is None else memory
        self._clock = owner.clock
        self._share = owner.register(
            self, limits or PartLimits('replies', max_bytes)
        )

    def hold(self, holder: ReplyHolder, size: int) -> None:
        """Sets the size in bytes of what a connection holds."""
        if not size:
            self.release(holder)
            return
        before = self._holders.get(holder)
        if before is not None and before.size == size:
            return
        self.release(holder)
        self.held += size
        self._holders[holder] = _Held(size, self._clock.now())
        self._share.keep_bound()

    def release(self, holder: ReplyHolder) -> None:
        """Forgets a connection whose reply is complete or has failed."""
        held = self._holders.pop(holder, None)
        if held is not None:
            self.held -= held.size

    def find_candidate(self) -> Candidate | None:
        """Returns what to abort first, None if nothing is held."""
        now = self._clock.now()

        def rank(holder: ReplyHolder) -> tuple[timedelta, int]:
            held = self._holders[holder]
            return rank_holder(now - held.since, held.size)

        chosen = max(self._holders, key=rank, default=None)
        if chosen is None:
            return None
        held = self._holders[chosen]
        return Candidate(
            now - held.since,
            self._share.estimate(held.size),
            lambda: self._end(chosen),
            self._is_last,
        )

    def _end(self, holder: ReplyHolder) -> None:
        self.release(holder)
        self.aborted += 1
        holder.abort()
