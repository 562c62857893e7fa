"""The request that is dispatched, and the replies of targets."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.fairness import Turn
from almonddock_core.routing import Caller, Organisation, Route


@dataclass(frozen=True, slots=True)
class DispatchedRequest:
    """The part of a caller's request that the dispatch needs."""

    request_id: str
    route: Route
    #: The services that the request goes to: one, or every shard.
    services: tuple[str, ...]
    #: When the whole request was read.
    arrived: timedelta
    #: When the caller stops waiting.
    deadline: timedelta
    #: The organisation of the caller; None if callers need no keys.
    organisation: Organisation | None = None
    #: Its turn among those that wait, where organisations share.
    turn: Turn | None = None
    #: The part of the latency goal that the network between the caller and this
    #: host takes; zero if unknown.
    way: timedelta = timedelta()

    @property
    def delay(self) -> timedelta | None:
        """How much later than its arrival its turn is; None without one."""
        return None if self.turn is None else self.turn.delay

    @property
    def priority(self) -> int:
        """The rank among requests that wait; 0 is the most urgent.

        A delay says all about the order where there is one.
        """
        if self.delay is not None:
            return 0
        return Caller(self.route, self.organisation).priority

    @property
    def waits_until(self) -> timedelta:
        """The moment up to which requests that arrive later may go first."""
        return timedelta() if self.delay is None else self.arrived + self.delay


class ReplyKind(enum.Enum):
    """What a target's reply says about the request."""

    #: The request ran and succeeded.
    SUCCESS = 'success'
    #: The request ran and failed, or the reply does not say whether it ran.
    FAILED = 'failed'
    #: The target refused the request for now; it has not run.
    REFUSED = 'refused'
    #: Another target has this address; the request has not run.
    MISDIRECTED = 'misdirected'


@dataclass(frozen=True, eq=False, slots=True)
class ReplyGroup:
    """The replies of several shards, merged by another host.

    They can only be used together, because their records are one list.
    """

    records: bytes


# Not frozen: a query has one for each shard, and a frozen one takes several
# times as long to create.
@dataclass(slots=True)
class TargetReply:
    """A complete reply of a target, which does not change."""

    kind: ReplyKind
    status: int
    #: Header names and contents as received, without per-connection ones.
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes
    #: The target's proof that it ran the request; None if it gave none.
    stamp: bytes | None
    #: The merged records that this reply is part of; its own body is empty.
    group: 'ReplyGroup | None' = None
    #: Time from the send to the reply, if another host measured it.
    elapsed: timedelta | None = None
