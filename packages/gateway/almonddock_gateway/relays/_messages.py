"""What hosts say to each other."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from almonddock_gateway.store import StoreView


class PartFailure(enum.IntEnum):
    """How one part of a relayed query ended without a success.

    The numbers are on the wire.
    """

    #: The target was not asked.
    UNSENT = 0
    #: The target may have run the request; no reply came.
    LOST = 1
    #: The target ran the request and failed.
    FAILED = 2
    #: The target refused the request; it has not run.
    REFUSED = 3
    #: Another target has the address; the request has not run.
    MISDIRECTED = 4


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks whether the other host still answers."""

    number: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a ping."""

    number: int


@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender is about to stop and takes no new queries."""


@dataclass(frozen=True, slots=True)
class RelayQuery:
    """Ask these targets, and answer with their records merged."""

    #: Unique on its link.
    number: int
    #: Start line and headers for every target.
    head: bytes
    body: bytes
    #: The attempt of the caller, which targets repeat.
    attempt_id: bytes
    #: How long the caller's request still has.
    remaining: timedelta
    #: When to answer with what is in, counted from now.
    flush_after: timedelta
    #: Records in the merged answer.
    top: int
    #: Only records above this one are wanted; empty if all are.
    floor: bytes
    #: The rank among requests that wait for a connection.
    priority: int
    #: The ids of the targets to ask.
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RelayCancel:
    """The replies of these parts are no longer wanted."""

    number: int
    parts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RelayReply:
    """Some parts of a query, merged, and those that failed."""

    number: int
    parts: tuple[int, ...]
    stamps: tuple[bytes, ...]
    #: From the send to each target until its reply.
    elapsed: tuple[timedelta, ...]
    #: The greatest records of these parts together, without those that the
    #: query's floor and earlier replies to it make needless.
    records: bytes
    failures: tuple[tuple[int, PartFailure], ...]


class StoreOutcome(enum.IntEnum):
    """How a read of the store for another host ended.

    The numbers are on the wire.
    """

    ANSWERED = 0
    LOST = 1
    HISTORY_LOST = 2


@dataclass(frozen=True, slots=True)
class StoreQuery:
    """Read the store for a host that it turns away."""

    #: Unique on its link.
    number: int
    prefix: str
    #: Changes after this revision; None asks for everything.
    after: int | None
    #: How long the store may wait for the first change.
    wait: timedelta


@dataclass(frozen=True, slots=True)
class StoreReply:
    """What the store answered; ``view`` is empty without an answer."""

    number: int
    outcome: StoreOutcome
    view: StoreView


class MessageLink(Protocol):
    """A connection to another host."""

    @property
    def usable(self) -> bool:
        """Whether the other host has answered lately."""
        ...

    def send(self, message: 'LinkMessage') -> None:
        """Sends a message; one on a closed link is lost."""
        ...


LinkMessage = (
    Ping
    | Pong
    | Leaving
    | RelayQuery
    | RelayCancel
    | RelayReply
    | StoreQuery
    | StoreReply
)
