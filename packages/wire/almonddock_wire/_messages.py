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
    """The first frame on a link, sent by both ends."""

    host: HostId
    data_centre: DataCentreId
    incarnation: Incarnation
    #: The address at which the sender accepts links: ``address:port``.
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
    """One or more sub-queries of one query, for targets of one owner."""

    sub_queries: tuple[SubQuery, ...]


@dataclass(frozen=True, slots=True)
class SubReplyBatch:
    """Replies for one entry host, with the loads of the queried targets."""

    replies: tuple[SubReply, ...]
    loads: tuple[TargetLoad, ...] = ()


@dataclass(frozen=True, slots=True)
class CancelBatch:
    """Attempts to cancel, because their replies are no longer needed."""

    attempts: tuple[AttemptId, ...]
