"""Messages between hosts, as frozen data classes."""

from dataclasses import dataclass

from almonddock_core.model import (
    AttemptId,
    DataCentreId,
    HostId,
    Incarnation,
    SubQuery,
    SubReply,
    TargetLoad,
)


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame on a link, in both directions."""

    host: HostId
    data_centre: DataCentreId
    incarnation: Incarnation
    #: Where the sender accepts links: ``address:port``.
    address: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks the other end of a link for a :class:`Pong`."""

    number: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a :class:`Ping` of the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class SubQueryBatch:
    """Sub-queries of one query for targets of one owner; at least one."""

    subs: tuple[SubQuery, ...]


@dataclass(frozen=True, slots=True)
class SubReplyBatch:
    """Replies for one entry host, with the loads of the targets asked."""

    replies: tuple[SubReply, ...]
    loads: tuple[TargetLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class CancelBatch:
    """Tries whose replies are no longer wanted."""

    attempts: tuple[AttemptId, ...]
